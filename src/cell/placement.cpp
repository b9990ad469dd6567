/// Best fit by free cores for batch jobs and gangs, spread over zones and racks for services.

#include <crocusmill/placement.h>

#include <algorithm>

namespace crocusmill
{

namespace
{

/// Workers are indexed by their free cores in buckets of this size.
constexpr std::uint32_t bucketMilliCores = 500;
/// The best worker is chosen among at most this many that fit.
constexpr std::size_t maxCandidates = 24;

std::uint32_t bucketOf(const TaskSize &free)
{
    return free.milliCores / bucketMilliCores;
}

bool fitsIn(const TaskSize &size, const TaskSize &room)
{
    return size.milliCores <= room.milliCores && size.memory <= room.memory
        && size.accelerators <= room.accelerators;
}

/// Returns the cost of placing `size`: the larger of the shares of cores and memory that stay free,
/// plus the difference between both. The lowest cost packs best.
double packingCost(const TaskSize &free, const TaskSize &size, const TaskSize &capacity)
{
    const double cores = capacity.milliCores == 0
        ? 0
        : static_cast<double>(free.milliCores - size.milliCores) / capacity.milliCores;
    const double memory = capacity.memory.value() == 0
        ? 0
        : static_cast<double>(free.memory.value() - size.memory.value())
            / static_cast<double>(capacity.memory.value());
    return std::max(cores, memory) + std::abs(cores - memory);
}

} // namespace

std::string_view text(PlacementObstacle obstacle)
{
    switch (obstacle) {
    case PlacementObstacle::None:
        return "nothing stands in the way";
    case PlacementObstacle::NeverFits:
        return "it is larger than the workers can ever hold";
    case PlacementObstacle::NoRoom:
        return "no worker has room now";
    }
    return "unknown";
}

Placement::Placement(PlacementPolicy policy)
    : policy_(policy)
{
}

TaskSize Placement::freeOf(const Worker &worker)
{
    const TaskSize &capacity = worker.spec.capacity;
    const TaskSize &reserved = worker.reserved;
    TaskSize free;
    free.milliCores = capacity.milliCores - std::min(capacity.milliCores, reserved.milliCores);
    free.memory = ByteCount {
        capacity.memory.value() - std::min(capacity.memory.value(), reserved.memory.value())};
    free.accelerators =
        capacity.accelerators - std::min(capacity.accelerators, reserved.accelerators);
    return free;
}

bool Placement::fits(const Worker &worker, const TaskSize &size)
{
    return worker.spec.isOpen && fitsIn(size, freeOf(worker));
}

void Placement::updateIndex(WorkerIndex index)
{
    Worker &worker = workers_[index];
    buckets_[worker.bucket].erase(index);
    std::map<std::uint32_t, std::set<WorkerIndex>> &zone = zones_[worker.spec.zone];
    zone[worker.bucket].erase(index);
    if (!worker.spec.isOpen) {
        return;
    }
    worker.bucket = bucketOf(freeOf(worker));
    buckets_[worker.bucket].insert(index);
    zone[worker.bucket].insert(index);
}

void Placement::setWorker(const PlacementWorker &worker)
{
    const auto [it, isNew] =
        indices_.try_emplace(worker.id, static_cast<WorkerIndex>(workers_.size()));
    if (isNew) {
        workers_.emplace_back();
    } else {
        relocate(it->second, worker);
    }
    workers_[it->second].spec = worker;
    updateIndex(it->second);
}

void Placement::relocate(WorkerIndex index, const PlacementWorker &updated)
{
    const Worker &current = workers_[index];
    if (current.spec.zone == updated.zone && current.spec.rack == updated.rack) {
        return;
    }
    zones_[current.spec.zone][current.bucket].erase(index);
    for (std::pair<const JobId, TaskCounts> &counts : taskCounts_) {
        const auto count = counts.second.workers.find(updated.id);
        if (count != counts.second.workers.end()) {
            counts.second.zones[current.spec.zone] -= count->second;
            counts.second.zones[updated.zone] += count->second;
            counts.second.racks[current.spec.rack] -= count->second;
            counts.second.racks[updated.rack] += count->second;
        }
    }
}

void Placement::removeWorker(const WorkerId &worker)
{
    const auto it = indices_.find(worker);
    if (it == indices_.end()) {
        return;
    }
    workers_[it->second].spec.isOpen = false;
    updateIndex(it->second);
}

void Placement::add(Worker &worker, const TaskSize &size)
{
    worker.reserved.milliCores += size.milliCores;
    worker.reserved.memory = ByteCount {worker.reserved.memory.value() + size.memory.value()};
    worker.reserved.accelerators += size.accelerators;
}

void Placement::reserve(const WorkerId &worker, const JobId &job, JobClass jobClass, TaskSize size)
{
    if (!indices_.contains(worker)) {
        PlacementWorker placeholder;
        placeholder.id = worker;
        placeholder.isOpen = false;
        setWorker(placeholder);
    }
    const WorkerIndex index = indices_.at(worker);
    Worker &entry = workers_[index];
    add(entry, size);
    updateIndex(index);
    if (jobClass == JobClass::Service) {
        TaskCounts &counts = taskCounts_[job];
        ++counts.zones[entry.spec.zone];
        ++counts.racks[entry.spec.rack];
        ++counts.workers[worker];
    }
}

void Placement::release(const WorkerId &worker, const JobId &job, JobClass jobClass, TaskSize size)
{
    const auto it = indices_.find(worker);
    if (it == indices_.end()) {
        return;
    }
    Worker &entry = workers_[it->second];
    entry.reserved.milliCores -= std::min(entry.reserved.milliCores, size.milliCores);
    entry.reserved.memory = ByteCount {entry.reserved.memory.value()
        - std::min(entry.reserved.memory.value(), size.memory.value())};
    entry.reserved.accelerators -= std::min(entry.reserved.accelerators, size.accelerators);
    updateIndex(it->second);
    const auto counts = taskCounts_.find(job);
    if (jobClass == JobClass::Service && counts != taskCounts_.end()) {
        --counts->second.zones[entry.spec.zone];
        --counts->second.racks[entry.spec.rack];
        if (--counts->second.workers[worker] == 0) {
            counts->second.workers.erase(worker);
        }
        if (counts->second.workers.empty()) {
            taskCounts_.erase(counts);
        }
    }
}

std::optional<Placement::WorkerIndex> Placement::findFirstFit(const TaskSize &size) const
{
    for (WorkerIndex index = 0; index < workers_.size(); ++index) {
        if (fits(workers_[index], size)) {
            return index;
        }
    }
    return std::nullopt;
}

std::optional<Placement::WorkerIndex> Placement::findBestFit(const TaskSize &size) const
{
    std::optional<WorkerIndex> best;
    double bestCost = 0;
    std::size_t candidateCount = 0;
    auto bucket = buckets_.lower_bound(size.milliCores / bucketMilliCores);
    for (; bucket != buckets_.end() && candidateCount < maxCandidates; ++bucket) {
        for (const WorkerIndex index : bucket->second) {
            const Worker &worker = workers_[index];
            if (!fits(worker, size)) {
                continue;
            }
            const double cost = packingCost(freeOf(worker), size, worker.spec.capacity);
            if (!best || cost < bestCost) {
                best = index;
                bestCost = cost;
            }
            if (++candidateCount >= maxCandidates) {
                break;
            }
        }
    }
    return best;
}

std::optional<Placement::WorkerIndex> Placement::findSpread(
    const JobId &job, const TaskSize &size) const
{
    static const TaskCounts none;
    const auto it = taskCounts_.find(job);
    const TaskCounts &counts = it == taskCounts_.end() ? none : it->second;
    std::vector<std::pair<std::uint32_t, AvailabilityZone>> order;
    for (const std::pair<const AvailabilityZone, std::map<std::uint32_t, std::set<WorkerIndex>>>
             &zone : zones_) {
        const auto used = counts.zones.find(zone.first);
        order.emplace_back(used == counts.zones.end() ? 0 : used->second, zone.first);
    }
    std::sort(order.begin(), order.end());
    for (const std::pair<std::uint32_t, AvailabilityZone> &zone : order) {
        const std::map<std::uint32_t, std::set<WorkerIndex>> &buckets = zones_.at(zone.second);
        std::optional<WorkerIndex> best;
        std::uint64_t bestCost = 0;
        std::size_t candidateCount = 0;
        auto bucket = buckets.rbegin(); // the emptiest workers first
        for (; bucket != buckets.rend() && candidateCount < maxCandidates; ++bucket) {
            for (const WorkerIndex index : bucket->second) {
                const Worker &worker = workers_[index];
                if (!fits(worker, size)) {
                    continue;
                }
                const auto rack = counts.racks.find(worker.spec.rack);
                const auto same = counts.workers.find(worker.spec.id);
                constexpr std::uint64_t sameWorkerCost = 1000;
                const std::uint64_t cost = (rack == counts.racks.end() ? 0 : rack->second)
                    + sameWorkerCost * (same == counts.workers.end() ? 0 : same->second);
                if (!best || cost < bestCost) {
                    best = index;
                    bestCost = cost;
                }
                if (++candidateCount >= maxCandidates) {
                    break;
                }
            }
        }
        if (best) {
            return best;
        }
    }
    return std::nullopt;
}

std::optional<Placement::WorkerIndex> Placement::find(const PlacementJob &job) const
{
    if (policy_ == PlacementPolicy::FirstFit) {
        return findFirstFit(job.size);
    }
    if (job.jobClass == JobClass::Service) {
        return findSpread(job.id, job.size);
    }
    return findBestFit(job.size);
}

PlacementResult Placement::place(const PlacementJob &job, std::size_t maxTasks)
{
    const bool gang = job.jobClass == JobClass::Gang;
    const std::size_t requestedCount =
        gang ? job.waiting.size() : std::min(maxTasks, job.waiting.size());
    PlacementResult result;
    for (std::size_t i = 0; i < requestedCount; ++i) {
        const std::optional<WorkerIndex> index = find(job);
        if (!index) {
            result.obstacle = feasible(job);
            if (result.obstacle == PlacementObstacle::None) {
                result.obstacle = PlacementObstacle::NoRoom;
            }
            break;
        }
        const PlacementWorker &worker = workers_[*index].spec;
        result.chosen.push_back({job.waiting[i], worker.id, worker.incarnation});
        reserve(worker.id, job.id, job.jobClass, job.size);
    }
    if (gang && result.chosen.size() < requestedCount) {
        for (const ChosenWorker &chosen : result.chosen) {
            release(chosen.worker, job.id, job.jobClass, job.size);
        }
        result.chosen.clear();
    }
    return result;
}

PlacementObstacle Placement::feasible(const PlacementJob &job) const
{
    std::uint64_t room = 0;
    const std::uint64_t needed = job.jobClass == JobClass::Gang ? job.waiting.size() : 1;
    for (const Worker &worker : workers_) {
        const TaskSize &capacity = worker.spec.capacity;
        if (!fitsIn(job.size, capacity)) {
            continue;
        }
        std::uint64_t count = needed;
        if (job.size.milliCores > 0) {
            count = std::min<std::uint64_t>(count, capacity.milliCores / job.size.milliCores);
        }
        if (job.size.memory.value() > 0) {
            count = std::min(count, capacity.memory.value() / job.size.memory.value());
        }
        if (job.size.accelerators > 0) {
            count = std::min<std::uint64_t>(count, capacity.accelerators / job.size.accelerators);
        }
        room += count;
        if (room >= needed) {
            return PlacementObstacle::None;
        }
    }
    return PlacementObstacle::NeverFits;
}

TaskSize Placement::freeOn(const WorkerId &worker) const
{
    const auto it = indices_.find(worker);
    return it == indices_.end() ? TaskSize {} : freeOf(workers_[it->second]);
}

std::size_t Placement::workerCount() const
{
    return workers_.size();
}

} // namespace crocusmill
