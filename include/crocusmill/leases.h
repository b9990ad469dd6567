/// Leases of exclusive work, and the settling of attempts that were left without an answer.
///
/// Kept by the leader of the journal. An upstream runs exclusive work only while it holds a lease
/// that it got in the reply to its own announcement, so that an entry that was frozen cannot
/// start anything by delivering a request late. Pure: time is passed in; what is to be recorded
/// comes out as commands. Not thread-safe; owned by the control thread.

#pragma once

#include <crocusmill/announcement.h>
#include <crocusmill/statemachine.h>

#include <map>
#include <set>
#include <vector>

namespace crocusmill
{

struct LeaseTimes
{
    /// The upstream counts this from when it sent its announcement.
    Milliseconds lease {4'000};
    /// Added by the leader, which counts from its reply.
    Milliseconds driftMargin {500};
};

class LeaseTable
{
public:
    /// A new leader does not know which leases run: it takes none to be over for one whole lease.
    LeaseTable(LeaseTimes times, MonotonicTime now);

    struct Verdict
    {
        std::vector<LeaseLine> leases;
        std::vector<AttemptId> stop;
        std::vector<AttemptId> forget;
        std::vector<Command> commands;
    };

    /// What follows from an upstream's announcement.
    [[nodiscard]] Verdict onAnnouncement(const Announcement &announcement,
        const StateMachine &state, MonotonicTime now, WallTime wallNow);

    /// The entry of this attempt lost its answer, or is gone: find out how it ended.
    void settle(const AttemptId &attempt);

    /// Attempts being settled whose upstream is gone: over once no lease can be held any more.
    [[nodiscard]] std::vector<Command> endAttemptsOfGoneUpstreams(
        const std::set<UpstreamId> &alive, const StateMachine &state, MonotonicTime now);

private:
    void grantLeases(const Announcement &announcement, const StateMachine &state, MonotonicTime now,
        Verdict &verdict);
    void settleAttempt(const Announcement &announcement, const Work &work, const Attempt &attempt,
        Verdict &verdict, MonotonicTime now, WallTime wallNow);
    [[nodiscard]] EndAttempt giveUp(const Work &work, const AttemptId &attempt);
    [[nodiscard]] bool leaseOver(const AttemptId &attempt, MonotonicTime now) const;

    LeaseTimes times_;
    MonotonicTime graceEnds_;
    std::map<AttemptId, MonotonicTime> leasedUntil_;
    std::set<AttemptId> settling_;
    // Invariant: those of settling_ whose loss is decided, recorded or not; no lease any more.
    std::set<AttemptId> givenUp_;
};

} // namespace crocusmill
