/// Turns of calls.

#include "src/services/callturns.h"

#include "src/net/clock.h"
#include "src/net/log.h"

namespace crocusmill
{

namespace
{

/// Until calls that are held back are looked at again: the journal's clock.
constexpr Milliseconds holdInterval {10};
/// Between two records of calls that were not handled.
constexpr Milliseconds recordInterval {1'000};

} // namespace

CallTurns::CallTurns(asio::io_context &control)
    : control_(control)
    , held_(control)
{
}

void CallTurns::holdWhile(std::function<bool()> condition)
{
    holds_ = std::move(condition);
}

void CallTurns::add(CallClass callClass, Milliseconds limit, Work work)
{
    if (stopped_) {
        work.drop();
        return;
    }
    const MonotonicTime now = monotonicNow();
    const std::optional<Milliseconds> refused =
        queue_.add(callClass, {++lastId_, now, now + limit}, now);
    if (refused) {
        ++sums_.refused;
        record(now);
        work.refuse(*refused);
        return;
    }
    waiting_.emplace(lastId_, std::move(work));
    schedule();
}

void CallTurns::stop()
{
    stopped_ = true;
    holds_ = nullptr;
    held_.cancel();
    queue_ = {};
    waiting_.clear();
}

void CallTurns::schedule()
{
    if (std::exchange(scheduled_, true)) {
        return;
    }
    scheduledAt_ = monotonicNow();
    asio::post(control_, [this, alive = std::weak_ptr<bool> {alive_}]() {
        if (!alive.expired()) {
            scheduled_ = false;
            takeTurn();
        }
    });
}

void CallTurns::scheduleLater()
{
    scheduled_ = true;
    held_.expires_after(holdInterval);
    held_.async_wait([this](const boost::system::error_code &error) {
        if (!error) {
            scheduled_ = false;
            schedule();
        }
    });
}

void CallTurns::takeTurn()
{
    if (holds_ && holds_()) {
        queue_.skipIntervalSample();
        scheduleLater();
        return;
    }
    const MonotonicTime began = monotonicNow();
    const std::weak_ptr<bool> alive = alive_;
    takeTurnUntil(
        began + turnBudget(std::chrono::duration_cast<Microseconds>(began - scheduledAt_)));
    if (alive.expired()) {
        return;
    }
    record(monotonicNow());
    if (queue_.size() > 0) {
        schedule();
    }
}

void CallTurns::takeTurnUntil(MonotonicTime until)
{
    const std::weak_ptr<bool> alive = alive_;
    for (MonotonicTime now = monotonicNow(); now < until; now = monotonicNow()) {
        const std::optional<CallQueue::Turn> turn = queue_.next(now);
        if (!turn) {
            return;
        }
        const auto found = waiting_.find(turn->id);
        const Work work = std::move(found->second);
        waiting_.erase(found);
        if (turn->expired) {
            ++sums_.dropped;
            work.drop();
        } else {
            ++sums_.handled;
            work.handle();
        }
        if (alive.expired()) {
            return;
        }
    }
}

/// One record a second while calls are refused or dropped.
void CallTurns::record(MonotonicTime now)
{
    if (now < recordDue_) {
        return;
    }
    recordDue_ = now + recordInterval;
    const Sums sums = std::exchange(sums_, {});
    if (sums.refused + sums.dropped == 0) {
        return;
    }
    const Milliseconds wait =
        std::chrono::duration_cast<Milliseconds>(queue_.expectedWait(CallClass::Submission, now));
    logWarning("calls.behind",
        {{"handled", sums.handled}, {"refused", sums.refused}, {"dropped", sums.dropped},
            {"waiting", std::uint64_t {queue_.size()}},
            {"wait_ms", static_cast<std::uint64_t>(wait.count())}});
}

} // namespace crocusmill
