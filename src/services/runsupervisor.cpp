/// Life cycle of runs: reservation, start, stop and end.

#include "src/services/runsupervisor.h"

#include "src/net/log.h"

#include <algorithm>

namespace crocusmill
{

namespace
{

/// After this many starts without an outcome, and the time that they take if none is answered, a
/// stop settles the run.
constexpr std::uint32_t maxStartOrders = 6;
constexpr Milliseconds refusalRecordInterval {1'000}; // between log records about one worker
/// Further orders wait for the next tick: those of a wide gang together would hold the control
/// thread for nearly as long as the lease lasts.
constexpr std::size_t maxOrdersPerTick = 512;

} // namespace

RunSupervisor::RunSupervisor(Parts parts, MonotonicTime now)
    : parts_(std::move(parts))
    , now_(now)
    , lastTickAt_(now)
    , tickingSince_(now)
    , inheritedLeasesExpireAt_(now + maxLeaseLifetime())
    , answerTimeout_(parts_.times.answerTimeout)
    , refusedStarts_(refusalRecordInterval)
    , recoverySteps_(parts_.fence, now)
{
}

/// Returns the time until a new lease has expired on the slowest clock, with the margin.
Milliseconds RunSupervisor::maxLeaseLifetime() const
{
    return std::chrono::duration_cast<Milliseconds>(
               parts_.times.leaseDuration / (1 - maxClockDrift))
        + parts_.times.leaseMargin;
}

bool RunSupervisor::canSendOrders() const
{
    return !isRetired_ && parts_.canSendOrders();
}

void RunSupervisor::retire()
{
    isRetired_ = true;
    for (std::pair<const WorkerId, Worker> &entry : workers_) {
        answerFarewells(entry.second, FarewellOutcome::Retired);
    }
}

void RunSupervisor::adoptPlacements(MonotonicTime now)
{
    now_ = now;
    for (const std::pair<const GraphId, CopyOnWrite<Graph>> &entry :
        parts_.state.graphs().allGraphs()) {
        const Graph &graph = *entry.second;
        TaskRef ref {entry.first, 0, 0, 0};
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
            {"process_ms", elapsedMs(processStartedAt, now)}, {"fence", parts_.fence.value()}});
}

void RunSupervisor::reserve(const RunPlacement &placement, const StepSpec &spec)
{
    Run run;
    run.placement = placement;
    run.spec = spec;
    const Graph *graph = parts_.state.graphs().find(placement.task.graph);
    run.customer = graph == nullptr ? CustomerName {} : graph->spec.customer;
    usage_.take(run.customer, spec.size);
    runs_[placement.task] = std::move(run);
    findOrAddWorker(placement.worker).runs.insert(placement.task);
    fleet_.take(placement.worker, placement.task, spec);
    observer_.onReserved(placement, spec, graph == nullptr ? QueueName {} : graph->spec.queue);
}

void RunSupervisor::cancelReservation(const TaskRef &task)
{
    const auto it = runs_.find(task);
    if (it != runs_.end() && it->second.stage == Stage::Reserved) {
        release(makeEnd(it->second, RunEnd::NotStarted));
    }
}

void RunSupervisor::revokePlacement(const TaskRef &task)
{
    const auto it = runs_.find(task);
    if (it != runs_.end() && it->second.stage == Stage::Reserved) {
        recordInferredEnds({makeEnd(it->second, RunEnd::NotStarted)}, EndReason::NeverOrdered);
    }
}

void RunSupervisor::start(
    const TaskRef &task, const std::optional<Ticket> &ticket, MonotonicTime now)
{
    const auto it = runs_.find(task);
    if (it == runs_.end() || it->second.stage != Stage::Reserved || it->second.isEnding) {
        return;
    }
    setStage(it->second, Stage::Starting);
    it->second.ticket = ticket;
    const Worker &worker = findOrAddWorker(it->second.placement.worker);
    if (worker.hasIncarnation && worker.heartbeat.incarnation != it->second.placement.incarnation) {
        recordInferredEnds({makeEnd(it->second, RunEnd::NotStarted)}, EndReason::WorkerReplaced);
        return;
    }
    if (!shouldRun(task, it->second)) {
        recordInferredEnds({makeEnd(it->second, RunEnd::NotStarted)}, EndReason::NeverOrdered);
        return;
    }
    if (!canSendOrders()) {
        return; // tick() sends it, once this VM holds its lease again
    }
    if (ordersSinceTick_ < maxOrdersPerTick) {
        sendStart(task, it->second, now);
    } else {
        parts_.onChange(); // a tick is due
    }
}

/// Removes the run and frees its room. To be called when the end is recorded, or when the placement
/// was not.
void RunSupervisor::release(const EndedRun &ended)
{
    Run *run = findRun(ended.task, ended.run);
    if (run == nullptr) {
        return;
    }
    const WorkerId worker = run->placement.worker;
    fleet_.release(worker, ended.task, run->spec);
    usage_.release(run->customer, run->spec.size);
    observer_.onReleased(ended.task, parts_.clock());
    workers_.at(worker).runs.erase(ended.task);
    runs_.erase(ended.task);
}

RunSupervisor::Run *RunSupervisor::findRun(const TaskRef &task, RunNumber number)
{
    const auto it = runs_.find(task);
    const bool isSameRun = it != runs_.end() && it->second.placement.run == number;
    return isSameRun ? &it->second : nullptr;
}

EndedRun RunSupervisor::makeEnd(const Run &run, RunEnd end) const
{
    return {run.placement.task, run.placement.run, end, {}};
}

/// Records the ends of runs that no list showed as ended.
void RunSupervisor::recordInferredEnds(const std::vector<EndedRun> &ended, EndReason reason)
{
    if (isRetired_) {
        return;
    }
    std::vector<EndedRun> newEnds;
    for (const EndedRun &end : ended) {
        Run *run = findRun(end.task, end.run);
        if (run != nullptr && !run->isEnding) {
            run->isEnding = true;
            newEnds.push_back(end);
            logInferredEnd(*run, end, reason);
        }
    }
    if (!newEnds.empty()) {
        proposeInferredEnds(newEnds);
    }
}

/// Proposes the ends, and again in later ticks until they are known to be recorded. An end with an
/// unknown outcome may be in the journal and its task placed anew, so the run gets no more orders.
void RunSupervisor::proposeInferredEnds(const std::vector<EndedRun> &ended)
{
    parts_.propose(EndRuns {ended, wall_},
        [self = shared_from_this(), ended](const Result<ApplyReply> &reply) {
            if (!reply) {
                self->unconfirmedEnds_.insert(
                    self->unconfirmedEnds_.end(), ended.begin(), ended.end());
                return;
            }
            for (const EndedRun &end : ended) {
                self->release(end);
            }
            self->parts_.onChange();
        });
}

void RunSupervisor::tick(MonotonicTime now, WallTime wall)
{
    if (now - lastTickAt_ > parts_.times.maxTickGap) {
        tickingSince_ = now;
    }
    lastTickAt_ = now;
    now_ = now;
    wall_ = wall;
    ordersSinceTick_ = 0;
    if (now >= nextSweepAt_) {
        nextSweepAt_ = now + parts_.times.sweepInterval;
        sweep(now);
        updateRecoverySteps(now);
    }
    proposeListedEnds();
    proposeStarts(now);
    if (!unconfirmedEnds_.empty() && !isRetired_) {
        proposeInferredEnds(std::exchange(unconfirmedEnds_, {}));
    }
    sendDueOrders(now);
}

void RunSupervisor::sweep(MonotonicTime now)
{
    countFailingWorkers();
    observer_.tick(now);
    std::vector<WorkerId> ids;
    ids.reserve(workers_.size());
    for (const std::pair<const WorkerId, Worker> &entry : workers_) {
        ids.push_back(entry.first);
    }
    for (const WorkerId &id : ids) {
        tickWorker(id, workers_.at(id), now);
    }
    for (std::pair<const TaskRef, Run> &entry : runs_) {
        Run &run = entry.second;
        const bool canBeStopped = run.stage == Stage::Starting || run.stage == Stage::Running;
        if (canBeStopped && !run.isEnding && !run.isOrderPending && !shouldRun(entry.first, run)) {
            requestStop(run, now);
        }
    }
}

void RunSupervisor::sendDueOrders(MonotonicTime now)
{
    const std::vector<TaskRef> tasks {pendingOrders_.begin(), pendingOrders_.end()};
    for (const TaskRef &task : tasks) {
        if (ordersSinceTick_ >= maxOrdersPerTick) {
            parts_.onChange(); // a tick is due
            return;
        }
        const auto it = runs_.find(task);
        if (it == runs_.end() || !needsOrders(it->second)) {
            pendingOrders_.erase(task);
        } else {
            tickRun(task, it->second, now);
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
        pendingOrders_.insert(run.placement.task);
    }
}

/// The next tick sends a stop, whatever was sent and answered before.
void RunSupervisor::requestStop(Run &run, MonotonicTime now)
{
    setStage(run, Stage::Stopping);
    run.confirmedAt.reset();
    run.nextOrderAt = now;
}

/// Returns whether the job still needs this run.
bool RunSupervisor::shouldRun(const TaskRef &task, const Run &run) const
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
        return false; // the run was given up, or an earlier run of the task has succeeded
    }
    // The other members have the same run number, so one that waits has lost this run.
    const GraphStep &step = graph->occurrences[task.occurrence].steps[task.step];
    return !run.spec.gang || step.phases.of(TaskPhase::Waiting) == 0;
}

void RunSupervisor::tickRun(const TaskRef &task, Run &run, MonotonicTime now)
{
    if (run.isEnding || run.isOrderPending || run.stage == Stage::Reserved
        || run.stage == Stage::Adopted || !canSendOrders()) {
        return;
    }
    if (run.stage == Stage::Starting && !shouldRun(task, run)) {
        requestStop(run, now);
    }
    if (now < run.nextOrderAt) {
        return;
    }
    if (run.stage == Stage::Starting) {
        // A start that fails at once may get through soon, sooner than a stop and a list after it.
        const bool isOverdue =
            now - run.firstOrderAt >= maxStartOrders * parts_.times.answerTimeout.maxTimeout;
        if (run.sentOrderCount >= maxStartOrders && isOverdue) {
            setStage(run, Stage::Stopping);
        } else {
            sendStart(task, run, now);
            return;
        }
    }
    if (run.stage == Stage::Stopping && !run.confirmedAt) {
        sendStop(task, run, now);
    }
}

const Fleet &RunSupervisor::fleet() const
{
    return fleet_;
}

const RunObserver &RunSupervisor::observer() const
{
    return observer_;
}

RoomClaims &RunSupervisor::claims()
{
    return claims_;
}

CustomerUsage &RunSupervisor::usage()
{
    return usage_;
}

const CustomerUsage &RunSupervisor::usage() const
{
    return usage_;
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
