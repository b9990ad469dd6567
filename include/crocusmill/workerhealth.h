/// Pauses workers on which tasks fail or stall, so that they get no new tasks for a while.
///
/// Load pattern: a worker that fails everything is always idle, so it gets task after task and uses
/// up the attempts of many jobs. A broken job fails on every worker, so only consecutive failures
/// of different jobs count against a worker. Pure; owned by the control thread.

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
    /// Records that a task on the worker made no progress for too long.
    void recordStall(const WorkerId &worker, MonotonicTime now);
    /// Drops the history of a worker that has a new incarnation.
    void forget(const WorkerId &worker);

    /// Returns false while the worker is paused, unless more than a quarter of all `workerCount`
    /// workers are.
    [[nodiscard]] bool isUsable(
        const WorkerId &worker, std::size_t workerCount, MonotonicTime now) const;

private:
    struct Record
    {
        std::set<GraphId> consecutiveFailures; // their jobs, since the last success or pause
        std::uint32_t pauseCount = 0; // since the last success
        MonotonicTime pausedUntil {};
    };

    void pause(Record &record, MonotonicTime now);
    [[nodiscard]] std::size_t pausedCount(MonotonicTime now) const;

    std::map<WorkerId, Record> records_;
};

} // namespace crocusmill
