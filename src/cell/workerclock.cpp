/// Bounds from the newest reading and the maximum drift.

#include <crocusmill/workerclock.h>

namespace crocusmill
{

void WorkerClock::recordReading(WorkerTime reading, MonotonicTime received)
{
    // Messages may arrive out of order.
    if (!last_ || reading >= last_->value) {
        last_ = Reading {reading, received};
    }
}

std::optional<WorkerTime> WorkerClock::deadlineAfter(Milliseconds lease, MonotonicTime now) const
{
    if (!last_) {
        return std::nullopt;
    }
    const std::chrono::duration<double, std::milli> elapsed = now - last_->received;
    const double minElapsed = elapsed.count() * (1 - maxClockDrift);
    return WorkerTime {
        last_->value.value() + static_cast<std::int64_t>(minElapsed) + lease.count()};
}

MonotonicTime WorkerClock::latestExpiry(WorkerTime deadline) const
{
    if (!last_) {
        return MonotonicTime::max();
    }
    const double remaining = static_cast<double>(deadline.value() - last_->value.value());
    const std::chrono::duration<double, std::milli> maxRemaining {remaining / (1 - maxClockDrift)};
    return last_->received + std::chrono::ceil<Milliseconds>(maxRemaining);
}

} // namespace crocusmill
