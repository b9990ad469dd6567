/// Choice of workers for tasks of steps.

#include <crocusmill/fleet.h>

#include <algorithm>
#include <limits>

namespace crocusmill
{

namespace
{

/// A filling task gets what others leave and counts for memory alone.
TaskSize countedSize(const StepSpec &spec)
{
    TaskSize size = spec.size;
    size.milliCores = spec.fills ? 0 : size.milliCores;
    return size;
}

template <typename T> std::uint64_t fitting(T capacity, T used, T size)
{
    if (size == 0) {
        return std::numeric_limits<std::uint32_t>::max();
    }
    return used >= capacity ? 0 : (capacity - used) / size;
}

std::uint32_t roomFor(const TaskSize &capacity, const TaskSize &used, const TaskSize &size)
{
    const std::uint64_t tasks = std::min({fitting<std::uint64_t>(capacity.milliCores,
                                              used.milliCores, size.milliCores),
        fitting<std::uint64_t>(capacity.memory.value(), used.memory.value(), size.memory.value()),
        fitting<std::uint64_t>(capacity.accelerators, used.accelerators, size.accelerators)});
    return static_cast<std::uint32_t>(
        std::min<std::uint64_t>(tasks, std::numeric_limits<std::uint32_t>::max()));
}

TaskRef stepOf(TaskRef ref)
{
    ref.task = 0;
    return ref;
}

std::int64_t freeMilliCores(const TaskSize &capacity, const TaskSize &used)
{
    return std::int64_t {capacity.milliCores} - std::int64_t {used.milliCores};
}

} // namespace

void Fleet::setWorker(const FleetWorker &worker)
{
    workers_[worker.id].worker = worker;
}

void Fleet::setOpen(const WorkerId &worker, bool open)
{
    const auto found = workers_.find(worker);
    if (found != workers_.end()) {
        found->second.worker.open = open;
    }
}

void Fleet::remove(const WorkerId &worker)
{
    const auto found = workers_.find(worker);
    if (found == workers_.end()) {
        return;
    }
    found->second.worker.open = false;
    if (found->second.perStep.empty()) {
        workers_.erase(found);
    }
}

const FleetWorker *Fleet::find(const WorkerId &worker) const
{
    const auto found = workers_.find(worker);
    return found == workers_.end() ? nullptr : &found->second.worker;
}

void Fleet::take(const WorkerId &worker, const TaskRef &task, const StepSpec &spec)
{
    Held &held = workers_[worker];
    held.worker.id = worker;
    const TaskSize size = countedSize(spec);
    held.used.milliCores += size.milliCores;
    held.used.memory = ByteCount {held.used.memory.value() + size.memory.value()};
    held.used.accelerators += size.accelerators;
    ++held.perStep[stepOf(task)];
}

void Fleet::release(const WorkerId &worker, const TaskRef &task, const StepSpec &spec)
{
    Held &held = workers_[worker];
    const TaskSize size = countedSize(spec);
    held.used.milliCores -= size.milliCores;
    held.used.memory = ByteCount {held.used.memory.value() - size.memory.value()};
    held.used.accelerators -= size.accelerators;
    const auto count = held.perStep.find(stepOf(task));
    if (--count->second == 0) {
        held.perStep.erase(count);
    }
}

bool Fleet::suits(const FleetWorker &worker, const StepDemand &demand)
{
    const StepSpec &spec = *demand.spec;
    const bool labelled = spec.label.value().empty()
        || std::find(worker.labels.begin(), worker.labels.end(), spec.label) != worker.labels.end();
    return worker.open && labelled && worker.service == demand.service
        && roomFor(worker.capacity, TaskSize {}, countedSize(spec)) > 0;
}

void Fleet::consider(const Held &held, const StepDemand &demand, std::vector<Candidate> &candidates)
{
    const StepSpec &spec = *demand.spec;
    if (!suits(held.worker, demand) || demand.avoided.contains(held.worker.id)) {
        return;
    }
    std::uint32_t tasks = roomFor(held.worker.capacity, held.used, countedSize(spec));
    if (spec.mostPerWorker > 0) {
        const auto placed = held.perStep.find(stepOf(demand.step));
        const std::uint32_t present = placed == held.perStep.end() ? 0 : placed->second;
        tasks = std::min(tasks, spec.mostPerWorker - std::min(present, spec.mostPerWorker));
    }
    if (tasks > 0) {
        const bool preferred = !spec.dataRack.value().empty() && held.worker.rack == spec.dataRack;
        candidates.push_back({&held, tasks, preferred});
    }
}

std::vector<FleetChoice> Fleet::fill(
    const StepDemand &demand, const std::vector<Candidate> &candidates)
{
    std::vector<FleetChoice> chosen;
    std::size_t next = 0;
    for (const Candidate &candidate : candidates) {
        const FleetWorker &worker = candidate.held->worker;
        for (std::uint32_t i = 0; i < candidate.tasks && next < demand.waiting.size(); ++i) {
            chosen.push_back({demand.waiting[next++], worker.id, worker.incarnation});
        }
    }
    if (demand.spec->gang && chosen.size() < demand.waiting.size()) {
        chosen.clear();
    }
    return chosen;
}

std::vector<FleetChoice> Fleet::choose(const StepDemand &demand) const
{
    std::vector<Candidate> candidates;
    for (const std::pair<const WorkerId, Held> &known : workers_) {
        consider(known.second, demand, candidates);
    }
    return chooseFrom(demand, std::move(candidates));
}

std::vector<FleetChoice> Fleet::chooseAmong(
    const StepDemand &demand, const std::vector<WorkerId> &workers) const
{
    std::vector<Candidate> candidates;
    for (const WorkerId &worker : workers) {
        const auto found = workers_.find(worker);
        if (found != workers_.end()) {
            consider(found->second, demand, candidates);
        }
    }
    return chooseFrom(demand, std::move(candidates));
}

std::vector<FleetChoice> Fleet::chooseFrom(
    const StepDemand &demand, std::vector<Candidate> candidates)
{
    std::sort(
        candidates.begin(), candidates.end(), [](const Candidate &left, const Candidate &right) {
            if (left.preferred != right.preferred) {
                return left.preferred;
            }
            return freeMilliCores(left.held->worker.capacity, left.held->used)
                < freeMilliCores(right.held->worker.capacity, right.held->used);
        });
    if (demand.spec->oneRack) {
        std::set<RackId> racks;
        for (const Candidate &candidate : candidates) {
            racks.insert(candidate.held->worker.rack);
        }
        for (const RackId &rack : racks) {
            std::vector<Candidate> within;
            std::copy_if(candidates.begin(), candidates.end(), std::back_inserter(within),
                [&rack](
                    const Candidate &candidate) { return candidate.held->worker.rack == rack; });
            std::vector<FleetChoice> chosen = fill(demand, within);
            if (chosen.size() == demand.waiting.size()) {
                return chosen;
            }
        }
    }
    return fill(demand, candidates);
}

std::vector<WorkerId> Fleet::suited(const StepDemand &demand) const
{
    std::vector<const Held *> found;
    for (const std::pair<const WorkerId, Held> &known : workers_) {
        if (suits(known.second.worker, demand)) {
            found.push_back(&known.second);
        }
    }
    std::sort(found.begin(), found.end(), [](const Held *left, const Held *right) {
        return freeMilliCores(left->worker.capacity, left->used)
            > freeMilliCores(right->worker.capacity, right->used);
    });
    std::vector<WorkerId> ids;
    ids.reserve(found.size());
    for (const Held *held : found) {
        ids.push_back(held->worker.id);
    }
    return ids;
}

std::uint64_t Fleet::openMilliCores(const ServiceName &service) const
{
    std::uint64_t sum = 0;
    for (const std::pair<const WorkerId, Held> &known : workers_) {
        const FleetWorker &worker = known.second.worker;
        sum += worker.open && worker.service == service ? worker.capacity.milliCores : 0;
    }
    return sum;
}

std::uint64_t Fleet::usedMilliCores(const ServiceName &service) const
{
    std::uint64_t sum = 0;
    for (const std::pair<const WorkerId, Held> &known : workers_) {
        sum += known.second.worker.service == service ? known.second.used.milliCores : 0;
    }
    return sum;
}

} // namespace crocusmill
