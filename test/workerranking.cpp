/// The ranking of workers decides their order and never whether tasks are placed.

#include "test/fakes/graphs.h"

#include <crocusmill/fleet.h>

#include <catch2/catch.hpp>
#include <rapidcheck.h>

namespace crocusmill
{

namespace
{

using fakes::stepOf;

FleetWorker workerOf(int number, std::uint32_t cores)
{
    FleetWorker worker;
    worker.id = WorkerId {"w" + std::to_string(1'000 + number)};
    worker.incarnation = Incarnation {"1"};
    worker.service = ServiceName {"matching"};
    worker.capacity.milliCores = cores * 1'000;
    worker.rack = RackId {"r" + std::to_string(number % 3)};
    worker.isOpen = true;
    return worker;
}

StepDemand demandFor(const StepSpec &spec, const WorkerRanking *ranking)
{
    StepDemand demand;
    demand.step.graph = GraphId {"g"};
    demand.service = ServiceName {"matching"};
    demand.spec = &spec;
    demand.ranking = ranking;
    for (std::uint32_t task = 0; task < spec.tasks; ++task) {
        demand.waiting.push_back(task);
    }
    return demand;
}

class FakeRanking : public WorkerRanking
{
public:
    std::uint32_t rankOf(const WorkerId &worker) const override
    {
        ++calls;
        const auto found = ranks.find(worker);
        return found == ranks.end() ? otherRank : found->second;
    }

    std::map<WorkerId, std::uint32_t> ranks;
    std::uint32_t otherRank = 0;
    mutable std::size_t calls = 0;
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

/// Adds workers of random size and use.
std::vector<WorkerId> fillRandomly(Fleet &fleet)
{
    std::vector<WorkerId> workers;
    const int count = *rc::gen::inRange(1, 20);
    for (int number = 0; number < count; ++number) {
        const FleetWorker worker = workerOf(number, *rc::gen::inRange(1U, 9U));
        workers.push_back(worker.id);
        fleet.setWorker(worker);
        const StepSpec used = stepOf(1, *rc::gen::inRange(1U, 5U));
        const StepDemand demand = demandFor(used, nullptr);
        for (const FleetChoice &choice : fleet.chooseAmong(demand, {worker.id})) {
            fleet.take(choice.worker, {GraphId {"used"}, 0, 0, 0}, used);
        }
    }
    return workers;
}

StepSpec randomStep()
{
    StepSpec step = stepOf(*rc::gen::inRange(1U, 12U), *rc::gen::inRange(1U, 6U));
    step.gang = *rc::gen::inRange(0, 3) == 0;
    step.oneRack = *rc::gen::inRange(0, 4) == 0;
    step.mostPerWorker = *rc::gen::inRange(0U, 3U);
    step.dataRack = RackId {*rc::gen::elementOf(std::vector<std::string> {"", "", "r2"})};
    return step;
}

} // namespace

// Fails if a ranking without differences changes a choice, or any ranking leaves room unused.
TEST_CASE("a ranking changes only the order, and nothing if all workers are equal")
{
    const bool passed = rc::check("as many tasks as without a ranking", []() {
        Fleet fleet;
        const std::vector<WorkerId> workers = fillRandomly(fleet);
        const StepSpec spec = randomStep();
        const std::vector<FleetChoice> plain = fleet.choose(demandFor(spec, nullptr));
        const std::vector<FleetChoice> plainAmong =
            fleet.chooseAmong(demandFor(spec, nullptr), workers);
        FakeRanking equal;
        equal.otherRank = *rc::gen::inRange(0U, 2U);
        RC_ASSERT(toPairs(fleet.choose(demandFor(spec, &equal))) == toPairs(plain));
        RC_ASSERT(
            toPairs(fleet.chooseAmong(demandFor(spec, &equal), workers)) == toPairs(plainAmong));
        FakeRanking ranking;
        for (const WorkerId &worker : workers) {
            ranking.ranks[worker] = *rc::gen::inRange(0U, 3U);
        }
        RC_ASSERT(fleet.choose(demandFor(spec, &ranking)).size() == plain.size());
        RC_ASSERT(
            fleet.chooseAmong(demandFor(spec, &ranking), workers).size() == plainAmong.size());
    });
    CHECK(passed);
}

// Fails if the choice ignores the ranking, or refuses workers of a high rank.
TEST_CASE("workers of a low rank come first, the others are used after them")
{
    Fleet fleet;
    fleet.setWorker(workerOf(0, 1)); // best fit
    fleet.setWorker(workerOf(1, 2));
    fleet.setWorker(workerOf(2, 4));
    FakeRanking ranking;
    ranking.ranks[workerOf(0, 1).id] = 2;
    ranking.ranks[workerOf(1, 2).id] = 1;
    const StepSpec few = stepOf(4);
    for (const FleetChoice &choice : fleet.choose(demandFor(few, &ranking))) {
        CHECK(choice.worker == workerOf(2, 4).id);
    }
    const StepSpec more = stepOf(7);
    const std::vector<FleetChoice> chosen = fleet.choose(demandFor(more, &ranking));
    REQUIRE(chosen.size() == 7);
    CHECK(chosen[5].worker == workerOf(1, 2).id);
    CHECK(chosen[6].worker == workerOf(0, 1).id);
}

// Fails if a choice visits all workers of a large fleet when none has a good rank.
TEST_CASE("the search for workers of a low rank is bounded")
{
    Fleet fleet;
    for (int number = 0; number < 2'000; ++number) {
        fleet.setWorker(workerOf(number, 4));
    }
    FakeRanking ranking;
    ranking.otherRank = 1;
    const StepSpec spec = stepOf(8);
    CHECK(fleet.choose(demandFor(spec, &ranking)).size() == 8);
    CHECK(ranking.calls == 2 + maxRankedWorkers);
    ranking.calls = 0;
    ranking.otherRank = 0;
    CHECK(fleet.choose(demandFor(spec, &ranking)).size() == 8);
    CHECK(ranking.calls == 2);
}

} // namespace crocusmill
