/// Room on workers: never more than there is, and kept together for wide tasks.

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
    worker.open = true;
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

} // namespace

TEST_CASE("small tasks leave whole workers free for a wide gang")
{
    // The load: many small tasks arrive before a gang that needs whole workers.
    Fleet fleet;
    for (int i = 0; i < 4; ++i) {
        fleet.setWorker(workerOf("w" + std::to_string(i), 64));
    }
    const StepSpec small = stepOf(1, 4);
    for (int i = 0; i < 30; ++i) { // 120 of 256 cores
        const StepDemand demand = demandFor(small, "small" + std::to_string(i));
        takeAll(fleet, demand, fleet.choose(demand));
    }
    // Spread evenly, each worker would have 34 cores left, and no member would fit.
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

TEST_CASE("labels, limits per worker, racks and data are followed")
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

TEST_CASE("a worker never holds more than its capacity, whatever comes and goes")
{
    rc::check("reserved within capacity", []() {
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
    });
}

} // namespace crocusmill
