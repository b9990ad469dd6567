/// Sampling and reporting of the control loop's lag.

#include "src/net/loopwatch.h"

#include "src/net/clock.h"
#include "src/net/log.h"

#include <algorithm>

namespace crocusmill
{

namespace
{

constexpr Milliseconds sampleInterval {50};
/// Equals the heartbeat interval of the journal; a loop with this lag delays heartbeats.
constexpr Milliseconds minReportedLag {100};
/// Minimum time between two log records while the loop stays late.
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
    nextSampleAt_ = monotonicNow() + sampleInterval;
    timer_.expires_at(nextSampleAt_);
    timer_.async_wait([this](const boost::system::error_code &error) {
        if (!error) {
            onTimer(monotonicNow());
            schedule();
        }
    });
}

void LoopWatch::onTimer(MonotonicTime now)
{
    const Microseconds lag = std::chrono::duration_cast<Microseconds>(now - nextSampleAt_);
    metrics_.observe({"loop_lag_seconds", ""}, lag);
    worstLag_ = std::max(worstLag_, std::chrono::duration_cast<Milliseconds>(lag));
    if (worstLag_ >= minReportedLag && now >= nextReportAt_) {
        nextReportAt_ = now + reportInterval;
        logWarning("loop.late", {{"worst_ms", static_cast<std::uint64_t>(worstLag_.count())}});
        worstLag_ = Milliseconds {0};
    }
}

} // namespace crocusmill
