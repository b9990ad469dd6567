/// Counts of tasks by phase, compared with a search.

#include "test/fakes/graphs.h"

#include <crocusmill/graphregistry.h>

#include <catch2/catch.hpp>

#include <array>
#include <map>
#include <random>

namespace crocusmill
{

namespace
{

using fakes::graphOf;
using fakes::stepOf;

const WallTime now {Milliseconds {1'000'000}};
constexpr std::array allPhases {
    TaskPhase::Waiting, TaskPhase::Placed, TaskPhase::Succeeded, TaskPhase::GivenUp};

TaskRef task(std::uint32_t step, std::uint32_t number)
{
    return {GraphId {"g"}, 0, step, number};
}

} // namespace

// Guards against counts that differ from the tasks after any sequence of changes: a job would end
// too early or never, and a gang would be stopped or go on in part.
TEST_CASE("the counts of phases match a search, and an open gang has one run number")
{
    std::mt19937_64 random {20261206};
    GraphRegistry registry;
    constexpr std::uint32_t tasks = 3;
    constexpr int changes = 3'000;
    for (int change = 0; change < changes; ++change) {
        if (registry.find(GraphId {"g"}) == nullptr) {
            StepSpec second = stepOf(tasks);
            second.after = {0};
            second.gang = true;
            registry.submit({graphOf("g", {stepOf(tasks), second}), now});
        }
        const Graph &graph = *registry.find(GraphId {"g"});
        const std::uint32_t step = random() % 2;
        const TaskRef ref = task(step, random() % tasks);
        const std::uint32_t run = graph.find(ref)->run.value() - random() % 2;
        const auto isChosen = [&random]() {
            return random() % 4 != 0;
        };
        PlaceRuns placements;
        for (std::uint32_t number = 0; number < tasks; ++number) {
            if (isChosen()) {
                placements.placements.push_back({task(step, number),
                    graph.nextRun(task(step, number)), WorkerId {"w"}, Incarnation {"1"}});
            }
        }
        switch (random() % 40) {
        case 0:
            registry.cancel({ref.graph, now});
            break;
        case 1:
            registry.forget(now + Milliseconds {1});
            break;
        case 2:
            registry.restore({graph});
            break;
        default:
            registry.place(placements);
            registry.end({{{ref, RunNumber {run}, static_cast<RunEnd>(random() % 5), {}}}, now});
        }
        const Graph *changed = registry.find(GraphId {"g"});
        if (changed == nullptr) {
            continue;
        }
        std::map<TaskPhase, std::uint32_t> total;
        for (const GraphStep &changedStep : changed->occurrences[0].steps) {
            std::map<TaskPhase, std::uint32_t> found;
            for (const GraphTask &candidate : changedStep.tasks) {
                ++found[candidate.phase];
                ++total[candidate.phase];
            }
            for (const TaskPhase phase : allPhases) {
                REQUIRE(changedStep.phases.of(phase) == found[phase]);
            }
        }
        for (const TaskPhase phase : allPhases) {
            REQUIRE(changed->phases.of(phase) == total[phase]);
        }
        for (const GraphTask &member : changed->occurrences[0].steps[1].tasks) {
            const bool isOpen = changed->state == GraphState::Open;
            REQUIRE((!isOpen || member.run == changed->find(task(1, 0))->run));
        }
    }
}

} // namespace crocusmill
