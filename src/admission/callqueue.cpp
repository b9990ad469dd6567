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
/// A longer gap says that the process stood still, not what calls cost.
constexpr Milliseconds longestGap {50};

} // namespace

std::optional<Milliseconds> CallQueue::add(
    CallClass callClass, const WaitingCall &call, MonotonicTime now)
{
    std::deque<WaitingCall> &queue = waiting_.at(static_cast<std::size_t>(callClass));
    const Microseconds wait = expectedWait(callClass);
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
        lastTurn_.reset();
        return std::nullopt;
    }
    noteGap(now);
    std::deque<WaitingCall> &queue = waiting_.at(static_cast<std::size_t>(nextClass()));
    const WaitingCall call = queue.front();
    queue.pop_front();
    lastTurn_.reset();
    if (size() > 0) {
        lastTurn_ = now;
    }
    return Turn {call.id, now >= call.deadline};
}

void CallQueue::noteGap(MonotonicTime now)
{
    if (!lastTurn_) {
        return;
    }
    const std::chrono::nanoseconds gap =
        std::min<std::chrono::nanoseconds>(now - *lastTurn_, longestGap);
    gap_ += (gap - gap_) / gapSamples;
}

CallClass CallQueue::nextClass()
{
    for (const CallClass callClass : {CallClass::Presence, CallClass::Change, CallClass::Cancel}) {
        if (!of(callClass).empty()) {
            return callClass;
        }
    }
    const bool questions = !of(CallClass::Question).empty();
    const bool submissions = !of(CallClass::Submission).empty();
    questionLast_ = questions && !(submissions && questionLast_);
    return questionLast_ ? CallClass::Question : CallClass::Submission;
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

std::size_t CallQueue::ahead(CallClass callClass) const
{
    std::size_t count = 0;
    for (std::size_t i = 0; i <= static_cast<std::size_t>(callClass); ++i) {
        count += waiting_.at(i).size();
    }
    if (callClass == CallClass::Question) {
        count += std::min(of(callClass).size() + 1, of(CallClass::Submission).size());
    } else if (callClass == CallClass::Submission) {
        const std::size_t questions = of(CallClass::Question).size();
        count -= questions - std::min(of(callClass).size() + 1, questions);
    }
    return count;
}

Microseconds CallQueue::expectedWait(CallClass callClass) const
{
    return std::chrono::duration_cast<Microseconds>(
        gap_ * static_cast<std::int64_t>(ahead(callClass)));
}

} // namespace crocusmill
