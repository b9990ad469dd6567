/// Cost of the leader's work for workers that are called: a quiet round, and steps placed by
/// ticket.

#include "src/services/runsupervisor.h"
#include "test/fakes/graphs.h"
#include "test/fakes/workerlink.h"

#include <benchmark/benchmark.h>

#include <string>

namespace crocusmill
{

namespace
{

constexpr std::uint32_t tasksPerWorker = 7;

/// Workers of 64 cores, each busy with quick jobs of a task each.
struct BusyFleet
{
    BusyFleet(std::uint32_t workers, const SupervisorTimes &times)
    {
        supervisor = std::make_shared<RunSupervisor>(
            RunSupervisor::Parts {state, link,
                [this](const Command &command, const ProposeHandler &done) {
                    done(state.apply(command, LogIndex {++index}));
                },
                []() { return true; }, FencingToken {1}, times,
                []() {
                }},
            now);
        for (std::uint32_t number = 0; number < workers; ++number) {
            addWorker(number);
        }
    }

    void addWorker(std::uint32_t number)
    {
        WorkerHeartbeat heartbeat;
        heartbeat.id = WorkerId {"i-00000" + std::to_string(number)};
        heartbeat.incarnation = Incarnation {"1771522272375"};
        heartbeat.sequence = 1;
        heartbeat.service = ServiceName {"matching"};
        heartbeat.capacity.milliCores = 64'000;
        heartbeat.labels = {WorkerLabel {"a"}, WorkerLabel {"r1-3"}};
        supervisor->heard(heartbeat, now);
        HoldReport report;
        for (std::uint32_t task = 0; task < tasksPerWorker; ++task) {
            const std::string id = "00e06c99" + std::to_string(number * tasksPerWorker + task);
            state.apply(SubmitGraph {fakes::graphOf(id, {fakes::stepOf(1, 4)}), WallTime {}},
                LogIndex {++index});
            const RunPlacement placement {
                {GraphId {id}, 0, 0, 0}, RunNumber {1}, heartbeat.id, heartbeat.incarnation};
            supervisor->reserve(placement, fakes::stepOf(1, 4));
            state.apply(PlaceRuns {{placement}}, LogIndex {++index});
            supervisor->start(placement.task, std::nullopt, now);
            link.answerStart(StartOutcome::Started);
            report.running.push_back({placement.task, RunNumber {1}, {}, 10});
        }
        link.answerHold(report);
        link.starts.clear();
        link.holds.clear();
    }

    StateMachine state;
    fakes::FakeWorkerLink link;
    std::uint64_t index = 0;
    MonotonicTime now {std::chrono::steady_clock::now()};
    std::shared_ptr<RunSupervisor> supervisor;
};

/// A round in which nothing waits for an order.
void quietRound(benchmark::State &state)
{
    BusyFleet busy {static_cast<std::uint32_t>(state.range(0)), SupervisorTimes {}};
    for (const auto _ : state) {
        busy.supervisor->tick(busy.now, WallTime {});
    }
}
BENCHMARK(quietRound)->Arg(48)->Arg(350)->Arg(6'300);

/// A round that looks at every run and every worker.
void sweepRound(benchmark::State &state)
{
    SupervisorTimes times;
    times.sweep = Milliseconds {0};
    BusyFleet busy {static_cast<std::uint32_t>(state.range(0)), times};
    for (const auto _ : state) {
        busy.supervisor->tick(busy.now, WallTime {});
    }
}
BENCHMARK(sweepRound)->Arg(48)->Arg(350)->Arg(6'300);

} // namespace

} // namespace crocusmill

BENCHMARK_MAIN();
