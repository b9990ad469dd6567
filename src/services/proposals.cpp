/// Calls the handlers of proposals.

#include "src/services/proposals.h"

#include "src/net/peerstream.h"

namespace crocusmill
{

void Proposals::add(LogIndex index, Term term, MonotonicTime deadline, ProposeHandler done)
{
    const auto replaced = pending_.find(index);
    if (replaced != pending_.end()) {
        const ProposeHandler replacedHandler = std::move(replaced->second.done);
        pending_.erase(replaced);
        replacedHandler(ConsensusError::NotLeader);
    }
    pending_.emplace(index, Proposal {term, deadline, std::move(done)});
}

void Proposals::onApplied(const LogEntry &entry, const ApplyReply &reply)
{
    const auto it = pending_.find(entry.index);
    if (it == pending_.end()) {
        return;
    }
    const Proposal proposal = std::move(it->second);
    pending_.erase(it);
    if (proposal.term == entry.term) {
        proposal.done(reply);
    } else {
        proposal.done(ConsensusError::NotLeader);
    }
}

void Proposals::expire(MonotonicTime now)
{
    while (!pending_.empty() && pending_.begin()->second.deadline < now) {
        const ProposeHandler done = std::move(pending_.begin()->second.done);
        pending_.erase(pending_.begin());
        done(PeerError::TimedOut);
    }
}

void Proposals::failAll(const std::error_code &error)
{
    std::map<LogIndex, Proposal> failed;
    failed.swap(pending_);
    for (std::pair<const LogIndex, Proposal> &proposal : failed) {
        proposal.second.done(error);
    }
}

} // namespace crocusmill
