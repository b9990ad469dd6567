/// A worker's steady clock as it is known here: a bound, not a point.
///
/// Leases are stated as deadlines on the worker's clock. From one reading and the time that the
/// call took follows the least that the clock can show at any later time. Pure.

#pragma once

#include <crocusmill/ids.h>

#include <optional>

namespace crocusmill
{

/// A moment on a worker's own steady clock.
using WorkerTime = StrongValue<struct WorkerTimeTag, std::int64_t>; // milliseconds

/// A worker's clock may run this much slower than this VM's.
inline constexpr double maxClockDrift = 0.02;

class WorkerClock
{
public:
    /// The worker stated `reading` in an answer that was received at `received`.
    void recordReading(WorkerTime reading, MonotonicTime received);

    /// A deadline that is no later than `lease` after `now`; none before the first reading.
    [[nodiscard]] std::optional<WorkerTime> deadlineAfter(
        Milliseconds lease, MonotonicTime now) const;
    /// From when on the deadline has passed on the worker's clock for sure.
    [[nodiscard]] MonotonicTime latestExpiry(WorkerTime deadline) const;

private:
    struct Reading
    {
        WorkerTime value;
        MonotonicTime received;
    };

    std::optional<Reading> last_;
};

} // namespace crocusmill
