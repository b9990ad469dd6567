/// Implementation of PlatformWorkers.

#include "test/live/platformworkers.h"

#include "src/net/clock.h"

#include <algorithm>

namespace crocusmill::live
{

namespace
{

constexpr std::uint16_t officePort = 8'169;
constexpr std::uint16_t workerPort = 8'080;
constexpr Milliseconds pollInterval {20};

std::int64_t clockNow()
{
    return std::chrono::duration_cast<Milliseconds>(monotonicNow().time_since_epoch()).count();
}

std::int64_t numberOf(const boost::json::object &json, std::string_view name)
{
    const boost::json::value *value = json.if_contains(name);
    return value == nullptr ? 0 : value->to_number<std::int64_t>();
}

boost::json::object bodyOf(const HttpRequest &request)
{
    boost::system::error_code error;
    const boost::json::value json = boost::json::parse(request.body(), error);
    return error || !json.is_object() ? boost::json::object {} : json.get_object();
}

HttpResponse answer(http::status status, boost::json::object body)
{
    body["clock_ms"] = clockNow();
    return jsonResponse(status, boost::json::serialize(body));
}

HttpResponse conflict(const char *reason)
{
    return answer(http::status::conflict, {{"reason", reason}});
}

asio::awaitable<void> sleepFor(Milliseconds time)
{
    asio::steady_timer timer {co_await asio::this_coro::executor, time};
    boost::system::error_code ignored;
    co_await timer.async_wait(errorInto(ignored));
}

} // namespace

/// Decides after a fixed time which workers a step may use: every second one.
class PlatformWorkers::Office final : public HttpHandler
{
public:
    asio::awaitable<HttpResponse> handle(
        HttpRequest request, std::shared_ptr<CallerWatch> /*watch*/) override
    {
        constexpr Milliseconds decisionTime {10};
        const boost::json::object body = bodyOf(request);
        co_await sleepFor(decisionTime);
        boost::json::array allowed;
        for (const boost::json::value &worker : body.at("workers").as_array()) {
            const std::string id {worker.as_string()};
            if (std::hash<std::string> {}(id + std::string {body.at("step").as_string()}) % 2
                == 0) {
                allowed.push_back(boost::json::array {id, "ticket"});
            }
        }
        co_return answer(http::status::ok, {{"allowed", std::move(allowed)}});
    }

    bool watchesCallers() const override
    {
        return false;
    }
};

/// One worker, as PROTOCOL.md of the platform describes it. Runs on the thread of the context.
class PlatformWorkers::Worker final : public HttpHandler
{
public:
    Worker(PlatformWorkers &site, std::string id, NodeAddress address)
        : site_(site)
        , id_(std::move(id))
        , address_(std::move(address))
        , startedAt_(std::chrono::duration_cast<Milliseconds>(
              std::chrono::system_clock::now().time_since_epoch())
                         .count())
        , client_(site.context_, {})
    {
    }

    bool watchesCallers() const override
    {
        return false;
    }

    const NodeAddress &address() const
    {
        return address_;
    }

    asio::awaitable<HttpResponse> handle(
        HttpRequest request, std::shared_ptr<CallerWatch> /*watch*/) override
    {
        const std::string target {request.target()};
        const boost::json::object body = bodyOf(request);
        if (target == "/run-start") {
            const std::optional<Milliseconds> delay = startDelay();
            if (delay) {
                co_await sleepFor(*delay);
            }
            co_return start(body);
        }
        if (target == "/run-stop") {
            co_return stop(body);
        }
        co_return co_await hold(body);
    }

    /// Sends heartbeats to the VM that the last answer named, or to the next one after a failure.
    asio::awaitable<void> sendHeartbeats(std::size_t first)
    {
        const std::vector<NodeAddress> &control = site_.options_.control;
        std::size_t next = first % control.size();
        for (std::uint64_t sequence = 1;; ++sequence) {
            constexpr Milliseconds timeout {1'000};
            HttpCall call;
            call.to = control[next];
            call.request = HttpRequest {http::verb::post, "/Instances.Heartbeat/" + id_, 11};
            call.request.set(http::field::host, call.to.ip);
            call.request.body() = heartbeat(sequence);
            call.request.prepare_payload();
            call.deadline = monotonicNow() + timeout;
            const HttpOutcome outcome = co_await client_.send(std::move(call));
            const bool isAccepted = outcome.kind == HttpResultKind::Answered
                && outcome.response.result() == http::status::ok;
            if (isAccepted) {
                site_.record({WorkerEvent::Kind::Heartbeat, id_, {}, monotonicNow(), true});
                co_await sleepFor(site_.options_.heartbeatInterval);
            } else {
                next = (next + 1) % control.size();
                co_await sleepFor(pollInterval);
            }
        }
    }

    /// Ends runs that are complete or whose lease has expired.
    asio::awaitable<void> endRuns()
    {
        for (;;) {
            co_await sleepFor(pollInterval);
            const MonotonicTime now = monotonicNow();
            const bool hasExpired = clockNow() >= deadline_;
            for (auto it = running_.begin(); it != running_.end();) {
                const bool isDone = now >= it->second.endsAt;
                if (isDone || hasExpired) {
                    addEnd(it->first, it->second.number, isDone ? "done" : "lapsed");
                    it = running_.erase(it);
                } else {
                    ++it;
                }
            }
        }
    }

private:
    struct Run
    {
        std::int64_t number = 0;
        MonotonicTime endsAt {};
    };

    struct End
    {
        std::int64_t number = 0;
        std::string task;
        std::int64_t run = 0;
        std::string how;
    };

    std::optional<Milliseconds> startDelay() const
    {
        const std::lock_guard<std::mutex> lock {site_.mutex_};
        return site_.startDelay_;
    }

    std::string heartbeat(std::uint64_t sequence) const
    {
        const boost::json::object capacity {
            {"cpu", site_.options_.milliCores}, {"mem_mb", 1'000'000}, {"gpu", 0}};
        return boost::json::serialize(boost::json::object {{"service", "service"},
            {"addr", address_.ip + ":" + std::to_string(address_.port)}, {"zone", "zone"},
            {"version", "v1"}, {"slots", 8}, {"state", "ready"}, {"cold_left_ms", 0},
            {"capacity", capacity}, {"labels", boost::json::array {"a", "r1"}}, {"seq", sequence},
            {"born", startedAt_}, {"clock_ms", clockNow()}});
    }

    bool isFenced(const boost::json::object &body)
    {
        const std::int64_t fence = numberOf(body, "fence");
        if (fence < fence_) {
            return true;
        }
        fence_ = fence;
        return false;
    }

    HttpResponse start(const boost::json::object &body)
    {
        const std::string task {body.at("task").as_string()};
        const std::int64_t number = numberOf(body, "run");
        if (isFenced(body)) {
            return conflict("fence");
        }
        deadline_ = std::max(deadline_, numberOf(body, "deadline_ms"));
        if (!body.contains("ticket")) {
            return conflict("ticket"); // all queues of PlatformCell need tickets
        }
        const auto running = running_.find(task);
        const bool isRunning = running != running_.end() && running->second.number == number;
        site_.record({WorkerEvent::Kind::Start, id_, task, monotonicNow(), !isRunning});
        if (isRunning) {
            return answer(http::status::ok, {});
        }
        if (running != running_.end() || number <= lastRuns_[task]) {
            return conflict("old");
        }
        running_[task] = {number, monotonicNow() + site_.options_.taskDuration};
        site_.recordStart(task);
        return answer(http::status::ok, {});
    }

    HttpResponse stop(const boost::json::object &body)
    {
        const std::string task {body.at("task").as_string()};
        const std::int64_t number = numberOf(body, "run");
        if (isFenced(body)) {
            return conflict("fence");
        }
        site_.record({WorkerEvent::Kind::Stop, id_, task, monotonicNow(), false});
        lastRuns_[task] = std::max(lastRuns_[task], number);
        const auto running = running_.find(task);
        if (running != running_.end() && running->second.number <= number) {
            addEnd(task, running->second.number, "stopped");
            running_.erase(running);
        }
        return answer(http::status::ok, {});
    }

    asio::awaitable<HttpResponse> hold(boost::json::object body)
    {
        if (isFenced(body)) {
            co_return conflict("fence");
        }
        site_.record({WorkerEvent::Kind::Hold, id_, {}, monotonicNow(), false});
        deadline_ = std::max(deadline_, numberOf(body, "deadline_ms"));
        const std::int64_t acknowledged = numberOf(body, "ack_cursor");
        std::erase_if(ends_, [this, acknowledged](const End &end) {
            const bool isAcknowledged = end.number <= acknowledged;
            if (isAcknowledged) {
                site_.recordEnd(end.task, end.how == "done", true);
            }
            return isAcknowledged;
        });
        const MonotonicTime until = monotonicNow() + Milliseconds {numberOf(body, "wait_ms")};
        while (ends_.empty() && monotonicNow() < until) {
            co_await sleepFor(pollInterval);
        }
        boost::json::array running;
        for (const std::pair<const std::string, Run> &run : running_) {
            running.push_back(boost::json::array {run.first, run.second.number, "", 0, 0});
        }
        boost::json::array finished;
        for (const End &end : ends_) {
            finished.push_back(boost::json::array {end.number, end.task, end.run, end.how, ""});
        }
        co_return answer(http::status::ok,
            {{"born", startedAt_}, {"running", std::move(running)},
                {"finished", std::move(finished)}});
    }

    void addEnd(const std::string &task, std::int64_t run, const std::string &how)
    {
        lastRuns_[task] = std::max(lastRuns_[task], run);
        ends_.push_back({++lastEnd_, task, run, how});
        site_.recordEnd(task, how == "done", false);
    }

    PlatformWorkers &site_;
    std::string id_;
    NodeAddress address_;
    std::int64_t startedAt_; // Unix milliseconds
    HttpClient client_;
    std::int64_t fence_ = 0;
    std::int64_t deadline_ = 0; // of the lease, on the worker's clock
    std::map<std::string, Run> running_; // by task
    std::map<std::string, std::int64_t> lastRuns_; // highest run ended or stopped, by task
    std::vector<End> ends_; // not acknowledged
    std::int64_t lastEnd_ = 0;
};

PlatformWorkers::PlatformWorkers(std::uint8_t network, PlatformOptions options)
    : options_(std::move(options))
    , prefix_("127.0." + std::to_string(network) + ".")
    , officeHandler_(std::make_unique<Office>())
{
    const HttpLimits limits;
    servers_.push_back(std::make_unique<HttpServer>(
        std::vector<asio::io_context *> {&context_}, limits, *officeHandler_));
    static_cast<void>(servers_.back()->listen(office()));
    for (std::uint32_t number = 0; number < options_.workers; ++number) {
        constexpr std::uint32_t firstHost = 100;
        const NodeAddress address {prefix_ + std::to_string(firstHost + number), workerPort};
        workers_.push_back(
            std::make_unique<Worker>(*this, "worker-" + std::to_string(number), address));
        servers_.push_back(std::make_unique<HttpServer>(
            std::vector<asio::io_context *> {&context_}, limits, *workers_.back()));
        static_cast<void>(servers_.back()->listen(address));
        asio::co_spawn(context_, workers_.back()->sendHeartbeats(number), asio::detached);
        asio::co_spawn(context_, workers_.back()->endRuns(), asio::detached);
    }
    thread_ = std::thread {[this]() {
        context_.run();
    }};
}

PlatformWorkers::~PlatformWorkers()
{
    context_.stop();
    thread_.join();
}

NodeAddress PlatformWorkers::office() const
{
    return {prefix_ + "99", officePort};
}

void PlatformWorkers::delayStarts(std::optional<Milliseconds> delay)
{
    const std::lock_guard<std::mutex> lock {mutex_};
    startDelay_ = delay;
}

void PlatformWorkers::record(WorkerEvent event)
{
    const std::lock_guard<std::mutex> lock {mutex_};
    events_.push_back(std::move(event));
}

void PlatformWorkers::recordStart(const std::string &task)
{
    const std::lock_guard<std::mutex> lock {mutex_};
    const auto finished = finished_.find(task);
    const bool isAcknowledged = finished != finished_.end() && finished->second;
    repeatedCount_ += ++running_[task] > 1 || isAcknowledged ? 1 : 0;
}

void PlatformWorkers::recordEnd(const std::string &task, bool succeeded, bool acknowledged)
{
    const std::lock_guard<std::mutex> lock {mutex_};
    if (!acknowledged) {
        --running_[task];
    }
    if (succeeded) {
        finished_[task] = finished_[task] || acknowledged;
    }
}

std::vector<WorkerEvent> PlatformWorkers::eventsSince(MonotonicTime since) const
{
    const std::lock_guard<std::mutex> lock {mutex_};
    std::vector<WorkerEvent> events;
    std::copy_if(events_.begin(), events_.end(), std::back_inserter(events),
        [since](const WorkerEvent &event) { return event.at >= since; });
    return events;
}

std::size_t PlatformWorkers::finishedCount(const std::string &job) const
{
    const std::lock_guard<std::mutex> lock {mutex_};
    const std::string prefix = job + ".";
    return static_cast<std::size_t>(std::count_if(finished_.begin(), finished_.end(),
        [&prefix](const std::pair<const std::string, bool> &task) {
            return task.first.starts_with(prefix);
        }));
}

std::size_t PlatformWorkers::repeatedCount() const
{
    const std::lock_guard<std::mutex> lock {mutex_};
    return repeatedCount_;
}

} // namespace crocusmill::live
