/// Steps that need tickets: who is asked about, when, and what is kept.

#include "src/net/clock.h"
#include "src/net/log.h"
#include "src/services/dispatcher.h"

#include <algorithm>

namespace crocusmill
{

namespace
{

constexpr std::size_t maxAskedWorkers = 100; // of one question
/// Of the workers asked about, at least about this share is allowed.
constexpr double minAllowedShare = 0.3;
/// Workers beyond those chosen that a renewal asks about, in case room is taken meanwhile.
constexpr std::size_t maxRenewalSpares = 2;

TaskRef stepRef(const TaskRef &task)
{
    TaskRef step = task;
    step.task = 0;
    return step;
}

} // namespace

Dispatcher::StepResult Dispatcher::placeWithTickets(
    const StepDemand &demand, const Graph &graph, const TicketTerms &terms, MonotonicTime now)
{
    const TaskRef &step = demand.step;
    const std::vector<FleetChoice> chosen =
        choose(demand, graph, tickets_.withTicket(step, now + minTicketValidity));
    reservePlacements(demand, graph, chosen, now);
    const std::size_t placedCount = chosen.size();
    if (placedCount == demand.waiting.size() || tickets_.isAsking(step)) {
        return {placedCount, false};
    }
    if (!ticketClient_.canAsk(terms, minAskedWorkers, now)) {
        return {placedCount, true};
    }
    const StepDemand rest = demandOf(graph, step);
    const std::vector<FleetChoice> allowed = choose(rest, graph, tickets_.allowed(step));
    std::vector<WorkerId> workers;
    for (const FleetChoice &choice : allowed) {
        if (std::find(workers.begin(), workers.end(), choice.worker) == workers.end()) {
            workers.push_back(choice.worker);
        }
    }
    if (!workers.empty()) {
        std::size_t spareCount = 0;
        const AskedWorkers &asked = tickets_.askedFor(step);
        supervisor_->fleet().visitSuited(rest, [&](const FleetWorker &worker) {
            const bool isOther =
                std::find(workers.begin(), workers.end(), worker.id) == workers.end();
            const auto found = asked.find(worker.id);
            if (isOther && found != asked.end() && found->second.allowed) {
                workers.push_back(worker.id);
                ++spareCount;
            }
            return spareCount < maxRenewalSpares;
        });
        return {placedCount, !ask(rest, terms, workers, now)};
    }
    return {placedCount, !ask(rest, terms, workersToAsk(rest, maxAskedWorkers), now)};
}

/// Workers with most room that the step has not asked about: enough for its tasks.
std::vector<WorkerId> Dispatcher::workersToAsk(
    const StepDemand &demand, std::size_t maxWorkers) const
{
    std::vector<WorkerId> workers;
    double room = 0;
    const double requiredRoom = static_cast<double>(demand.spec->tasks) / minAllowedShare;
    const AskedWorkers &asked = tickets_.askedFor(demand.step);
    supervisor_->fleet().visitSuited(demand, [&](const FleetWorker &worker) {
        if (workers.size() >= maxWorkers
            || (workers.size() >= minAskedWorkers && room >= requiredRoom)) {
            return false;
        }
        if (!asked.contains(worker.id)) {
            const std::uint32_t size = std::max(demand.spec->size.milliCores, 1U);
            // About half of a worker is in use.
            room += static_cast<double>(worker.capacity.milliCores) / size / 2;
            workers.push_back(worker.id);
        }
        return true;
    });
    return workers;
}

bool Dispatcher::ask(const StepDemand &demand, const TicketTerms &terms,
    const std::vector<WorkerId> &workers, MonotonicTime now)
{
    if (workers.empty()) {
        return true; // until other workers come there is nothing to ask
    }
    const TaskRef step = stepRef(demand.step);
    tickets_.asked(step, workers); // before the answer, which may come at once
    const bool isPut = ticketClient_.ask(step, workers, terms, now,
        [weak = weak_from_this(), step, workers, validity = terms.validity, askedAt = now](
            const TicketAnswer &answer) {
            if (const std::shared_ptr<Dispatcher> self = weak.lock()) {
                self->onTicketAnswer(step, workers, answer, validity, askedAt);
            }
        });
    if (!isPut) {
        tickets_.unanswered(step, workers);
    }
    return isPut;
}

void Dispatcher::onTicketAnswer(const TaskRef &step, const std::vector<WorkerId> &workers,
    const TicketAnswer &answer, Milliseconds validity, MonotonicTime askedAt)
{
    if (!answer.answered) {
        logInfo("tickets.unanswered",
            {{"job", step.graph.value()}, {"workers", std::uint64_t {workers.size()}}});
        tickets_.unanswered(step, workers);
        queue_.retry(step);
        graphsToRefresh_.insert(step.graph); // perhaps it asks ahead again
        return;
    }
    const MonotonicTime now = monotonicNow();
    logInfo("tickets.answered",
        {{"job", step.graph.value()}, {"step", std::uint64_t {step.step}},
            {"workers", std::uint64_t {workers.size()}},
            {"allowed", std::uint64_t {answer.allowed.size()}},
            {"took_ms",
                static_cast<std::uint64_t>(
                    std::chrono::duration_cast<Milliseconds>(now - askedAt).count())}});
    const Milliseconds valid = answer.validity > Milliseconds {0} ? answer.validity : validity;
    tickets_.answered(step, workers, answer.allowed, now + valid);
    queue_.retry(step);
    scheduleRound();
}

/// A step whose predecessors all run asks ahead, so that its start need not wait for the answer.
/// Steps that are ready have asked before.
void Dispatcher::requestTicketsAhead(MonotonicTime now)
{
    std::vector<TaskRef> asked;
    for (const TaskRef &step : queue_.ahead()) {
        if (askableQueues(now) == TicketQueues {}) {
            break;
        }
        if (tryRequestTicketsAhead(step, now)) {
            asked.push_back(step);
        }
    }
    for (const TaskRef &step : asked) {
        queue_.askedAhead(step);
    }
}

/// False while the question can't be put.
bool Dispatcher::tryRequestTicketsAhead(const TaskRef &step, MonotonicTime now)
{
    const Graph *graph = parts_.journal.state().graphs().find(step.graph);
    if (graph == nullptr || !tickets_.askedFor(step).empty()) {
        return true;
    }
    const Queue *queue = parts_.journal.state().catalog().find(graph->spec.queue);
    if (queue == nullptr || !queue->tickets) {
        return true;
    }
    if (!ticketClient_.canAsk(*queue->tickets, minAskedWorkers, now)) {
        return false;
    }
    const StepDemand demand = demandOf(*graph, step);
    return ask(demand, *queue->tickets, workersToAsk(demand, maxAskedWorkers), now);
}

void Dispatcher::forgetClosedGraphs()
{
    for (const TaskRef &step : tickets_.steps()) {
        const Graph *graph = parts_.journal.state().graphs().find(step.graph);
        if (graph == nullptr || graph->state != GraphState::Open) {
            tickets_.forget(step.graph);
        }
    }
}

} // namespace crocusmill
