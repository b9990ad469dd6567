/// Reservations stay within the capacity of workers, and wide tasks find whole workers.

#include "test/fakes/graphs.h"

#include <crocusmill/fleet.h>

#include <catch2/catch.hpp>
#include <rapidcheck.h>

namespace crocusmill
{

namespace
{

using fakes::stepOf;

FleetWorker workerOf(const std::string &id, std::uint32_t cores, const std::string &rack = "r1")
{
    FleetWorker worker;
    worker.id = WorkerId {id};
    worker.incarnation = Incarnation {"1"};
    worker.service = ServiceName {"matching"};
    worker.capacity.milliCores = cores * 1000;
    worker.rack = RackId {rack};
    worker.labels = {WorkerLabel {"a"}, WorkerLabel {rack}};
    worker.isOpen = true;
    return worker;
}

StepDemand demandFor(const StepSpec &spec, const std::string &graph = "g")
{
    StepDemand demand;
    demand.step.graph = GraphId {graph};
    demand.service = ServiceName {"matching"};
    demand.spec = &spec;
    for (std::uint32_t task = 0; task < spec.tasks; ++task) {
        demand.waiting.push_back(task);
    }
    return demand;
}

void takeAll(Fleet &fleet, const StepDemand &demand, const std::vector<FleetChoice> &chosen)
{
    for (const FleetChoice &choice : chosen) {
        TaskRef task = demand.step;
        task.task = choice.task;
        fleet.take(choice.worker, task, *demand.spec);
    }
}

/// Reference model of Fleet that examines every worker on each call.
struct NaiveFleet
{
    struct WorkerEntry
    {
        FleetWorker worker;
        std::int64_t milliCores = 0; // reserved
        std::int64_t memory = 0;
        std::map<TaskRef, std::uint32_t> taskCountPerStep;

        [[nodiscard]] std::int64_t free() const
        {
            return worker.capacity.milliCores - milliCores;
        }
    };

    [[nodiscard]] static bool isEligible(const WorkerEntry &entry, const StepDemand &demand)
    {
        const std::vector<WorkerLabel> &labels = entry.worker.labels;
        const StepSpec &spec = *demand.spec;
        return entry.worker.isOpen && entry.worker.service == demand.service
            && (spec.label.value().empty()
                || std::find(labels.begin(), labels.end(), spec.label) != labels.end())
            && spec.size.milliCores <= entry.worker.capacity.milliCores
            && spec.size.memory <= entry.worker.capacity.memory;
    }

    [[nodiscard]] static std::int64_t fittingTaskCount(
        const WorkerEntry &entry, const StepDemand &demand)
    {
        const StepSpec &spec = *demand.spec;
        if (!isEligible(entry, demand) || demand.excludedWorkers.contains(entry.worker.id)) {
            return 0;
        }
        std::int64_t tasks = std::max<std::int64_t>(entry.free(), 0) / spec.size.milliCores;
        const std::int64_t memory =
            static_cast<std::int64_t>(entry.worker.capacity.memory.value()) - entry.memory;
        if (spec.size.memory.value() > 0) {
            tasks = std::min(tasks, memory / static_cast<std::int64_t>(spec.size.memory.value()));
        }
        if (spec.mostPerWorker > 0) {
            const auto present = entry.taskCountPerStep.find(demand.step);
            tasks = std::min<std::int64_t>(tasks,
                spec.mostPerWorker
                    - (present == entry.taskCountPerStep.end() ? 0 : present->second));
        }
        return tasks;
    }

    /// Returns the workers in the order in which they get tasks.
    [[nodiscard]] std::vector<const WorkerEntry *> workersInFillOrder(
        const StepDemand &demand) const
    {
        std::vector<const WorkerEntry *> all;
        for (const std::pair<const WorkerId, WorkerEntry> &item : workers) {
            all.push_back(&item.second);
        }
        const RackId rack = demand.spec->dataRack;
        std::stable_sort(
            all.begin(), all.end(), [&rack](const WorkerEntry *left, const WorkerEntry *right) {
                const bool isLeftRemote = !rack.value().empty() && left->worker.rack != rack;
                const bool isRightRemote = !rack.value().empty() && right->worker.rack != rack;
                return std::pair {isLeftRemote, left->free()}
                < std::pair {isRightRemote, right->free()};
            });
        return all;
    }

    [[nodiscard]] std::vector<std::pair<std::uint32_t, WorkerId>> choose(
        const StepDemand &demand) const
    {
        std::set<RackId> racks;
        for (const std::pair<const WorkerId, WorkerEntry> &item : workers) {
            racks.insert(item.second.worker.rack);
        }
        std::vector<std::pair<std::uint32_t, WorkerId>> chosen;
        for (const RackId &rack : demand.spec->oneRack ? racks : std::set<RackId> {}) {
            chosen = chooseWithin(demand, &rack);
            if (chosen.size() == demand.waiting.size()) {
                return chosen;
            }
        }
        chosen = chooseWithin(demand, nullptr);
        const bool isPartialGang = demand.spec->gang && chosen.size() < demand.waiting.size();
        return isPartialGang ? std::vector<std::pair<std::uint32_t, WorkerId>> {} : chosen;
    }

    [[nodiscard]] std::vector<std::pair<std::uint32_t, WorkerId>> chooseWithin(
        const StepDemand &demand, const RackId *rack) const
    {
        std::vector<std::pair<std::uint32_t, WorkerId>> chosen;
        for (const WorkerEntry *entry : workersInFillOrder(demand)) {
            const std::int64_t room = rack == nullptr || entry->worker.rack == *rack
                ? fittingTaskCount(*entry, demand)
                : 0;
            for (std::int64_t i = 0; i < room && chosen.size() < demand.waiting.size(); ++i) {
                chosen.emplace_back(demand.waiting[chosen.size()], entry->worker.id);
            }
        }
        return chosen;
    }

    std::map<WorkerId, WorkerEntry> workers;
};

std::vector<std::pair<std::uint32_t, WorkerId>> toPairs(const std::vector<FleetChoice> &chosen)
{
    std::vector<std::pair<std::uint32_t, WorkerId>> pairs;
    pairs.reserve(chosen.size());
    for (const FleetChoice &choice : chosen) {
        pairs.emplace_back(choice.task, choice.worker);
    }
    return pairs;
}

std::string randomElement(const std::vector<std::string> &names)
{
    return *rc::gen::elementOf(names);
}

FleetWorker randomWorker()
{
    FleetWorker worker = workerOf("w" + std::to_string(*rc::gen::inRange(0, 12)),
        *rc::gen::inRange(1U, 9U), randomElement({"r1", "r2", "r3"}));
    worker.capacity.memory = ByteCount {*rc::gen::inRange<std::uint64_t>(0, 9)};
    worker.service = ServiceName {randomElement({"matching", "matching", "other"})};
    worker.isOpen = *rc::gen::inRange(0, 4) > 0;
    return worker;
}

StepSpec randomStep()
{
    StepSpec step = stepOf(*rc::gen::inRange(1U, 8U), *rc::gen::inRange(1U, 6U));
    step.size.memory = ByteCount {*rc::gen::inRange<std::uint64_t>(0, 4)};
    step.gang = *rc::gen::inRange(0, 3) == 0;
    step.oneRack = *rc::gen::inRange(0, 4) == 0;
    step.mostPerWorker = *rc::gen::inRange(0U, 3U);
    step.label = WorkerLabel {randomElement({"", "", "a", "r1", "none"})};
    step.dataRack = RackId {randomElement({"", "", "r2"})};
    return step;
}

} // namespace

TEST_CASE("small tasks leave whole workers free for a wide gang")
{
    // Many small tasks arrive before a gang that needs whole workers.
    Fleet fleet;
    for (int i = 0; i < 4; ++i) {
        fleet.setWorker(workerOf("w" + std::to_string(i), 64));
    }
    const StepSpec small = stepOf(1, 4);
    for (int i = 0; i < 30; ++i) { // 120 of 256 cores
        const StepDemand demand = demandFor(small, "small" + std::to_string(i));
        takeAll(fleet, demand, fleet.choose(demand));
    }
    // If the tasks were spread evenly, each worker would have 34 cores left and no member would
    // fit.
    StepSpec gang = stepOf(2, 60);
    gang.gang = true;
    CHECK(fleet.choose(demandFor(gang)).size() == 2);
}

TEST_CASE("a gang without room for all gets nothing")
{
    Fleet fleet;
    fleet.setWorker(workerOf("w", 8));
    StepSpec gang = stepOf(3, 3);
    gang.gang = true;
    CHECK(fleet.choose(demandFor(gang)).empty());
    gang.gang = false;
    CHECK(fleet.choose(demandFor(gang)).size() == 2);
}

TEST_CASE("labels, limits per worker and rack preferences are respected")
{
    Fleet fleet;
    fleet.setWorker(workerOf("near", 8, "r2"));
    fleet.setWorker(workerOf("far", 4, "r1"));
    StepSpec step = stepOf(4);
    step.dataRack = RackId {"r2"};
    CHECK(fleet.choose(demandFor(step)).front().worker == WorkerId {"near"});
    step.mostPerWorker = 1;
    const StepDemand limited = demandFor(step);
    takeAll(fleet, limited, fleet.choose(limited));
    CHECK(fleet.choose(limited).empty());
    StepSpec labelled = stepOf(1);
    labelled.label = WorkerLabel {"b"};
    CHECK(fleet.choose(demandFor(labelled, "h")).empty());
    StepSpec together = stepOf(5);
    together.oneRack = true;
    for (const FleetChoice &choice : fleet.choose(demandFor(together, "i"))) {
        CHECK(choice.worker == WorkerId {"near"});
    }
}

TEST_CASE("choices match a model that examines every worker, after any sequence of changes")
{
    CHECK(rc::check("matches the naive fleet", []() {
        Fleet fleet;
        NaiveFleet naive;
        std::vector<std::tuple<WorkerId, TaskRef, StepSpec>> placed;
        const int events = *rc::gen::inRange(1, 80);
        for (int event = 0; event < events; ++event) {
            const int kind = *rc::gen::inRange(0, 10);
            if (kind < 4) {
                const FleetWorker worker = randomWorker();
                fleet.setWorker(worker);
                naive.workers[worker.id].worker = worker;
            } else if (kind == 4 && !naive.workers.empty()) {
                NaiveFleet::WorkerEntry &entry = naive.workers.begin()->second;
                entry.worker.isOpen = !entry.worker.isOpen;
                fleet.setOpen(entry.worker.id, entry.worker.isOpen);
            } else if (kind == 5 && !placed.empty()) {
                const auto [id, task, spec] = placed.back();
                placed.pop_back();
                fleet.release(id, task, spec);
                NaiveFleet::WorkerEntry &entry = naive.workers.at(id);
                entry.milliCores -= spec.size.milliCores;
                entry.memory -= static_cast<std::int64_t>(spec.size.memory.value());
                TaskRef step = task;
                step.task = 0;
                --entry.taskCountPerStep[step];
            }
            const StepSpec spec = randomStep();
            StepDemand demand = demandFor(spec, std::to_string(event));
            if (*rc::gen::arbitrary<bool>()) {
                demand.excludedWorkers.insert(WorkerId {"w1"});
            }
            const std::vector<FleetChoice> chosen = fleet.choose(demand);
            RC_ASSERT(toPairs(chosen) == naive.choose(demand));
            std::vector<WorkerId> all;
            std::vector<WorkerId> eligibleWorkers;
            for (const std::pair<const WorkerId, NaiveFleet::WorkerEntry> &item : naive.workers) {
                all.push_back(item.first);
                if (NaiveFleet::isEligible(item.second, demand)) {
                    eligibleWorkers.push_back(item.first);
                }
            }
            RC_ASSERT(toPairs(fleet.chooseAmong(demand, all)) == naive.choose(demand));
            std::sort(eligibleWorkers.begin(), eligibleWorkers.end(),
                [&](const WorkerId &a, const WorkerId &b) {
                    const std::int64_t left = naive.workers.at(a).free();
                    const std::int64_t right = naive.workers.at(b).free();
                    return left != right ? left > right : a > b;
                });
            RC_ASSERT(fleet.eligibleWorkers(demand) == eligibleWorkers);
            std::uint64_t open = 0;
            std::uint64_t used = 0;
            for (const std::pair<const WorkerId, NaiveFleet::WorkerEntry> &item : naive.workers) {
                if (item.second.worker.service == demand.service) {
                    open += item.second.worker.isOpen ? item.second.worker.capacity.milliCores : 0;
                    used += static_cast<std::uint64_t>(item.second.milliCores);
                }
            }
            RC_ASSERT(fleet.openMilliCores(demand.service) == open);
            RC_ASSERT(fleet.usedMilliCores(demand.service) == used);
            for (const FleetChoice &choice : chosen) {
                TaskRef task = demand.step;
                task.task = choice.task;
                fleet.take(choice.worker, task, spec);
                NaiveFleet::WorkerEntry &entry = naive.workers.at(choice.worker);
                entry.milliCores += spec.size.milliCores;
                entry.memory += static_cast<std::int64_t>(spec.size.memory.value());
                ++entry.taskCountPerStep[demand.step];
                placed.emplace_back(choice.worker, task, spec);
            }
        }
    }));
}

TEST_CASE("reservations never exceed the capacity of a worker")
{
    CHECK(rc::check("reserved within capacity", []() {
        Fleet fleet;
        std::map<WorkerId, std::uint32_t> used;
        for (int i = 0; i < 5; ++i) {
            fleet.setWorker(workerOf("w" + std::to_string(i), 16));
        }
        std::vector<std::tuple<WorkerId, TaskRef, StepSpec>> placed;
        const int rounds = *rc::gen::inRange(1, 60);
        for (int round = 0; round < rounds; ++round) {
            StepSpec step =
                stepOf(*rc::gen::inRange(1U, 6U), *rc::gen::inRange<std::uint32_t>(1, 16));
            step.gang = *rc::gen::arbitrary<bool>();
            const StepDemand demand = demandFor(step, std::to_string(round));
            for (const FleetChoice &choice : fleet.choose(demand)) {
                TaskRef task = demand.step;
                task.task = choice.task;
                fleet.take(choice.worker, task, step);
                used[choice.worker] += step.size.milliCores;
                placed.emplace_back(choice.worker, task, step);
                RC_ASSERT(used[choice.worker] <= 16'000U);
            }
            while (!placed.empty() && *rc::gen::inRange(0, 3) == 0) {
                const auto &[worker, task, spec] = placed.back();
                fleet.release(worker, task, spec);
                used[worker] -= spec.size.milliCores;
                placed.pop_back();
            }
        }
    }));
}

} // namespace crocusmill
