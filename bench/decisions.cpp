/// Cost of single decisions and of journal records, at several sizes.

#include <crocusmill/admission.h>
#include <crocusmill/placement.h>
#include <crocusmill/slots.h>
#include <crocusmill/statemachine.h>
#include <crocusmill/storage.h>

#include <benchmark/benchmark.h>

#include <algorithm>
#include <filesystem>
#include <random>
#include <unistd.h>

namespace crocusmill
{

namespace
{

constexpr std::uint64_t gigabyte = 1ULL << 30U;
const ServiceKey service {EnvironmentName {"rocola"}, Stage::Production, ServiceName {"matching"}};

PlacementWorker worker(std::uint32_t number)
{
    PlacementWorker spec;
    spec.id = WorkerId {"worker-" + std::to_string(number)};
    spec.zone = AvailabilityZone {"zone-" + std::to_string(number % 7)};
    spec.rack = RackId {"rack-" + std::to_string(number / 8)};
    spec.incarnation = Incarnation {"i"};
    spec.capacity = {64'000, ByteCount {256 * gigabyte}, 0};
    return spec;
}

TaskSize mixedSize(std::mt19937_64 &random)
{
    TaskSize size;
    size.milliCores = static_cast<std::uint32_t>(500 * (1 + random() % 16));
    size.memory = ByteCount {gigabyte * (1 + random() % 32)};
    return size;
}

/// Latencies of single decisions. Reports quantiles, as a mean would hide the tail.
class LatencySamples
{
public:
    void add(std::chrono::steady_clock::duration time)
    {
        microseconds_.push_back(std::chrono::duration<double, std::micro>(time).count());
    }

    void report(benchmark::State &state)
    {
        std::sort(microseconds_.begin(), microseconds_.end());
        if (!microseconds_.empty()) {
            state.counters["p50_us"] = microseconds_[microseconds_.size() / 2];
            state.counters["p99_us"] = microseconds_[microseconds_.size() * 99 / 100];
        }
    }

private:
    std::vector<double> microseconds_;
};

/// Places one task on N workers that hold about ten tasks each.
void placeOneTask(benchmark::State &state, JobClass jobClass, PlacementPolicy policy)
{
    std::mt19937_64 random {1};
    Placement placement {policy};
    const std::uint32_t workers = static_cast<std::uint32_t>(state.range(0));
    for (std::uint32_t i = 0; i < workers; ++i) {
        placement.setWorker(worker(i));
    }
    constexpr std::uint32_t tasksPerWorker = 10;
    for (std::uint32_t i = 0; i < workers * tasksPerWorker; ++i) {
        placement.reserve(WorkerId {"worker-" + std::to_string(random() % workers)},
            JobId {"filler"}, JobClass::Batch, {2'000, ByteCount {gigabyte}, 0});
    }
    LatencySamples latencies;
    std::uint32_t task = 0;
    for (const auto _ : state) {
        PlacementJob job {JobId {"j"}, jobClass, false, mixedSize(random), {task++}};
        const std::chrono::steady_clock::time_point start = std::chrono::steady_clock::now();
        const PlacementResult result = placement.place(job, 1);
        latencies.add(std::chrono::steady_clock::now() - start);
        for (const ChosenWorker &chosen : result.chosen) {
            placement.release(chosen.worker, job.id, jobClass, job.size);
        }
    }
    latencies.report(state);
}

void placeBatch(benchmark::State &state)
{
    placeOneTask(state, JobClass::Batch, PlacementPolicy::PackAndSpread);
}

void placeService(benchmark::State &state)
{
    placeOneTask(state, JobClass::Service, PlacementPolicy::PackAndSpread);
}

void placeFirstFit(benchmark::State &state)
{
    placeOneTask(state, JobClass::Batch, PlacementPolicy::FirstFit);
}

/// Measures how full the cell is when a task of a mixed stream first does not fit.
void packUntilRefusal(benchmark::State &state, PlacementPolicy policy)
{
    for (const auto _ : state) {
        std::mt19937_64 random {7};
        Placement placement {policy};
        constexpr std::uint32_t workers = 50;
        for (std::uint32_t i = 0; i < workers; ++i) {
            placement.setWorker(worker(i));
        }
        double cores = 0;
        double memory = 0;
        for (std::uint32_t task = 0;; ++task) {
            const TaskSize size = mixedSize(random);
            const PlacementJob job {JobId {"j"}, JobClass::Batch, false, size, {task}};
            if (placement.place(job, 1).chosen.empty()) {
                break;
            }
            cores += size.milliCores / (64'000.0 * workers);
            memory += static_cast<double>(size.memory.value())
                / (256.0 * static_cast<double>(gigabyte) * workers);
        }
        // Volume bound: the scarcer resource limits every packing.
        state.counters["packed_of_bound"] = std::max(cores, memory);
    }
}

void packFair(benchmark::State &state)
{
    packUntilRefusal(state, PlacementPolicy::PackAndSpread);
}

void packFirstFit(benchmark::State &state)
{
    packUntilRefusal(state, PlacementPolicy::FirstFit);
}

/// Admits a request and chooses an upstream on an entry with N upstreams.
void admitOne(benchmark::State &state)
{
    const MonotonicTime now {std::chrono::hours {1}};
    SlotPool pool;
    Admission admission {pool, 1};
    std::vector<SlotLine> lines;
    for (std::int64_t i = 0; i < state.range(0); ++i) {
        const UpstreamId id {"upstream-" + std::to_string(i)};
        lines.push_back({id, SlotCount {2}});
        admission.setUpstream(id, service);
    }
    pool.applyGrant(lines, now, std::chrono::hours {1}, now);
    LatencySamples latencies;
    std::uint64_t number = 0;
    for (const auto _ : state) {
        WaitingRequest request;
        request.id = RequestId {++number};
        request.service = service;
        request.arrived = now;
        request.deadline = now + std::chrono::seconds {2};
        const std::chrono::steady_clock::time_point start = std::chrono::steady_clock::now();
        benchmark::DoNotOptimize(admission.submit(request, now));
        benchmark::DoNotOptimize(admission.decide(now));
        latencies.add(std::chrono::steady_clock::now() - start);
        admission.attemptEnded(request.id, AttemptOutcome::Succeeded, Milliseconds {20}, now);
        admission.releaseSlot(request.id);
    }
    latencies.report(state);
}

/// Handles the heartbeat of an entry on the leader, with N upstreams and 22 entries.
void beatOnce(benchmark::State &state)
{
    MonotonicTime now {std::chrono::hours {1}};
    SlotLedger ledger {{}, now};
    now += std::chrono::seconds {10};
    for (std::int64_t i = 0; i < state.range(0); ++i) {
        UpstreamSlots upstream;
        upstream.id = UpstreamId {"upstream-" + std::to_string(i)};
        upstream.service = service;
        upstream.slots = SlotCount {8};
        ledger.updateUpstream(upstream, now);
    }
    constexpr std::uint32_t entries = 22;
    std::uint32_t iteration = 0;
    for (const auto _ : state) {
        const EntryEpoch epoch {"entry-" + std::to_string(iteration % entries)};
        ledger.updateEntry(epoch, iteration < entries, {}, {{service, iteration % 40}}, now);
        benchmark::DoNotOptimize(ledger.grant(epoch, now));
        ++iteration;
    }
}

/// Encodes, stores and applies recorded work in groups of N with one sync each.
void commitGroup(benchmark::State &state)
{
    const std::filesystem::path folder =
        std::filesystem::temp_directory_path() / ("crocusmill-bench-" + std::to_string(::getpid()));
    std::filesystem::remove_all(folder);
    {
        const std::unique_ptr<Storage> storage =
            std::move(openFileStorage(folder, ReplicaId {1}).value());
        static_cast<void>(storage->load());
        StateMachine machine;
        LogIndex index;
        for (const auto _ : state) {
            std::vector<LogEntry> group;
            for (std::int64_t i = 0; i < state.range(0); ++i) {
                index = next(index);
                AdmitWork admit;
                admit.work = WorkId {"vm-1.0123456789abcdef-w" + std::to_string(index.value())};
                admit.environment = EnvironmentName {"rocola"};
                admit.service = ServiceName {"matching"};
                admit.key = IdempotencyKey {"key-" + std::to_string(index.value())};
                admit.digest = Digest {std::string(64, 'a')};
                group.push_back(
                    {index, Term {1}, EntryKind::Command, encodeCommand(Command {admit})});
            }
            static_cast<void>(storage->append(std::nullopt, group));
            for (const LogEntry &entry : group) {
                benchmark::DoNotOptimize(machine.applyEncoded(entry.payload, entry.index));
            }
        }
        state.SetItemsProcessed(state.iterations() * state.range(0));
    }
    std::filesystem::remove_all(folder);
}

/// Creates a state machine with N records of work.
StateMachine machineWithWork(std::int64_t records)
{
    StateMachine machine;
    LogIndex index;
    for (std::int64_t i = 0; i < records; ++i) {
        index = next(index);
        AdmitWork admit;
        admit.work = WorkId {"vm-1.0123456789abcdef-w" + std::to_string(i)};
        admit.environment = EnvironmentName {"rocola"};
        admit.digest = Digest {std::string(64, 'a')};
        machine.apply(admit, index);
    }
    return machine;
}

/// The part of a snapshot of N records that runs on the control thread.
void takeImage(benchmark::State &state)
{
    const StateMachine machine = machineWithWork(state.range(0));
    for (const auto _ : state) {
        benchmark::DoNotOptimize(machine.image());
    }
}

/// A complete snapshot of N records.
void takeSnapshot(benchmark::State &state)
{
    const StateMachine machine = machineWithWork(state.range(0));
    std::size_t bytes = 0;
    for (const auto _ : state) {
        bytes = machine.snapshot().size();
    }
    state.counters["bytes_per_record"] =
        static_cast<double>(bytes) / static_cast<double>(state.range(0));
}

} // namespace

BENCHMARK(placeBatch)->Arg(50)->Arg(500)->Arg(6'300);
BENCHMARK(placeService)->Arg(50)->Arg(500)->Arg(6'300);
BENCHMARK(placeFirstFit)->Arg(50)->Arg(500)->Arg(6'300);
BENCHMARK(packFair)->Iterations(1);
BENCHMARK(packFirstFit)->Iterations(1);
BENCHMARK(admitOne)->Arg(50)->Arg(500);
BENCHMARK(beatOnce)->Arg(50)->Arg(500);
BENCHMARK(commitGroup)->Arg(1)->Arg(16)->Arg(128)->Arg(1'024)->UseRealTime();
BENCHMARK(takeImage)->Arg(2'000)->Arg(20'000)->Arg(100'000)->Unit(benchmark::kMillisecond);
BENCHMARK(takeSnapshot)->Arg(1'000)->Arg(20'000)->Arg(100'000)->Unit(benchmark::kMillisecond);

} // namespace crocusmill

BENCHMARK_MAIN();
