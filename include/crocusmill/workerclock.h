/// Bounds on a worker's steady clock.
///
/// Leases are deadlines on the worker's clock. A reading, the time of its receipt and the maximum
/// drift give the lowest value that the clock can show at any later time. Pure.

#pragma once

#include <crocusmill/ids.h>

#include <optional>

namespace crocusmill
{

/// A time on a worker's own steady clock.
using WorkerTime = StrongValue<struct WorkerTimeTag, std::int64_t>; // milliseconds

/// Fraction by which a worker's clock may run slower than the clock of this VM.
inline constexpr double maxClockDrift = 0.02;

class WorkerClock
{
public:
    /// Records a clock reading from a message of the worker that arrived at `received`.
    void recordReading(WorkerTime reading, MonotonicTime received);

    /// Returns a deadline that is at most `lease` after `now`, none before the first reading.
    [[nodiscard]] std::optional<WorkerTime> deadlineAfter(
        Milliseconds lease, MonotonicTime now) const;
    /// Returns the time from which on the deadline has certainly passed on the worker's clock,
    /// MonotonicTime::max() before the first reading.
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
