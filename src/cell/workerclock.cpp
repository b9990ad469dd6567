/// Bounds on workers' clocks.

#include <crocusmill/workerclock.h>

namespace crocusmill
{

void WorkerClock::observed(WorkerTime reading, MonotonicTime received)
{
    // An answer may overtake a newer one.
    if (!last_ || reading >= last_->shown) {
        last_ = Reading {reading, received};
    }
}

std::optional<WorkerTime> WorkerClock::deadlineAfter(Milliseconds lease, MonotonicTime now) const
{
    if (!last_) {
        return std::nullopt;
    }
    const std::chrono::duration<double, std::milli> since = now - last_->received;
    const double least = since.count() * (1 - clockDrift);
    return WorkerTime {last_->shown.value() + static_cast<std::int64_t>(least) + lease.count()};
}

MonotonicTime WorkerClock::surelyPassed(WorkerTime deadline) const
{
    if (!last_) {
        return MonotonicTime::max();
    }
    const double left = static_cast<double>(deadline.value() - last_->shown.value());
    const std::chrono::duration<double, std::milli> longest {left / (1 - clockDrift)};
    return last_->received + std::chrono::ceil<Milliseconds>(longest);
}

} // namespace crocusmill
