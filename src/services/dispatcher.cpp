/// Scheduling rounds: which steps are ready, in which order and on which workers they run.

#include "src/services/dispatcher.h"

#include "src/net/clock.h"
#include "src/net/log.h"

#include <algorithm>

namespace crocusmill
{

namespace
{

constexpr Milliseconds ticketCleanupInterval {2'000};
/// Events within this time share one round and one journal record. At 700 starts per second, a
/// round for each event would need more processor time than there is.
constexpr Milliseconds minRoundPause {4};
/// Limit for the sum of steps tried and tasks placed in one round.
constexpr std::size_t maxRoundWork = 512;
/// If more workers than this gained room, the largest gain is not recomputed after each placement.
constexpr std::size_t maxMeasuredWorkers = 64;

} // namespace

std::shared_ptr<Dispatcher> Dispatcher::make(const Parts &parts, MonotonicTime now)
{
    std::shared_ptr<Dispatcher> dispatcher {new Dispatcher(parts)};
    dispatcher->supervisor_ = std::make_shared<RunSupervisor>(
        RunSupervisor::Parts {parts.journal.state(), parts.link, parts.propose,
            [&journal = parts.journal, term = parts.term]() {
                return journal.isLeading() && journal.consensus()->term() == term;
            },
            FencingToken {parts.term.value()}, SupervisorTimes {},
            [weak = std::weak_ptr<Dispatcher> {dispatcher}]() {
                if (const std::shared_ptr<Dispatcher> self = weak.lock()) {
                    self->scheduleRound();
                }
            }},
        now);
    dispatcher->supervisor_->adoptPlacements(now);
    dispatcher->noteAdoptedPlacements(now);
    return dispatcher;
}

Dispatcher::Dispatcher(const Parts &parts)
    : parts_(parts)
    , ticketClient_(parts.peers, parts.tickets, parts.self)
    , roundTimer_(parts.control)
    , jobReport_(parts.metrics)
{
}

void Dispatcher::onHeartbeat(const WorkerHeartbeat &heartbeat, MonotonicTime now)
{
    supervisor_->onHeartbeat(heartbeat, now);
}

void Dispatcher::onWorkerLeaving(const WorkerId &worker, const Incarnation &incarnation,
    MonotonicTime now, RunSupervisor::FarewellHandler done)
{
    supervisor_->onWorkerLeaving(worker, incarnation, now, std::move(done));
}

void Dispatcher::onVmPresence(const NodeAddress &vm, MonotonicTime now)
{
    ticketClient_.onVmPresence(vm, now);
}

void Dispatcher::onPendingJobsTold(const QueueName &queue, std::uint64_t pendingJobs)
{
    jobReport_.recordAnswer(queue, pendingJobs);
}

const RunSupervisor &Dispatcher::supervisor() const
{
    return *supervisor_;
}

void Dispatcher::retire()
{
    supervisor_->retire();
    jobReport_.clearGauges();
    reportWorkerDifferences(RunObserver {});
}

void Dispatcher::scheduleRound()
{
    if (std::exchange(isRoundScheduled_, true)) {
        return;
    }
    // The pause is at least as long as the last round: events in between share a round, and the
    // control thread has time for other work.
    roundTimer_.expires_after(std::max<Microseconds>(minRoundPause, lastRoundDuration_));
    roundTimer_.async_wait([weak = weak_from_this()](const boost::system::error_code &error) {
        const std::shared_ptr<Dispatcher> self = weak.lock();
        if (error || !self) {
            return;
        }
        self->isRoundScheduled_ = false;
        if (self->parts_.journal.isLeading()) {
            self->tick(monotonicNow(), wallTimeNow());
        }
    });
}

void Dispatcher::tick(MonotonicTime now, WallTime wall)
{
    const MonotonicTime startedAt = monotonicNow();
    supervisor_->tick(now, wall);
    updateQueue(wall);
    retryAfterGains();
    placeReadySteps(now);
    requestTicketsAhead(now);
    proposePlacements();
    if (now >= nextTicketCleanup_) {
        nextTicketCleanup_ = now + ticketCleanupInterval;
        forgetClosedGraphs(now);
        supervisor_->forgetClosedJobs();
    }
    reportRound(startedAt, queue_.size());
}

/// Updates the step queue with jobs that changed, became due or were marked for a refresh.
void Dispatcher::updateQueue(WallTime wall)
{
    const StateMachine &state = parts_.journal.state();
    if (state.catalog().version != queueCatalogVersion_) {
        queueCatalogVersion_ = state.catalog().version;
        updateCustomers();
        for (const GraphId &id : state.graphs().waitingGraphs()) {
            refresh(id, wall);
        }
    }
    for (const GraphId &id : state.graphs().changedSince(queueRevision_)) {
        refresh(id, wall);
    }
    queueRevision_ = state.graphs().revision();
    for (const GraphId &id : queue_.advance(wall)) {
        refresh(id, wall);
    }
    for (const GraphId &id : std::exchange(graphsToRefresh_, {})) {
        refresh(id, wall);
    }
}

void Dispatcher::refresh(const GraphId &id, WallTime wall)
{
    const Graph *graph = parts_.journal.state().graphs().find(id);
    if (graph == nullptr) {
        queue_.remove(id);
        forgetTickets(id);
        return;
    }
    if (graph->state != GraphState::Open) {
        forgetTickets(id);
    }
    const Queue *queue = parts_.journal.state().catalog().queueOfJobs(graph->spec.queue);
    const bool needsTickets = queue != nullptr && queue->tickets;
    queue_.update(*graph, needsTickets ? ticketQueuesOf(queue->name) : TicketQueueMask {}, wall);
}

TicketQueueMask Dispatcher::ticketQueuesOf(const QueueName &name)
{
    constexpr std::size_t bitCount = 64;
    const auto [entry, isNew] = ticketQueues_.try_emplace(name);
    if (isNew) {
        entry->second =
            TicketQueueMask {std::uint64_t {1} << ((ticketQueues_.size() - 1) % bitCount)};
    }
    return entry->second;
}

/// Marks steps for a retry after workers gained room. Steps with tickets are retried only if they
/// are allowed on such a worker.
void Dispatcher::retryAfterGains()
{
    const FleetGains gains = supervisor_->takeGains();
    for (const TaskRef &step : gains.steps) {
        queue_.retry(step);
    }
    for (const WorkerId &worker : gains.workers) {
        const TaskSize room = supervisor_->fleet().freeCapacityOn(worker);
        for (const TaskRef &step : tickets_.stepsAllowedOn(worker)) {
            queue_.retryIfFits(step, room);
        }
        gainedWorkers_.insert(worker);
    }
    if (gains.hasOpenedWorker) {
        queue_.markAllWaitingToAsk();
    }
    unblockBelowLimit();
}

/// Returns the largest room on any worker that gained room, for each resource separately.
std::optional<TaskSize> Dispatcher::maxGainedRoom() const
{
    if (gainedWorkers_.empty()) {
        return std::nullopt;
    }
    TaskSize maxRoom;
    for (const WorkerId &worker : gainedWorkers_) {
        const TaskSize room = supervisor_->fleet().freeCapacityOn(worker);
        maxRoom = {std::max(maxRoom.milliCores, room.milliCores),
            std::max(maxRoom.memory, room.memory),
            std::max(maxRoom.accelerators, room.accelerators)};
    }
    return maxRoom;
}

/// Returns the queues for which a ticket request could be sent soon.
TicketQueueMask Dispatcher::askableQueues(MonotonicTime now) const
{
    std::uint64_t queues = 0;
    const TicketQueueMask waitingQueues = queue_.queuesWaitingToAsk();
    for (const std::pair<const QueueName, TicketQueueMask> &entry : ticketQueues_) {
        const Queue *queue = parts_.journal.state().catalog().queueOfJobs(entry.first);
        const bool canAsk = queue != nullptr && queue->tickets
            && ticketClient_.canAsk(termsOf(*queue, waitingQueues), minAskedWorkers, now);
        queues |= canAsk ? entry.second.value() : 0;
    }
    return TicketQueueMask {queues};
}

/// Tries to place the steps that may succeed, the most urgent first. Steps beyond maxRoundWork wait
/// for the next round, so that a round does not block the control thread for long.
void Dispatcher::placeReadySteps(MonotonicTime now)
{
    RetryConditions chances {maxGainedRoom(), askableQueues(now)};
    std::size_t workDone = 0;
    std::optional<Urgency> next = queue_.next(std::nullopt, chances);
    for (; next && workDone < maxRoundWork; next = queue_.next(next, chances)) {
        queue_.markAttempted(
            next->step); // first, as the answer to a ticket request may come at once
        const StepResult result = placeStep(*next, now);
        if (result.waitsForTickets) {
            queue_.markWaitingToAsk(next->step);
        }
        workDone += 1 + result.placedCount;
        if (result.placedCount > 0 && gainedWorkers_.size() <= maxMeasuredWorkers) {
            chances.room = maxGainedRoom();
        }
        chances.askableQueues = askableQueues(now);
    }
    if (next) {
        queue_.carryOver(*next, chances);
        scheduleRound();
    }
    gainedWorkers_.clear();
}

StepDemand Dispatcher::demandOf(const Graph &graph, const TaskRef &step) const
{
    StepDemand demand;
    demand.step = step;
    demand.service = graph.spec.service;
    demand.spec = &graph.spec.steps[step.step];
    const std::vector<GraphTask> &tasks = graph.occurrences[step.occurrence].steps[step.step].tasks;
    TaskRef ref = step;
    for (ref.task = 0; ref.task < tasks.size(); ++ref.task) {
        if (tasks[ref.task].phase == TaskPhase::Waiting && !supervisor_->hasRun(ref)) {
            demand.waiting.push_back(ref.task);
        } else if (demand.spec->gang) {
            demand.waiting.clear(); // not all tasks of the gang wait without a run
            return demand;
        }
    }
    return demand;
}

Dispatcher::StepResult Dispatcher::placeStep(const Urgency &urgency, MonotonicTime now)
{
    const TaskRef &step = urgency.step;
    const Prospect prospect = urgency.prospect;
    const Graph *graph = parts_.journal.state().graphs().find(step.graph);
    if (graph == nullptr) {
        graphsToRefresh_.insert(step.graph); // the job ended and was removed between two rounds
        return {};
    }
    const StepDemand waiting = demandOf(*graph, step);
    const StepDemand demand = limitToCustomer(waiting, *graph);
    if (demand.waiting.empty()) {
        supervisor_->claims().release(step);
        if (!waiting.waiting.empty()) {
            blockAtLimit(urgency, graph->spec.customer);
        }
        return {};
    }
    const Queue *queue = parts_.journal.state().catalog().queueOfJobs(graph->spec.queue);
    if (queue != nullptr && queue->tickets) {
        return placeWithTickets(demand, *graph, *queue, prospect, now);
    }
    const std::vector<FleetChoice> chosen =
        choose(limitToHeadroom(demand, *graph, prospect, now), *graph, prospect, std::nullopt);
    reservePlacements(demand, *graph, chosen, now);
    return {chosen.size(), false};
}

bool Dispatcher::canWait(const StepDemand &demand, const Graph &graph, Prospect prospect) const
{
    return prospect != Prospect::InTime
        || (supervisor_->observer().speeds().likelySlowCount() > 0 && hasAmpleTime(demand, graph));
}

/// Avoids workers on which the newest run of a waiting task failed, unless no other worker fits.
std::vector<FleetChoice> Dispatcher::choose(StepDemand demand, const Graph &graph,
    Prospect prospect, const std::optional<std::vector<WorkerId>> &among) const
{
    const Fleet &fleet = supervisor_->fleet();
    demand.excludedWorkers = graph.failedWorkers(demand.step.occurrence, demand.step.step);
    const std::unique_ptr<WorkerRanking> ranking =
        supervisor_->observer().rankingFor(*demand.spec, graph.spec.queue, demand.step.step,
            canWait(demand, graph, prospect) ? Prospect::Late : Prospect::InTime);
    demand.ranking = ranking.get();
    std::vector<FleetChoice> chosen =
        among ? fleet.chooseAmong(demand, *among) : fleet.choose(demand);
    if (chosen.empty() && !demand.excludedWorkers.empty()) {
        demand.excludedWorkers.clear();
        chosen = among ? fleet.chooseAmong(demand, *among) : fleet.choose(demand);
    }
    return chosen;
}

void Dispatcher::reservePlacements(const StepDemand &demand, const Graph &graph,
    const std::vector<FleetChoice> &chosen, MonotonicTime now)
{
    if (!chosen.empty()) {
        logPlaced(demand, graph, chosen);
        headroom_.notePlaced(graph.spec.priority,
            std::uint64_t {reservationSize(*demand.spec).milliCores} * chosen.size(),
            slackOf(graph.spec), now);
    }
    // The members of a gang share their run number, which takes a search of all of them.
    const RunNumber gangRun = demand.spec->gang ? graph.nextRun(demand.step) : RunNumber {};
    for (const FleetChoice &choice : chosen) {
        TaskRef task = demand.step;
        task.task = choice.task;
        const RunNumber run = demand.spec->gang ? gangRun : graph.nextRun(task);
        const RunPlacement placement {task, run, choice.worker, choice.incarnation};
        const std::optional<Ticket> ticket =
            tickets_.ticket(demand.step, choice.worker, now + minTicketValidity);
        if (ticket) {
            pendingTickets_[task] = *ticket;
        }
        supervisor_->reserve(placement, *demand.spec);
        pendingPlacements_.push_back(placement);
    }
}

void Dispatcher::proposePlacements()
{
    if (pendingPlacements_.empty()) {
        return;
    }
    const std::vector<RunPlacement> placements = std::exchange(pendingPlacements_, {});
    parts_.propose(PlaceRuns {placements},
        [weak = weak_from_this(), placements](const Result<ApplyReply> &reply) {
            if (const std::shared_ptr<Dispatcher> self = weak.lock()) {
                self->onPlacementsProposed(placements, reply.has_value());
            }
        });
}

void Dispatcher::onPlacementsProposed(
    const std::vector<RunPlacement> &placements, bool isOutcomeKnown)
{
    const MonotonicTime now = monotonicNow();
    for (const RunPlacement &placement : placements) {
        const TaskRef &task = placement.task;
        const Graph *graph = parts_.journal.state().graphs().find(task.graph);
        const GraphTask *recorded = graph == nullptr ? nullptr : graph->find(task);
        const auto found = pendingTickets_.find(task);
        std::optional<Ticket> ticket;
        if (found != pendingTickets_.end()) {
            ticket = found->second;
            pendingTickets_.erase(found);
        }
        const bool placed = recorded != nullptr && recorded->phase == TaskPhase::Placed
            && recorded->run == placement.run && recorded->worker == placement.worker;
        if (placed) {
            supervisor_->noteRecoveryStep(RecoveryStep::PlacementRecorded);
            supervisor_->start(task, ticket, now);
        } else if (isOutcomeKnown) {
            supervisor_->cancelReservation(task);
        } else {
            supervisor_->revokePlacement(task);
        }
    }
    if (!isOutcomeKnown) {
        logWarning("dispatch.placement_unknown", {{"runs", std::uint64_t {placements.size()}}});
    }
}

} // namespace crocusmill
