/// Steady clock that also counts the time in which the VM was suspended.
///
/// The system's clock of that kind is slow to read, so it is read only after the time of day and
/// the steady clock have moved apart, as they do in a suspension. Pure; not thread-safe.

#pragma once

#include <crocusmill/ids.h>

#include <chrono>
#include <functional>

namespace crocusmill
{

class SuspendAwareClock
{
public:
    /// Returns the time since the start of the VM, suspended or not.
    using ReadUptime = std::function<std::chrono::nanoseconds()>;

    explicit SuspendAwareClock(ReadUptime readUptime);

    /// Returns the time for a reading of the steady clock and the system's time of day. Comparable
    /// with other times that this clock has returned, not with the steady clock.
    MonotonicTime read(MonotonicTime steady, std::chrono::system_clock::time_point timeOfDay);

private:
    ReadUptime readUptime_;
    // As of the last reading of the uptime:
    std::chrono::nanoseconds uptimeLead_ {0}; // before the steady clock
    std::chrono::nanoseconds timeOfDayLead_ {0}; // before the steady clock; zero: not read yet
};

} // namespace crocusmill
