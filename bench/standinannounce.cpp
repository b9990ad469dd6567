/// Announcements of simulated upstreams and the handling of their replies.

#include "bench/standinupstream.h"

#include <boost/json.hpp>

#include <algorithm>

namespace crocusmill::standin
{

namespace
{

constexpr Milliseconds announcePollInterval {20};
constexpr Milliseconds announceTimeout {1'500};

} // namespace

std::string StandIn::announcement(Upstream &upstream)
{
    boost::json::array running;
    boost::json::array finished;
    const std::lock_guard<std::mutex> lock {mutex_};
    for (const AttemptId &attempt : upstream.running) {
        running.emplace_back(attempt.value());
    }
    for (const std::pair<const AttemptId, std::uint32_t> &finishedAttempt : upstream.finished) {
        finished.push_back(boost::json::object {
            {"attempt", finishedAttempt.first.value()}, {"status", finishedAttempt.second}});
    }
    const std::string zone =
        "zone-" + std::to_string(upstream.number % std::max(options_.zones, 1U));
    const boost::json::object body {{"environment", options_.environment.value()},
        {"stage", options_.stage == Stage::Trial ? "trial" : "production"},
        {"service", options_.service.value()},
        {"address", boost::json::object {{"ip", "127.0.0.1"}, {"port", upstream.port}}},
        {"slots", upstream.slots.value()}, {"connections", options_.connections},
        {"availability_zone", zone}, {"rack", "rack-" + std::to_string(upstream.number / 8)},
        {"incarnation", upstream.incarnation},
        {"state", upstream.isDraining ? "draining" : "serving"}, {"running", std::move(running)},
        {"finished", std::move(finished)}};
    return boost::json::serialize(body);
}

void StandIn::applyReply(Upstream &upstream, const std::string &body, MonotonicTime sent)
{
    boost::system::error_code error;
    const boost::json::value json = boost::json::parse(body, error);
    if (error || !json.is_object()) {
        return;
    }
    const std::lock_guard<std::mutex> lock {mutex_};
    for (const boost::json::value &lease : json.at("leases").as_array()) {
        const AttemptId attempt {std::string {lease.at("attempt").as_string()}};
        upstream.leases[attempt] = sent + Milliseconds {lease.at("lease_ms").as_int64()};
    }
    for (const boost::json::value &stop : json.at("stop").as_array()) {
        const AttemptId attempt {std::string {stop.as_string()}};
        upstream.refused.insert(attempt);
        if (!upstream.running.contains(attempt)) {
            upstream.finished.try_emplace(attempt, refusedStatus);
        }
    }
    for (const boost::json::value &forget : json.at("forget").as_array()) {
        upstream.finished.erase(AttemptId {std::string {forget.as_string()}});
    }
}

asio::awaitable<void> StandIn::announceOnce(Upstream &upstream)
{
    const std::size_t turn = static_cast<std::size_t>(upstream.number)
        + static_cast<std::size_t>(monotonicNow().time_since_epoch() / options_.interval);
    const NodeAddress &entry = options_.entries[turn % options_.entries.size()];
    beast::tcp_stream stream {context_};
    stream.expires_after(announceTimeout);
    boost::system::error_code error;
    const Tcp::endpoint endpoint {asio::ip::make_address(entry.ip), entry.port};
    co_await stream.async_connect(endpoint, errorInto(error));
    if (error) {
        co_return;
    }
    HttpRequest request {http::verb::put, "/v1/upstreams/" + upstream.id.value(), 11};
    request.set(http::field::host, "crocusmill");
    request.body() = announcement(upstream);
    request.keep_alive(false);
    request.prepare_payload();
    const MonotonicTime sent = monotonicNow();
    co_await http::async_write(stream, request, errorInto(error));
    beast::flat_buffer buffer;
    HttpResponse response;
    co_await http::async_read(stream, buffer, response, errorInto(error));
    if (!error && response.result() == http::status::ok) {
        applyReply(upstream, response.body(), sent);
    }
}

asio::awaitable<void> StandIn::announceForever(Upstream &upstream)
{
    MonotonicTime due = monotonicNow();
    while (!isStopping_) {
        bool now = monotonicNow() >= due;
        {
            const std::lock_guard<std::mutex> lock {mutex_};
            now = (now || upstream.shouldAnnounceNow) && !upstream.isSilent;
            upstream.shouldAnnounceNow = false;
        }
        if (now) {
            due = monotonicNow() + options_.interval;
            co_await announceOnce(upstream);
        }
        co_await sleepFor(announcePollInterval);
    }
}

} // namespace crocusmill::standin
