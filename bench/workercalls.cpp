/// Measures the CPU time of calls to workers, served heartbeats, log lines and metrics.
///
/// Run as `workercalls > /dev/null`: log lines go to standard output, results to standard
/// error. `workercalls PART` runs one part, for example under a system call counter.

#include "platform/services.h"
#include "src/net/httpserver.h"
#include "src/net/log.h"
#include "src/services/interfaces.h"
#include "src/services/workerlink.h"

#include <array>
#include <cstdio>
#include <functional>
#include <sys/resource.h>
#include <thread>

namespace crocusmill
{

namespace
{

constexpr std::uint32_t workerCount = 4;
constexpr std::uint32_t measuredCallCount = 40'000;
constexpr Milliseconds callTimeout {5'000};

const std::string startAnswer = R"({"clock_ms":482113,"born":1781102616921})";
const std::string heartbeatBody =
    R"({"service":"huvo11a","addr":"10.128.0.9:8080","zone":"lahore-a","version":"v1","slots":8,)"
    R"("state":"ready","cold_left_ms":0,"capacity":{"cpu":16000,"mem_mb":32768,"gpu":0},)"
    R"("labels":["a","r1-3"],"clock_ms":482113,"seq":4,"born":1781102616921})";

/// Response to a hold that lists 12 running tasks and one ended task.
std::string holdAnswer()
{
    constexpr int tasks = 12;
    std::string rows;
    for (int task = 0; task < tasks; ++task) {
        rows += std::string {rows.empty() ? "" : ","} + R"(["5c0e7a21d94b36f8.0.1.)"
            + std::to_string(task) + R"(",2,"00000bb87a21d94b",41,730])";
    }
    return R"({"clock_ms":482113,"born":1781102616921,"running":[)" + rows
        + R"(],"finished":[[58,"5c0e7a21d94b36f8.0.1.99",1,"done",""]]})";
}

/// CPU time of a thread or of the process: total, and in user mode.
struct CpuTime
{
    double total = 0; // in microseconds
    double user = 0; // in microseconds

    CpuTime &operator+=(const CpuTime &other)
    {
        total += other.total;
        user += other.user;
        return *this;
    }
};

CpuTime cpuTimeOf(int who)
{
    constexpr double perSecond = 1e6;
    rusage usage {};
    getrusage(who, &usage);
    const auto microseconds = [](const timeval &time) {
        return static_cast<double>(time.tv_sec) * perSecond + static_cast<double>(time.tv_usec);
    };
    return {
        microseconds(usage.ru_utime) + microseconds(usage.ru_stime), microseconds(usage.ru_utime)};
}

void report(
    const char *label, const CpuTime &before, const CpuTime &after, std::uint32_t repetitions)
{
    std::fprintf(stderr, "%-24s %7.2f us of CPU time each, %7.2f us of it in user mode\n", label,
        (after.total - before.total) / repetitions, (after.user - before.user) / repetitions);
}

/// Answers holds and all other calls with fixed responses, on its own thread.
class FakeWorker final : public HttpHandler
{
public:
    FakeWorker()
        : server_({&context_}, HttpLimits {}, *this)
        , holdAnswer_(holdAnswer())
    {
    }

    ~FakeWorker() override
    {
        context_.stop();
        thread_.join();
    }

    FakeWorker(const FakeWorker &) = delete;
    FakeWorker &operator=(const FakeWorker &) = delete;

    bool listen(const NodeAddress &address)
    {
        const bool isListening = server_.listen(address).has_value();
        thread_ = std::thread {[this]() {
            context_.run();
        }};
        return isListening;
    }

    asio::awaitable<HttpResponse> handle(
        HttpRequest request, std::shared_ptr<CallerWatch> /*watch*/) override
    {
        const bool isHold = request.target() == "/hold";
        co_return jsonResponse(http::status::ok, isHold ? holdAnswer_ : startAnswer);
    }

private:
    asio::io_context context_ {1};
    HttpServer server_;
    std::string holdAnswer_;
    std::thread thread_;
};

StartOrder startOrder()
{
    constexpr std::size_t payloadBytes = 300;
    StartOrder order;
    order.task = {GraphId {"5c0e7a21d94b36f8"}, 0, 1, 17};
    order.run = RunNumber {2};
    order.payload = std::string(payloadBytes, 'x');
    order.deadline = WorkerTime {486'000};
    order.fence = FencingToken {7};
    return order;
}

/// Makes calls of one kind, one after another for each of `workerCount` workers in parallel.
class CallBenchmark
{
public:
    using StartCall =
        std::function<void(WorkerLink &, const WorkerEndpoint &, std::function<void()>)>;

    explicit CallBenchmark(StartCall startCall)
        : startCall_(std::move(startCall))
    {
    }

    void measure(const char *label)
    {
        std::array<FakeWorker, workerCount> workers;
        constexpr std::uint16_t firstPort = 28'461;
        std::uint16_t port = firstPort;
        for (FakeWorker &worker : workers) {
            endpoints_.push_back({WorkerId {"i-7f3a91c2"}, Incarnation {"1781102616921"},
                NodeAddress {"127.0.0.1", port++}});
            if (!worker.listen(endpoints_.back().address)) {
                std::fprintf(stderr, "cannot listen on the port\n");
                return;
            }
        }
        const std::unique_ptr<Service> service = platform::makeWorkerCalls(parts_);
        link_ = dynamic_cast<WorkerLink *>(service.get());
        for (const WorkerEndpoint &endpoint : endpoints_) {
            startNext(endpoint);
        }
        const CpuTime before = cpuTimeOf(RUSAGE_THREAD);
        control_.run();
        report(label, before, cpuTimeOf(RUSAGE_THREAD), startedCount_);
    }

private:
    void startNext(const WorkerEndpoint &endpoint)
    {
        if (startedCount_ < measuredCallCount) {
            ++startedCount_;
            startCall_(*link_, endpoint, [this, &endpoint]() { startNext(endpoint); });
            return;
        }
        if (++finishedChainCount_ == workerCount) {
            control_.stop();
        }
    }

    StartCall startCall_;
    asio::io_context control_ {1};
    Metrics metrics_;
    platform::Parts parts_ {control_, {}, metrics_, {}};
    std::vector<WorkerEndpoint> endpoints_;
    WorkerLink *link_ = nullptr;
    std::uint32_t startedCount_ = 0;
    std::uint32_t finishedChainCount_ = 0;
};

void measureStarts()
{
    CallBenchmark benchmark {[order = startOrder()](WorkerLink &link, const WorkerEndpoint &worker,
                                 const std::function<void()> &done) {
        link.start(worker, order, callTimeout,
            [done](StartOutcome outcome, std::optional<WorkerTime> /*clock*/) {
                if (outcome != StartOutcome::Started) {
                    std::fprintf(stderr, "start call failed\n");
                }
                done();
            });
    }};
    benchmark.measure("start");
}

void measureHolds()
{
    CallBenchmark benchmark {
        [](WorkerLink &link, const WorkerEndpoint &worker, const std::function<void()> &done) {
            HoldOrder order;
            order.fence = FencingToken {7};
            order.acknowledged = EndNumber {57};
            order.deadline = WorkerTime {486'000};
            order.wait = Milliseconds {1'000};
            link.hold(worker, order, callTimeout, [done](const HoldOutcome &outcome) {
                if (outcome.error || outcome.report.ended.size() != 1) {
                    std::fprintf(stderr, "hold call failed\n");
                }
                done();
            });
        }};
    benchmark.measure("hold");
}

/// Acknowledges every heartbeat immediately.
class FakeLeaderClient final : public PassiveService, public LeaderClient
{
public:
    std::string_view name() const override
    {
        return names::client;
    }

    void call(Call /*call*/, Milliseconds /*timeout*/, ReplyHandler done) override
    {
        HeartbeatReply reply;
        reply.leader = NodeAddress {"127.0.0.1", 1};
        done(Reply {reply});
    }

    void learnReplicas(const std::vector<NodeAddress> & /*replicas*/) override
    {
    }
    void learnSeeds(const std::vector<NodeAddress> & /*seeds*/) override
    {
    }
};

/// Sends heartbeats one after another over one connection.
void sendHeartbeats(asio::io_context &context, const NodeAddress &to)
{
    boost::system::error_code error;
    Tcp::socket socket {context};
    socket.connect({asio::ip::make_address(to.ip), to.port}, error);
    HttpRequest request {http::verb::post, "/Instances.Heartbeat/i-7f3a91c2", 11};
    request.set(http::field::host, "10.0.0.4:8161");
    request.set(http::field::content_type, "application/json");
    request.body() = heartbeatBody;
    request.prepare_payload();
    beast::flat_buffer buffer;
    for (std::uint32_t i = 0; i < measuredCallCount && !error; ++i) {
        HttpResponse response;
        http::write(socket, request, error);
        http::read(socket, buffer, response, error);
        if (response.result() != http::status::ok) {
            std::fprintf(stderr, "heartbeat failed\n");
        }
    }
}

void measureHeartbeats()
{
    constexpr std::uint16_t port = 28'460;
    asio::io_context control {1};
    asio::io_context traffic {1};
    Metrics metrics;
    Kernel kernel;
    platform::AdapterSettings settings;
    settings.control = NodeAddress {"127.0.0.1", port};
    kernel.add(std::make_unique<FakeLeaderClient>());
    kernel.add(platform::makeControl({control, {&traffic}, metrics, {}}, settings));
    if (!kernel.start()) {
        std::fprintf(stderr, "cannot listen on the port\n");
        return;
    }
    const asio::executor_work_guard<asio::io_context::executor_type> trafficWork =
        asio::make_work_guard(traffic);
    const asio::executor_work_guard<asio::io_context::executor_type> controlWork =
        asio::make_work_guard(control);
    std::array<CpuTime, 2> cpuTimes;
    const auto serve = [](asio::io_context &context, CpuTime &sum) {
        const CpuTime before = cpuTimeOf(RUSAGE_THREAD);
        context.run();
        const CpuTime after = cpuTimeOf(RUSAGE_THREAD);
        sum = {after.total - before.total, after.user - before.user};
    };
    std::thread controlThread {serve, std::ref(control), std::ref(cpuTimes[0])};
    std::thread trafficThread {serve, std::ref(traffic), std::ref(cpuTimes[1])};
    asio::io_context clientContext;
    sendHeartbeats(clientContext, *settings.control);
    control.stop();
    traffic.stop();
    controlThread.join();
    trafficThread.join();
    cpuTimes[0] += cpuTimes[1];
    report("heartbeat served", {}, cpuTimes[0], measuredCallCount);
}

void measureLog()
{
    constexpr std::uint32_t lines = 200'000;
    constexpr std::uint32_t burst = 20;
    LogSettings settings;
    settings.output = LogOutput::StandardOutput;
    startLog(settings, VmId {"core-1"});
    const CpuTime before = cpuTimeOf(RUSAGE_SELF);
    for (std::uint32_t line = 0; line < lines; ++line) {
        logInfo("run.started",
            {{"task", "5c0e7a21d94b36f8.0.1.17"}, {"run", std::uint64_t {2}},
                {"worker", "i-7f3a91c2"}});
        if (line % burst == 0) {
            std::this_thread::sleep_for(Milliseconds {1});
        }
    }
    flushLog();
    report("log line", before, cpuTimeOf(RUSAGE_SELF), lines);
}

void measureMetrics()
{
    constexpr std::uint32_t repetitions = 1'000'000;
    Metrics metrics;
    const CpuTime before = cpuTimeOf(RUSAGE_THREAD);
    for (std::uint32_t i = 0; i < repetitions; ++i) {
        metrics.count({"worker_calls_total", R"(call="/hold",status="200")"});
        metrics.observe({"worker_call_seconds", R"(call="/hold")"}, Microseconds {i % 1'000});
    }
    report("metric count + observe", before, cpuTimeOf(RUSAGE_THREAD), repetitions);
}

void run(std::string_view part)
{
    const std::array<std::pair<std::string_view, void (*)()>, 5> parts {
        {{"starts", measureStarts}, {"holds", measureHolds}, {"heartbeats", measureHeartbeats},
            {"metrics", measureMetrics}, {"log", measureLog}}};
    for (const std::pair<std::string_view, void (*)()> &entry : parts) {
        if (part.empty() || part == entry.first) {
            entry.second();
        }
    }
}

} // namespace

} // namespace crocusmill

int main(int argc, char **argv)
{
    crocusmill::run(argc > 1 ? argv[1] : "");
    return 0;
}
