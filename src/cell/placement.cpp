/// Best fit by free cores for batch and gangs, spread for services.

#include <crocusmill/placement.h>

#include <algorithm>

namespace crocusmill
{

namespace
{

/// Workers are indexed by their free cores in steps of this size.
constexpr std::uint32_t bucketMilliCores = 500;
/// Candidates that are looked at before the best of them is taken.
constexpr std::size_t mostCandidates = 24;

std::uint32_t bucketOf(const TaskSize &free)
{
    return free.milliCores / bucketMilliCores;
}

bool within(const TaskSize &size, const TaskSize &room)
{
    return size.milliCores <= room.milliCores && size.memory <= room.memory
        && size.accelerators <= room.accelerators;
}

/// Share of the capacity that stays free in the dimension that has most left.
double leftover(const TaskSize &free, const TaskSize &size, const TaskSize &capacity)
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
    return worker.spec.open && within(size, freeOf(worker));
}

void Placement::reindex(WorkerIndex index)
{
    Worker &worker = workers_[index];
    buckets_[worker.bucket].erase(index);
    std::map<std::uint32_t, std::set<WorkerIndex>> &zone = zones_[worker.spec.zone];
    zone[worker.bucket].erase(index);
    if (!worker.spec.open) {
        return;
    }
    worker.bucket = bucketOf(freeOf(worker));
    buckets_[worker.bucket].insert(index);
    zone[worker.bucket].insert(index);
}

void Placement::setWorker(const PlacementWorker &worker)
{
    const auto [found, isNew] =
        indices_.try_emplace(worker.id, static_cast<WorkerIndex>(workers_.size()));
    if (isNew) {
        workers_.emplace_back();
    } else {
        relocate(found->second, worker);
    }
    workers_[found->second].spec = worker;
    reindex(found->second);
}

void Placement::relocate(WorkerIndex index, const PlacementWorker &now)
{
    const Worker &known = workers_[index];
    if (known.spec.zone == now.zone && known.spec.rack == now.rack) {
        return;
    }
    zones_[known.spec.zone][known.bucket].erase(index);
    for (std::pair<const JobId, Spread> &spread : spreads_) {
        const auto count = spread.second.workers.find(now.id);
        if (count != spread.second.workers.end()) {
            spread.second.zones[known.spec.zone] -= count->second;
            spread.second.zones[now.zone] += count->second;
            spread.second.racks[known.spec.rack] -= count->second;
            spread.second.racks[now.rack] += count->second;
        }
    }
}

void Placement::removeWorker(const WorkerId &worker)
{
    const auto found = indices_.find(worker);
    if (found == indices_.end()) {
        return;
    }
    workers_[found->second].spec.open = false;
    reindex(found->second);
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
        PlacementWorker unheard;
        unheard.id = worker;
        unheard.open = false;
        setWorker(unheard);
    }
    const WorkerIndex index = indices_.at(worker);
    Worker &known = workers_[index];
    add(known, size);
    reindex(index);
    if (jobClass == JobClass::Service) {
        Spread &spread = spreads_[job];
        ++spread.zones[known.spec.zone];
        ++spread.racks[known.spec.rack];
        ++spread.workers[worker];
    }
}

void Placement::release(const WorkerId &worker, const JobId &job, JobClass jobClass, TaskSize size)
{
    const auto found = indices_.find(worker);
    if (found == indices_.end()) {
        return;
    }
    Worker &known = workers_[found->second];
    known.reserved.milliCores -= std::min(known.reserved.milliCores, size.milliCores);
    known.reserved.memory = ByteCount {known.reserved.memory.value()
        - std::min(known.reserved.memory.value(), size.memory.value())};
    known.reserved.accelerators -= std::min(known.reserved.accelerators, size.accelerators);
    reindex(found->second);
    const auto spread = spreads_.find(job);
    if (jobClass == JobClass::Service && spread != spreads_.end()) {
        --spread->second.zones[known.spec.zone];
        --spread->second.racks[known.spec.rack];
        if (--spread->second.workers[worker] == 0) {
            spread->second.workers.erase(worker);
        }
        if (spread->second.workers.empty()) {
            spreads_.erase(spread);
        }
    }
}

std::optional<Placement::WorkerIndex> Placement::findFirst(const TaskSize &size) const
{
    for (WorkerIndex index = 0; index < workers_.size(); ++index) {
        if (fits(workers_[index], size)) {
            return index;
        }
    }
    return std::nullopt;
}

std::optional<Placement::WorkerIndex> Placement::findPacked(const TaskSize &size) const
{
    std::optional<WorkerIndex> best;
    double bestLeft = 0;
    std::size_t looked = 0;
    auto bucket = buckets_.lower_bound(size.milliCores / bucketMilliCores);
    for (; bucket != buckets_.end() && looked < mostCandidates; ++bucket) {
        for (const WorkerIndex index : bucket->second) {
            const Worker &worker = workers_[index];
            if (!fits(worker, size)) {
                continue;
            }
            const double left = leftover(freeOf(worker), size, worker.spec.capacity);
            if (!best || left < bestLeft) {
                best = index;
                bestLeft = left;
            }
            if (++looked >= mostCandidates) {
                break;
            }
        }
    }
    return best;
}

std::optional<Placement::WorkerIndex> Placement::findSpread(
    const JobId &job, const TaskSize &size) const
{
    static const Spread none;
    const auto known = spreads_.find(job);
    const Spread &spread = known == spreads_.end() ? none : known->second;
    std::vector<std::pair<std::uint32_t, AvailabilityZone>> order;
    for (const std::pair<const AvailabilityZone, std::map<std::uint32_t, std::set<WorkerIndex>>>
             &zone : zones_) {
        const auto used = spread.zones.find(zone.first);
        order.emplace_back(used == spread.zones.end() ? 0 : used->second, zone.first);
    }
    std::sort(order.begin(), order.end());
    for (const std::pair<std::uint32_t, AvailabilityZone> &zone : order) {
        const std::map<std::uint32_t, std::set<WorkerIndex>> &buckets = zones_.at(zone.second);
        std::optional<WorkerIndex> best;
        std::uint64_t bestCrowd = 0;
        std::size_t looked = 0;
        auto bucket = buckets.rbegin(); // the emptiest workers first
        for (; bucket != buckets.rend() && looked < mostCandidates; ++bucket) {
            for (const WorkerIndex index : bucket->second) {
                const Worker &worker = workers_[index];
                if (!fits(worker, size)) {
                    continue;
                }
                const auto rack = spread.racks.find(worker.spec.rack);
                const auto same = spread.workers.find(worker.spec.id);
                constexpr std::uint64_t sameWorkerCost = 1000;
                const std::uint64_t crowd = (rack == spread.racks.end() ? 0 : rack->second)
                    + sameWorkerCost * (same == spread.workers.end() ? 0 : same->second);
                if (!best || crowd < bestCrowd) {
                    best = index;
                    bestCrowd = crowd;
                }
                if (++looked >= mostCandidates) {
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
        return findFirst(job.size);
    }
    if (job.jobClass == JobClass::Service) {
        return findSpread(job.id, job.size);
    }
    return findPacked(job.size);
}

PlacementResult Placement::place(const PlacementJob &job, std::size_t most)
{
    const bool gang = job.jobClass == JobClass::Gang;
    const std::size_t wanted = gang ? job.waiting.size() : std::min(most, job.waiting.size());
    PlacementResult result;
    for (std::size_t i = 0; i < wanted; ++i) {
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
    if (gang && result.chosen.size() < wanted) {
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
        if (!within(job.size, capacity)) {
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
    const auto found = indices_.find(worker);
    return found == indices_.end() ? TaskSize {} : freeOf(workers_[found->second]);
}

std::size_t Placement::workerCount() const
{
    return workers_.size();
}

} // namespace crocusmill
