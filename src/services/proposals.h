/// Proposals that wait until their log index is applied.

#pragma once

#include "src/services/interfaces.h"

#include <map>

namespace crocusmill
{

class Proposals
{
public:
    /// Adds a proposal. An earlier one at the same index, from an earlier term, was overwritten by
    /// another leader's entry and fails with ConsensusError::NotLeader.
    void add(LogIndex index, Term term, MonotonicTime deadline, ProposeHandler done);
    /// Completes the proposal at the index of an applied entry. A proposal of another term fails
    /// with ConsensusError::NotLeader.
    void onApplied(const LogEntry &entry, const ApplyReply &reply);
    /// Fails overdue proposals with PeerError::TimedOut; they may still be applied.
    void expire(MonotonicTime now);
    void failAll(const std::error_code &error);

private:
    struct Proposal
    {
        Term term;
        MonotonicTime deadline;
        ProposeHandler done;
    };

    // Invariant: every handler is called once.
    std::map<LogIndex, Proposal> pending_;
};

} // namespace crocusmill
