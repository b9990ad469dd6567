/// Placement of steps that need tickets: which workers they request tickets for, and when.

#include "src/net/clock.h"
#include "src/net/log.h"
#include "src/services/dispatcher.h"

#include <algorithm>

namespace crocusmill
{

namespace
{

constexpr std::size_t maxAskedWorkers = 100; // in one request
/// Expected minimum share of the requested workers that are allowed.
constexpr double minAllowedShare = 0.3;
/// Extra workers in a request that renews tickets, in case a chosen worker has no room any more
/// when the answer comes.
constexpr std::size_t maxRenewalSpares = 2;

TaskRef stepRef(const TaskRef &task)
{
    TaskRef step = task;
    step.task = 0;
    return step;
}

} // namespace

Dispatcher::StepResult Dispatcher::placeWithTickets(
    const StepDemand &demand, const Graph &graph, const TicketTiming &terms, MonotonicTime now)
{
    const TaskRef &step = demand.step;
    const std::vector<FleetChoice> chosen =
        choose(demand, graph, tickets_.workersWithTicket(step, now + minTicketValidity));
    reservePlacements(demand, graph, chosen, now);
    const std::size_t placedCount = chosen.size();
    if (placedCount == demand.waiting.size() || tickets_.hasPendingRequest(step)) {
        return {placedCount, false};
    }
    if (!ticketClient_.canAsk(terms, minAskedWorkers, now)) {
        return {placedCount, true};
    }
    const StepDemand remaining = demandOf(graph, step);
    const std::vector<FleetChoice> allowed =
        choose(remaining, graph, tickets_.allowedWorkers(step));
    std::vector<WorkerId> workers;
    for (const FleetChoice &choice : allowed) {
        if (std::find(workers.begin(), workers.end(), choice.worker) == workers.end()) {
            workers.push_back(choice.worker);
        }
    }
    if (!workers.empty()) {
        std::size_t spareCount = 0;
        const WorkerPermissions &asked = tickets_.permissionsOf(step);
        supervisor_->fleet().visitEligible(remaining, [&](const FleetWorker &worker) {
            const bool isAdditional =
                std::find(workers.begin(), workers.end(), worker.id) == workers.end();
            const auto found = asked.find(worker.id);
            if (isAdditional && found != asked.end() && found->second.isAllowed) {
                workers.push_back(worker.id);
                ++spareCount;
            }
            return spareCount < maxRenewalSpares;
        });
        return {placedCount, !ask(remaining, terms, workers, now)};
    }
    return {placedCount, !ask(remaining, terms, workersToAsk(remaining, maxAskedWorkers), now)};
}

/// Returns workers that the step has not asked about yet, those with most room first: at most
/// `maxWorkers`, and no more than should suffice for its tasks.
std::vector<WorkerId> Dispatcher::workersToAsk(
    const StepDemand &demand, std::size_t maxWorkers) const
{
    std::vector<WorkerId> workers;
    double room = 0;
    const double requiredRoom = static_cast<double>(demand.spec->tasks) / minAllowedShare;
    const WorkerPermissions &asked = tickets_.permissionsOf(demand.step);
    supervisor_->fleet().visitEligible(demand, [&](const FleetWorker &worker) {
        if (workers.size() >= maxWorkers
            || (workers.size() >= minAskedWorkers && room >= requiredRoom)) {
            return false;
        }
        if (!asked.contains(worker.id)) {
            const std::uint32_t size = std::max(demand.spec->size.milliCores, 1U);
            // Assumes that about half of a worker is in use.
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
        return true; // there is nothing to request until other workers join
    }
    const TaskRef step = stepRef(demand.step);
    tickets_.recordRequest(step, workers); // first, as the answer may come at once
    const bool isSent = ticketClient_.ask(step, workers, terms, now,
        [weak = weak_from_this(), step, workers, validity = terms.validity, askedAt = now](
            const TicketAnswer &answer) {
            if (const std::shared_ptr<Dispatcher> self = weak.lock()) {
                self->onTicketAnswer(step, workers, answer, validity, askedAt);
            }
        });
    if (!isSent) {
        tickets_.recordFailure(step, workers);
    }
    return isSent;
}

void Dispatcher::onTicketAnswer(const TaskRef &step, const std::vector<WorkerId> &workers,
    const TicketAnswer &answer, Milliseconds validity, MonotonicTime askedAt)
{
    if (!answer.answered) {
        logInfo("tickets.unanswered",
            {{"job", step.graph.value()}, {"workers", std::uint64_t {workers.size()}}});
        tickets_.recordFailure(step, workers);
        queue_.retry(step);
        graphsToRefresh_.insert(step.graph); // the step may request tickets ahead again
        return;
    }
    const MonotonicTime now = monotonicNow();
    supervisor_->noteRecoveryStep(RecoveryStep::TicketsAnswered);
    logInfo("tickets.answered",
        {{"job", step.graph.value()}, {"step", std::uint64_t {step.step}},
            {"workers", std::uint64_t {workers.size()}},
            {"allowed", std::uint64_t {answer.allowed.size()}},
            {"took_ms",
                static_cast<std::uint64_t>(
                    std::chrono::duration_cast<Milliseconds>(now - askedAt).count())}});
    const Milliseconds valid = answer.validity > Milliseconds {0} ? answer.validity : validity;
    tickets_.recordAnswer(step, workers, answer.allowed, now + valid);
    queue_.retry(step);
    scheduleRound();
}

/// Requests tickets for steps whose predecessors are all placed, so that their start does not wait
/// for the answer. Steps that are ready have sent their requests before, in placeReadySteps().
void Dispatcher::requestTicketsAhead(MonotonicTime now)
{
    std::vector<TaskRef> asked;
    for (const TaskRef &step : queue_.prefetchCandidates()) {
        if (askableQueues(now) == TicketQueueMask {}) {
            break;
        }
        if (tryRequestTicketsAhead(step, now)) {
            asked.push_back(step);
        }
    }
    for (const TaskRef &step : asked) {
        queue_.removePrefetchCandidate(step);
    }
}

/// Returns false if no ticket request can be sent now.
bool Dispatcher::tryRequestTicketsAhead(const TaskRef &step, MonotonicTime now)
{
    const Graph *graph = parts_.journal.state().graphs().find(step.graph);
    if (graph == nullptr || !tickets_.permissionsOf(step).empty()) {
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

/// Removes the tickets of jobs that are not open any more.
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
