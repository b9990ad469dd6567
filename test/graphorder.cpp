/// Objectives of jobs and the order of ready steps.

#include "test/fakes/graphs.h"

#include <crocusmill/graphorder.h>

#include <catch2/catch.hpp>

namespace crocusmill
{

namespace
{

ReadyStep stepFor(const std::string &id, std::uint32_t priority, Milliseconds objective)
{
    ReadyStep step;
    step.step.graph = GraphId {id};
    step.priority = priority;
    step.accepted = WallTime {Milliseconds {0}};
    step.objective = objective;
    return step;
}

} // namespace

TEST_CASE("the objective follows the critical path")
{
    StepSpec second = fakes::stepOf(1);
    second.after = {0};
    StepSpec parallel = fakes::stepOf(1);
    parallel.estimate = Milliseconds {1'500};
    GraphSpec spec = fakes::graphOf("g", {fakes::stepOf(1), second, parallel});
    spec.slackFactor = 1.5;
    spec.aim = Milliseconds {250};
    CHECK(objectiveOf(spec) == Milliseconds {3'250});
}

TEST_CASE("steps are sorted by priority, then by deadline, with expired jobs last")
{
    std::vector<ReadyStep> steps {stepFor("late", 0, Milliseconds {100}),
        stepFor("heavy", 2, Milliseconds {5'000}), stepFor("b", 1, Milliseconds {4'000}),
        stepFor("a", 1, Milliseconds {2'000}), stepFor("quote", 0, Milliseconds {1'000})};
    sortByUrgency(steps, WallTime {Milliseconds {400}});
    std::vector<std::string> order;
    order.reserve(steps.size());
    for (const ReadyStep &step : steps) {
        order.push_back(step.step.graph.value());
    }
    CHECK(order == std::vector<std::string> {"quote", "a", "b", "heavy", "late"});
}

} // namespace crocusmill
