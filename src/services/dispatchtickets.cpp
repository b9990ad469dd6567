/// Steps that need tickets: who is asked about, when, and what is kept.

#include "src/net/clock.h"
#include "src/net/log.h"
#include "src/services/dispatcher.h"

#include <algorithm>

namespace crocusmill
{

namespace
{

constexpr std::size_t mostAsked = 100; // of one question
/// Of the workers asked about, at least about this share is allowed.
constexpr double allowedShare = 0.3;
/// Workers beyond those chosen that a renewal asks about, in case room is taken meanwhile.
constexpr std::size_t renewalSpare = 2;

TaskRef stepRef(const TaskRef &task)
{
    TaskRef step = task;
    step.task = 0;
    return step;
}

} // namespace

Dispatcher::Tried Dispatcher::placeTicketed(
    const StepDemand &demand, const Graph &graph, const TicketTiming &terms, MonotonicTime now)
{
    const TaskRef &step = demand.step;
    const std::vector<FleetChoice> chosen =
        choose(demand, graph, book_.workersWithTicket(step, now + ticketMargin));
    take(demand, graph, chosen, now);
    const std::size_t placed = chosen.size();
    if (placed == demand.waiting.size() || book_.hasPendingRequest(step)) {
        return {placed, false};
    }
    if (!agents_.mayAsk(terms, leastAsked, now)) {
        return {placed, true};
    }
    const StepDemand rest = demandOf(graph, step);
    const std::vector<FleetChoice> allowed = choose(rest, graph, book_.allowedWorkers(step));
    std::vector<WorkerId> workers;
    for (const FleetChoice &choice : allowed) {
        if (std::find(workers.begin(), workers.end(), choice.worker) == workers.end()) {
            workers.push_back(choice.worker);
        }
    }
    if (!workers.empty()) {
        std::size_t spare = 0;
        const WorkerPermissions &asked = book_.permissionsOf(step);
        supervisor_->fleet().visitEligible(rest, [&](const FleetWorker &worker) {
            const bool other =
                std::find(workers.begin(), workers.end(), worker.id) == workers.end();
            const auto known = asked.find(worker.id);
            if (other && known != asked.end() && known->second.isAllowed) {
                workers.push_back(worker.id);
                ++spare;
            }
            return spare < renewalSpare;
        });
        return {placed, !ask(rest, terms, workers, now)};
    }
    return {placed, !ask(rest, terms, unasked(rest, mostAsked), now)};
}

/// Workers with most room that the step has not asked about: enough for its tasks.
std::vector<WorkerId> Dispatcher::unasked(const StepDemand &demand, std::size_t most) const
{
    std::vector<WorkerId> workers;
    double room = 0;
    const double wanted = static_cast<double>(demand.spec->tasks) / allowedShare;
    const WorkerPermissions &asked = book_.permissionsOf(demand.step);
    supervisor_->fleet().visitEligible(demand, [&](const FleetWorker &worker) {
        if (workers.size() >= most || (workers.size() >= leastAsked && room >= wanted)) {
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

bool Dispatcher::ask(const StepDemand &demand, const TicketTiming &terms,
    const std::vector<WorkerId> &workers, MonotonicTime now)
{
    if (workers.empty()) {
        return true; // until other workers come there is nothing to ask
    }
    const TaskRef step = stepRef(demand.step);
    book_.recordRequest(step, workers); // before the answer, which may come at once
    const bool isPut = agents_.ask(step, workers, terms, now,
        [weak = weak_from_this(), step, workers, validity = terms.validity, asked = now](
            const TicketAnswer &answer) {
            if (const std::shared_ptr<Dispatcher> self = weak.lock()) {
                self->answered(step, workers, answer, validity, asked);
            }
        });
    if (!isPut) {
        book_.recordFailure(step, workers);
    }
    return isPut;
}

void Dispatcher::answered(const TaskRef &step, const std::vector<WorkerId> &workers,
    const TicketAnswer &answer, Milliseconds validity, MonotonicTime asked)
{
    if (!answer.answered) {
        logInfo("tickets.unanswered",
            {{"job", step.graph.value()}, {"workers", std::uint64_t {workers.size()}}});
        book_.recordFailure(step, workers);
        queue_.retry(step);
        refreshed_.insert(step.graph); // perhaps it asks ahead again
        return;
    }
    const MonotonicTime now = monotonicNow();
    logInfo("tickets.answered",
        {{"job", step.graph.value()}, {"step", std::uint64_t {step.step}},
            {"workers", std::uint64_t {workers.size()}},
            {"allowed", std::uint64_t {answer.allowed.size()}},
            {"took_ms",
                static_cast<std::uint64_t>(
                    std::chrono::duration_cast<Milliseconds>(now - asked).count())}});
    const Milliseconds valid = answer.validity > Milliseconds {0} ? answer.validity : validity;
    book_.recordAnswer(step, workers, answer.allowed, now + valid);
    queue_.retry(step);
    wake();
}

/// A step whose predecessors all run asks ahead, so that its start need not wait for the answer.
/// Steps that are ready have asked before.
void Dispatcher::askAhead(MonotonicTime now)
{
    std::vector<TaskRef> asked;
    for (const TaskRef &step : queue_.prefetchCandidates()) {
        if (mayAsk(now) == TicketQueueMask {}) {
            break;
        }
        if (askedAhead(step, now)) {
            asked.push_back(step);
        }
    }
    for (const TaskRef &step : asked) {
        queue_.removePrefetchCandidate(step);
    }
}

/// False while the question can't be put.
bool Dispatcher::askedAhead(const TaskRef &step, MonotonicTime now)
{
    const Graph *graph = parts_.journal.state().graphs().find(step.graph);
    if (graph == nullptr || !book_.permissionsOf(step).empty()) {
        return true;
    }
    const Queue *queue = parts_.journal.state().catalog().find(graph->spec.queue);
    if (queue == nullptr || !queue->tickets) {
        return true;
    }
    if (!agents_.mayAsk(*queue->tickets, leastAsked, now)) {
        return false;
    }
    const StepDemand demand = demandOf(*graph, step);
    return ask(demand, *queue->tickets, unasked(demand, mostAsked), now);
}

void Dispatcher::forgetTickets()
{
    for (const TaskRef &step : book_.steps()) {
        const Graph *graph = parts_.journal.state().graphs().find(step.graph);
        if (graph == nullptr || graph->state != GraphState::Open) {
            book_.forget(step.graph);
        }
    }
}

} // namespace crocusmill
