/// Implementation of CallScheduler.

#include "src/services/callscheduler.h"

#include "src/net/clock.h"
#include "src/net/log.h"

namespace crocusmill
{

namespace
{

/// Interval between checks of the hold condition; the tick of the journal.
constexpr Milliseconds holdInterval {10};
/// Minimum interval between log records about calls that were not handled.
constexpr Milliseconds logInterval {1'000};

} // namespace

CallScheduler::CallScheduler(asio::io_context &control)
    : control_(control)
    , holdTimer_(control)
{
}

void CallScheduler::holdWhile(std::function<bool()> condition)
{
    shouldHold_ = std::move(condition);
}

void CallScheduler::add(CallClass callClass, Milliseconds timeout, CallHandlers handlers)
{
    if (isStopped_) {
        handlers.drop();
        return;
    }
    const MonotonicTime now = monotonicNow();
    const std::optional<Milliseconds> retryAfter =
        queue_.add(callClass, {++lastId_, now, now + timeout}, now);
    if (retryAfter) {
        ++counts_.refused;
        logCounts(now);
        handlers.refuse(*retryAfter);
        return;
    }
    waiting_.emplace(lastId_, std::move(handlers));
    schedule();
}

void CallScheduler::stop()
{
    isStopped_ = true;
    shouldHold_ = nullptr;
    holdTimer_.cancel();
    queue_ = {};
    waiting_.clear();
}

void CallScheduler::schedule()
{
    if (std::exchange(isScheduled_, true)) {
        return;
    }
    scheduledAt_ = monotonicNow();
    asio::post(control_, [this, alive = std::weak_ptr<bool> {alive_}]() {
        if (!alive.expired()) {
            isScheduled_ = false;
            runTurn();
        }
    });
}

void CallScheduler::scheduleLater()
{
    isScheduled_ = true;
    holdTimer_.expires_after(holdInterval);
    holdTimer_.async_wait([this](const boost::system::error_code &error) {
        if (!error) {
            isScheduled_ = false;
            schedule();
        }
    });
}

void CallScheduler::runTurn()
{
    if (shouldHold_ && shouldHold_()) {
        queue_.skipIntervalSample();
        scheduleLater();
        return;
    }
    const MonotonicTime startedAt = monotonicNow();
    const std::weak_ptr<bool> alive = alive_;
    runUntil(
        startedAt + turnBudget(std::chrono::duration_cast<Microseconds>(startedAt - scheduledAt_)));
    if (alive.expired()) {
        return;
    }
    logCounts(monotonicNow());
    if (queue_.size() > 0) {
        schedule();
    }
}

void CallScheduler::runUntil(MonotonicTime deadline)
{
    const std::weak_ptr<bool> alive = alive_;
    for (MonotonicTime now = monotonicNow(); now < deadline; now = monotonicNow()) {
        const std::optional<CallQueue::Turn> turn = queue_.next(now);
        if (!turn) {
            return;
        }
        const auto it = waiting_.find(turn->id);
        const CallHandlers handlers = std::move(it->second);
        waiting_.erase(it);
        if (turn->expired) {
            ++counts_.dropped;
            handlers.drop();
        } else {
            ++counts_.handled;
            handlers.handle();
        }
        if (alive.expired()) {
            return;
        }
    }
}

/// Logs the counts, at most once a second, if calls were refused or dropped.
void CallScheduler::logCounts(MonotonicTime now)
{
    if (now < nextLogAt_) {
        return;
    }
    nextLogAt_ = now + logInterval;
    const Counts counts = std::exchange(counts_, {});
    if (counts.refused + counts.dropped == 0) {
        return;
    }
    const Milliseconds wait =
        std::chrono::duration_cast<Milliseconds>(queue_.expectedWait(CallClass::Submission, now));
    logWarning("calls.behind",
        {{"handled", counts.handled}, {"refused", counts.refused}, {"dropped", counts.dropped},
            {"waiting", std::uint64_t {queue_.size()}},
            {"wait_ms", static_cast<std::uint64_t>(wait.count())}});
}

} // namespace crocusmill
