/// Proposals that wait for their place in the journal to be applied.

#pragma once

#include "src/services/interfaces.h"

#include <map>

namespace crocusmill
{

class Proposals
{
public:
    /// A proposal that waited at the same place, from an earlier term, was replaced by another
    /// leader's entry: it is told ConsensusError::NotLeader.
    void add(LogIndex index, Term term, MonotonicTime deadline, ProposeHandler done);
    /// The entry at this place was applied; the proposal there may have been another one.
    void onApplied(const LogEntry &entry, const ApplyReply &reply);
    /// Tells PeerError::TimedOut to those that waited too long; what becomes of them is unknown.
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
