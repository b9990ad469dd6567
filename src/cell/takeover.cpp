/// The order of a new leader's first calls.

#include <crocusmill/takeover.h>

#include <algorithm>
#include <map>

namespace crocusmill
{

namespace
{

std::map<WorkerId, std::size_t> placementsOf(const GraphRegistry &graphs)
{
    std::map<WorkerId, std::size_t> count;
    for (const GraphId &id : graphs.openGraphs()) {
        for (const GraphOccurrence &occurrence : graphs.find(id)->occurrences) {
            for (const GraphStep &step : occurrence.steps) {
                for (const GraphTask &task : step.tasks) {
                    count[task.worker] += task.phase == TaskPhase::Placed ? 1 : 0;
                }
            }
        }
    }
    return count;
}

} // namespace

void sortByPlacements(std::vector<WorkerHeartbeat> &workers, const GraphRegistry &graphs)
{
    std::map<WorkerId, std::size_t> placements = placementsOf(graphs);
    std::stable_sort(workers.begin(), workers.end(),
        [&placements](const WorkerHeartbeat &one, const WorkerHeartbeat &other) {
            return placements[one.id] > placements[other.id];
        });
}

} // namespace crocusmill
