/// Choice of workers for tasks of steps.

#include <crocusmill/fleet.h>

#include <algorithm>
#include <limits>
#include <utility>

namespace crocusmill
{

namespace
{

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

template <typename T> T left(T capacity, T used)
{
    return capacity - std::min(capacity, used);
}

} // namespace

TaskSize countedSize(const StepSpec &spec)
{
    TaskSize size = spec.size;
    size.milliCores = spec.fills ? 0 : size.milliCores;
    return size;
}

bool Fleet::MoreUsed::operator()(const Held *left, const Held *right) const
{
    const std::int64_t leftFree = freeMilliCores(left->worker.capacity, left->used);
    const std::int64_t rightFree = freeMilliCores(right->worker.capacity, right->used);
    return leftFree != rightFree ? leftFree < rightFree : left->worker.id < right->worker.id;
}

bool Fleet::MoreUsed::operator()(const Held *held, std::int64_t free) const
{
    return freeMilliCores(held->worker.capacity, held->used) < free;
}

bool Fleet::MoreUsed::operator()(std::int64_t free, const Held *held) const
{
    return free < freeMilliCores(held->worker.capacity, held->used);
}

Fleet::Held &Fleet::heldOf(const WorkerId &worker)
{
    const auto [place, isNew] = workers_.try_emplace(worker);
    if (isNew) {
        place->second.worker.id = worker;
        enter(place->second);
    }
    return place->second;
}

void Fleet::withdraw(Held &held)
{
    if (held.worker.open) {
        held.service->open.erase(&held);
        held.service->openMilliCores -= held.worker.capacity.milliCores;
    }
    held.service->usedMilliCores -= held.used.milliCores;
}

void Fleet::enter(Held &held)
{
    held.service = &services_[held.worker.service];
    if (held.worker.open) {
        held.service->open.insert(&held);
        held.service->openMilliCores += held.worker.capacity.milliCores;
    }
    held.service->usedMilliCores += held.used.milliCores;
}

const Fleet::Service *Fleet::find(const ServiceName &service) const
{
    const auto found = services_.find(service);
    return found == services_.end() ? nullptr : &found->second;
}

void Fleet::setWorker(const FleetWorker &worker)
{
    Held &held = heldOf(worker.id);
    if (held.worker != worker) {
        withdraw(held);
        held.worker = worker;
        enter(held);
        noteGain(held, true);
    }
}

void Fleet::setOpen(const WorkerId &worker, bool open)
{
    const auto found = workers_.find(worker);
    if (found != workers_.end() && found->second.worker.open != open) {
        withdraw(found->second);
        found->second.worker.open = open;
        enter(found->second);
        noteGain(found->second, true);
    }
}

void Fleet::remove(const WorkerId &worker)
{
    const auto found = workers_.find(worker);
    if (found == workers_.end()) {
        return;
    }
    setOpen(worker, false);
    if (found->second.tasks == 0) {
        withdraw(found->second);
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
    Held &held = heldOf(worker);
    const TaskSize size = countedSize(spec);
    withdraw(held);
    held.used.milliCores += size.milliCores;
    held.used.memory = ByteCount {held.used.memory.value() + size.memory.value()};
    held.used.accelerators += size.accelerators;
    enter(held);
    ++held.tasks;
    if (spec.mostPerWorker > 0) {
        ++held.perStep[stepOf(task)];
    }
}

void Fleet::release(const WorkerId &worker, const TaskRef &task, const StepSpec &spec)
{
    Held &held = heldOf(worker);
    const TaskSize size = countedSize(spec);
    withdraw(held);
    held.used.milliCores -= size.milliCores;
    held.used.memory = ByteCount {held.used.memory.value() - size.memory.value()};
    held.used.accelerators -= size.accelerators;
    enter(held);
    --held.tasks;
    const auto count = held.perStep.find(stepOf(task));
    if (count != held.perStep.end() && --count->second == 0) {
        held.perStep.erase(count);
    }
    noteGain(held, false);
    gains_.steps.push_back(stepOf(task));
}

void Fleet::noteGain(const Held &held, bool isOther)
{
    if (held.worker.open) {
        gains_.workers.insert(held.worker.id);
        gains_.opened = gains_.opened || isOther;
    }
}

FleetGains Fleet::takeGains()
{
    return std::exchange(gains_, {});
}

TaskSize Fleet::roomOn(const WorkerId &worker) const
{
    const auto found = workers_.find(worker);
    if (found == workers_.end() || !found->second.worker.open) {
        return {};
    }
    const TaskSize &capacity = found->second.worker.capacity;
    const TaskSize &used = found->second.used;
    return {left(capacity.milliCores, used.milliCores),
        ByteCount {left(capacity.memory.value(), used.memory.value())},
        left(capacity.accelerators, used.accelerators)};
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
    const Service *service = find(demand.service);
    if (service == nullptr) {
        return {};
    }
    const std::int64_t least = countedSize(*demand.spec).milliCores;
    // Elsewhere the first ones in the order of free cores are those that are chosen.
    const bool needsAll = demand.spec->oneRack || !demand.spec->dataRack.value().empty();
    std::uint64_t tasks = 0;
    for (auto held = least == 0 ? service->open.begin() : service->open.lower_bound(least);
         held != service->open.end() && (needsAll || tasks < demand.waiting.size()); ++held) {
        const std::size_t before = candidates.size();
        consider(**held, demand, candidates);
        tasks += candidates.size() > before ? candidates.back().tasks : 0;
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
            return left.preferred != right.preferred ? left.preferred
                                                     : MoreUsed {}(left.held, right.held);
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

void Fleet::visitSuited(
    const StepDemand &demand, const std::function<bool(const FleetWorker &)> &visit) const
{
    const Service *service = find(demand.service);
    if (service == nullptr) {
        return;
    }
    for (auto held = service->open.end(); held != service->open.begin();) {
        const FleetWorker &worker = (*--held)->worker;
        if (suits(worker, demand) && !visit(worker)) {
            return;
        }
    }
}

std::vector<WorkerId> Fleet::suited(const StepDemand &demand) const
{
    std::vector<WorkerId> ids;
    visitSuited(demand, [&ids](const FleetWorker &worker) {
        ids.push_back(worker.id);
        return true;
    });
    return ids;
}

std::uint64_t Fleet::openMilliCores(const ServiceName &service) const
{
    const Service *known = find(service);
    return known == nullptr ? 0 : known->openMilliCores;
}

std::uint64_t Fleet::usedMilliCores(const ServiceName &service) const
{
    const Service *known = find(service);
    return known == nullptr ? 0 : known->usedMilliCores;
}

} // namespace crocusmill
