/// Priorities and expected waits of calls to the leader.

#include <crocusmill/callqueue.h>

#include <algorithm>

namespace crocusmill
{

namespace
{

/// Maximum calls queued per class, whatever their deadlines.
constexpr std::size_t maxCallsPerClass = 4'096;
/// A new sample has a weight of 1 / turnIntervalSamples in the mean.
constexpr std::int64_t turnIntervalSamples = 32;
/// Consecutive turns of other classes before queries and submissions get one.
constexpr std::uint32_t maxConsecutiveOtherTurns = 3;
/// A longer interval means that the process was suspended; it does not show the cost of calls.
constexpr Milliseconds maxTurnInterval {100};

constexpr Microseconds minTurnBudget {2'000};
/// A quarter of the journal's heartbeat interval in deploy/state.json, 100 ms.
constexpr Microseconds maxTurnBudget {25'000};

} // namespace

Microseconds turnBudget(Microseconds otherWork)
{
    return std::clamp(otherWork / 2, minTurnBudget, maxTurnBudget);
}

std::optional<Milliseconds> CallQueue::add(
    CallClass callClass, const WaitingCall &call, MonotonicTime now)
{
    std::deque<WaitingCall> &queue = queues_.at(static_cast<std::size_t>(callClass));
    const Microseconds wait = expectedWait(callClass, now);
    const bool isExempt = callClass != CallClass::Query && callClass != CallClass::Submission;
    const bool isTooLate = !isExempt && wait * 2 > call.deadline - now;
    if (isTooLate || queue.size() >= maxCallsPerClass) {
        return std::chrono::ceil<Milliseconds>(wait);
    }
    queue.push_back(call);
    return std::nullopt;
}

std::optional<CallQueue::Turn> CallQueue::next(MonotonicTime now)
{
    if (size() == 0) {
        return std::nullopt;
    }
    const CallClass callClass = nextClass();
    std::deque<WaitingCall> &queue = queues_.at(static_cast<std::size_t>(callClass));
    const WaitingCall call = queue.front();
    queue.pop_front();
    if (callClass == CallClass::Query || callClass == CallClass::Submission) {
        consecutiveOtherTurns_ = 0;
        recordTurn(now);
    } else {
        ++consecutiveOtherTurns_;
    }
    return Turn {call.id, now >= call.deadline};
}

void CallQueue::recordTurn(MonotonicTime now)
{
    if (lastTurn_) {
        const std::chrono::nanoseconds interval =
            std::min<std::chrono::nanoseconds>(now - *lastTurn_, maxTurnInterval);
        meanTurnInterval_ += (interval - meanTurnInterval_) / turnIntervalSamples;
    }
    lastTurn_.reset();
    if (hasClientCalls()) {
        lastTurn_ = now;
    }
}

bool CallQueue::hasClientCalls() const
{
    return !queueOf(CallClass::Query).empty() || !queueOf(CallClass::Submission).empty();
}

CallClass CallQueue::nextClass()
{
    if (!hasClientCalls() || consecutiveOtherTurns_ < maxConsecutiveOtherTurns) {
        for (const CallClass callClass :
            {CallClass::Presence, CallClass::Change, CallClass::Cancel}) {
            if (!queueOf(callClass).empty()) {
                return callClass;
            }
        }
    }
    const bool hasQueries = !queueOf(CallClass::Query).empty();
    const bool hasSubmissions = !queueOf(CallClass::Submission).empty();
    wasQueryLast_ = hasQueries && !(hasSubmissions && wasQueryLast_);
    return wasQueryLast_ ? CallClass::Query : CallClass::Submission;
}

void CallQueue::skipIntervalSample()
{
    lastTurn_.reset();
}

std::size_t CallQueue::size() const
{
    std::size_t size = 0;
    for (const std::deque<WaitingCall> &queue : queues_) {
        size += queue.size();
    }
    return size;
}

const std::deque<WaitingCall> &CallQueue::queueOf(CallClass callClass) const
{
    return queues_.at(static_cast<std::size_t>(callClass));
}

/// Returns the number of queries and submissions handled before a call that arrives now.
std::size_t CallQueue::callsAhead(CallClass callClass) const
{
    const std::size_t sameClass = queueOf(callClass).size();
    const std::size_t otherClass =
        queueOf(callClass == CallClass::Query ? CallClass::Submission : CallClass::Query).size();
    return sameClass + std::min(sameClass + 1, otherClass);
}

Microseconds CallQueue::expectedWait(CallClass callClass, MonotonicTime now) const
{
    if (callClass != CallClass::Query && callClass != CallClass::Submission) {
        return Microseconds {0};
    }
    // If the current interval already exceeds the mean, turns have become less frequent.
    std::chrono::nanoseconds interval = meanTurnInterval_;
    if (lastTurn_) {
        interval = std::max(
            interval, std::min<std::chrono::nanoseconds>(now - *lastTurn_, maxTurnInterval));
    }
    return std::chrono::duration_cast<Microseconds>(
        interval * static_cast<std::int64_t>(callsAhead(callClass)));
}

} // namespace crocusmill
