/// Best fit by free cores over the open workers of a service.

#include <crocusmill/fleet.h>

#include <algorithm>
#include <utility>

namespace crocusmill
{

namespace
{

TaskRef stepOf(TaskRef ref)
{
    ref.task = 0;
    return ref;
}

std::int64_t freeMilliCores(const TaskSize &capacity, const TaskSize &used)
{
    return std::int64_t {capacity.milliCores} - std::int64_t {used.milliCores};
}

template <typename T> T remaining(T capacity, T used)
{
    return capacity - std::min(capacity, used);
}

} // namespace

TaskSize reservationSize(const StepSpec &spec)
{
    TaskSize size = spec.size;
    size.milliCores = spec.fills ? 0 : size.milliCores;
    return size;
}

bool Fleet::ByFreeCores::operator()(const WorkerEntry *left, const WorkerEntry *right) const
{
    const std::int64_t leftFree = freeMilliCores(left->worker.capacity, left->used);
    const std::int64_t rightFree = freeMilliCores(right->worker.capacity, right->used);
    return leftFree != rightFree ? leftFree < rightFree : left->worker.id < right->worker.id;
}

bool Fleet::ByFreeCores::operator()(const WorkerEntry *entry, std::int64_t free) const
{
    return freeMilliCores(entry->worker.capacity, entry->used) < free;
}

bool Fleet::ByFreeCores::operator()(std::int64_t free, const WorkerEntry *entry) const
{
    return free < freeMilliCores(entry->worker.capacity, entry->used);
}

Fleet::WorkerEntry &Fleet::findOrAddEntry(const WorkerId &worker)
{
    const auto [it, isNew] = workers_.try_emplace(worker);
    if (isNew) {
        it->second.worker.id = worker;
        addToService(it->second);
    }
    return it->second;
}

void Fleet::removeFromService(WorkerEntry &entry)
{
    if (entry.worker.isOpen) {
        entry.service->openWorkers.erase(&entry);
        entry.service->openMilliCores -= entry.worker.capacity.milliCores;
    }
    entry.service->usedMilliCores -= entry.used.milliCores;
}

void Fleet::addToService(WorkerEntry &entry)
{
    entry.service = &services_[entry.worker.service];
    if (entry.worker.isOpen) {
        entry.service->openWorkers.insert(&entry);
        entry.service->openMilliCores += entry.worker.capacity.milliCores;
    }
    entry.service->usedMilliCores += entry.used.milliCores;
}

const Fleet::Service *Fleet::find(const ServiceName &service) const
{
    const auto it = services_.find(service);
    return it == services_.end() ? nullptr : &it->second;
}

void Fleet::setWorker(const FleetWorker &worker)
{
    WorkerEntry &entry = findOrAddEntry(worker.id);
    if (entry.worker != worker) {
        removeFromService(entry);
        entry.worker = worker;
        addToService(entry);
        recordGain(entry, true);
    }
}

void Fleet::setOpen(const WorkerId &worker, bool open)
{
    const auto it = workers_.find(worker);
    if (it != workers_.end() && it->second.worker.isOpen != open) {
        removeFromService(it->second);
        it->second.worker.isOpen = open;
        addToService(it->second);
        recordGain(it->second, true);
    }
}

void Fleet::remove(const WorkerId &worker)
{
    const auto it = workers_.find(worker);
    if (it == workers_.end()) {
        return;
    }
    setOpen(worker, false);
    if (it->second.taskCount == 0) {
        removeFromService(it->second);
        workers_.erase(it);
    }
}

const FleetWorker *Fleet::find(const WorkerId &worker) const
{
    const auto it = workers_.find(worker);
    return it == workers_.end() ? nullptr : &it->second.worker;
}

void Fleet::take(const WorkerId &worker, const TaskRef &task, const StepSpec &spec)
{
    WorkerEntry &entry = findOrAddEntry(worker);
    const TaskSize size = reservationSize(spec);
    removeFromService(entry);
    entry.used.milliCores += size.milliCores;
    entry.used.memory = ByteCount {entry.used.memory.value() + size.memory.value()};
    entry.used.accelerators += size.accelerators;
    addToService(entry);
    ++entry.taskCount;
    if (spec.mostPerWorker > 0) {
        ++entry.taskCountPerStep[stepOf(task)];
    }
}

void Fleet::release(const WorkerId &worker, const TaskRef &task, const StepSpec &spec)
{
    withdraw(worker, task, spec);
    noteGain(worker);
    gains_.steps.push_back(stepOf(task));
}

void Fleet::noteGain(const WorkerId &worker)
{
    recordGain(findOrAddEntry(worker), false);
}

void Fleet::withdraw(const WorkerId &worker, const TaskRef &task, const StepSpec &spec)
{
    WorkerEntry &entry = findOrAddEntry(worker);
    const TaskSize size = reservationSize(spec);
    removeFromService(entry);
    entry.used.milliCores -= size.milliCores;
    entry.used.memory = ByteCount {entry.used.memory.value() - size.memory.value()};
    entry.used.accelerators -= size.accelerators;
    addToService(entry);
    --entry.taskCount;
    const auto it = entry.taskCountPerStep.find(stepOf(task));
    if (it != entry.taskCountPerStep.end() && --it->second == 0) {
        entry.taskCountPerStep.erase(it);
    }
}

void Fleet::recordGain(const WorkerEntry &entry, bool isWorkerChange)
{
    if (entry.worker.isOpen) {
        gains_.workers.insert(entry.worker.id);
        gains_.hasOpenedWorker = gains_.hasOpenedWorker || isWorkerChange;
    }
}

FleetGains Fleet::takeGains()
{
    return std::exchange(gains_, {});
}

TaskSize Fleet::freeCapacityOn(const WorkerId &worker) const
{
    const auto it = workers_.find(worker);
    if (it == workers_.end() || !it->second.worker.isOpen) {
        return {};
    }
    const TaskSize &capacity = it->second.worker.capacity;
    const TaskSize &used = it->second.used;
    return {remaining(capacity.milliCores, used.milliCores),
        ByteCount {remaining(capacity.memory.value(), used.memory.value())},
        remaining(capacity.accelerators, used.accelerators)};
}

bool Fleet::isEligible(const FleetWorker &worker, const StepDemand &demand)
{
    return obstacleOf(worker, demand) == WorkerObstacle::None;
}

void Fleet::appendCandidate(
    const WorkerEntry &entry, const StepDemand &demand, std::vector<Candidate> &candidates)
{
    const StepSpec &spec = *demand.spec;
    if (!isEligible(entry.worker, demand) || demand.excludedWorkers.contains(entry.worker.id)) {
        return;
    }
    const std::uint32_t tasks = admissibleTaskCount(entry, demand);
    if (tasks > 0) {
        const bool isPreferred =
            !spec.dataRack.value().empty() && entry.worker.rack == spec.dataRack;
        const std::uint32_t rank =
            demand.ranking == nullptr ? 0 : demand.ranking->rankOf(entry.worker.id);
        candidates.push_back({&entry, tasks, isPreferred, rank});
    }
}

std::vector<FleetChoice> Fleet::assignTasks(
    const StepDemand &demand, const std::vector<Candidate> &candidates)
{
    std::vector<FleetChoice> chosen;
    std::size_t next = 0;
    for (const Candidate &candidate : candidates) {
        const FleetWorker &worker = candidate.entry->worker;
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
    const Service *service = find(demand.service);
    if (service == nullptr) {
        return {};
    }
    const std::int64_t minMilliCores = reservationSize(*demand.spec).milliCores;
    // Without rack preferences the first workers in the order of free cores are chosen.
    const bool needsAllCandidates = demand.spec->oneRack || !demand.spec->dataRack.value().empty();
    std::uint64_t tasks = 0;
    std::uint64_t bestRankTasks = 0;
    std::size_t rankedCount = 0; // workers visited although there was room for all tasks
    for (auto entry = minMilliCores == 0 ? service->openWorkers.begin()
                                         : service->openWorkers.lower_bound(minMilliCores);
         entry != service->openWorkers.end()
         && (needsAllCandidates || tasks < demand.waiting.size()
             || (demand.ranking != nullptr && bestRankTasks < demand.waiting.size()
                 && rankedCount < maxRankedWorkers));
         ++entry) {
        const std::size_t before = candidates.size();
        rankedCount += tasks < demand.waiting.size() ? 0 : 1;
        appendCandidate(**entry, demand, candidates);
        if (candidates.size() > before) {
            tasks += candidates.back().tasks;
            bestRankTasks += candidates.back().rank == 0 ? candidates.back().tasks : 0;
        }
    }
    return chooseFrom(demand, std::move(candidates));
}

std::vector<FleetChoice> Fleet::chooseAmong(
    const StepDemand &demand, const std::vector<WorkerId> &workers) const
{
    std::vector<Candidate> candidates;
    for (const WorkerId &worker : workers) {
        const auto it = workers_.find(worker);
        if (it != workers_.end()) {
            appendCandidate(it->second, demand, candidates);
        }
    }
    return chooseFrom(demand, std::move(candidates));
}

std::uint64_t Fleet::capacityFor(
    const StepDemand &demand, const std::vector<WorkerId> &workers) const
{
    const StepSpec &spec = *demand.spec;
    std::uint64_t tasks = 0;
    for (const WorkerId &id : workers) {
        const FleetWorker *worker = find(id);
        if (worker == nullptr || !isEligible(*worker, demand)) {
            continue;
        }
        const std::uint32_t fitting =
            fittingTaskCount(worker->capacity, TaskSize {}, reservationSize(spec));
        tasks += spec.mostPerWorker > 0 ? std::min(fitting, spec.mostPerWorker) : fitting;
    }
    return tasks;
}

std::vector<FleetChoice> Fleet::chooseFrom(
    const StepDemand &demand, std::vector<Candidate> candidates)
{
    std::sort(
        candidates.begin(), candidates.end(), [](const Candidate &left, const Candidate &right) {
            if (left.isPreferred != right.isPreferred) {
                return left.isPreferred;
            }
            return left.rank != right.rank ? left.rank < right.rank
                                           : ByFreeCores {}(left.entry, right.entry);
        });
    if (demand.spec->oneRack) {
        std::set<RackId> racks;
        for (const Candidate &candidate : candidates) {
            racks.insert(candidate.entry->worker.rack);
        }
        for (const RackId &rack : racks) {
            std::vector<Candidate> within;
            std::copy_if(candidates.begin(), candidates.end(), std::back_inserter(within),
                [&rack](
                    const Candidate &candidate) { return candidate.entry->worker.rack == rack; });
            std::vector<FleetChoice> chosen = assignTasks(demand, within);
            if (chosen.size() == demand.waiting.size()) {
                return chosen;
            }
        }
    }
    return assignTasks(demand, candidates);
}

void Fleet::visitEligible(
    const StepDemand &demand, const std::function<bool(const FleetWorker &)> &visit) const
{
    const Service *service = find(demand.service);
    if (service == nullptr) {
        return;
    }
    for (auto entry = service->openWorkers.end(); entry != service->openWorkers.begin();) {
        const FleetWorker &worker = (*--entry)->worker;
        if (isEligible(worker, demand) && !visit(worker)) {
            return;
        }
    }
}

std::vector<WorkerId> Fleet::eligibleWorkers(const StepDemand &demand) const
{
    std::vector<WorkerId> ids;
    visitEligible(demand, [&ids](const FleetWorker &worker) {
        ids.push_back(worker.id);
        return true;
    });
    return ids;
}

std::uint64_t Fleet::openMilliCores(const ServiceName &service) const
{
    const Service *entry = find(service);
    return entry == nullptr ? 0 : entry->openMilliCores;
}

std::uint64_t Fleet::usedMilliCores(const ServiceName &service) const
{
    const Service *entry = find(service);
    return entry == nullptr ? 0 : entry->usedMilliCores;
}

} // namespace crocusmill
