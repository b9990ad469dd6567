/// Workers that fail what they start, or on which tasks stand still, get no new tasks for a while.
///
/// Load pattern: a worker that fails everything is always idle, so it draws task after task and
/// uses up the attempts of many jobs. A job that cannot be done fails everywhere, which says
/// nothing about a worker: only failures of different jobs in a row count. Pure; owned by the
/// control thread.

#pragma once

#include <crocusmill/taskgraph.h>

#include <map>
#include <set>

namespace crocusmill
{

class WorkerHealth
{
public:
    void recordSuccess(const WorkerId &worker);
    void recordFailure(const WorkerId &worker, const GraphId &graph, MonotonicTime now);
    /// A task made no progress there for longer than it should.
    void recordStall(const WorkerId &worker, MonotonicTime now);
    /// Another process answers there.
    void forget(const WorkerId &worker);

    /// `workers`: how many there are; no more than a quarter of them are left out.
    [[nodiscard]] bool isUsable(
        const WorkerId &worker, std::size_t workerCount, MonotonicTime now) const;

private:
    struct Record
    {
        std::set<GraphId> consecutiveFailures; // jobs of the failures since the last success
        std::uint32_t pauseCount = 0; // since the last success
        MonotonicTime pausedUntil {};
    };

    void pause(Record &record, MonotonicTime now);
    [[nodiscard]] std::size_t pausedCount(MonotonicTime now) const;

    std::map<WorkerId, Record> records_;
};

} // namespace crocusmill
