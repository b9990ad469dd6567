/// Time of day that neither jumps nor runs back.
///
/// It follows the system's time of day at a bounded rate, so that a step of the system clock moves
/// it by no more than a small share of the time that passes. Pure; not thread-safe.

#pragma once

#include <crocusmill/ids.h>

#include <chrono>

namespace crocusmill
{

class SlewedClock
{
public:
    /// Time since an arbitrary start that includes the time in which the VM was suspended.
    using Elapsed = std::chrono::nanoseconds;

    /// Begins at `system`, the system's time of day at `elapsed`.
    SlewedClock(Elapsed elapsed, WallTime system);

    /// Returns the time of day at `elapsed`, never earlier than the last one.
    WallTime read(Elapsed elapsed, WallTime system);
    /// Returns how far the system's time of day was ahead at the last reading, negative if behind.
    [[nodiscard]] Milliseconds systemLead() const;

private:
    using Time = std::chrono::sys_time<std::chrono::nanoseconds>;

    Elapsed readAt_;
    Time time_; // at readAt_
    Time system_; // at readAt_
};

} // namespace crocusmill
