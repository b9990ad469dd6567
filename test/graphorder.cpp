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

TEST_CASE("a job that can still end in time goes before a more urgent one that will be late")
{
    ReadyStep late = stepFor("late", 0, Milliseconds {1'000});
    late.remaining = Milliseconds {800};
    ReadyStep inTime = stepFor("in time", 2, Milliseconds {3'000});
    inTime.remaining = Milliseconds {800};
    const WallTime now {Milliseconds {201}};
    CHECK(urgencyOf(late, now).prospect == Prospect::Late);
    CHECK(urgencyOf(inTime, now) < urgencyOf(late, now));
    // The prospect changes after the last start that ends in time, and after the last useful one.
    CHECK(nextChangeOf(late, WallTime {Milliseconds {200}}) == WallTime {Milliseconds {200}});
    CHECK(nextChangeOf(late, now) == WallTime {Milliseconds {2'200}});
    CHECK_FALSE(nextChangeOf(late, WallTime {Milliseconds {2'201}}).has_value());
    CHECK(urgencyOf(late, WallTime {Milliseconds {2'201}}).prospect == Prospect::Expired);
}

TEST_CASE("the remaining time of a step follows the longest path from it")
{
    StepSpec second = fakes::stepOf(1);
    second.after = {0};
    StepSpec third = fakes::stepOf(1);
    third.estimate = Milliseconds {2'500};
    third.after = {0};
    StepSpec last = fakes::stepOf(1);
    last.after = {1, 2};
    const GraphSpec spec = fakes::graphOf("g", {fakes::stepOf(1), second, third, last});
    CHECK(remainingTimeOf(spec, 0) == Milliseconds {4'500});
    CHECK(remainingTimeOf(spec, 1) == Milliseconds {2'000});
    CHECK(remainingTimeOf(spec, 3) == Milliseconds {1'000});
}

TEST_CASE("with twice the load that there is room for, most of the room ends jobs in time")
{
    // Jobs of one task that take a second; two arrive for each that can run. By deadline alone, a
    // job gets its turn when it is late.
    static constexpr std::size_t slots = 10;
    static constexpr Milliseconds tick {50};
    const auto inTimeShare = [](bool usesProspect) {
        std::vector<ReadyStep> waiting;
        std::vector<std::pair<WallTime, WallTime>> running; // end, deadline
        std::size_t handedIn = 0;
        std::size_t inTime = 0;
        for (WallTime now {}; now < WallTime {Milliseconds {60'000}}; now += tick) {
            std::erase_if(running, [now, &inTime](const std::pair<WallTime, WallTime> &run) {
                inTime += run.first <= now && run.first <= run.second ? 1 : 0;
                return run.first <= now;
            });
            ReadyStep job = stepFor(std::to_string(handedIn++), 0, Milliseconds {2'500});
            job.accepted = now;
            job.remaining = Milliseconds {1'000};
            waiting.push_back(job);
            if (usesProspect) {
                sortByUrgency(waiting, now);
            }
            while (running.size() < slots && !waiting.empty()) {
                const ReadyStep &next = waiting.front();
                running.emplace_back(now + next.remaining, next.accepted + next.objective);
                waiting.erase(waiting.begin());
            }
        }
        return static_cast<double>(inTime) / static_cast<double>(handedIn);
    };
    CHECK(inTimeShare(true) > 0.45); // half of the jobs fit
    CHECK(inTimeShare(false) < 0.1);
}

} // namespace crocusmill
