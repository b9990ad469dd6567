/// The time of day of this process.

#include "src/net/clock.h"

#include "src/net/log.h"

#include <crocusmill/slewedclock.h>

#include <ctime>
#include <mutex>

namespace crocusmill
{

namespace
{

/// A larger difference to the system's time of day is logged once, and again when it has gone.
constexpr Milliseconds minReportedLead {1'000};

SlewedClock::Elapsed sinceBoot()
{
    timespec time {};
    ::clock_gettime(CLOCK_BOOTTIME, &time); // unlike the steady clock, it counts suspended time
    return std::chrono::seconds {time.tv_sec} + std::chrono::nanoseconds {time.tv_nsec};
}

WallTime systemTime()
{
    return std::chrono::floor<Milliseconds>(std::chrono::system_clock::now());
}

class ProcessClock
{
public:
    WallTime read()
    {
        const std::lock_guard<std::mutex> lock {mutex_};
        const WallTime time = clock_.read(sinceBoot(), systemTime());
        const Milliseconds lead = clock_.systemLead();
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
    std::mutex mutex_;
    SlewedClock clock_ {sinceBoot(), systemTime()};
    bool isStepped_ = false; // the last reading differed by minReportedLead or more
};

} // namespace

MonotonicTime suspendAwareNow()
{
    return MonotonicTime {sinceBoot()};
}

WallTime wallTimeNow()
{
    static ProcessClock clock;
    return clock.read();
}

} // namespace crocusmill
