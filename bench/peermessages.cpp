/// Benchmarks of messages between VMs and of journal records on the control thread.
///
/// Times are CPU times of the control threads, given separately for both ends of a connection.
/// Count the system calls with `strace -f -c peermessages --benchmark_filter=...`.

#include "src/net/controlloop.h"
#include "src/services/peerservice.h"
#include "src/wire/calls.h"

#include <crocusmill/consensus.h>

#include <benchmark/benchmark.h>

#include <ctime>
#include <future>
#include <semaphore>
#include <string>
#include <thread>

namespace crocusmill
{

namespace
{

constexpr std::uint32_t runsPerRecord = 100;
constexpr std::uint32_t listedWorkerCount = 350;
constexpr std::uint32_t tasksPerJob = 20;
constexpr int messagesPerRound = 2'000;
constexpr std::uint16_t firstPort = 18'471;

TaskRef taskOf(std::uint32_t number)
{
    return {GraphId {"481a31d2707681df" + std::to_string(number)}, 0, 0, number};
}

Command placeRuns()
{
    PlaceRuns command;
    for (std::uint32_t i = 0; i < runsPerRecord; ++i) {
        command.placements.push_back({taskOf(i), RunNumber {1},
            WorkerId {"i-0000" + std::to_string(i)}, Incarnation {"1771522272375"}});
    }
    return command;
}

Command endRuns()
{
    EndRuns command;
    command.at = WallTime {Milliseconds {1'771'522'272'375}};
    for (std::uint32_t i = 0; i < runsPerRecord; ++i) {
        command.ended.push_back({taskOf(i), RunNumber {1}, RunEnd::Succeeded, {}});
    }
    return command;
}

GraphSpec jobOf(std::uint32_t steps)
{
    GraphSpec spec;
    spec.id = GraphId {"481a31d2707681df"};
    spec.payload = std::string(200, 'p');
    spec.queue = QueueName {"render"};
    spec.service = ServiceName {"render"};
    for (std::uint32_t i = 0; i < steps; ++i) {
        StepSpec step;
        step.tasks = tasksPerJob / steps;
        step.size = {2'000, ByteCount {1ULL << 30U}, 0};
        step.estimate = Milliseconds {800};
        if (i > 0) {
            step.after = {i - 1};
        }
        spec.steps.push_back(step);
    }
    return spec;
}

WorkerHeartbeat heartbeatOf(std::uint32_t number)
{
    WorkerHeartbeat heartbeat;
    heartbeat.id = WorkerId {"core-salto-" + std::to_string(number)};
    heartbeat.incarnation = Incarnation {"1771522272375"};
    heartbeat.address = {"10.0.3.17", 7'000};
    heartbeat.service = ServiceName {"render"};
    heartbeat.zone = AvailabilityZone {"salto"};
    heartbeat.rack = RackId {"salto-r3"};
    heartbeat.labels = {WorkerLabel {"gpu"}, WorkerLabel {"large"}};
    heartbeat.capacity = {16'000, ByteCount {64ULL << 30U}, 1};
    heartbeat.sequence = 1'234;
    return heartbeat;
}

Call showCall()
{
    return GraphCall {GraphAction::Show, "render.example", "/jobs/481a31d2707681df", {}};
}

Call submitCall()
{
    return GraphCall {GraphAction::Submit, "render.example", "/jobs", jobOf(5)};
}

Call presenceCall()
{
    return PresenceCall {
        VmId {"core-salto-1"}, {"10.0.3.17", 7'000}, ReplicaId {77'123'456}, false, true};
}

Call heartbeatCall()
{
    return HeartbeatCall {heartbeatOf(1), false};
}

Reply graphReply()
{
    GraphReply reply;
    reply.started = true;
    return reply;
}

Reply presenceReply()
{
    PresenceReply reply;
    reply.leader = {"10.0.3.17", 7'000};
    reply.replicas.assign(5, {"10.0.3.17", 7'000});
    for (std::uint32_t i = 0; i < listedWorkerCount; ++i) {
        reply.workers.push_back(heartbeatOf(i));
    }
    return reply;
}

void encodesCommand(benchmark::State &state, Command (*make)())
{
    const Command command = make();
    for ([[maybe_unused]] const auto step : state) {
        benchmark::DoNotOptimize(encodeCommand(command));
    }
    state.counters["bytes"] = static_cast<double>(encodeCommand(command).size());
}

void decodesCommand(benchmark::State &state, Command (*make)())
{
    const std::string bytes = encodeCommand(make());
    for ([[maybe_unused]] const auto step : state) {
        benchmark::DoNotOptimize(decodeCommand(bytes));
    }
}

/// Measures the four conversions of one call: encoding and decoding of call and reply.
void convertsCall(benchmark::State &state, Call (*makeCall)(), Reply (*makeReply)())
{
    const Call call = makeCall();
    const Reply reply = makeReply();
    for ([[maybe_unused]] const auto step : state) {
        benchmark::DoNotOptimize(decodeCall(encodeCall(call)));
        benchmark::DoNotOptimize(decodeReply(encodeReply(reply)));
    }
    state.counters["bytes"] =
        static_cast<double>(encodeCall(call).size() + encodeReply(reply).size());
}

double cpuSecondsOf(std::thread &thread)
{
    clockid_t clock = 0;
    timespec cpuTime {};
    if (pthread_getcpuclockid(thread.native_handle(), &clock) != 0
        || clock_gettime(clock, &cpuTime) != 0) {
        return 0;
    }
    return static_cast<double>(cpuTime.tv_sec) + static_cast<double>(cpuTime.tv_nsec) * 1e-9;
}

/// A control thread with a peer service, as in one VM.
class Vm
{
public:
    explicit Vm(std::uint16_t port)
        : address_ {"127.0.0.1", port}
    {
        PeerSettings settings;
        settings.listen = address_;
        settings.advertise = address_;
        service_ = makePeerService(
            loop_, settings, std::make_unique<PeerKey>("a key of at least thirty-two bytes"));
        peers_ = dynamic_cast<Peers *>(service_.get());
    }

    ~Vm()
    {
        loop_.stop();
        thread_.join();
    }

    Vm(const Vm &) = delete;
    Vm &operator=(const Vm &) = delete;

    void run()
    {
        thread_ = std::thread {[this]() {
            loop_.run([this]() {
                service_->stop();
                service_.reset();
            });
        }};
        std::binary_semaphore listens {0};
        postToLoop([this, &listens]() {
            static_cast<void>(service_->start(kernel_));
            listens.release();
        });
        listens.acquire();
    }

    void postToLoop(std::function<void()> work)
    {
        asio::post(loop_.context(), std::move(work));
    }

    [[nodiscard]] Peers &peers()
    {
        return *peers_;
    }

    [[nodiscard]] const NodeAddress &address() const
    {
        return address_;
    }

    [[nodiscard]] double usedCpuSeconds()
    {
        return cpuSecondsOf(thread_);
    }

private:
    NodeAddress address_;
    ControlLoop loop_;
    Kernel kernel_;
    std::unique_ptr<Service> service_;
    Peers *peers_ = nullptr;
    std::thread thread_;
};

void reportCpuPerMessage(
    benchmark::State &state, double client, double server, std::int64_t messages)
{
    const double perMessage = 1e6 / static_cast<double>(messages);
    state.counters["client_us"] = client * perMessage;
    state.counters["server_us"] = server * perMessage;
    state.SetItemsProcessed(messages);
}

/// Measures calls from one VM to another with `state.range(0)` calls open at any time.
void calls(benchmark::State &state, Call (*makeCall)(), Reply (*makeReply)())
{
    const Call call = makeCall();
    const Reply reply = makeReply();
    Vm client {firstPort};
    Vm server {firstPort + 1};
    server.peers().onCall([&reply](const Call &, const ReplyHandler &done) { done(reply); });
    client.run();
    server.run();
    int remaining = 0;
    int pendingCount = 0;
    std::binary_semaphore finished {0};
    std::function<void()> next = [&]() {
        --remaining;
        ++pendingCount;
        client.peers().call(server.address(), call, Milliseconds {5'000}, [&](const auto &) {
            --pendingCount;
            if (remaining > 0) {
                next();
            } else if (pendingCount == 0) {
                finished.release();
            }
        });
    };
    const auto runCalls = [&](int count) {
        client.postToLoop([&, count]() {
            remaining = count;
            const std::int64_t concurrency = state.range(0);
            for (std::int64_t i = 0; i < concurrency && remaining > 0; ++i) {
                next();
            }
        });
        finished.acquire();
    };
    runCalls(1);
    const double clientBefore = client.usedCpuSeconds();
    const double serverBefore = server.usedCpuSeconds();
    std::int64_t messages = 0;
    for ([[maybe_unused]] const auto step : state) {
        runCalls(messagesPerRound);
        messages += messagesPerRound;
    }
    reportCpuPerMessage(state, client.usedCpuSeconds() - clientBefore,
        server.usedCpuSeconds() - serverBefore, messages);
}

/// Measures an append of one record with 100 placements and its reply.
void appends(benchmark::State &state)
{
    Vm leader {firstPort};
    Vm follower {firstPort + 1};
    AppendRequest request;
    request.entries = {{LogIndex {1}, Term {1}, EntryKind::Command, encodeCommand(placeRuns())}};
    const Message append {ReplicaId {1}, ReplicaId {2}, Term {1}, request};
    const Message accepted {
        ReplicaId {2}, ReplicaId {1}, Term {1}, AppendReply {true, LogIndex {1}, {}, 0}};
    int remaining = 0;
    std::binary_semaphore finished {0};
    follower.peers().onMessage(
        [&](const Message &) { follower.peers().deliver(leader.address(), accepted); });
    leader.peers().onMessage([&](const Message &) {
        if (remaining == 0) {
            return;
        }
        if (--remaining == 0) {
            finished.release();
        } else {
            leader.peers().deliver(follower.address(), append);
        }
    });
    leader.run();
    follower.run();
    // Messages sent before a connection is established are dropped, so wait for both connections.
    const auto connect = [](Vm &from, Vm &to) {
        std::promise<void> answered;
        from.postToLoop([&]() {
            from.peers().call(to.address(), showCall(), Milliseconds {5'000},
                [&answered](const auto &) { answered.set_value(); });
        });
        answered.get_future().wait();
    };
    const auto answer = [](const Call &, const ReplyHandler &done) {
        done(graphReply());
    };
    leader.peers().onCall(answer);
    follower.peers().onCall(answer);
    connect(leader, follower);
    connect(follower, leader);
    const double leaderBefore = leader.usedCpuSeconds();
    const double followerBefore = follower.usedCpuSeconds();
    std::int64_t messages = 0;
    for ([[maybe_unused]] const auto step : state) {
        leader.postToLoop([&]() {
            remaining = messagesPerRound;
            leader.peers().deliver(follower.address(), append);
        });
        finished.acquire();
        messages += messagesPerRound;
    }
    reportCpuPerMessage(state, leader.usedCpuSeconds() - leaderBefore,
        follower.usedCpuSeconds() - followerBefore, messages);
}

BENCHMARK_CAPTURE(encodesCommand, place_runs, placeRuns);
BENCHMARK_CAPTURE(encodesCommand, end_runs, endRuns);
BENCHMARK_CAPTURE(decodesCommand, place_runs, placeRuns);
BENCHMARK_CAPTURE(decodesCommand, end_runs, endRuns);
BENCHMARK_CAPTURE(convertsCall, show, showCall, graphReply);
BENCHMARK_CAPTURE(convertsCall, submit, submitCall, graphReply);
BENCHMARK_CAPTURE(convertsCall, presence, presenceCall, presenceReply);
BENCHMARK_CAPTURE(convertsCall, heartbeat, heartbeatCall, graphReply);
BENCHMARK_CAPTURE(calls, show, showCall, graphReply)->Arg(1)->Arg(16)->UseRealTime();
BENCHMARK_CAPTURE(calls, submit, submitCall, graphReply)->Arg(16)->UseRealTime();
BENCHMARK_CAPTURE(calls, presence, presenceCall, presenceReply)->Arg(4)->UseRealTime();
BENCHMARK_CAPTURE(calls, heartbeat, heartbeatCall, graphReply)->Arg(16)->UseRealTime();
BENCHMARK(appends)->UseRealTime();

} // namespace

} // namespace crocusmill

BENCHMARK_MAIN();
