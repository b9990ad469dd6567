/// Cost of the leader's work for the cell: handling an announcement, and a sweep over all workers.

#include "src/services/cell.h"

#include <benchmark/benchmark.h>

#include <string>
#include <vector>

namespace crocusmill
{

namespace
{

constexpr std::uint32_t tasksPerWorker = 10;
constexpr std::uint64_t gigabyte = 1ULL << 30U;

/// A cell of N workers, each of which runs all tasks of one job.
struct FullCell
{
    explicit FullCell(std::uint32_t workers)
        : cell(
            times, state,
            [this](const Command &command, const ProposeHandler &done) { done(apply(command)); },
            now)
    {
        for (std::uint32_t number = 0; number < workers; ++number) {
            addWorker(number);
        }
        now += std::chrono::minutes {1};
        for (const WorkerAnnouncement &announcement : announcements) {
            static_cast<void>(cell.onAnnouncement(announcement, now, wall));
        }
        cell.sweep(now, wall);
    }

    ApplyReply apply(const Command &command)
    {
        index = LogIndex {index.value() + 1};
        return state.apply(command, index);
    }

    void addWorker(std::uint32_t number)
    {
        WorkerAnnouncement announcement;
        announcement.id = WorkerId {"worker-" + std::to_string(number)};
        announcement.zone = AvailabilityZone {"zone-" + std::to_string(number % 7)};
        announcement.rack = RackId {"rack-" + std::to_string(number / 8)};
        announcement.incarnation = Incarnation {"i"};
        announcement.capacity = {64'000, ByteCount {256 * gigabyte}, 0};
        SubmitJob job;
        job.job = JobId {"job-" + std::to_string(number)};
        job.tasks = tasksPerWorker;
        job.size = {1'000, ByteCount {gigabyte}, 0};
        PlaceTasks place {job.job, {}};
        for (std::uint32_t task = 0; task < tasksPerWorker; ++task) {
            place.placements.push_back({task, 1, announcement.id, announcement.incarnation});
            announcement.tasks.push_back({job.job, task, 1, TaskReportState::Running});
        }
        apply(job);
        apply(place);
        announcements.push_back(std::move(announcement));
    }

    TimeSettings times;
    StateMachine state;
    LogIndex index;
    MonotonicTime now {std::chrono::hours {1}};
    WallTime wall;
    std::vector<WorkerAnnouncement> announcements;
    Cell cell;
};

void announceWorker(benchmark::State &state)
{
    FullCell fixture {static_cast<std::uint32_t>(state.range(0))};
    std::size_t next = 0;
    for (const auto _ : state) {
        benchmark::DoNotOptimize(
            fixture.cell.onAnnouncement(fixture.announcements[next], fixture.now, fixture.wall));
        next = (next + 1) % fixture.announcements.size();
    }
}

void sweepCell(benchmark::State &state)
{
    FullCell fixture {static_cast<std::uint32_t>(state.range(0))};
    for (const auto _ : state) {
        fixture.cell.sweep(fixture.now, fixture.wall);
    }
}

BENCHMARK(announceWorker)->Arg(50)->Arg(500)->Arg(6'300)->Unit(benchmark::kMicrosecond);
BENCHMARK(sweepCell)->Arg(50)->Arg(500)->Arg(6'300)->Unit(benchmark::kMicrosecond);

} // namespace

} // namespace crocusmill

BENCHMARK_MAIN();
