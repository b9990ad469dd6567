/// Simulated upstreams: connections, requests and injected faults.

#include "bench/standinupstream.h"
#include "src/net/forwarder.h"

#include <boost/json.hpp>

#include <algorithm>
#include <random>

namespace crocusmill::standin
{

namespace
{

/// Starts are allowed for this long after an upstream announced that it drains.
constexpr Milliseconds drainGracePeriod {2'000};
constexpr Milliseconds pollInterval {5};
/// Interval at which running work checks whether it must stop.
constexpr Milliseconds stopCheckInterval {50};

std::chrono::microseconds serviceTime(const HttpRequest &request)
{
    const std::string text {request[std::string {serviceHeader}]};
    return std::chrono::microseconds {text.empty() ? 0 : std::strtoll(text.c_str(), nullptr, 10)};
}

} // namespace

std::string generateIncarnation()
{
    std::random_device random;
    return std::to_string(random()) + std::to_string(random());
}

asio::awaitable<void> sleepFor(std::chrono::microseconds time)
{
    asio::steady_timer timer {co_await asio::this_coro::executor, time};
    boost::system::error_code ignored;
    co_await timer.async_wait(errorInto(ignored));
}

StandIn::StandIn(Options options)
    : options_(std::move(options))
{
}

StandIn::~StandIn()
{
    stop();
}

Result<void> StandIn::start()
{
    for (std::uint32_t i = 0; i < options_.count; ++i) {
        std::unique_ptr<Upstream> upstream = std::make_unique<Upstream>(context_);
        upstream->number = i;
        upstream->id = idOf(i);
        upstream->slots = options_.slots;
        boost::system::error_code error;
        const std::uint16_t port =
            static_cast<std::uint16_t>(options_.firstPort == 0 ? 0 : options_.firstPort + i);
        const Tcp::endpoint endpoint {asio::ip::make_address("127.0.0.1"), port};
        upstream->acceptor.open(endpoint.protocol(), error);
        upstream->acceptor.set_option(Tcp::acceptor::reuse_address(true), error);
        upstream->acceptor.bind(endpoint, error);
        if (!error) {
            upstream->acceptor.listen(asio::socket_base::max_listen_connections, error);
        }
        if (error) {
            return HttpError::CannotListen;
        }
        upstream->port = upstream->acceptor.local_endpoint().port();
        upstreams_.push_back(std::move(upstream));
    }
    for (const std::unique_ptr<Upstream> &upstream : upstreams_) {
        asio::co_spawn(context_, accept(*upstream), asio::detached);
        asio::co_spawn(context_, announceForever(*upstream), asio::detached);
    }
    thread_ = std::thread {[this]() {
        context_.run();
    }};
    return success();
}

void StandIn::stop()
{
    isStopping_ = true;
    context_.stop();
    if (thread_.joinable()) {
        thread_.join();
    }
}

UpstreamId StandIn::idOf(std::uint32_t upstream) const
{
    return UpstreamId {options_.idPrefix + std::to_string(upstream)};
}

void StandIn::setFault(std::uint32_t upstream, Fault fault)
{
    const std::lock_guard<std::mutex> lock {mutex_};
    upstreams_[upstream]->fault = fault;
}

void StandIn::setFaultForAll(Fault fault)
{
    const std::lock_guard<std::mutex> lock {mutex_};
    for (const std::unique_ptr<Upstream> &upstream : upstreams_) {
        upstream->fault = fault;
    }
}

void StandIn::setSlots(std::uint32_t upstream, SlotCount slots)
{
    const std::lock_guard<std::mutex> lock {mutex_};
    upstreams_[upstream]->slots = slots;
    upstreams_[upstream]->shouldAnnounceNow = true;
}

void StandIn::drain(std::uint32_t upstream)
{
    const std::lock_guard<std::mutex> lock {mutex_};
    upstreams_[upstream]->isDraining = true;
    upstreams_[upstream]->shouldAnnounceNow = true;
    upstreams_[upstream]->drainingSince = monotonicNow();
}

void StandIn::silence(std::uint32_t upstream, bool isSilent)
{
    const std::lock_guard<std::mutex> lock {mutex_};
    upstreams_[upstream]->isSilent = isSilent;
}

void StandIn::restart(std::uint32_t upstream)
{
    const std::lock_guard<std::mutex> lock {mutex_};
    Upstream &restarted = *upstreams_[upstream];
    restarted.incarnation = generateIncarnation();
    ++restarted.generation;
    restarted.running.clear();
    restarted.runningCount = 0;
    restarted.finished.clear();
    restarted.refused.clear();
    restarted.leases.clear();
    restarted.shouldAnnounceNow = true;
}

std::string describe(const Observations &observations)
{
    std::uint32_t mostStarts = 0;
    for (const std::pair<const std::string, std::uint32_t> &keyStarts : observations.startsByKey) {
        mostStarts = std::max(mostStarts, keyStarts.second);
    }
    const boost::json::object body {{"starts", observations.starts},
        {"over_slots", observations.startsOverSlots}, {"overlaps", observations.overlaps},
        {"starts_after_drain", observations.startsAfterDrain},
        {"most_at_once", observations.maxRunning},
        {"most_connections", observations.maxOpenConnections},
        {"most_starts_for_a_key", mostStarts}};
    return boost::json::serialize(body);
}

Observations StandIn::observations() const
{
    const std::lock_guard<std::mutex> lock {mutex_};
    return observations_;
}

std::uint32_t StandIn::runningNow() const
{
    const std::lock_guard<std::mutex> lock {mutex_};
    std::uint32_t total = 0;
    for (const std::unique_ptr<Upstream> &upstream : upstreams_) {
        total += upstream->runningCount;
    }
    return total;
}

asio::awaitable<void> StandIn::accept(Upstream &upstream)
{
    while (!isStopping_) {
        boost::system::error_code error;
        Tcp::socket socket = co_await upstream.acceptor.async_accept(errorInto(error));
        if (error) {
            co_return;
        }
        socket.set_option(Tcp::no_delay(true), error);
        asio::co_spawn(context_, serve(upstream, std::move(socket)), asio::detached);
    }
}

asio::awaitable<void> StandIn::serve(Upstream &upstream, Tcp::socket socket)
{
    {
        const std::lock_guard<std::mutex> lock {mutex_};
        observations_.maxOpenConnections =
            std::max(observations_.maxOpenConnections, ++upstream.connections);
    }
    co_await serveRequests(upstream, std::move(socket));
    const std::lock_guard<std::mutex> lock {mutex_};
    --upstream.connections;
}

asio::awaitable<void> StandIn::serveRequests(Upstream &upstream, Tcp::socket socket)
{
    beast::tcp_stream stream {std::move(socket)};
    beast::flat_buffer buffer;
    bool goOn = true;
    while (goOn && !isStopping_) {
        HttpRequest request;
        boost::system::error_code error;
        co_await http::async_read(stream, buffer, request, errorInto(error));
        if (error) {
            co_return;
        }
        goOn = co_await handleRequest(upstream, stream, request);
    }
}

asio::awaitable<bool> StandIn::handleRequest(
    Upstream &upstream, beast::tcp_stream &stream, const HttpRequest &request)
{
    const AttemptId attempt {std::string {request[std::string {headers::attempt}]}};
    Fault fault = Fault::None;
    bool refused = false;
    {
        const std::lock_guard<std::mutex> lock {mutex_};
        fault = upstream.fault;
        refused = upstream.refused.contains(attempt) || fault == Fault::Refuse;
    }
    if (fault == Fault::DropAfterRead) {
        co_return false;
    }
    HttpResponse response {http::status::service_unavailable, 11};
    response.set(headers::attempt, attempt.value());
    response.set(headers::notRun, "1");
    if (!refused && request[std::string {headers::exclusive}] == "1") {
        refused = !co_await awaitLease(upstream, attempt);
    }
    if (!refused) {
        const bool answers = co_await work(upstream, request, attempt);
        if (!answers) {
            co_return false;
        }
        co_return co_await writeAnswer(upstream, stream, request, attempt);
    }
    response.prepare_payload();
    boost::system::error_code error;
    co_await http::async_write(stream, response, errorInto(error));
    co_return !error;
}

asio::awaitable<bool> StandIn::awaitLease(Upstream &upstream, const AttemptId &attempt)
{
    const MonotonicTime limit = monotonicNow() + std::chrono::seconds {30};
    {
        const std::lock_guard<std::mutex> lock {mutex_};
        upstream.running.insert(attempt);
        upstream.shouldAnnounceNow = true;
    }
    while (!isStopping_ && monotonicNow() < limit) {
        {
            const std::lock_guard<std::mutex> lock {mutex_};
            const auto lease = upstream.leases.find(attempt);
            if (lease != upstream.leases.end() && monotonicNow() < lease->second) {
                co_return true;
            }
            if (upstream.refused.contains(attempt)) {
                upstream.running.erase(attempt);
                co_return false;
            }
        }
        co_await sleepFor(pollInterval);
    }
    const std::lock_guard<std::mutex> lock {mutex_};
    upstream.running.erase(attempt);
    co_return false;
}

void StandIn::recordStart(Upstream &upstream, const std::string &key, const AttemptId &attempt)
{
    const std::lock_guard<std::mutex> lock {mutex_};
    if (upstream.runningCount >= upstream.slots.value()) {
        ++observations_.startsOverSlots;
    }
    if (upstream.isDraining && monotonicNow() - upstream.drainingSince > drainGracePeriod) {
        ++observations_.startsAfterDrain;
    }
    upstream.running.insert(attempt);
    ++upstream.runningCount;
    ++observations_.starts;
    observations_.maxRunning = std::max(observations_.maxRunning, upstream.runningCount);
    observations_.startedAttempts.insert(attempt.value());
    if (!key.empty()) {
        ++observations_.startsByKey[key];
        if (++runningKeys_[key] > 1) {
            ++observations_.overlaps;
        }
    }
}

void StandIn::recordEnd(
    Upstream &upstream, const std::string &key, const AttemptId &attempt, std::uint32_t status)
{
    const std::lock_guard<std::mutex> lock {mutex_};
    if (!key.empty()) {
        --runningKeys_[key];
    }
    if (upstream.running.erase(attempt) == 0) {
        return; // started before a restart
    }
    --upstream.runningCount;
    upstream.finished[attempt] = status;
}

asio::awaitable<bool> StandIn::work(
    Upstream &upstream, const HttpRequest &request, const AttemptId &attempt)
{
    const std::string key {request[std::string {headers::idempotencyKey}]};
    const bool exclusive = request[std::string {headers::exclusive}] == "1";
    recordStart(upstream, key, attempt);
    std::uint64_t generation = 0;
    Fault fault = Fault::None;
    {
        const std::lock_guard<std::mutex> lock {mutex_};
        generation = upstream.generation;
        fault = upstream.fault;
    }
    const MonotonicTime end = monotonicNow() + serviceTime(request);
    bool stopped = fault == Fault::Hang;
    while (fault != Fault::FailEverything && (monotonicNow() < end || fault == Fault::Hang)) {
        const std::chrono::microseconds left =
            std::chrono::duration_cast<std::chrono::microseconds>(end - monotonicNow());
        const std::chrono::microseconds step {stopCheckInterval};
        co_await sleepFor(fault == Fault::Hang ? step : std::min(left, step));
        const std::lock_guard<std::mutex> lock {mutex_};
        const bool leaseLost = exclusive && monotonicNow() >= upstream.leases[attempt];
        const bool isStopRequested = upstream.refused.contains(attempt);
        if (upstream.generation != generation || leaseLost || isStopRequested || isStopping_) {
            stopped = true;
            break;
        }
    }
    constexpr std::uint32_t okStatus = 200;
    constexpr std::uint32_t failedStatus = 500;
    recordEnd(upstream, key, attempt,
        stopped || fault == Fault::FailEverything ? failedStatus : okStatus);
    co_return !stopped;
}

asio::awaitable<bool> StandIn::writeAnswer(Upstream &upstream, beast::tcp_stream &stream,
    const HttpRequest &request, const AttemptId &attempt)
{
    Fault fault = Fault::None;
    {
        const std::lock_guard<std::mutex> lock {mutex_};
        fault = upstream.fault;
    }
    HttpResponse response {
        fault == Fault::FailEverything ? http::status::internal_server_error : http::status::ok,
        11};
    const bool isCrossed = fault == Fault::CrossAnswers;
    response.set(headers::attempt, isCrossed ? "someone-else-1" : attempt.value());
    response.set(http::field::content_type, "application/json");
    const boost::json::object body {{"upstream", upstream.id.value()}, {"attempt", attempt.value()},
        {"target", std::string {request.target()}}, {"echo", request.body()}};
    response.body() = boost::json::serialize(body);
    response.prepare_payload();
    boost::system::error_code error;
    if (fault == Fault::ShortAnswers) {
        constexpr std::size_t cut = 10;
        http::response_serializer<http::string_body> serializer {response};
        co_await http::async_write_header(stream, serializer, errorInto(error));
        co_await asio::async_write(
            stream, asio::buffer(response.body().data(), cut), errorInto(error));
        stream.close();
        co_return false;
    }
    co_await http::async_write(stream, response, errorInto(error));
    co_return !error && request.keep_alive();
}

} // namespace crocusmill::standin
