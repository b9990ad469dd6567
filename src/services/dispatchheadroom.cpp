/// Headroom of the dispatcher: how many tasks of a step may start beside more urgent work.

#include "src/net/clock.h"
#include "src/services/dispatcher.h"

#include <algorithm>
#include <limits>

namespace crocusmill
{

/// What runs for the last leader shows how much urgent work there is.
void Dispatcher::noteAdoptedPlacements(MonotonicTime now)
{
    const GraphRegistry &graphs = parts_.journal.state().graphs();
    for (const GraphId &id : graphs.openGraphs()) {
        const Graph &graph = *graphs.find(id);
        std::uint64_t milliCores = 0;
        for (const GraphOccurrence &occurrence : graph.occurrences) {
            for (std::size_t step = 0; step < occurrence.steps.size(); ++step) {
                const std::vector<GraphTask> &tasks = occurrence.steps[step].tasks;
                const std::ptrdiff_t placedCount = std::count_if(tasks.begin(), tasks.end(),
                    [](const GraphTask &task) { return task.phase == TaskPhase::Placed; });
                milliCores += static_cast<std::uint64_t>(placedCount)
                    * reservationSize(graph.spec.steps[step]).milliCores;
            }
        }
        headroom_.notePlaced(graph.spec.priority, milliCores, slackOf(graph.spec), now);
    }
}

bool Dispatcher::hasAmpleTime(const StepDemand &demand, const Graph &graph)
{
    // Estimates are off by up to a half.
    constexpr double slowWorkerFactor = 3.0;
    return canEndInTime(graph, demand.step, slowWorkerFactor, wallTimeNow());
}

/// Returns the demand with only as many tasks as leave the headroom for more urgent queues.
StepDemand Dispatcher::limitToHeadroom(
    StepDemand demand, const Graph &graph, Prospect prospect, MonotonicTime now) const
{
    const std::uint64_t size = reservationSize(*demand.spec).milliCores;
    if (size == 0 || demand.spec->lasting) {
        return demand;
    }
    const bool isOfLittleUse = prospect >= Prospect::Surplus;
    const std::uint32_t priority =
        isOfLittleUse ? std::numeric_limits<std::uint32_t>::max() : graph.spec.priority;
    const bool hasTimeToWait = isOfLittleUse || hasAmpleTime(demand, graph);
    const Fleet &fleet = supervisor_->fleet();
    const std::uint64_t open = fleet.openMilliCores(demand.service);
    const std::uint64_t kept = fleet.usedMilliCores(demand.service)
        + headroom_.milliCoresFor(priority, open, hasTimeToWait, now);
    const std::uint64_t tasks = kept >= open ? 0 : (open - kept) / size;
    if (demand.spec->gang && tasks < demand.waiting.size()) {
        demand.waiting.clear();
    }
    demand.waiting.resize(std::min<std::size_t>(demand.waiting.size(), tasks));
    return demand;
}

} // namespace crocusmill
