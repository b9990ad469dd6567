/// Measures the control loop's lateness.

#include "src/net/loopwatch.h"

#include "src/net/clock.h"
#include "src/net/log.h"

#include <algorithm>

namespace crocusmill
{

namespace
{

constexpr Milliseconds interval {50};
/// A heartbeat interval of the journal; a loop this late delays them.
constexpr Milliseconds notableLag {100};
/// Between two records of a loop that stays late.
constexpr Milliseconds reportInterval {1'000};

} // namespace

LoopWatch::LoopWatch(asio::io_context &loop, Metrics &metrics)
    : timer_(loop)
    , metrics_(metrics)
{
}

void LoopWatch::start()
{
    schedule();
}

void LoopWatch::stop()
{
    timer_.cancel();
}

void LoopWatch::schedule()
{
    due_ = monotonicNow() + interval;
    timer_.expires_at(due_);
    timer_.async_wait([this](const boost::system::error_code &error) {
        if (!error) {
            fired(monotonicNow());
            schedule();
        }
    });
}

void LoopWatch::fired(MonotonicTime now)
{
    const Microseconds lag = std::chrono::duration_cast<Microseconds>(now - due_);
    metrics_.observe({"loop_lag_seconds", ""}, lag);
    worst_ = std::max(worst_, std::chrono::duration_cast<Milliseconds>(lag));
    if (worst_ >= notableLag && now >= reportDue_) {
        reportDue_ = now + reportInterval;
        logWarning("loop.late", {{"worst_ms", static_cast<std::uint64_t>(worst_.count())}});
        worst_ = Milliseconds {0};
    }
}

} // namespace crocusmill
