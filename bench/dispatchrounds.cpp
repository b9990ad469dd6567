/// Cost of the leader's rounds for workers that are called: quiet ones, and those that have room to
/// give away while many steps wait.

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
    times.sweepInterval = Milliseconds {0};
    BusyFleet busy {static_cast<std::uint32_t>(state.range(0)), times};
    for (const auto _ : state) {
        busy.supervisor->tick(busy.now, WallTime {});
    }
}
BENCHMARK(sweepRound)->Arg(48)->Arg(350)->Arg(6'300);

SiteSize sizeOf(const benchmark::State &state)
{
    return {static_cast<std::uint32_t>(state.range(0)), static_cast<std::uint32_t>(state.range(1)),
        state.range(2) != 0};
}

/// Of this thread; time that others have the processor does not count.
double processorSeconds()
{
    constexpr double nanosecond = 1e-9;
    timespec now {};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &now);
    return static_cast<double>(now.tv_sec) + static_cast<double>(now.tv_nsec) * nanosecond;
}

/// Times rounds alone; in between workers answer, and the office.
template <typename Between>
void timeRounds(benchmark::State &state, DispatchSite &site, Between between)
{
    constexpr Milliseconds holdPause {400};
    MonotonicTime holdsDue = monotonicNow();
    for (const auto _ : state) {
        if (monotonicNow() >= holdsDue) {
            site.workers.answerHolds();
            holdsDue = monotonicNow() + holdPause;
        }
        between();
        const double began = processorSeconds();
        site.round();
        state.SetIterationTime(processorSeconds() - began);
    }
}

/// Nothing came and nothing ended; no worker has room.
void fullRound(benchmark::State &state)
{
    DispatchSite site {sizeOf(state)};
    timeRounds(state, site, []() {});
}

/// A task has ended, and its room is given to another one; a job came.
void placingRound(benchmark::State &state)
{
    DispatchSite site {sizeOf(state)};
    std::uint64_t rounds = 0;
    const std::uint64_t before = site.workers.started;
    timeRounds(state, site, [&site, &rounds]() {
        site.workers.endOldest();
        if (rounds++ % 9 != 0) { // as many tasks as end
            site.submit();
        }
    });
    state.counters["started"] = benchmark::Counter(
        static_cast<double>(site.workers.started - before), benchmark::Counter::kAvgIterations);
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
