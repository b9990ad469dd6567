/// Counts placements for the order of a new leader's first calls.

#include <crocusmill/takeover.h>

#include <algorithm>
#include <map>

namespace crocusmill
{

namespace
{

std::map<WorkerId, std::size_t> countPlacements(const GraphRegistry &graphs)
{
    std::map<WorkerId, std::size_t> counts;
    for (const GraphId &id : graphs.openGraphs()) {
        for (const GraphOccurrence &occurrence : graphs.find(id)->occurrences) {
            for (const GraphStep &step : occurrence.steps) {
                for (const GraphTask &task : step.tasks) {
                    counts[task.worker] += task.phase == TaskPhase::Placed ? 1 : 0;
                }
            }
        }
    }
    return counts;
}

} // namespace

void sortByPlacements(std::vector<WorkerHeartbeat> &workers, const GraphRegistry &graphs)
{
    std::map<WorkerId, std::size_t> placements = countPlacements(graphs);
    std::stable_sort(workers.begin(), workers.end(),
        [&placements](const WorkerHeartbeat &left, const WorkerHeartbeat &right) {
            return placements[left.id] > placements[right.id];
        });
}

} // namespace crocusmill
