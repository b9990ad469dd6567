/// Implementation of the callers' port.

#include "src/services/ingress.h"

#include "src/net/clock.h"
#include "src/net/log.h"
#include "src/services/announcehandler.h"
#include "src/services/workflow.h"
#include "src/services/workstatushandler.h"
#include "src/wire/commandjson.h"

#include <algorithm>
#include <charconv>

namespace crocusmill
{

namespace
{

/// About the time until the first beat is answered once there is a leader.
constexpr Milliseconds startingRetryDelay {1'000};
constexpr std::string_view readyPath = "/.well-known/crocusmill/ready";

HttpResponse notFoundResponse(const std::string &type, const std::string &title)
{
    Problem problem;
    problem.status = http::status::not_found;
    problem.type = type;
    problem.title = title;
    problem.execution = "not_run";
    return problemResponse(problem);
}

std::string normalizedHost(std::string_view host)
{
    const std::size_t colon = host.rfind(':');
    std::string name {host.substr(0, colon)};
    std::transform(name.begin(), name.end(), name.begin(),
        [](unsigned char letter) { return static_cast<char>(std::tolower(letter)); });
    return name;
}

std::optional<std::int64_t> parseNumber(std::string_view text)
{
    std::int64_t number = 0;
    const std::from_chars_result parsed =
        std::from_chars(text.data(), text.data() + text.size(), number);
    if (parsed.ec != std::errc {} || parsed.ptr != text.data() + text.size()) {
        return std::nullopt;
    }
    return number;
}

/// The supported preferences of the `Prefer` header (RFC 7240).
struct Preference
{
    bool respondAsync = false;
    std::optional<Milliseconds> wait;
};

Preference parsePreference(std::string_view header)
{
    constexpr std::string_view waitName = "wait=";
    constexpr std::int64_t millisecondsPerSecond = 1000;
    Preference preference;
    preference.respondAsync = header.find("respond-async") != std::string_view::npos;
    const std::size_t position = header.find(waitName);
    if (position != std::string_view::npos) {
        std::string_view secondsText = header.substr(position + waitName.size());
        secondsText = secondsText.substr(0, secondsText.find_first_not_of("0123456789"));
        const std::optional<std::int64_t> seconds = parseNumber(secondsText);
        if (seconds) {
            preference.wait = Milliseconds {*seconds * millisecondsPerSecond};
        }
    }
    return preference;
}

StoredRequest storedRequest(const HttpRequest &request)
{
    StoredRequest stored;
    stored.method = std::string {request.method_string()};
    stored.target = std::string {request.target()};
    for (const HttpRequest::value_type &field : request) {
        stored.headers.push_back({std::string {field.name_string()}, std::string {field.value()}});
    }
    stored.body = request.body();
    return stored;
}

class IngressService final : public Service, public Ingress, public HttpHandler
{
public:
    IngressService(asio::io_context &control, std::vector<asio::io_context *> traffic,
        const Settings &settings, Metrics &metrics, Tracer &tracer,
        std::shared_ptr<ClientConnections> connections)
        : control_(control)
        , traffic_(std::move(traffic))
        , settings_(settings)
        , metrics_(metrics)
        , tracer_(tracer)
        , connections_(std::move(connections))
    {
    }

    std::string_view name() const override
    {
        return names::ingress;
    }

    std::vector<std::string_view> dependencies() const override
    {
        return {names::entry, names::client};
    }

    Result<void> start(Kernel &kernel) override
    {
        entry_ = kernel.find<Entry>(names::entry);
        client_ = kernel.find<LeaderClient>(names::client);
        flowContext_ = std::make_unique<FlowContext>(
            FlowContext {control_, *entry_, *client_, metrics_, tracer_, settings_.entry});
        const HttpClientLimits forwardLimits {
            settings_.entry.connectTimeout, settings_.entry.maxAnswerBytes};
        for (asio::io_context *context : traffic_) {
            forwarders_[context] = std::make_unique<Forwarder>(*context, forwardLimits);
        }
        entry_->onAdopt([this](const Work &work) { adopt(work); });
        announceHandler_ =
            std::make_unique<AnnounceHandler>(control_, *entry_, *client_, settings_.times);
        workStatusHandler_ = std::make_unique<WorkStatusHandler>(control_, *entry_, *client_);
        HttpLimits limits;
        limits.maxConnections = settings_.entry.maxConnections;
        limits.maxHeaderBytes = settings_.entry.maxHeaderBytes;
        limits.maxBodyBytes = settings_.entry.maxBodyBytes;
        limits.idleTimeout = settings_.entry.idleTimeout;
        limits.receiveTimeout = settings_.entry.receiveTimeout;
        limits.connections = connections_;
        server_ = std::make_unique<HttpServer>(traffic_, limits, *this);
        BOOST_OUTCOME_TRY(server_->listen(settings_.entry.listen));
        if (settings_.announce) {
            announceServer_ = std::make_unique<HttpServer>(traffic_, limits, *announceHandler_);
            BOOST_OUTCOME_TRY(announceServer_->listen(*settings_.announce));
        }
        logInfo("ingress.listening",
            {{"ip", settings_.entry.listen.ip},
                {"port", std::uint64_t {settings_.entry.listen.port}}});
        return success();
    }

    void stop() override
    {
        stopAccepting();
    }

    void stopAccepting() override
    {
        server_->stopAccepting();
        if (announceServer_) {
            announceServer_->stopAccepting();
        }
    }

    std::size_t inProgressCount() const override
    {
        return server_->busyCount() + detachedCount_;
    }

    asio::awaitable<HttpResponse> handle(
        HttpRequest request, std::shared_ptr<CallerWatch> watch) override
    {
        const std::string_view target = request.target();
        if (target == readyPath) {
            co_return readyResponse();
        }
        if (WorkStatusHandler::handlesPath(target)) {
            co_return co_await workStatusHandler_->handle(std::move(request), std::move(watch));
        }
        if (!settings_.announce && AnnounceHandler::handlesPath(target)) {
            co_return co_await announceHandler_->handle(std::move(request), std::move(watch));
        }
        co_return co_await route(request, watch);
    }

private:
    HttpResponse readyResponse() const
    {
        const Readiness readiness = entry_->readiness();
        const boost::json::object body {{"state", text(readiness)}};
        const bool isReady = readiness == Readiness::Ready;
        return jsonResponse(isReady ? http::status::ok : http::status::service_unavailable,
            boost::json::serialize(body));
    }

    /// Until the configuration is confirmed, an unknown route may exist, so it is not a 404.
    static HttpResponse startingResponse()
    {
        Problem problem;
        problem.status = http::status::service_unavailable;
        problem.type = "starting";
        problem.title = "Not ready";
        problem.detail = "This entry has no confirmed configuration yet";
        problem.execution = "not_run";
        problem.retryAfter = startingRetryDelay;
        return problemResponse(problem);
    }

    Forwarder &forwarderOf(const asio::any_io_executor &executor)
    {
        asio::execution_context &context = asio::query(executor, asio::execution::context);
        return *forwarders_.at(static_cast<asio::io_context *>(&context));
    }

    asio::awaitable<HttpResponse> route(
        const HttpRequest &request, const std::shared_ptr<CallerWatch> &watch)
    {
        if (entry_->readiness() == Readiness::Starting) {
            co_return startingResponse();
        }
        const std::shared_ptr<const RouteTable> table = entry_->routes();
        const auto host = table->hosts.find(normalizedHost(request[http::field::host]));
        if (host == table->hosts.end()) {
            co_return notFoundResponse("no-environment", "No environment has this host");
        }
        const Route *matchedRoute = host->second->document.findRoute(
            std::string {request.method_string()}, std::string {request.target()});
        if (matchedRoute == nullptr) {
            co_return notFoundResponse("no-route", "The environment has no such route");
        }
        const std::string_view traceparent = request[std::string {headers::traceparent}];
        const TraceContext trace =
            TraceContext::parse(traceparent).value_or(TraceContext::generate());
        ScopedSpan span {tracer_, trace.trace, trace.parent, "caller"};
        span.addAttribute("route", matchedRoute->method + " " + matchedRoute->path);
        FlowRequest flowRequest =
            makeFlowRequest(request, host->second, *matchedRoute, trace, span.id());
        const MonotonicTime startedAt = std::chrono::steady_clock::now();
        HttpResponse response =
            co_await run(std::move(flowRequest), parsePreference(request["Prefer"]), watch);
        metrics_.observe({"request_seconds", ""},
            std::chrono::duration_cast<Microseconds>(std::chrono::steady_clock::now() - startedAt));
        span.addAttribute("status", std::to_string(response.result_int()));
        co_return response;
    }

    FlowRequest makeFlowRequest(const HttpRequest &request,
        const std::shared_ptr<const RouteTable::Environment> &environment, const Route &route,
        const TraceContext &trace, const SpanId &span) const
    {
        FlowRequest flow;
        flow.environment = environment;
        flow.route = route;
        flow.request = storedRequest(request);
        flow.team = TeamName {std::string {request[std::string {headers::team}]}};
        const std::string_view key = request[std::string {headers::idempotencyKey}];
        if (!key.empty()) {
            flow.key = IdempotencyKey {std::string {key}};
        }
        flow.appliedIndex = entry_->newestAppliedIndex();
        flow.trace = trace;
        flow.span = span;
        Milliseconds timeout = route.deadline;
        const std::optional<std::int64_t> requestedTimeout =
            parseNumber(request[std::string {headers::deadline}]);
        if (requestedTimeout && *requestedTimeout >= 0) {
            timeout = std::min(timeout, Milliseconds {*requestedTimeout});
        }
        flow.deadline = std::chrono::steady_clock::now() + timeout;
        flow.wallDeadline = wallTimeNow() + timeout;
        return flow;
    }

    asio::awaitable<HttpResponse> run(
        FlowRequest request, Preference preference, std::shared_ptr<CallerWatch> watch)
    {
        const asio::any_io_executor executor = co_await asio::this_coro::executor;
        const Route &route = request.route;
        const bool isAsync = preference.respondAsync || preference.wait;
        const bool mustRecord = isAsync || !route.repeatable || route.exclusive || route.recorded;
        if (!request.key && !route.repeatable) {
            request.key = IdempotencyKey {
                entry_->epoch().value() + "-k" + std::to_string(entry_->nextRequest().value())};
        }
        const std::shared_ptr<Flow> flow =
            std::make_shared<Flow>(*flowContext_, forwarderOf(executor), std::move(request));
        if (!mustRecord) {
            co_return co_await flow->runUnrecorded(watch);
        }
        if (!isAsync) {
            co_return co_await flow->runRecorded();
        }
        co_return co_await runAsync(flow, preference);
    }

    asio::awaitable<HttpResponse> runAsync(std::shared_ptr<Flow> flow, Preference preference)
    {
        HttpResponse refusal;
        const std::optional<Flow::AdmissionResult> admitted = co_await flow->admit(true, refusal);
        if (!admitted) {
            co_return refusal;
        }
        if (admitted->isNew) {
            runDetached(flow, admitted->work, co_await asio::this_coro::executor);
        }
        if (preference.wait) {
            const MonotonicTime deadline = std::chrono::steady_clock::now() + *preference.wait;
            HttpResponse response = co_await flow->awaitCompletion(admitted->work, deadline);
            if (response.result() != http::status::gateway_timeout) {
                co_return response;
            }
        }
        const boost::json::object body {{"work_id", admitted->work.value()}, {"state", "accepted"}};
        HttpResponse response = jsonResponse(http::status::accepted, boost::json::serialize(body));
        response.set(http::field::location,
            std::string {WorkStatusHandler::workPath} + admitted->work.value());
        flow->setIdentityHeaders(response, admitted->work);
        co_return response;
    }

    void runDetached(const std::shared_ptr<Flow> &flow, const WorkId &work,
        const asio::any_io_executor &executor)
    {
        ++detachedCount_;
        asio::co_spawn(
            executor,
            [this, flow, work]() -> asio::awaitable<void> {
                static_cast<void>(co_await flow->executeAdmitted(work));
                --detachedCount_;
            },
            asio::detached);
    }

    /// Takes over work whose entry is gone. Control thread only.
    void adopt(const Work &work)
    {
        const std::shared_ptr<const RouteTable> table = entry_->routes();
        using Host = std::pair<const std::string, std::shared_ptr<const RouteTable::Environment>>;
        for (const Host &hostEntry : table->hosts) {
            const RouteTable::Environment &environment = *hostEntry.second;
            const bool isMatch = environment.document.name == work.environment
                && environment.stage == Stage::Production;
            if (!isMatch || !work.request) {
                continue;
            }
            const Route *route =
                environment.document.findRoute(work.request->method, work.request->target);
            if (route == nullptr) {
                break;
            }
            FlowRequest request;
            request.environment = hostEntry.second;
            request.route = *route;
            request.request = *work.request;
            request.key = work.key;
            request.trace = TraceContext::generate();
            request.span = makeSpanId();
            const Milliseconds remaining = work.deadline - wallTimeNow();
            request.deadline = std::chrono::steady_clock::now() + remaining;
            request.wallDeadline = work.deadline;
            asio::io_context &context = *traffic_.front();
            const std::shared_ptr<Flow> flow = std::make_shared<Flow>(
                *flowContext_, *forwarders_.at(&context), std::move(request));
            logInfo("work.adopted", {{"work", work.id.value()}});
            runDetached(flow, work.id, context.get_executor());
            return;
        }
        logWarning("work.not_adopted", {{"work", work.id.value()}});
    }

    asio::io_context &control_;
    std::vector<asio::io_context *> traffic_;
    Settings settings_;
    Metrics &metrics_;
    Tracer &tracer_;
    std::shared_ptr<ClientConnections> connections_;
    Entry *entry_ = nullptr;
    LeaderClient *client_ = nullptr;
    std::unique_ptr<FlowContext> flowContext_;
    std::map<asio::io_context *, std::unique_ptr<Forwarder>> forwarders_;
    std::unique_ptr<AnnounceHandler> announceHandler_;
    std::unique_ptr<WorkStatusHandler> workStatusHandler_;
    std::unique_ptr<HttpServer> server_;
    std::unique_ptr<HttpServer> announceServer_;
    std::atomic<std::size_t> detachedCount_ {0};
};

} // namespace

std::unique_ptr<Service> makeIngressService(asio::io_context &control,
    std::vector<asio::io_context *> traffic, const Settings &settings, Metrics &metrics,
    Tracer &tracer, std::shared_ptr<ClientConnections> connections)
{
    return std::make_unique<IngressService>(
        control, std::move(traffic), settings, metrics, tracer, std::move(connections));
}

} // namespace crocusmill
