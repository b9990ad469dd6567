/// Turns of calls.

#include "src/services/callturns.h"

#include "src/net/clock.h"

namespace crocusmill
{

namespace
{

/// Of one turn. The journal's heartbeat interval is fifty times as long.
constexpr Milliseconds turnBudget {2};

} // namespace

CallTurns::CallTurns(asio::io_context &control)
    : control_(control)
{
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
        work.refuse(*refused);
        return;
    }
    waiting_.emplace(lastId_, std::move(work));
    schedule();
}

void CallTurns::stop()
{
    stopped_ = true;
    queue_ = {};
    waiting_.clear();
}

void CallTurns::schedule()
{
    if (std::exchange(scheduled_, true)) {
        return;
    }
    asio::post(control_, [this, alive = std::weak_ptr<bool> {alive_}]() {
        if (!alive.expired()) {
            scheduled_ = false;
            takeTurn();
        }
    });
}

void CallTurns::takeTurn()
{
    MonotonicTime now = monotonicNow();
    const MonotonicTime until = now + turnBudget;
    const std::weak_ptr<bool> alive = alive_;
    while (now < until) {
        const std::optional<CallQueue::Turn> turn = queue_.next(now);
        if (!turn) {
            return;
        }
        const auto found = waiting_.find(turn->id);
        const Work work = std::move(found->second);
        waiting_.erase(found);
        if (turn->expired) {
            work.drop();
        } else {
            work.handle();
        }
        if (alive.expired()) {
            return;
        }
        now = monotonicNow();
    }
    if (queue_.size() > 0) {
        schedule();
    }
}

} // namespace crocusmill
