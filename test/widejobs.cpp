/// Processor time that jobs with very many tasks take on the control thread.
///
/// Replicas neither vote nor send heartbeats while they apply a record, so each record has to be
/// applied within the election timeout of the deployment, on the half core of its state VMs.

#include "src/net/clock.h"
#include "test/fakes/callingleader.h"
#include "test/fakes/graphs.h"

#include <crocusmill/graphregistry.h>

#include <catch2/catch.hpp>

#include <algorithm>
#include <ctime>
#include <functional>
#include <string>
#include <vector>

namespace crocusmill
{

namespace
{

using fakes::CallingLeader;
using fakes::graphOf;
using fakes::quotesQueue;
using fakes::stepOf;

constexpr std::uint32_t maxTasksPerStep = 10'000;
constexpr std::uint32_t maxTasksPerJob = 50'000;
constexpr Milliseconds electionTimeout {400}; // of deploy/state.json
constexpr Milliseconds maxProcessorTime = electionTimeout / 2;
const WallTime now {Milliseconds {1'000'000}};
const GraphId wideJob {"00000000000000aa"};

/// Processor time of this process, as other load on the machine does not count.
Milliseconds processorTime(const std::function<void()> &work)
{
    constexpr std::clock_t clocksPerMillisecond = CLOCKS_PER_SEC / 1000;
    const std::clock_t before = std::clock();
    work();
    return Milliseconds {(std::clock() - before) / clocksPerMillisecond};
}

StepSpec gangOf(std::uint32_t tasks)
{
    StepSpec gang = stepOf(tasks);
    gang.size.milliCores = 1;
    gang.gang = true;
    return gang;
}

RunPlacement placed(const TaskRef &task)
{
    return {task, RunNumber {1}, WorkerId {"w"}, Incarnation {"1"}};
}

PlaceRuns placeAll(std::uint32_t step, std::uint32_t tasks)
{
    PlaceRuns command;
    for (std::uint32_t number = 0; number < tasks; ++number) {
        command.placements.push_back(placed({wideJob, 0, step, number}));
    }
    return command;
}

} // namespace

// Guards against replicas that miss elections while they record the placement of a wide gang.
TEST_CASE("recording the placement of a wide gang took longer than an election")
{
    GraphRegistry registry;
    registry.submit({graphOf(wideJob.value(), {gangOf(maxTasksPerStep)}), now});
    const PlaceRuns command = placeAll(0, maxTasksPerStep);
    CHECK(processorTime([&]() { registry.place(command); }) < maxProcessorTime);
    CHECK(registry.waitingGraphs().empty());
}

// Guards against a check of the tasks of an earlier step for each task that is placed.
TEST_CASE("recording the placement of a wide step after another took longer than an election")
{
    StepSpec second = stepOf(maxTasksPerStep);
    second.after = {0};
    GraphRegistry registry;
    registry.submit({graphOf(wideJob.value(), {stepOf(maxTasksPerStep), second}), now});
    registry.place(placeAll(0, maxTasksPerStep));
    EndRuns ends;
    ends.at = now;
    for (const RunPlacement &placement : placeAll(0, maxTasksPerStep).placements) {
        ends.ended.push_back({placement.task, placement.run, RunEnd::Succeeded, {}});
    }
    CHECK(processorTime([&]() { registry.end(ends); }) < maxProcessorTime);
    const PlaceRuns command = placeAll(1, maxTasksPerStep);
    CHECK(processorTime([&]() { registry.place(command); }) < maxProcessorTime);
    CHECK(registry.waitingGraphs().empty());
}

// Guards against a walk over all tasks of a job for each recorded end of one of its runs.
TEST_CASE("recording ends of a job with many occurrences took longer than an election")
{
    constexpr std::uint32_t endsPerRecord = 3'500;
    GraphSpec spec = graphOf(wideJob.value(), {stepOf(1)});
    spec.recurrence.times = maxTasksPerJob;
    GraphRegistry registry;
    registry.submit({spec, now});
    PlaceRuns placements;
    for (std::uint32_t occurrence = 0; occurrence < maxTasksPerJob; ++occurrence) {
        placements.placements.push_back(placed({wideJob, occurrence, 0, 0}));
    }
    registry.place(placements);
    for (std::uint32_t first = 0; first < maxTasksPerJob; first += endsPerRecord) {
        EndRuns ends;
        ends.at = now;
        const std::uint32_t end = std::min(first + endsPerRecord, maxTasksPerJob);
        for (std::uint32_t occurrence = first; occurrence < end; ++occurrence) {
            ends.ended.push_back(
                {{wideJob, occurrence, 0, 0}, RunNumber {1}, RunEnd::Succeeded, {}});
        }
        CHECK(processorTime([&]() { registry.end(ends); }) < maxProcessorTime);
    }
    CHECK(registry.find(wideJob)->state == GraphState::Succeeded);
}

// Guards against a leader that loses its lease while it places a wide gang, sends all of its orders
// at once, or checks whether its runs are still needed.
TEST_CASE("a leader placed, ordered or supervised a wide gang for longer than an election")
{
    constexpr Milliseconds enoughTime {20'000};
    constexpr Milliseconds someRounds {200};
    constexpr std::uint32_t enoughMilliCores = 100'000;
    constexpr std::size_t maxOrdersAtOnce = 1'024; // each takes some 30 microseconds to send
    CallingLeader leader;
    leader.installQueue(quotesQueue());
    leader.addWorker("w", enoughMilliCores);
    REQUIRE(
        leader.submit(wideJob.value(), {gangOf(maxTasksPerStep)}).outcome == GraphOutcome::Done);
    const std::vector<fakes::FakeWorkerLink::StartCall> &starts = leader.link.starts;
    Milliseconds longestHandler {0};
    std::size_t mostOrders = 0;
    const MonotonicTime startedAt = monotonicNow();
    while (starts.size() < maxTasksPerStep && monotonicNow() < startedAt + enoughTime) {
        const std::size_t before = starts.size();
        const Milliseconds handlerTime = processorTime([&]() { leader.control.run_one(); });
        longestHandler = std::max(longestHandler, handlerTime);
        mostOrders = std::max(mostOrders, starts.size() - before);
    }
    REQUIRE(starts.size() >= maxTasksPerStep);
    CHECK(longestHandler < maxProcessorTime);
    CHECK(mostOrders <= maxOrdersAtOnce);
    for (std::uint32_t number = 0; number < maxTasksPerStep; ++number) {
        starts[number].done(StartOutcome::Started, WorkerTime {1'000});
    }
    const Milliseconds whileRunning = processorTime([&]() { leader.control.run_for(someRounds); });
    CHECK(whileRunning < someRounds / 2);
    CHECK(leader.link.stops.empty());
}

} // namespace crocusmill
