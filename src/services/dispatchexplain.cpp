/// Explanation of placements: what a scheduling round would decide for the steps of a job now.

#include "src/services/dispatcher.h"

#include <unordered_set>

namespace crocusmill
{

namespace
{

/// Ready steps of one job that are explained. Each is compared with each worker, and the control
/// thread does nothing else meanwhile.
constexpr std::size_t maxExplainedSteps = 16;

std::size_t indexOf(PlacementReason reason)
{
    return static_cast<std::size_t>(reason);
}

PlacementReason reasonOf(WorkerObstacle obstacle)
{
    switch (obstacle) {
    case WorkerObstacle::None:
        return PlacementReason::None;
    case WorkerObstacle::OtherService:
        return PlacementReason::OtherService;
    case WorkerObstacle::NotOpen:
        return PlacementReason::NotOpen;
    case WorkerObstacle::Label:
        return PlacementReason::Label;
    case WorkerObstacle::TooSmall:
        return PlacementReason::TooSmall;
    case WorkerObstacle::NoRoom:
        return PlacementReason::NoRoom;
    case WorkerObstacle::PerWorkerLimit:
        return PlacementReason::PerWorkerLimit;
    }
    return PlacementReason::None;
}

} // namespace

JobPlacement Dispatcher::explain(const Graph &graph, MonotonicTime now, WallTime wall) const
{
    JobPlacement placement;
    if (graph.state != GraphState::Open) {
        return placement;
    }
    std::vector<StepDemand> demands;
    TaskRef ref {graph.spec.id, 0, 0, 0};
    for (ref.occurrence = 0; ref.occurrence < graph.occurrences.size(); ++ref.occurrence) {
        for (ref.step = 0; ref.step < graph.spec.steps.size(); ++ref.step) {
            StepDemand demand = demandOf(graph, ref);
            if (demand.waiting.empty()) {
                continue;
            }
            if (!graph.isDue(ref.occurrence, wall) || !graph.isReady(ref.occurrence, ref.step)) {
                ++placement.unreadySteps;
            } else if (demands.size() == maxExplainedSteps) {
                ++placement.omittedSteps;
            } else {
                demands.push_back(std::move(demand));
            }
        }
    }
    const Queue *queue = parts_.journal.state().catalog().queueOfJobs(graph.spec.queue);
    const bool needsTickets = queue != nullptr && queue->tickets;
    const std::vector<WorkerCounts> workers = countWorkers(demands, needsTickets, now);
    const Milliseconds objective = objectiveOf(graph.spec);
    for (std::size_t i = 0; i < demands.size(); ++i) {
        const Urgency urgency =
            urgencyOf(StepQueue::readyStepOf(graph, demands[i].step, objective), wall);
        placement.steps.push_back(
            explainStep(demands[i], graph, needsTickets, urgency, workers[i], now));
        const Customer *customer = customers_.find(graph.spec.customer);
        if (customer != nullptr
            && placement.steps.back().reason == PlacementReason::CustomerLimit) {
            placement.limitedCustomer = *customer;
            placement.customerUsage = supervisor_->usage().usedBy(customer->name);
        }
    }
    return placement;
}

/// Counts the workers for each demand, in one pass over the workers.
std::vector<WorkerCounts> Dispatcher::countWorkers(
    const std::vector<StepDemand> &demands, bool needsTickets, MonotonicTime now) const
{
    std::vector<std::unordered_set<WorkerId>> withTicket;
    for (const StepDemand &demand : demands) {
        const std::vector<WorkerId> ids =
            tickets_.workersWithTicket(demand.step, now + minTicketValidity);
        withTicket.emplace_back(ids.begin(), ids.end());
    }
    std::vector<WorkerCounts> counts(demands.size(), WorkerCounts {});
    supervisor_->fleet().visitObstacles(
        demands, [&](std::size_t i, const FleetWorker &worker, WorkerObstacle obstacle) {
            PlacementReason reason = reasonOf(obstacle);
            if (reason == PlacementReason::None && needsTickets
                && !withTicket[i].contains(worker.id)) {
                reason = PlacementReason::NoTicket;
            }
            ++counts[i][indexOf(reason)];
        });
    return counts;
}

/// Makes the decisions of placeStep() and placeOrAsk() without their effects.
StepReport Dispatcher::explainStep(const StepDemand &waiting, const Graph &graph, bool needsTickets,
    const Urgency &urgency, const WorkerCounts &workers, MonotonicTime now) const
{
    StepReport report;
    report.step = waiting.step;
    report.prospect = urgency.prospect;
    report.position = queue_.countBefore(urgency) + 1;
    report.waitingTasks = waiting.waiting.size();
    report.workers = workers;
    report.keepsRoom = supervisor_->claims().contains(waiting.step);
    const StepDemand allowed = limitToCustomer(waiting, graph);
    const StepDemand limited = limitToHeadroom(allowed, graph, urgency.prospect, now);
    std::optional<std::vector<WorkerId>> among;
    if (needsTickets) {
        among = tickets_.workersWithTicket(waiting.step, now + minTicketValidity);
    }
    const bool awaitsTickets = needsTickets && report.keepsRoom
        && tickets_.hasPendingRequest(waiting.step) && !allowed.waiting.empty();
    if (!awaitsTickets) {
        const std::vector<FleetChoice> chosen = choose(limited, graph, urgency.prospect, among);
        report.startableTasks = chosen.size();
        report.firstWorker = chosen.empty() ? WorkerId {} : chosen.front().worker;
    }
    if (report.startableTasks == waiting.waiting.size()) {
        report.reason = PlacementReason::None;
    } else if (awaitsTickets) {
        report.reason = PlacementReason::NoTicket;
    } else if (report.startableTasks == allowed.waiting.size()) {
        report.reason = PlacementReason::CustomerLimit;
    } else if (report.startableTasks == limited.waiting.size()
        && choose(allowed, graph, urgency.prospect, std::nullopt).size() > report.startableTasks) {
        // limitToHeadroom() also leaves out what the service has no free cores for.
        report.reason = PlacementReason::Headroom;
    } else {
        report.reason = reasonOfWorkers(allowed, graph, among, workers);
    }
    return report;
}

/// Returns why the workers do not take all tasks of the demand: the obstacle that the most suitable
/// ones have.
PlacementReason Dispatcher::reasonOfWorkers(const StepDemand &demand, const Graph &graph,
    const std::optional<std::vector<WorkerId>> &among, const WorkerCounts &workers) const
{
    if (workers[indexOf(PlacementReason::NoTicket)] > 0) {
        return PlacementReason::NoTicket;
    }
    if (demand.spec->mostPerWorker > 0) {
        StepSpec unlimited = *demand.spec;
        unlimited.mostPerWorker = 0;
        StepDemand spreading = demand;
        spreading.spec = &unlimited;
        // The prospect only changes the order of workers, not how many tasks find room.
        if (choose(spreading, graph, Prospect::InTime, among).size()
            > choose(demand, graph, Prospect::InTime, among).size()) {
            return PlacementReason::PerWorkerLimit;
        }
    }
    if (workers[indexOf(PlacementReason::None)] > 0) {
        return PlacementReason::NoRoom;
    }
    for (const PlacementReason reason : {PlacementReason::NoRoom, PlacementReason::TooSmall,
             PlacementReason::Label, PlacementReason::NotOpen, PlacementReason::OtherService}) {
        if (workers[indexOf(reason)] > 0) {
            return reason;
        }
    }
    return PlacementReason::NotOpen; // there are no workers
}

} // namespace crocusmill
