/// Benchmarks of the leader's scheduling rounds: idle rounds, and rounds that place tasks while
/// many steps wait.

#include "bench/dispatchsite.h"
#include "src/net/clock.h"
#include "src/services/runsupervisor.h"
#include "test/fakes/graphs.h"
#include "test/fakes/workerlink.h"

#include <benchmark/benchmark.h>

#include <ctime>
#include <string>

namespace crocusmill
{

namespace
{

constexpr std::uint32_t tasksPerWorker = 7;

/// Workers of 64 cores, each running short jobs of one task.
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
        supervisor->onHeartbeat(heartbeat, now);
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

/// Measures a round in which no run waits for an order.
void quietRound(benchmark::State &state)
{
    BusyFleet fleet {static_cast<std::uint32_t>(state.range(0)), SupervisorTimes {}};
    for (const auto _ : state) {
        fleet.supervisor->tick(fleet.now, WallTime {});
    }
}
BENCHMARK(quietRound)->Arg(48)->Arg(350)->Arg(6'300);

/// Measures a round that checks every run and every worker.
void sweepRound(benchmark::State &state)
{
    SupervisorTimes times;
    times.sweepInterval = Milliseconds {0};
    BusyFleet fleet {static_cast<std::uint32_t>(state.range(0)), times};
    for (const auto _ : state) {
        fleet.supervisor->tick(fleet.now, WallTime {});
    }
}
BENCHMARK(sweepRound)->Arg(48)->Arg(350)->Arg(6'300);

SiteSize sizeOf(const benchmark::State &state)
{
    return {static_cast<std::uint32_t>(state.range(0)), static_cast<std::uint32_t>(state.range(1)),
        state.range(2) != 0};
}

/// Returns the processor time of this thread, which excludes time used by other threads.
double processorSeconds()
{
    constexpr double nanosecond = 1e-9;
    timespec now {};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &now);
    return static_cast<double>(now.tv_sec) + static_cast<double>(now.tv_nsec) * nanosecond;
}

/// Measures only the rounds, not the fakes' work between them.
template <typename BeforeRound>
void timeRounds(benchmark::State &state, DispatchSite &site, BeforeRound beforeRound)
{
    constexpr Milliseconds holdPause {400};
    MonotonicTime holdsDue = monotonicNow();
    for (const auto _ : state) {
        if (monotonicNow() >= holdsDue) {
            site.workers.answerHolds();
            holdsDue = monotonicNow() + holdPause;
        }
        beforeRound();
        const double startedAt = processorSeconds();
        site.round();
        state.SetIterationTime(processorSeconds() - startedAt);
    }
}

/// Measures rounds in which nothing changes and no worker has room.
void fullRound(benchmark::State &state)
{
    DispatchSite site {sizeOf(state)};
    timeRounds(state, site, []() {});
}

/// Measures rounds after the end of one task, whose room goes to a waiting task. Most rounds also
/// get a new job.
void placingRound(benchmark::State &state)
{
    DispatchSite site {sizeOf(state)};
    std::uint64_t rounds = 0;
    const std::uint64_t startedBefore = site.workers.started;
    timeRounds(state, site, [&site, &rounds]() {
        site.workers.endOldest();
        if (rounds++ % 9 != 0) { // eight jobs have nine tasks, so as many tasks arrive as end
            site.submit();
        }
    });
    state.counters["started"] =
        benchmark::Counter(static_cast<double>(site.workers.started - startedBefore),
            benchmark::Counter::kAvgIterations);
}

void siteSizes(benchmark::internal::Benchmark *benchmark)
{
    for (const std::int64_t tickets : {0, 1}) {
        for (const std::int64_t workers : {350, 6'300}) {
            for (const std::int64_t backlog : {0, 1'000, 10'000}) {
                benchmark->Args({workers, backlog, tickets});
            }
        }
    }
    benchmark->ArgNames({"workers", "backlog", "tickets"})
        ->UseManualTime()
        ->Unit(benchmark::kMicrosecond);
}
BENCHMARK(fullRound)->Apply(siteSizes);
BENCHMARK(placingRound)->Apply(siteSizes);

} // namespace

} // namespace crocusmill

BENCHMARK_MAIN();
