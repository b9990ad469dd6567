/// The order of calls on the leader.

#include <crocusmill/callqueue.h>

#include <algorithm>

namespace crocusmill
{

namespace
{

/// More than this many of a class are not kept, however long their callers wait.
constexpr std::size_t mostOfClass = 4'096;
/// A new sample of the gap counts for one in so many.
constexpr std::int64_t gapSamples = 32;
/// Turns in a row that others may have before questions and submissions.
constexpr std::uint32_t mostOthersInRow = 3;
/// A longer gap says that the process stood still, not what calls cost.
constexpr Milliseconds longestGap {100};

constexpr Microseconds shortestTurn {2'000};
/// A quarter of the journal's usual heartbeat interval.
constexpr Microseconds longestTurn {25'000};

} // namespace

Microseconds turnBudget(Microseconds others)
{
    return std::clamp(others / 2, shortestTurn, longestTurn);
}

std::optional<Milliseconds> CallQueue::add(
    CallClass callClass, const WaitingCall &call, MonotonicTime now)
{
    std::deque<WaitingCall> &queue = waiting_.at(static_cast<std::size_t>(callClass));
    const Microseconds wait = expectedWait(callClass, now);
    const bool mayWait = callClass != CallClass::Question && callClass != CallClass::Submission;
    const bool tooLate = !mayWait && wait * 2 > call.deadline - now;
    if (tooLate || queue.size() >= mostOfClass) {
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
    std::deque<WaitingCall> &queue = waiting_.at(static_cast<std::size_t>(callClass));
    const WaitingCall call = queue.front();
    queue.pop_front();
    if (callClass == CallClass::Question || callClass == CallClass::Submission) {
        othersInRow_ = 0;
        noteTurn(now);
    } else {
        ++othersInRow_;
    }
    return Turn {call.id, now >= call.deadline};
}

void CallQueue::noteTurn(MonotonicTime now)
{
    if (lastTurn_) {
        const std::chrono::nanoseconds gap =
            std::min<std::chrono::nanoseconds>(now - *lastTurn_, longestGap);
        gap_ += (gap - gap_) / gapSamples;
    }
    lastTurn_.reset();
    if (clientsWait()) {
        lastTurn_ = now;
    }
}

bool CallQueue::clientsWait() const
{
    return !of(CallClass::Question).empty() || !of(CallClass::Submission).empty();
}

CallClass CallQueue::nextClass()
{
    if (!clientsWait() || othersInRow_ < mostOthersInRow) {
        for (const CallClass callClass :
            {CallClass::Presence, CallClass::Change, CallClass::Cancel}) {
            if (!of(callClass).empty()) {
                return callClass;
            }
        }
    }
    const bool questions = !of(CallClass::Question).empty();
    const bool submissions = !of(CallClass::Submission).empty();
    questionLast_ = questions && !(submissions && questionLast_);
    return questionLast_ ? CallClass::Question : CallClass::Submission;
}

void CallQueue::stoodStill()
{
    lastTurn_.reset();
}

std::size_t CallQueue::size() const
{
    std::size_t size = 0;
    for (const std::deque<WaitingCall> &queue : waiting_) {
        size += queue.size();
    }
    return size;
}

const std::deque<WaitingCall> &CallQueue::of(CallClass callClass) const
{
    return waiting_.at(static_cast<std::size_t>(callClass));
}

/// Questions and submissions that go before one that comes now.
std::size_t CallQueue::ahead(CallClass callClass) const
{
    const std::size_t own = of(callClass).size();
    const std::size_t other =
        of(callClass == CallClass::Question ? CallClass::Submission : CallClass::Question).size();
    return own + std::min(own + 1, other);
}

Microseconds CallQueue::expectedWait(CallClass callClass, MonotonicTime now) const
{
    if (callClass != CallClass::Question && callClass != CallClass::Submission) {
        return Microseconds {0};
    }
    // What waits longer than usual for its turn says that turns have become rare.
    std::chrono::nanoseconds gap = gap_;
    if (lastTurn_) {
        gap = std::max(gap, std::min<std::chrono::nanoseconds>(now - *lastTurn_, longestGap));
    }
    return std::chrono::duration_cast<Microseconds>(
        gap * static_cast<std::int64_t>(ahead(callClass)));
}

} // namespace crocusmill
