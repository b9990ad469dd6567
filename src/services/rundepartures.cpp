/// Departures of workers: stops their runs and answers their farewells.

#include "src/net/log.h"
#include "src/services/runsupervisor.h"

#include <utility>

namespace crocusmill
{

void RunSupervisor::onWorkerLeaving(
    const WorkerId &worker, const Incarnation &incarnation, MonotonicTime now, FarewellHandler done)
{
    const auto it = workers_.find(worker);
    const bool current = it != workers_.end()
        && (incarnation.value().empty() || it->second.heartbeat.incarnation == incarnation);
    if (!current) {
        done(FarewellOutcome::RunsLeft);
        return;
    }
    Worker &leaving = it->second;
    logInfo("worker.leaves",
        {{"worker", worker.value()}, {"runs", std::uint64_t {leaving.runs.size()}}});
    if (!leaving.leavesAt) {
        leaving.farewellDeadline = now + parts_.times.farewellTimeout;
    }
    leaving.leavesAt = now + parts_.times.departureTimeout;
    leaving.isFarewellNamed = !incarnation.value().empty();
    updateFleet(leaving, now);
    leaving.farewells.push_back(std::move(done));
    if (hasEndedRuns(leaving)) {
        answerFarewells(leaving, FarewellOutcome::RunsEnded);
        return;
    }
    if (!isDeparting(leaving) || leaving.unansweredHoldCount > 0) {
        answerFarewells(leaving, FarewellOutcome::RunsLeft);
    }
    stopRuns(leaving, now);
    parts_.onChange();
}

/// Returns whether the present process of the worker leaves. A farewell that names no process may
/// be that of an earlier one, and late, unless the present one drains.
bool RunSupervisor::isDeparting(const Worker &worker) const
{
    const WorkerHeartbeat &heartbeat = worker.heartbeat;
    const bool isDraining = (worker.hasHeartbeat && heartbeat.draining)
        || parts_.state.isLeaving(heartbeat.id, heartbeat.incarnation);
    return worker.leavesAt && (worker.isFarewellNamed || isDraining);
}

/// Returns whether the worker has drained for nearly as long as it said it would at least: it may
/// leave at any time from then on.
bool RunSupervisor::isDrainOver(const Worker &worker, MonotonicTime now) const
{
    return worker.drainEndsAt && now >= *worker.drainEndsAt - parts_.times.drainMargin;
}

/// Returns whether no run is left on the worker and it knows that the ends it listed are recorded.
bool RunSupervisor::hasEndedRuns(const Worker &worker)
{
    return worker.runs.empty() && worker.acknowledgedEnd >= worker.lastRecordedEnd;
}

/// Stops the runs of a worker that departs or may do so soon. They would end with its process. The
/// list after the stop proves that they have ended, while nothing after the process would.
void RunSupervisor::stopRuns(const Worker &worker, MonotonicTime now)
{
    if (!isDeparting(worker) && !isDrainOver(worker, now)) {
        return;
    }
    std::uint64_t stoppedCount = 0;
    for (const TaskRef &task : worker.runs) {
        Run &run = runs_.at(task);
        if (run.stage == Stage::Running && !run.isEnding && !run.isOrderPending) {
            requestStop(run, now);
            ++stoppedCount;
        }
    }
    if (stoppedCount > 0) {
        logInfo("worker.runs_stopped",
            {{"worker", worker.heartbeat.id.value()}, {"runs", stoppedCount},
                {"leaving", worker.leavesAt.has_value()}});
    }
}

void RunSupervisor::answerFarewells(Worker &worker, FarewellOutcome outcome)
{
    const std::vector<FarewellHandler> handlers = std::exchange(worker.farewells, {});
    if (handlers.empty()) {
        return;
    }
    logInfo("worker.farewell_answered",
        {{"worker", worker.heartbeat.id.value()}, {"runs", std::uint64_t {worker.runs.size()}},
            {"retired", outcome == FarewellOutcome::Retired}});
    for (const FarewellHandler &handler : handlers) {
        handler(outcome);
    }
}

} // namespace crocusmill
