/// How late the control loop is.
///
/// A timer that fires late shows that handlers ahead of it took the thread. Everything that the
/// loop decides is then that much older than it seems. Only for the loop's thread.

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
    Milliseconds worstLag_ {0}; // since the last record
};

} // namespace crocusmill
