/// Cores that less urgent work leaves free for more urgent work that is about to come.
///
/// Load pattern: short urgent tasks come all the time, beside a backlog of longer ones. If the
/// backlog takes each core that comes free, urgent tasks find none and wait for seconds, although
/// they go first. So a step starts only while the cores that more urgent queues usually take within
/// a moment stay free. Pure; owned by the control thread.

#pragma once

#include <crocusmill/ids.h>

#include <cstdint>
#include <map>

namespace crocusmill
{

class Headroom
{
public:
    /// Notes that tasks of a queue with this priority were placed; lower is more urgent.
    void notePlaced(std::uint32_t priority, std::uint64_t milliCores, MonotonicTime now);

    /// Returns the cores to leave free for queues that are more urgent, of `openMilliCores`.
    [[nodiscard]] std::uint64_t milliCoresFor(
        std::uint32_t priority, std::uint64_t openMilliCores, MonotonicTime now) const;

private:
    struct Rate
    {
        double milliCoresPerSecond = 0; // at `since`, decaying
        MonotonicTime since {};
    };

    std::map<std::uint32_t, Rate> rates_; // by priority
};

} // namespace crocusmill
