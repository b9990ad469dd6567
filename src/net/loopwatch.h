/// Measures the lag of the control loop.
///
/// A late timer means that other handlers occupied the thread, so all decisions of the loop are
/// delayed by the same time. Use only on the thread of the loop.

#pragma once

#include "src/net/asio.h"
#include "src/net/metrics.h"

namespace crocusmill
{

class LoopWatch
{
public:
    LoopWatch(asio::io_context &loop, Metrics &metrics);

    void start();
    void stop();

private:
    void schedule();
    void onTimer(MonotonicTime now);

    asio::steady_timer timer_;
    Metrics &metrics_;
    MonotonicTime nextSampleAt_ {};
    MonotonicTime nextReportAt_ {};
    Milliseconds worstLag_ {0}; // since the last log record
};

} // namespace crocusmill
