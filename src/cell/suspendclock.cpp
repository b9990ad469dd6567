/// Implementation of SuspendAwareClock.

#include <crocusmill/suspendclock.h>

#include <utility>

namespace crocusmill
{

namespace
{

/// A suspension that is shorter is of no consequence for leases.
constexpr std::chrono::milliseconds minSuspension {20};

} // namespace

SuspendAwareClock::SuspendAwareClock(ReadUptime readUptime)
    : readUptime_(std::move(readUptime))
{
}

MonotonicTime SuspendAwareClock::read(
    MonotonicTime steady, std::chrono::system_clock::time_point timeOfDay)
{
    const std::chrono::nanoseconds timeOfDayLead =
        timeOfDay.time_since_epoch() - steady.time_since_epoch();
    if (std::chrono::abs(timeOfDayLead - timeOfDayLead_) >= minSuspension) {
        timeOfDayLead_ = timeOfDayLead;
        uptimeLead_ = readUptime_() - steady.time_since_epoch();
    }
    return steady + uptimeLead_;
}

} // namespace crocusmill
