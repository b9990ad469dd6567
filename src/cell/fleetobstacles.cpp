/// What keeps a worker from taking a task of a step.

#include <crocusmill/fleet.h>

#include <algorithm>
#include <limits>

namespace crocusmill
{

namespace
{

template <typename T> std::uint64_t fittingCount(T capacity, T used, T size)
{
    if (size == 0) {
        return std::numeric_limits<std::uint32_t>::max();
    }
    return used >= capacity ? 0 : (capacity - used) / size;
}

} // namespace

std::uint32_t fittingTaskCount(const TaskSize &capacity, const TaskSize &used, const TaskSize &size)
{
    const std::uint64_t tasks = std::min({fittingCount<std::uint64_t>(capacity.milliCores,
                                              used.milliCores, size.milliCores),
        fittingCount<std::uint64_t>(
            capacity.memory.value(), used.memory.value(), size.memory.value()),
        fittingCount<std::uint64_t>(capacity.accelerators, used.accelerators, size.accelerators)});
    return static_cast<std::uint32_t>(
        std::min<std::uint64_t>(tasks, std::numeric_limits<std::uint32_t>::max()));
}

WorkerObstacle Fleet::obstacleOf(const FleetWorker &worker, const StepDemand &demand)
{
    const StepSpec &spec = *demand.spec;
    if (worker.service != demand.service) {
        return WorkerObstacle::OtherService;
    }
    if (!worker.isOpen) {
        return WorkerObstacle::NotOpen;
    }
    const bool hasLabel = spec.label.value().empty()
        || std::find(worker.labels.begin(), worker.labels.end(), spec.label) != worker.labels.end();
    if (!hasLabel) {
        return WorkerObstacle::Label;
    }
    return fittingTaskCount(worker.capacity, TaskSize {}, reservationSize(spec)) == 0
        ? WorkerObstacle::TooSmall
        : WorkerObstacle::None;
}

std::uint32_t Fleet::admissibleTaskCount(const WorkerEntry &entry, const StepDemand &demand)
{
    const StepSpec &spec = *demand.spec;
    const std::uint32_t tasks =
        fittingTaskCount(entry.worker.capacity, entry.used, reservationSize(spec));
    if (spec.mostPerWorker == 0) {
        return tasks;
    }
    TaskRef step = demand.step;
    step.task = 0;
    const auto it = entry.taskCountPerStep.find(step);
    const std::uint32_t present = it == entry.taskCountPerStep.end() ? 0 : it->second;
    return std::min(tasks, spec.mostPerWorker - std::min(present, spec.mostPerWorker));
}

void Fleet::visitObstacles(const std::vector<StepDemand> &demands,
    const std::function<void(std::size_t, const FleetWorker &, WorkerObstacle)> &visit) const
{
    for (const std::pair<const WorkerId, WorkerEntry> &worker : workers_) {
        const WorkerEntry &entry = worker.second;
        for (std::size_t i = 0; i < demands.size(); ++i) {
            WorkerObstacle obstacle = obstacleOf(entry.worker, demands[i]);
            if (obstacle == WorkerObstacle::None && admissibleTaskCount(entry, demands[i]) == 0) {
                const TaskSize size = reservationSize(*demands[i].spec);
                obstacle = fittingTaskCount(entry.worker.capacity, entry.used, size) == 0
                    ? WorkerObstacle::NoRoom
                    : WorkerObstacle::PerWorkerLimit;
            }
            visit(i, entry.worker, obstacle);
        }
    }
}

} // namespace crocusmill
