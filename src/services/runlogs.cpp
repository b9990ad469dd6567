/// Logs why runs count as ended, with the evidence and its age, and counts the load.

#include "src/net/log.h"
#include "src/services/runsupervisor.h"

namespace crocusmill
{

namespace
{

std::string_view nameOf(RunEnd end)
{
    switch (end) {
    case RunEnd::Succeeded:
        return "succeeded";
    case RunEnd::Failed:
        return "failed";
    case RunEnd::Stopped:
        return "stopped";
    case RunEnd::Lost:
        return "lost";
    case RunEnd::NotStarted:
        return "not_started";
    }
    return "unknown";
}

std::string_view nameOf(TaskPhase phase)
{
    switch (phase) {
    case TaskPhase::Waiting:
        return "waiting";
    case TaskPhase::Placed:
        return "placed";
    case TaskPhase::Succeeded:
        return "succeeded";
    case TaskPhase::GivenUp:
        return "given_up";
    }
    return "unknown";
}

/// Returns the age in milliseconds; zero for an unset or future time.
std::uint64_t ageOf(MonotonicTime since, MonotonicTime now)
{
    const bool past = since != MonotonicTime {} && since <= now;
    return past
        ? static_cast<std::uint64_t>(std::chrono::duration_cast<Milliseconds>(now - since).count())
        : 0;
}

} // namespace

std::string_view RunSupervisor::text(EndReason reason)
{
    switch (reason) {
    case EndReason::NotListed:
        return "not_listed";
    case EndReason::LeasePassed:
        return "lease_passed";
    case EndReason::IncarnationGone:
        return "incarnation_gone";
    case EndReason::StartRefused:
        return "start_refused";
    case EndReason::WorkerReplaced:
        return "worker_replaced";
    case EndReason::WorkerLeaving:
        return "worker_leaving";
    case EndReason::NeverOrdered:
        return "never_ordered";
    }
    return "unknown";
}

void RunSupervisor::logInferredEnd(const Run &run, const EndedRun &end, EndReason reason) const
{
    const MonotonicTime now = parts_.clock();
    const Worker &worker = workers_.at(run.placement.worker);
    logInfo("run.over",
        {{"task", asText(end.task)}, {"run", std::uint64_t {end.run.value()}},
            {"worker", run.placement.worker.value()},
            {"incarnation", run.placement.incarnation.value()}, {"as", nameOf(end.end)},
            {"by", text(reason)}, {"orders", std::uint64_t {run.sentOrderCount}},
            {"settled_ms", run.confirmedAt ? ageOf(*run.confirmedAt, now) : 0},
            {"answered_ms", ageOf(worker.answeredHoldSentAt, now)},
            {"lease_over_ms", ageOf(worker.leasesExpireAt, now)},
            {"unanswered", std::uint64_t {worker.unansweredHoldCount}},
            {"fence", parts_.fence.value()}});
}

/// Logs the success of a run that a newer one has replaced: the task was placed again too early.
void RunSupervisor::logLateSuccess(const WorkerId &worker, const ListedEnd &end) const
{
    const Graph *graph = parts_.state.graphs().find(end.task.graph);
    const GraphTask *task = graph == nullptr ? nullptr : graph->find(end.task);
    if (end.end != RunEnd::Succeeded || task == nullptr || task->run <= end.run) {
        return;
    }
    logWarning("run.succeeded_late",
        {{"task", asText(end.task)}, {"run", std::uint64_t {end.run.value()}},
            {"worker", worker.value()}, {"current_run", std::uint64_t {task->run.value()}},
            {"current_worker", task->worker.value()}, {"phase", nameOf(task->phase)},
            {"fence", parts_.fence.value()}});
}

RunSupervisor::Load RunSupervisor::load(MonotonicTime now) const
{
    Load load;
    load.runs = runs_.size();
    load.pendingOrders = pendingOrders_.size();
    load.workers = workers_.size();
    load.unrecordedEndLists = unproposedEnds_.size();
    load.canSendOrders = canSendOrders();
    for (const std::pair<const TaskRef, Run> &entry : runs_) {
        load.reservedRuns += entry.second.stage == Stage::Reserved ? 1 : 0;
        load.adoptedRuns += entry.second.stage == Stage::Adopted ? 1 : 0;
        load.runningRuns += entry.second.stage == Stage::Running ? 1 : 0;
    }
    for (const std::pair<const WorkerId, Worker> &entry : workers_) {
        load.openWorkers += isOpen(entry.second, now) ? 1 : 0;
    }
    return load;
}

void RunSupervisor::noteRecoveryStep(RecoveryStep step)
{
    recoverySteps_.reach(step, parts_.clock());
}

void RunSupervisor::updateRecoverySteps(MonotonicTime now)
{
    if (isRetired_ || !recoverySteps_.isWatching(now)) {
        return;
    }
    RecoverySteps::Progress progress;
    progress.workers = workers_.size();
    progress.canSendOrders = canSendOrders();
    for (const std::pair<const WorkerId, Worker> &entry : workers_) {
        progress.unheardWorkers += entry.second.hasIncarnation ? 0 : 1;
        progress.openWorkers += isOpen(entry.second, now) ? 1 : 0;
    }
    for (const std::pair<const TaskRef, Run> &entry : runs_) {
        progress.adoptedRuns += entry.second.stage == Stage::Adopted ? 1 : 0;
    }
    recoverySteps_.update(progress, parts_.state.catalog().version != DocumentVersion {}, now);
}

const std::set<GraphId> &RunSupervisor::begunJobs() const
{
    return begunJobs_;
}

void RunSupervisor::forgetClosedJobs()
{
    const std::set<GraphId> &openJobs = parts_.state.graphs().openGraphs();
    std::erase_if(begunJobs_, [&openJobs](const GraphId &job) { return !openJobs.contains(job); });
}

} // namespace crocusmill
