/// The time of day of this process.

#include "src/net/clock.h"

#include "src/net/log.h"

#include <crocusmill/slewedclock.h>
#include <crocusmill/suspendclock.h>

#include <ctime>
#include <mutex>

namespace crocusmill
{

namespace
{

/// A larger difference to the system's time of day is logged once, and again when it has gone.
constexpr Milliseconds minReportedLead {1'000};

std::chrono::nanoseconds readUptime()
{
    timespec time {};
    ::clock_gettime(CLOCK_BOOTTIME, &time);
    return std::chrono::seconds {time.tv_sec} + std::chrono::nanoseconds {time.tv_nsec};
}

class ProcessClock
{
public:
    MonotonicTime readSteady()
    {
        const std::lock_guard<std::mutex> lock {mutex_};
        return steady_.read(monotonicNow(), std::chrono::system_clock::now());
    }

    WallTime readTimeOfDay()
    {
        const std::lock_guard<std::mutex> lock {mutex_};
        const std::chrono::system_clock::time_point system = std::chrono::system_clock::now();
        const WallTime time = timeOfDay_.read(
            steady_.read(monotonicNow(), system).time_since_epoch(), floored(system));
        const Milliseconds lead = timeOfDay_.systemLead();
        const bool isStepped = std::chrono::abs(lead) >= minReportedLead;
        if (isStepped != isStepped_) {
            isStepped_ = isStepped;
            logWarning(isStepped ? "clock.stepped" : "clock.caught_up",
                {{"difference_ms", static_cast<std::uint64_t>(std::chrono::abs(lead).count())},
                    {"system_ahead", lead > Milliseconds {0}}});
        }
        return time;
    }

private:
    static WallTime floored(std::chrono::system_clock::time_point time)
    {
        return std::chrono::floor<Milliseconds>(time);
    }

    std::mutex mutex_;
    SuspendAwareClock steady_ {readUptime};
    SlewedClock timeOfDay_ {
        steady_.read(monotonicNow(), std::chrono::system_clock::now()).time_since_epoch(),
        floored(std::chrono::system_clock::now())};
    bool isStepped_ = false; // the last reading differed by minReportedLead or more
};

ProcessClock &processClock()
{
    static ProcessClock clock;
    return clock;
}

} // namespace

MonotonicTime suspendAwareNow()
{
    return processClock().readSteady();
}

WallTime wallTimeNow()
{
    return processClock().readTimeOfDay();
}

} // namespace crocusmill
