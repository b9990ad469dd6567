/// Runs: placed, started, stopped, over.

#include "src/services/runsupervisor.h"

#include "src/net/log.h"

#include <algorithm>

namespace crocusmill
{

namespace
{

/// A start that stays unanswered this often is settled by a stop.
constexpr std::uint32_t mostStarts = 6;

} // namespace

RunSupervisor::RunSupervisor(Parts parts, MonotonicTime now)
    : parts_(std::move(parts))
    , now_(now)
    , ticked_(now)
    , inStepSince_(now)
    , inheritedLeases_(now + longestLease())
{
}

/// From when a lease is given until it is over on the slowest clock.
Milliseconds RunSupervisor::longestLease() const
{
    return std::chrono::duration_cast<Milliseconds>(parts_.times.lease / (1 - maxClockDrift))
        + parts_.times.leaseMargin;
}

bool RunSupervisor::mayOrder() const
{
    return !retired_ && parts_.mayOrder();
}

void RunSupervisor::retire()
{
    retired_ = true;
}

void RunSupervisor::takeOver(MonotonicTime now)
{
    now_ = now;
    for (const std::pair<const GraphId, CopyOnWrite<Graph>> &known :
        parts_.state.graphs().allGraphs()) {
        const Graph &graph = *known.second;
        TaskRef ref {known.first, 0, 0, 0};
        for (ref.occurrence = 0; ref.occurrence < graph.occurrences.size(); ++ref.occurrence) {
            const GraphOccurrence &occurrence = graph.occurrences[ref.occurrence];
            for (ref.step = 0; ref.step < occurrence.steps.size(); ++ref.step) {
                const GraphStep &step = occurrence.steps[ref.step];
                for (ref.task = 0; ref.task < step.tasks.size(); ++ref.task) {
                    const GraphTask &task = step.tasks[ref.task];
                    if (task.phase == TaskPhase::Placed) {
                        reserve({ref, task.run, task.worker, task.incarnation},
                            graph.spec.steps[ref.step]);
                        runs_.at(ref).stage = Stage::Adopted;
                    }
                }
            }
        }
    }
    logInfo("dispatch.took_over",
        {{"runs", std::uint64_t {runs_.size()}}, {"workers", std::uint64_t {workers_.size()}},
            {"fence", parts_.fence.value()}});
}

void RunSupervisor::reserve(const RunPlacement &placement, const StepSpec &spec)
{
    Run run;
    run.placement = placement;
    run.spec = spec;
    runs_[placement.task] = std::move(run);
    workerOf(placement.worker).runs.insert(placement.task);
    fleet_.take(placement.worker, placement.task, spec);
}

void RunSupervisor::cancelReservation(const TaskRef &task)
{
    const auto found = runs_.find(task);
    if (found != runs_.end() && found->second.stage == Stage::Reserved) {
        release(overAs(found->second, RunEnd::NotStarted));
    }
}

void RunSupervisor::withdraw(const TaskRef &task)
{
    const auto found = runs_.find(task);
    if (found != runs_.end() && found->second.stage == Stage::Reserved) {
        endRuns({overAs(found->second, RunEnd::NotStarted)}, OverBy::NeverOrdered);
    }
}

void RunSupervisor::start(
    const TaskRef &task, const std::optional<Ticket> &ticket, MonotonicTime now)
{
    const auto found = runs_.find(task);
    if (found == runs_.end() || found->second.stage != Stage::Reserved || found->second.ending) {
        return;
    }
    setStage(found->second, Stage::Starting);
    found->second.ticket = ticket;
    const Worker &worker = workerOf(found->second.placement.worker);
    if (worker.known && worker.heartbeat.incarnation != found->second.placement.incarnation) {
        endRuns({overAs(found->second, RunEnd::NotStarted)}, OverBy::WorkerReplaced);
        return;
    }
    if (!isWanted(task, found->second)) {
        endRuns({overAs(found->second, RunEnd::NotStarted)}, OverBy::NeverOrdered);
        return;
    }
    sendStart(task, found->second, now);
}

/// Proved over, or about to be: the run leaves its worker once its end is recorded.
void RunSupervisor::release(const EndedRun &ended)
{
    Run *run = findRun(ended.task, ended.run);
    if (run == nullptr) {
        return;
    }
    const WorkerId worker = run->placement.worker;
    fleet_.release(worker, ended.task, run->spec);
    workers_.at(worker).runs.erase(ended.task);
    runs_.erase(ended.task);
}

RunSupervisor::Run *RunSupervisor::findRun(const TaskRef &task, RunNumber number)
{
    const auto found = runs_.find(task);
    const bool same = found != runs_.end() && found->second.placement.run == number;
    return same ? &found->second : nullptr;
}

EndedRun RunSupervisor::overAs(const Run &run, RunEnd end) const
{
    return {run.placement.task, run.placement.run, end, {}};
}

/// Records ends that no list stated.
void RunSupervisor::endRuns(const std::vector<EndedRun> &ended, OverBy rule)
{
    if (retired_) {
        return;
    }
    std::vector<EndedRun> fresh;
    for (const EndedRun &end : ended) {
        Run *run = findRun(end.task, end.run);
        if (run != nullptr && !run->ending) {
            run->ending = true;
            fresh.push_back(end);
            logOver(*run, end, rule);
        }
    }
    if (!fresh.empty()) {
        recordOver(fresh);
    }
}

/// A run whose end may be in the journal is ordered no more: the next leader may have placed its
/// task anew. So the end is recorded until that is known.
void RunSupervisor::recordOver(const std::vector<EndedRun> &ended)
{
    parts_.propose(EndRuns {ended, wall_},
        [self = shared_from_this(), ended](const Result<ApplyReply> &reply) {
            if (!reply) {
                self->overAgain_.insert(self->overAgain_.end(), ended.begin(), ended.end());
                return;
            }
            for (const EndedRun &end : ended) {
                self->release(end);
            }
            self->parts_.changed();
        });
}

void RunSupervisor::tick(MonotonicTime now, WallTime wall)
{
    if (now - ticked_ > parts_.times.standstill) {
        inStepSince_ = now;
    }
    ticked_ = now;
    now_ = now;
    wall_ = wall;
    if (now >= sweepDue_) {
        sweepDue_ = now + parts_.times.sweep;
        sweep(now);
    }
    recordEnds();
    if (!overAgain_.empty() && !retired_) {
        recordOver(std::exchange(overAgain_, {}));
    }
    orderDue(now);
}

void RunSupervisor::sweep(MonotonicTime now)
{
    std::vector<WorkerId> ids;
    ids.reserve(workers_.size());
    for (const std::pair<const WorkerId, Worker> &known : workers_) {
        ids.push_back(known.first);
    }
    for (const WorkerId &id : ids) {
        tickWorker(id, workers_.at(id), now);
    }
    for (std::pair<const TaskRef, Run> &known : runs_) {
        Run &run = known.second;
        const bool mayStop = run.stage == Stage::Starting || run.stage == Stage::Running;
        if (mayStop && !run.ending && !run.ordering && !isWanted(known.first, run)) {
            setStage(run, Stage::Stopping);
            run.settledAt.reset();
            run.nextOrder = now;
        }
    }
}

void RunSupervisor::orderDue(MonotonicTime now)
{
    const std::vector<TaskRef> tasks {ordersDue_.begin(), ordersDue_.end()};
    for (const TaskRef &task : tasks) {
        const auto found = runs_.find(task);
        if (found == runs_.end() || !needsOrders(found->second)) {
            ordersDue_.erase(task);
        } else {
            tickRun(task, found->second, now);
        }
    }
}

bool RunSupervisor::needsOrders(const Run &run)
{
    return run.stage == Stage::Starting || run.stage == Stage::Stopping;
}

void RunSupervisor::setStage(Run &run, Stage stage)
{
    run.stage = stage;
    if (needsOrders(run)) {
        ordersDue_.insert(run.placement.task);
    }
}

/// The job still wants this run to go on.
bool RunSupervisor::isWanted(const TaskRef &task, const Run &run) const
{
    const Graph *graph = parts_.state.graphs().find(task.graph);
    if (graph == nullptr || graph->state == GraphState::Failed
        || graph->state == GraphState::Cancelled) {
        return false;
    }
    const GraphTask *recorded = graph->find(task);
    const bool current = recorded != nullptr && recorded->run == run.placement.run
        && (recorded->phase == TaskPhase::Placed || recorded->phase == TaskPhase::Succeeded);
    if (!current) {
        return false; // it was given up, or an earlier run has succeeded after all
    }
    return !gangIsBroken(*graph, task, run);
}

bool RunSupervisor::gangIsBroken(const Graph &graph, const TaskRef &task, const Run &run) const
{
    if (!run.spec.gang) {
        return false;
    }
    const GraphStep &step = graph.occurrences[task.occurrence].steps[task.step];
    return std::any_of(step.tasks.begin(), step.tasks.end(), [&run](const GraphTask &member) {
        return member.run == run.placement.run && member.phase == TaskPhase::Waiting;
    });
}

void RunSupervisor::tickRun(const TaskRef &task, Run &run, MonotonicTime now)
{
    if (run.ending || run.ordering || run.stage == Stage::Reserved || run.stage == Stage::Adopted
        || !mayOrder()) {
        return;
    }
    if (run.stage == Stage::Starting && !isWanted(task, run)) {
        setStage(run, Stage::Stopping);
        run.settledAt.reset();
        run.nextOrder = now;
    }
    if (now < run.nextOrder) {
        return;
    }
    if (run.stage == Stage::Starting) {
        if (run.orders >= mostStarts) {
            setStage(run, Stage::Stopping);
        } else {
            sendStart(task, run, now);
            return;
        }
    }
    if (run.stage == Stage::Stopping && !run.settledAt) {
        sendStop(task, run, now);
    }
}

const Fleet &RunSupervisor::fleet() const
{
    return fleet_;
}

FleetGains RunSupervisor::takeGains()
{
    return fleet_.takeGains();
}

bool RunSupervisor::hasRun(const TaskRef &task) const
{
    return runs_.contains(task);
}

} // namespace crocusmill
