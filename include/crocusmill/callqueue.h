/// Calls of other VMs that wait for the leader's control thread, and whose turn is next.
///
/// Load pattern: more calls come than the thread can handle beside the journal and the workers.
/// What keeps the cell alive goes first, what would be answered too late is refused when it comes,
/// and what nobody waits for any more is dropped unread. Pure; owned by the control thread.

#pragma once

#include <crocusmill/ids.h>

#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>

namespace crocusmill
{

/// In the order in which they are handled. Questions and submissions take turns, and together they
/// have every fourth turn, whatever else waits.
enum class CallClass : std::uint8_t {
    Presence, // VMs, workers and upstreams that say that they are there or leave
    Change, // operators' reads and changes, and what is asked of recorded work
    Cancel,
    Query, // a job's state
    Submission,
};

inline constexpr std::size_t callClassCount = 5;

/// A caller that does not say how long it waits is taken to wait this long.
inline constexpr Milliseconds defaultCallTimeout {1'000};

/// How long calls may have the thread at a time, after everything else has had it for `others`:
/// calls get a third of the time when there is too little for all, and nothing waits long for them.
[[nodiscard]] Microseconds turnBudget(Microseconds otherWork);

struct WaitingCall
{
    std::uint64_t id = 0; // the owner's
    MonotonicTime arrived;
    MonotonicTime deadline; // the caller has given up
};

class CallQueue
{
public:
    /// Queues the call, or says after how long it may be tried again. A question or a submission
    /// is refused when its wait would be longer than half of the caller's time: the rest is left
    /// for the journal and the way back. Others are refused only when thousands wait.
    [[nodiscard]] std::optional<Milliseconds> add(
        CallClass callClass, const WaitingCall &call, MonotonicTime now);

    struct Turn
    {
        std::uint64_t id = 0;
        bool expired = false; // the caller has given up; not to be handled
    };

    /// The call whose turn it is.
    [[nodiscard]] std::optional<Turn> next(MonotonicTime now);

    /// Nothing had a turn for a reason that says nothing of what turns cost.
    void skipIntervalSample();

    [[nodiscard]] std::size_t size() const;
    /// Until a call of this class that comes now would have its turn.
    [[nodiscard]] Microseconds expectedWait(CallClass callClass, MonotonicTime now) const;

private:
    [[nodiscard]] std::size_t callsAhead(CallClass callClass) const;
    [[nodiscard]] const std::deque<WaitingCall> &queueOf(CallClass callClass) const;
    [[nodiscard]] bool hasClientCalls() const;
    [[nodiscard]] CallClass nextClass();
    void recordTurn(MonotonicTime now);

    std::array<std::deque<WaitingCall>, callClassCount> queues_;
    bool wasQueryLast_ = false; // of questions and submissions, a question had the last turn
    std::uint32_t consecutiveOtherTurns_ = 0; // turns since a question or a submission had one
    // Mean time between two turns of questions and submissions while such wait, with all that the
    // thread does in between.
    std::chrono::nanoseconds meanTurnInterval_ {0};
    // When one of them had a turn, if others waited then.
    std::optional<MonotonicTime> lastTurn_;
};

} // namespace crocusmill
