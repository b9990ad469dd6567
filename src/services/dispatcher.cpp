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
    made->supervisor_->takeOver(now);
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
    supervisor_->heard(heartbeat, now);
}

void Dispatcher::left(const WorkerId &worker, const Incarnation &incarnation, MonotonicTime now)
{
    supervisor_->left(worker, incarnation, now);
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
    round_.expires_after(roundPause);
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
    now_ = now;
    supervisor_->tick(now, wall);
    std::vector<ReadyStep> ready = readySteps(wall);
    sortByUrgency(ready, wall);
    for (const ReadyStep &step : ready) {
        placeStep(step, now);
    }
    record(now);
    if (now >= forgetDue_) {
        forgetDue_ = now + forgetInterval;
        forgetTickets();
    }
    noteRound(began, ready.size());
}

/// One record a second says what rounds cost and what they were given.
void Dispatcher::noteRound(MonotonicTime began, std::size_t ready)
{
    const MonotonicTime now = monotonicNow();
    const Microseconds took = std::chrono::duration_cast<Microseconds>(now - began);
    parts_.metrics.observe({"dispatch_round_seconds", ""}, took);
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
            {"runs", std::uint64_t {load.runs}}, {"starting", std::uint64_t {load.starting}},
            {"workers", std::uint64_t {load.workers}},
            {"workers_open", std::uint64_t {load.workersOpen}},
            {"ends_unrecorded", std::uint64_t {load.endsUnrecorded}},
            {"term", parts_.term.value()}});
}

std::vector<ReadyStep> Dispatcher::readySteps(WallTime wall)
{
    std::vector<ReadyStep> ready;
    for (const GraphId &id : parts_.journal.state().graphs().waiting()) {
        const Graph &graph = *parts_.journal.state().graphs().find(id);
        for (std::uint32_t k = 0; k < graph.occurrences.size(); ++k) {
            if (graph.dueAt(k) <= wall) {
                collect(graph, k, ready);
            }
        }
    }
    return ready;
}

void Dispatcher::collect(
    const Graph &graph, std::uint32_t occurrence, std::vector<ReadyStep> &ready)
{
    const std::vector<GraphStep> &steps = graph.occurrences[occurrence].steps;
    for (std::uint32_t step = 0; step < steps.size(); ++step) {
        const std::vector<GraphTask> &tasks = steps[step].tasks;
        const bool waits = std::any_of(tasks.begin(), tasks.end(),
            [](const GraphTask &task) { return task.phase == TaskPhase::Waiting; });
        if (!waits) {
            continue;
        }
        if (!graph.isReady(occurrence, step)) {
            askAhead(graph, occurrence, step, now_);
            continue;
        }
        ready.push_back({TaskRef {graph.spec.id, occurrence, step, 0}, graph.spec.priority,
            graph.dueAt(occurrence), objectiveOf(graph.spec)});
    }
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

void Dispatcher::placeStep(const ReadyStep &ready, MonotonicTime now)
{
    const Graph &graph = *parts_.journal.state().graphs().find(ready.step.graph);
    const StepDemand demand = demandOf(graph, ready.step);
    if (demand.waiting.empty()) {
        return;
    }
    const Queue *queue = parts_.journal.state().catalog().find(graph.spec.queue);
    if (queue != nullptr && queue->tickets) {
        placeTicketed(demand, graph, *queue->tickets, now);
        return;
    }
    take(demand, graph, choose(demand, graph, std::nullopt), now);
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

void Dispatcher::record(MonotonicTime now)
{
    if (placing_.empty()) {
        return;
    }
    now_ = now;
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
            supervisor_->withdraw(task);
        }
    }
    if (!known) {
        logWarning("dispatch.placement_unknown", {{"runs", std::uint64_t {placements.size()}}});
    }
}

} // namespace crocusmill
