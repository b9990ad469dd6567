/// Handles PUT and DELETE of upstreams and PUT of workers.

#include "src/services/announcehandler.h"

#include <crocusmill/announcement.h>

#include <boost/json.hpp>

namespace crocusmill
{

namespace
{

constexpr std::string_view upstreamsPath = "/v1/upstreams/";
constexpr std::string_view workersPath = "/v1/workers/";
constexpr Milliseconds workerCallTimeout {2'000};

HttpResponse unavailableResponse()
{
    Problem problem;
    problem.status = http::status::service_unavailable;
    problem.type = "no-leader";
    problem.title = "The announcement could not be taken in";
    problem.detail = "no leader answered; announce again";
    problem.retryAfter = Milliseconds {1'000};
    return problemResponse(problem);
}

HttpResponse methodNotAllowedResponse()
{
    Problem problem;
    problem.status = http::status::method_not_allowed;
    problem.type = "method-not-allowed";
    problem.title = "Method not allowed";
    return problemResponse(problem);
}

boost::json::array attemptsToJson(const std::vector<AttemptId> &attempts)
{
    boost::json::array list;
    for (const AttemptId &attempt : attempts) {
        list.emplace_back(attempt.value());
    }
    return list;
}

boost::json::array ordersToJson(const std::vector<TaskOrder> &orders)
{
    boost::json::array list;
    for (const TaskOrder &order : orders) {
        list.push_back(boost::json::object {{"job", order.job.value()}, {"task", order.task},
            {"attempt", order.attempt}, {"command", order.command},
            {"size",
                boost::json::object {{"millicores", order.size.milliCores},
                    {"memory_bytes", order.size.memory.value()},
                    {"accelerators", order.size.accelerators}}},
            {"lease_ms", order.lease.count()}});
    }
    return list;
}

} // namespace

AnnounceHandler::AnnounceHandler(
    asio::io_context &control, Entry &entry, LeaderClient &client, TimeSettings times)
    : control_(control)
    , entry_(entry)
    , client_(client)
    , times_(times)
{
}

bool AnnounceHandler::handlesPath(std::string_view path)
{
    return path.starts_with(upstreamsPath) || path.starts_with(workersPath);
}

asio::awaitable<HttpResponse> AnnounceHandler::handle(
    HttpRequest request, std::shared_ptr<CallerWatch> /*watch*/)
{
    const std::string_view path = request.target();
    if (path.starts_with(upstreamsPath)) {
        co_return co_await handleUpstream(request);
    }
    if (path.starts_with(workersPath)) {
        co_return co_await handleWorker(request);
    }
    Problem problem;
    problem.status = http::status::not_found;
    problem.type = "no-such-path";
    problem.title = "No such path";
    co_return problemResponse(problem);
}

HttpResponse AnnounceHandler::upstreamReply(const AnnounceReply &reply) const
{
    boost::json::array leases;
    for (const AttemptLease &line : reply.leases) {
        leases.push_back(boost::json::object {
            {"attempt", line.attempt.value()}, {"lease_ms", line.lease.count()}});
    }
    const boost::json::object body {{"interval_ms", times_.announceInterval.count()},
        {"ttl_ms", times_.announcementTimeout.count()}, {"leases", std::move(leases)},
        {"stop", attemptsToJson(reply.stop)}, {"forget", attemptsToJson(reply.forget)}};
    return jsonResponse(http::status::ok, boost::json::serialize(body));
}

asio::awaitable<HttpResponse> AnnounceHandler::handleUpstream(const HttpRequest &request)
{
    const std::string_view target = request.target();
    const UpstreamId id {std::string {target.substr(upstreamsPath.size())}};
    AnnounceCall call;
    if (request.method() == http::verb::delete_) {
        call.announcement.id = id;
        call.farewell = true;
    } else if (request.method() == http::verb::put) {
        Checked<Announcement> checked = parseAnnouncement(id, request.body());
        if (const Faults *faults = std::get_if<Faults>(&checked)) {
            co_return faultsResponse(*faults);
        }
        call.announcement = std::move(std::get<Announcement>(checked));
    } else {
        co_return methodNotAllowedResponse();
    }
    const std::function<void(std::function<void(Result<Reply>)>)> begin =
        [this, call](std::function<void(Result<Reply>)> done) {
            entry_.announce(call, std::move(done));
        };
    const Result<Reply> reply = co_await callOnControlThread<Result<Reply>>(control_, begin);
    const AnnounceReply *accepted = reply ? std::get_if<AnnounceReply>(&reply.value()) : nullptr;
    co_return accepted == nullptr ? unavailableResponse() : upstreamReply(*accepted);
}

HttpResponse AnnounceHandler::workerReply(const WorkerReply &reply) const
{
    const boost::json::object body {{"interval_ms", times_.announceInterval.count()},
        {"ttl_ms", times_.announcementTimeout.count()}, {"leases", ordersToJson(reply.renew)},
        {"start", ordersToJson(reply.start)}, {"stop", ordersToJson(reply.stop)},
        {"throttle", boost::json::array {}}, {"checkpoint", boost::json::array {}}};
    return jsonResponse(http::status::ok, boost::json::serialize(body));
}

asio::awaitable<HttpResponse> AnnounceHandler::handleWorker(const HttpRequest &request)
{
    if (request.method() != http::verb::put) {
        co_return methodNotAllowedResponse();
    }
    const std::string_view target = request.target();
    const WorkerId id {std::string {target.substr(workersPath.size())}};
    Checked<WorkerAnnouncement> checked = parseWorkerAnnouncement(id, request.body());
    if (const Faults *faults = std::get_if<Faults>(&checked)) {
        co_return faultsResponse(*faults);
    }
    const WorkerCall call {std::move(std::get<WorkerAnnouncement>(checked))};
    const std::function<void(std::function<void(Result<Reply>)>)> begin =
        [this, call](std::function<void(Result<Reply>)> done) {
            client_.call(call, workerCallTimeout, std::move(done));
        };
    const Result<Reply> reply = co_await callOnControlThread<Result<Reply>>(control_, begin);
    const WorkerReply *accepted = reply ? std::get_if<WorkerReply>(&reply.value()) : nullptr;
    co_return accepted == nullptr ? unavailableResponse() : workerReply(*accepted);
}

} // namespace crocusmill
