/// Rounds of decisions: what is ready, in which order, on which workers.

#include "src/services/dispatcher.h"

#include "src/net/clock.h"
#include "src/net/log.h"

#include <algorithm>

namespace crocusmill
{

namespace
{

constexpr Milliseconds forgetInterval {2'000};
constexpr Milliseconds loadInterval {1'000}; // between records of the load
/// What happens within this is decided and recorded together: at 700 starts a second a round for
/// each event would take more than the processor has.
constexpr Milliseconds roundPause {4};
/// Steps tried and tasks placed in one round.
constexpr std::size_t mostWork = 512;
/// With more workers that gained room it is not measured again after each step that took some.
constexpr std::size_t mostMeasured = 64;

} // namespace

std::shared_ptr<Dispatcher> Dispatcher::make(const Parts &parts, MonotonicTime now)
{
    std::shared_ptr<Dispatcher> made {new Dispatcher(parts)};
    made->supervisor_ = std::make_shared<RunSupervisor>(
        RunSupervisor::Parts {parts.journal.state(), parts.link, parts.propose,
            [&journal = parts.journal, term = parts.term]() {
                return journal.leads() && journal.consensus()->term() == term;
            },
            FencingToken {parts.term.value()}, SupervisorTimes {},
            [weak = std::weak_ptr<Dispatcher> {made}]() {
                if (const std::shared_ptr<Dispatcher> self = weak.lock()) {
                    self->wake();
                }
            }},
        now);
    made->supervisor_->adoptPlacements(now);
    return made;
}

Dispatcher::Dispatcher(const Parts &parts)
    : parts_(parts)
    , agents_(parts.peers, parts.tickets, parts.self)
    , round_(parts.control)
{
}

void Dispatcher::heard(const WorkerHeartbeat &heartbeat, MonotonicTime now)
{
    supervisor_->onHeartbeat(heartbeat, now);
}

void Dispatcher::left(const WorkerId &worker, const Incarnation &incarnation, MonotonicTime now)
{
    supervisor_->onWorkerLeaving(worker, incarnation, now);
}

void Dispatcher::present(const NodeAddress &vm, MonotonicTime now)
{
    agents_.heard(vm, now);
}

const RunSupervisor &Dispatcher::supervisor() const
{
    return *supervisor_;
}

void Dispatcher::retire()
{
    supervisor_->retire();
}

void Dispatcher::wake()
{
    if (std::exchange(woken_, true)) {
        return;
    }
    // A long round is followed by as long a pause: what comes meanwhile is decided together, and
    // the loop has time for everything else.
    round_.expires_after(std::max<Microseconds>(roundPause, lastRound_));
    round_.async_wait([weak = weak_from_this()](const boost::system::error_code &error) {
        const std::shared_ptr<Dispatcher> self = weak.lock();
        if (error || !self) {
            return;
        }
        self->woken_ = false;
        if (self->parts_.journal.leads()) {
            self->tick(monotonicNow(), wallTimeNow());
        }
    });
}

void Dispatcher::tick(MonotonicTime now, WallTime wall)
{
    const MonotonicTime began = monotonicNow();
    supervisor_->tick(now, wall);
    takeChanges(wall);
    takeGains();
    placeWaiting(now);
    askAhead(now);
    record();
    if (now >= forgetDue_) {
        forgetDue_ = now + forgetInterval;
        forgetTickets();
    }
    noteRound(began, queue_.size());
}

/// One record a second says what rounds cost and what they were given.
void Dispatcher::noteRound(MonotonicTime began, std::size_t ready)
{
    const MonotonicTime now = monotonicNow();
    const Microseconds took = std::chrono::duration_cast<Microseconds>(now - began);
    parts_.metrics.observe({"dispatch_round_seconds", ""}, took);
    lastRound_ = took;
    ++sums_.rounds;
    sums_.total += took;
    sums_.longest = std::max(sums_.longest, took);
    sums_.mostReady = std::max(sums_.mostReady, ready);
    if (now < sumsDue_) {
        return;
    }
    sumsDue_ = now + loadInterval;
    const RoundSums sums = std::exchange(sums_, {});
    const RunSupervisor::Load load = supervisor_->load(now);
    const GraphBook &graphs = parts_.journal.state().graphs();
    logInfo("dispatch.load",
        {{"rounds", sums.rounds}, {"rounds_us", static_cast<std::uint64_t>(sums.total.count())},
            {"longest_us", static_cast<std::uint64_t>(sums.longest.count())},
            {"ready_steps", std::uint64_t {sums.mostReady}},
            {"open_jobs", std::uint64_t {graphs.open().size()}},
            {"waiting_jobs", std::uint64_t {graphs.waiting().size()}},
            {"runs", std::uint64_t {load.runs}}, {"starting", std::uint64_t {load.pendingOrders}},
            {"workers", std::uint64_t {load.workers}},
            {"workers_open", std::uint64_t {load.openWorkers}},
            {"ends_unrecorded", std::uint64_t {load.unrecordedEndLists}},
            {"term", parts_.term.value()}});
}

/// Brings the queue of steps up to date.
void Dispatcher::takeChanges(WallTime wall)
{
    const StateMachine &state = parts_.journal.state();
    if (state.catalog().version != catalog_) {
        catalog_ = state.catalog().version;
        for (const GraphId &id : state.graphs().waiting()) {
            refresh(id, wall);
        }
    }
    for (const GraphId &id : state.graphs().changedSince(taken_)) {
        refresh(id, wall);
    }
    taken_ = state.graphs().revision();
    for (const GraphId &id : queue_.advance(wall)) {
        refresh(id, wall);
    }
    for (const GraphId &id : std::exchange(refreshed_, {})) {
        refresh(id, wall);
    }
}

void Dispatcher::refresh(const GraphId &id, WallTime wall)
{
    const Graph *graph = parts_.journal.state().graphs().find(id);
    if (graph == nullptr) {
        queue_.remove(id);
        return;
    }
    if (graph->state != GraphState::Open) {
        book_.forget(id);
    }
    const Queue *queue = parts_.journal.state().catalog().find(graph->spec.queue);
    const bool ticketed = queue != nullptr && queue->tickets;
    queue_.update(*graph, ticketed ? ticketQueuesOf(queue->name) : TicketQueues {}, wall);
}

TicketQueues Dispatcher::ticketQueuesOf(const QueueName &name)
{
    constexpr std::size_t elements = 64;
    const auto [known, isNew] = ticketQueues_.try_emplace(name);
    if (isNew) {
        known->second = TicketQueues {std::uint64_t {1} << ((ticketQueues_.size() - 1) % elements)};
    }
    return known->second;
}

/// What workers have gained may help steps that need no tickets, and those that may run there.
void Dispatcher::takeGains()
{
    const FleetGains gains = supervisor_->takeGains();
    for (const TaskRef &step : gains.steps) {
        queue_.retry(step);
    }
    for (const WorkerId &worker : gains.workers) {
        const TaskSize room = supervisor_->fleet().roomOn(worker);
        for (const TaskRef &step : book_.allowedOn(worker)) {
            queue_.retryWithin(step, room);
        }
        gained_.insert(worker);
    }
    if (gains.opened) {
        queue_.askAgain();
    }
}

std::optional<TaskSize> Dispatcher::gainedRoom() const
{
    if (gained_.empty()) {
        return std::nullopt;
    }
    TaskSize most;
    for (const WorkerId &worker : gained_) {
        const TaskSize room = supervisor_->fleet().roomOn(worker);
        most = {std::max(most.milliCores, room.milliCores), std::max(most.memory, room.memory),
            std::max(most.accelerators, room.accelerators)};
    }
    return most;
}

/// Queues whose questions about tickets would be put soon.
TicketQueues Dispatcher::mayAsk(MonotonicTime now) const
{
    std::uint64_t queues = 0;
    for (const std::pair<const QueueName, TicketQueues> &known : ticketQueues_) {
        const Queue *queue = parts_.journal.state().catalog().find(known.first);
        const bool may =
            queue != nullptr && queue->tickets && agents_.mayAsk(*queue->tickets, leastAsked, now);
        queues |= may ? known.second.value() : 0;
    }
    return TicketQueues {queues};
}

/// Tries what is worth a try, the most urgent first. What is too much for one round waits for the
/// next, so that the loop is not held up.
void Dispatcher::placeWaiting(MonotonicTime now)
{
    StepChances chances {gainedRoom(), mayAsk(now)};
    std::size_t work = 0;
    std::optional<Urgency> at = queue_.next(std::nullopt, chances);
    for (; at && work < mostWork; at = queue_.next(at, chances)) {
        queue_.tried(at->step); // before it asks: an answer may come at once
        const Tried tried = placeStep(at->step, now);
        if (tried.asks) {
            queue_.asks(at->step);
        }
        work += 1 + tried.placed;
        if (tried.placed > 0 && gained_.size() <= mostMeasured) {
            chances.room = gainedRoom();
        }
        chances.asking = mayAsk(now);
    }
    if (at) {
        queue_.carryOver(*at, chances);
        wake();
    }
    gained_.clear();
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
            demand.waiting.clear(); // some of it is still there
            return demand;
        }
    }
    return demand;
}

Dispatcher::Tried Dispatcher::placeStep(const TaskRef &step, MonotonicTime now)
{
    const Graph *graph = parts_.journal.state().graphs().find(step.graph);
    if (graph == nullptr) {
        refreshed_.insert(step.graph); // it ended and was forgotten between two rounds
        return {};
    }
    const StepDemand demand = demandOf(*graph, step);
    if (demand.waiting.empty()) {
        return {};
    }
    const Queue *queue = parts_.journal.state().catalog().find(graph->spec.queue);
    if (queue != nullptr && queue->tickets) {
        return placeTicketed(demand, *graph, *queue->tickets, now);
    }
    const std::vector<FleetChoice> chosen = choose(demand, *graph, std::nullopt);
    take(demand, *graph, chosen, now);
    return {chosen.size(), false};
}

/// Keeps away from workers on which a task has just failed, while there are others.
std::vector<FleetChoice> Dispatcher::choose(
    StepDemand demand, const Graph &graph, const std::optional<std::vector<WorkerId>> &among) const
{
    const Fleet &fleet = supervisor_->fleet();
    demand.avoided = graph.failedOn(demand.step.occurrence, demand.step.step);
    std::vector<FleetChoice> chosen =
        among ? fleet.chooseAmong(demand, *among) : fleet.choose(demand);
    if (chosen.empty() && !demand.avoided.empty()) {
        demand.avoided.clear();
        chosen = among ? fleet.chooseAmong(demand, *among) : fleet.choose(demand);
    }
    return chosen;
}

void Dispatcher::take(const StepDemand &demand, const Graph &graph,
    const std::vector<FleetChoice> &chosen, MonotonicTime now)
{
    if (!chosen.empty()) {
        logPlaced(demand, graph, chosen);
    }
    for (const FleetChoice &choice : chosen) {
        TaskRef task = demand.step;
        task.task = choice.task;
        const RunPlacement placement {task, graph.nextRun(task), choice.worker, choice.incarnation};
        const std::optional<Ticket> ticket =
            book_.ticket(demand.step, choice.worker, now + ticketMargin);
        if (ticket) {
            ticketsOf_[task] = *ticket;
        }
        supervisor_->reserve(placement, *demand.spec);
        placing_.push_back(placement);
    }
}

/// One line for a step, whatever its width.
void Dispatcher::logPlaced(
    const StepDemand &demand, const Graph &graph, const std::vector<FleetChoice> &chosen) const
{
    constexpr std::uint64_t milliPerCore = 1000;
    const Fleet &fleet = supervisor_->fleet();
    const Milliseconds waited = wallTimeNow() - graph.dueAt(demand.step.occurrence);
    logInfo("step.placed",
        {{"job", demand.step.graph.value()}, {"step", std::uint64_t {demand.step.step}},
            {"tasks", std::uint64_t {chosen.size()}}, {"of", std::uint64_t {demand.waiting.size()}},
            {"first_worker", chosen.front().worker.value()},
            {"since_due_ms", static_cast<std::uint64_t>(waited.count())},
            {"cores_open", fleet.openMilliCores(demand.service) / milliPerCore},
            {"cores_used", fleet.usedMilliCores(demand.service) / milliPerCore},
            {"term", parts_.term.value()}});
}

void Dispatcher::record()
{
    if (placing_.empty()) {
        return;
    }
    const std::vector<RunPlacement> placements = std::exchange(placing_, {});
    parts_.propose(PlaceRuns {placements},
        [weak = weak_from_this(), placements](const Result<ApplyReply> &reply) {
            if (const std::shared_ptr<Dispatcher> self = weak.lock()) {
                self->recorded(placements, reply.has_value());
            }
        });
}

void Dispatcher::recorded(const std::vector<RunPlacement> &placements, bool known)
{
    const MonotonicTime now = monotonicNow();
    for (const RunPlacement &placement : placements) {
        const TaskRef &task = placement.task;
        const Graph *graph = parts_.journal.state().graphs().find(task.graph);
        const GraphTask *recorded = graph == nullptr ? nullptr : graph->find(task);
        const auto found = ticketsOf_.find(task);
        std::optional<Ticket> ticket;
        if (found != ticketsOf_.end()) {
            ticket = found->second;
            ticketsOf_.erase(found);
        }
        const bool placed = recorded != nullptr && recorded->phase == TaskPhase::Placed
            && recorded->run == placement.run && recorded->worker == placement.worker;
        if (placed) {
            supervisor_->start(task, ticket, now);
        } else if (known) {
            supervisor_->cancelReservation(task);
        } else {
            supervisor_->revokePlacement(task);
        }
    }
    if (!known) {
        logWarning("dispatch.placement_unknown", {{"runs", std::uint64_t {placements.size()}}});
    }
}

} // namespace crocusmill
