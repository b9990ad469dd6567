/// Handlers of proposals.

#include "src/services/proposals.h"

#include "src/net/peerstream.h"

namespace crocusmill
{

void Proposals::add(LogIndex index, Term term, MonotonicTime until, ProposeHandler done)
{
    const auto replaced = waiting_.find(index);
    if (replaced != waiting_.end()) {
        const ProposeHandler lost = std::move(replaced->second.done);
        waiting_.erase(replaced);
        lost(ConsensusError::NotLeader);
    }
    waiting_.emplace(index, Proposal {term, until, std::move(done)});
}

void Proposals::applied(const LogEntry &entry, const ApplyReply &reply)
{
    const auto found = waiting_.find(entry.index);
    if (found == waiting_.end()) {
        return;
    }
    const Proposal proposal = std::move(found->second);
    waiting_.erase(found);
    if (proposal.term == entry.term) {
        proposal.done(reply);
    } else {
        proposal.done(ConsensusError::NotLeader);
    }
}

void Proposals::expire(MonotonicTime now)
{
    while (!waiting_.empty() && waiting_.begin()->second.until < now) {
        const ProposeHandler done = std::move(waiting_.begin()->second.done);
        waiting_.erase(waiting_.begin());
        done(PeerError::TimedOut);
    }
}

void Proposals::failAll(const std::error_code &error)
{
    std::map<LogIndex, Proposal> failing;
    failing.swap(waiting_);
    for (std::pair<const LogIndex, Proposal> &proposal : failing) {
        proposal.second.done(error);
    }
}

} // namespace crocusmill
