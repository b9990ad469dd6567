/// Leases of exclusive work, and settling of attempts whose answer was lost.
///
/// Owned by the leader. An upstream runs exclusive work only while it holds a lease from the reply
/// to its own announcement, so an entry that was frozen cannot start work by delivering a request
/// late. No I/O: the caller passes in the time and records the returned commands in the journal.
/// Not thread-safe; owned by the control thread.

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
    /// Lease duration, which the upstream counts from when it sent its announcement.
    Milliseconds lease {4'000};
    /// Added by the leader, which counts from its reply, to tolerate clock drift.
    Milliseconds driftMargin {500};
};

/// Leases granted by this leader, and the attempts that it settles.
class LeaseTable
{
public:
    /// Starts with a grace period of one lease plus the drift margin, in which no lease counts as
    /// expired: a new leader does not know which leases its predecessor granted.
    LeaseTable(LeaseTimes times, MonotonicTime now);

    /// Answer to an announcement, and the commands that follow from it.
    struct Verdict
    {
        std::vector<AttemptLease> leases;
        std::vector<AttemptId> stop; // the upstream must stop these or refuse them if they arrive
        std::vector<AttemptId> forget; // the upstream need not report these as finished any more
        std::vector<Command> commands; // to be recorded in the journal
    };

    /// Handles an upstream's announcement: renews leases and settles attempts.
    [[nodiscard]] Verdict onAnnouncement(const Announcement &announcement,
        const StateMachine &state, MonotonicTime now, WallTime wallNow);

    /// Starts settling an attempt: determines how it ended after its entry lost the answer or died.
    void settle(const AttemptId &attempt);

    /// Returns commands that end attempts being settled whose upstream is gone, once the upstream
    /// cannot hold a lease any more. Other work ends only if it is repeatable.
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
    // Attempts of settling_ that are given up, recorded or not; they get no more leases.
    std::set<AttemptId> givenUp_;
};

} // namespace crocusmill
