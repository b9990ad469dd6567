/// Priority queue of calls from other VMs to the leader's control thread.
///
/// Under overload, more calls arrive than the thread can handle besides the journal and the
/// workers. Calls that keep the cell alive go first, calls that would be answered too late are
/// refused on arrival, and calls whose caller has timed out are dropped unread. No I/O; owned by
/// the control thread.

#pragma once

#include <crocusmill/ids.h>

#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>

namespace crocusmill
{

/// Classes of calls, highest priority first. Queries and submissions alternate, and together they
/// get at least every fourth turn while any of them waits.
enum class CallClass : std::uint8_t {
    Presence, // VMs, workers and upstreams report that they are alive or leave
    Change, // operators' reads and changes, and calls about recorded work
    Cancel,
    Query, // state of a job
    Submission,
};

inline constexpr std::size_t callClassCount = 5;

/// Timeout assumed for a caller that states none.
inline constexpr Milliseconds defaultCallTimeout {1'000};

/// Returns how long calls may use the thread after other work has used it for `otherWork`. Calls
/// get a third of a saturated thread's time; the maximum bounds how long other work waits for them.
[[nodiscard]] Microseconds turnBudget(Microseconds otherWork);

struct WaitingCall
{
    std::uint64_t id = 0; // assigned by the queue's owner
    MonotonicTime arrived;
    MonotonicTime deadline; // when the caller times out
};

class CallQueue
{
public:
    /// Queues the call, or refuses it and returns the delay before a retry. A query or submission
    /// is refused if its expected wait exceeds half of the caller's timeout: the other half is left
    /// for the journal and the reply. Other classes are refused only when their queue is full.
    [[nodiscard]] std::optional<Milliseconds> add(
        CallClass callClass, const WaitingCall &call, MonotonicTime now);

    struct Turn
    {
        std::uint64_t id = 0;
        bool expired = false; // the caller has timed out; do not handle the call
    };

    /// Removes and returns the next call; nullopt if none waits.
    [[nodiscard]] std::optional<Turn> next(MonotonicTime now);

    /// Ignores the time since the last turn, which does not reflect the cost of turns.
    void skipIntervalSample();

    [[nodiscard]] std::size_t size() const;
    /// Returns the expected wait of a call of this class that arrives now; 0 for classes other than
    /// queries and submissions.
    [[nodiscard]] Microseconds expectedWait(CallClass callClass, MonotonicTime now) const;

private:
    [[nodiscard]] std::size_t callsAhead(CallClass callClass) const;
    [[nodiscard]] const std::deque<WaitingCall> &queueOf(CallClass callClass) const;
    [[nodiscard]] bool hasClientCalls() const;
    [[nodiscard]] CallClass nextClass();
    void recordTurn(MonotonicTime now);

    std::array<std::deque<WaitingCall>, callClassCount> queues_;
    bool wasQueryLast_ = false; // the last client call handled was a query
    std::uint32_t consecutiveOtherTurns_ = 0; // turns since the last query or submission
    // Smoothed time between two turns of queries or submissions while any wait, including all other
    // work of the thread in between.
    std::chrono::nanoseconds meanTurnInterval_ {0};
    // Time of the last turn of a query or submission, if others were waiting then.
    std::optional<MonotonicTime> lastTurn_;
};

} // namespace crocusmill
