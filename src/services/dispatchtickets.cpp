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
constexpr double minAllowedShare = 0.25;
/// A gang needs workers that could run this many times its tasks.
constexpr double minGangCapacityFactor = 2.5;
/// A gang with so many workers asks for more once none of its answers is younger than this.
constexpr Milliseconds maxPatience {1'500};
/// A gang that has collected room for this long without finding enough gives it back.
constexpr Milliseconds maxCollectingTime {4'000};
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

Dispatcher::StepResult Dispatcher::placeWithTickets(const StepDemand &demand, const Graph &graph,
    const Queue &queue, Prospect prospect, MonotonicTime now)
{
    const TaskRef &step = demand.step;
    RoomClaims &claims = supervisor_->claims();
    if (claims.contains(step) && tickets_.hasPendingRequest(step)) {
        return {};
    }
    const std::vector<FleetChoice> withdrawn = claims.withdraw(step);
    const StepResult result = placeOrAsk(demand, graph, queue, prospect, now);
    claims.noteGains(step, withdrawn);
    return result;
}

Dispatcher::StepResult Dispatcher::placeOrAsk(const StepDemand &demand, const Graph &graph,
    const Queue &queue, Prospect prospect, MonotonicTime now)
{
    const TaskRef &step = demand.step;
    const StepDemand limited = limitToHeadroom(demand, graph, prospect, now);
    if (limited.waiting.empty()) {
        return {};
    }
    const std::vector<FleetChoice> chosen =
        choose(limited, graph, prospect, tickets_.workersWithTicket(step, now + minTicketValidity));
    reservePlacements(demand, graph, chosen, now);
    const std::size_t placedCount = chosen.size();
    if (placedCount == demand.waiting.size() || tickets_.hasPendingRequest(step)) {
        return {placedCount, false};
    }
    const StepDemand remaining =
        limitToHeadroom(limitToCustomer(demandOf(graph, step), graph), graph, prospect, now);
    if (remaining.waiting.empty()) {
        return {placedCount, false};
    }
    const std::vector<WorkerId> allowedWorkers = tickets_.allowedWorkers(step);
    const std::vector<FleetChoice> allowed = choose(remaining, graph, prospect, allowedWorkers);
    const TicketTerms terms = termsOf(queue, queue_.queuesWaitingToAsk());
    const bool canAsk = ticketClient_.canAsk(terms, minAskedWorkers, now);
    if (!allowed.empty() && canAsk) {
        supervisor_->claims().claim(remaining, allowed); // first, as the answer may come at once
        const bool isSent = ask(remaining, terms, workersToRenew(remaining, allowed), now);
        if (!isSent) {
            supervisor_->claims().release(step);
        }
        return {placedCount, !isSent};
    }
    if (remaining.spec->gang) {
        collectRoom(remaining, graph, allowedWorkers, prospect, now);
    }
    const bool isPatient = remaining.spec->gang && hasEnoughWorkers(remaining, allowedWorkers)
        && now - tickets_.lastAnswerAt(step) < maxPatience;
    if (isPatient || !allowed.empty()) {
        // Steps without room are retried once one of their workers gains some.
        return {placedCount, !allowed.empty()};
    }
    return {placedCount,
        !canAsk
            || !ask(remaining, terms,
                workersToAsk(remaining, canWait(remaining, graph, prospect), maxAskedWorkers),
                now)};
}

/// Returns the workers of `allowed`, and a few more that are allowed.
std::vector<WorkerId> Dispatcher::workersToRenew(
    const StepDemand &demand, const std::vector<FleetChoice> &allowed) const
{
    std::vector<WorkerId> workers;
    for (const FleetChoice &choice : allowed) {
        if (std::find(workers.begin(), workers.end(), choice.worker) == workers.end()) {
            workers.push_back(choice.worker);
        }
    }
    std::size_t spareCount = 0;
    const WorkerPermissions &asked = tickets_.permissionsOf(demand.step);
    supervisor_->fleet().visitEligible(demand, [&](const FleetWorker &worker) {
        const bool isAdditional =
            std::find(workers.begin(), workers.end(), worker.id) == workers.end();
        const auto found = asked.find(worker.id);
        if (isAdditional && found != asked.end() && found->second.isAllowed) {
            workers.push_back(worker.id);
            ++spareCount;
        }
        return spareCount < maxRenewalSpares;
    });
    return workers;
}

/// Returns whether these workers could run the whole gang beside other work. Requests for more
/// workers would delay those of other steps.
bool Dispatcher::hasEnoughWorkers(
    const StepDemand &demand, const std::vector<WorkerId> &workers) const
{
    const double capacity = static_cast<double>(supervisor_->fleet().capacityFor(demand, workers));
    return capacity >= minGangCapacityFactor * demand.spec->tasks;
}

/// Keeps what room there is for a gang on workers that it may use.
void Dispatcher::collectRoom(const StepDemand &demand, const Graph &graph,
    const std::vector<WorkerId> &allowedWorkers, Prospect prospect, MonotonicTime now)
{
    RoomClaims &claims = supervisor_->claims();
    if (prospect >= Prospect::Surplus || demand.spec->oneRack || !claims.canCollect(demand)) {
        return;
    }
    StepSpec anyNumber = *demand.spec;
    anyNumber.gang = false;
    StepDemand part = demand;
    part.spec = &anyNumber;
    const std::vector<FleetChoice> found = choose(part, graph, prospect, allowedWorkers);
    if (!found.empty()) {
        claims.collect(demand, found, now);
    }
}

TicketTerms Dispatcher::termsOf(const Queue &queue, TicketQueueMask waitingQueues) const
{
    TicketTerms terms {queue.name, *queue.tickets, 0};
    for (const std::pair<const QueueName, TicketQueueMask> &entry : ticketQueues_) {
        const bool isWaiting = (entry.second.value() & waitingQueues.value()) != 0;
        if (!isWaiting || entry.first == queue.name) {
            continue;
        }
        const Queue *other = parts_.journal.state().catalog().queueOfJobs(entry.first);
        const bool asksLong = other != nullptr && other->tickets
            && TicketClient::isLong(*other->tickets, minAskedWorkers);
        terms.otherWaitingQueues += asksLong ? 1 : 0;
    }
    return terms;
}

/// Returns workers that the step has not asked about yet, those with most room first: at most
/// `maxWorkers`, and no more than should suffice for its tasks. Steps that cannot wait ask for slow
/// workers last.
std::vector<WorkerId> Dispatcher::workersToAsk(
    const StepDemand &demand, bool canWait, std::size_t maxWorkers) const
{
    std::vector<WorkerId> workers;
    std::vector<const FleetWorker *> slowWorkers;
    double room = 0;
    const double requiredRoom = static_cast<double>(demand.spec->tasks) / minAllowedShare;
    const WorkerPermissions &asked = tickets_.permissionsOf(demand.step);
    const WorkerSpeeds &speeds = supervisor_->observer().speeds();
    const bool prefersFast = !canWait && speeds.likelySlowCount() > 0;
    const auto isEnough = [&]() {
        return workers.size() >= maxWorkers
            || (workers.size() >= minAskedWorkers && room >= requiredRoom);
    };
    const auto add = [&](const FleetWorker &worker) {
        const std::uint32_t size = std::max(demand.spec->size.milliCores, 1U);
        // Assumes that about half of a worker is in use.
        room += static_cast<double>(worker.capacity.milliCores) / size / 2;
        workers.push_back(worker.id);
    };
    supervisor_->fleet().visitEligible(demand, [&](const FleetWorker &worker) {
        if (isEnough()) {
            return false;
        }
        if (asked.contains(worker.id)) {
            return true;
        }
        if (prefersFast && speeds.isLikelySlow(worker.id)) {
            slowWorkers.push_back(&worker);
        } else {
            add(worker);
        }
        return true;
    });
    for (const FleetWorker *worker : slowWorkers) {
        if (isEnough()) {
            break;
        }
        add(*worker);
    }
    return workers;
}

bool Dispatcher::ask(const StepDemand &demand, const TicketTerms &terms,
    const std::vector<WorkerId> &workers, MonotonicTime now)
{
    if (workers.empty()) {
        return true; // there is nothing to request until other workers join
    }
    const TaskRef step = stepRef(demand.step);
    tickets_.recordRequest(step, workers); // first, as the answer may come at once
    const bool isSent = ticketClient_.ask(step, workers, terms, now,
        [weak = weak_from_this(), step, workers, validity = terms.timing.validity, askedAt = now](
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
        supervisor_->claims().release(step);
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
    tickets_.recordAnswer(step, workers, answer.allowed, now, valid);
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
    const Queue *queue = parts_.journal.state().catalog().queueOfJobs(graph->spec.queue);
    if (queue == nullptr || !queue->tickets) {
        return true;
    }
    const TicketTerms terms = termsOf(*queue, queue_.queuesWaitingToAsk());
    if (!ticketClient_.canAsk(terms, minAskedWorkers, now)) {
        return false;
    }
    const StepDemand demand = demandOf(*graph, step);
    return ask(demand, terms,
        workersToAsk(demand, canWait(demand, *graph, Prospect::InTime), maxAskedWorkers), now);
}

void Dispatcher::forgetTickets(const GraphId &id)
{
    tickets_.forget(id);
    supervisor_->claims().release(id);
}

/// Removes the tickets of jobs that are not open any more.
void Dispatcher::forgetClosedGraphs(MonotonicTime now)
{
    supervisor_->claims().releaseCollectedBefore(now - maxCollectingTime);
    queue_.retryAll(); // patience ends and headroom goes without another event
    for (const TaskRef &step : tickets_.steps()) {
        const Graph *graph = parts_.journal.state().graphs().find(step.graph);
        if (graph == nullptr || graph->state != GraphState::Open) {
            forgetTickets(step.graph);
        }
    }
}

} // namespace crocusmill
