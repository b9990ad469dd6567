/// Cores that less urgent work leaves free for more urgent work that is about to come.
///
/// Load pattern: short urgent tasks come all the time, beside a backlog of longer ones. If the
/// backlog takes each core that comes free, urgent tasks find none and wait for seconds, although
/// they go first. So a step starts only while the cores that more urgent queues usually take within
/// a moment stay free. A step that would end late leaves fewer of them to tasks that have time
/// to wait, or an overload of these would keep it out for good. Pure; owned by the control thread.

#pragma once

#include <crocusmill/ids.h>

#include <cstdint>
#include <map>

namespace crocusmill
{

class Headroom
{
public:
    /// Notes that tasks of a queue with this priority were placed; lower is more urgent. `slack`:
    /// how long their job could wait in all and still end in time.
    void notePlaced(
        std::uint32_t priority, std::uint64_t milliCores, Milliseconds slack, MonotonicTime now);

    /// Returns the cores to leave free for queues that are more urgent, of `openMilliCores`.
    /// `canWait`: whether the step that leaves them free has time to wait itself.
    [[nodiscard]] std::uint64_t milliCoresFor(std::uint32_t priority, std::uint64_t openMilliCores,
        bool canWait, MonotonicTime now) const;

private:
    struct Rate
    {
        // At `since`, decaying: of all tasks, and of all weighted by the inverse root of their
        // slack.
        double milliCoresPerSecond = 0;
        double pressingMilliCoresPerSecond = 0;
        MonotonicTime since {};
    };

    std::map<std::uint32_t, Rate> rates_; // by priority
};

} // namespace crocusmill
