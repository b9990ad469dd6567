/// Handles status queries, cancellation and jobs.

#include "src/services/workstatushandler.h"

#include "src/net/clock.h"
#include "src/services/workflow.h"
#include "src/wire/commandjson.h"

namespace crocusmill
{

namespace
{

constexpr std::string_view jobsPath = "/v1/jobs/";
constexpr std::string_view environmentsPath = "/v1/environments/";
constexpr std::string_view jobsSuffix = "/jobs";
constexpr Milliseconds callTimeout {2'000};

HttpResponse notFoundResponse(const std::string &type, const std::string &title)
{
    Problem problem;
    problem.status = http::status::not_found;
    problem.type = type;
    problem.title = title;
    return problemResponse(problem);
}

bool isSubmission(std::string_view path)
{
    return path.starts_with(environmentsPath) && path.ends_with(jobsSuffix);
}

HttpResponse unreachableResponse(const std::error_code &error, const WorkId &work)
{
    Problem problem;
    problem.status = http::status::service_unavailable;
    problem.type = "journal-unreachable";
    problem.title = "The state of the work cannot be told now";
    problem.detail = error.message();
    problem.execution = "unknown";
    problem.workId = work.value();
    problem.retryAfter = Milliseconds {1'000};
    return problemResponse(problem);
}

HttpResponse workStateResponse(const Work &work)
{
    boost::json::object body;
    body["work_id"] = work.id.value();
    body["state"] = boost::json::value_from(work.state);
    body["execution"] = text(work.execution());
    body["cancelled"] = work.cancelled;
    if (work.answer) {
        body["status"] = work.answer->status;
        body["body_kept"] = !work.answer->bodyOmitted;
        body["body"] = work.answer->body;
    }
    return jsonResponse(http::status::ok, boost::json::serialize(body));
}

} // namespace

WorkStatusHandler::WorkStatusHandler(asio::io_context &control, Entry &entry, LeaderClient &client)
    : control_(control)
    , entry_(entry)
    , client_(client)
{
}

bool WorkStatusHandler::handlesPath(std::string_view path)
{
    return path.starts_with(workPath) || path.starts_with(jobsPath) || isSubmission(path);
}

asio::awaitable<HttpResponse> WorkStatusHandler::handle(
    HttpRequest request, std::shared_ptr<CallerWatch> /*watch*/)
{
    const std::string_view target = request.target();
    if (target.starts_with(workPath)) {
        co_return co_await handleWork(request);
    }
    co_return co_await handleJob(request);
}

asio::awaitable<Result<Reply>> WorkStatusHandler::callLeader(Call query)
{
    const std::function<void(std::function<void(Result<Reply>)>)> begin =
        [this, query](std::function<void(Result<Reply>)> done) {
            client_.call(query, callTimeout, std::move(done));
        };
    co_return co_await callOnControlThread<Result<Reply>>(control_, begin);
}

asio::awaitable<HttpResponse> WorkStatusHandler::handleWork(const HttpRequest &request)
{
    const std::string_view target = request.target();
    const WorkId id {std::string {target.substr(workPath.size())}};
    if (request.method() == http::verb::delete_) {
        const RevokeWork revoke {id, true, wallTimeNow()};
        const Call proposal {ProposeCall {encodeCommand(Command {revoke})}};
        const Result<Reply> revoked = co_await callLeader(proposal);
        if (!revoked) {
            co_return unreachableResponse(revoked.error(), id);
        }
    }
    const Call query {WorkCall {id, std::nullopt}};
    const Result<Reply> reply = co_await callLeader(query);
    const WorkReply *result = reply ? std::get_if<WorkReply>(&reply.value()) : nullptr;
    if (result == nullptr) {
        co_return unreachableResponse(
            reply ? std::error_code {CodecError::UnknownKind} : reply.error(), id);
    }
    if (!result->work) {
        co_return notFoundResponse("no-work", "No such work is known, or it was forgotten");
    }
    co_return workStateResponse(*result->work);
}

asio::awaitable<HttpResponse> WorkStatusHandler::handleJob(const HttpRequest &request)
{
    const std::string_view target = request.target();
    if (target.starts_with(environmentsPath) && request.method() == http::verb::post) {
        std::string_view name = target.substr(environmentsPath.size());
        name.remove_suffix(jobsSuffix.size());
        const EnvironmentName environment {std::string {name}};
        co_return co_await submitJob(environment, request.body());
    }
    if (!target.starts_with(jobsPath)) {
        co_return notFoundResponse("no-such-path", "No such path");
    }
    const JobId id {std::string {target.substr(jobsPath.size())}};
    if (request.method() == http::verb::delete_) {
        const Call proposal {ProposeCall {encodeCommand(Command {CancelJob {id, wallTimeNow()}})}};
        const Result<Reply> cancelled = co_await callLeader(proposal);
        if (!cancelled) {
            co_return unreachableResponse(cancelled.error(), {});
        }
    }
    const Call query {JobCall {id}};
    const Result<Reply> reply = co_await callLeader(query);
    const JobReply *result = reply ? std::get_if<JobReply>(&reply.value()) : nullptr;
    if (result == nullptr) {
        co_return unreachableResponse(
            reply ? std::error_code {CodecError::UnknownKind} : reply.error(), {});
    }
    if (!result->job) {
        co_return notFoundResponse("no-job", "No such job");
    }
    boost::json::object body;
    body["job"] = id.value();
    body["cancelled"] = result->job->cancelled;
    body["waits_for"] = result->waitsFor;
    body["tasks"] = boost::json::value_from(result->job->tasks);
    co_return jsonResponse(http::status::ok, boost::json::serialize(body));
}

asio::awaitable<HttpResponse> WorkStatusHandler::submitJob(
    EnvironmentName environment, std::string text)
{
    Checked<SubmitJob> checked = parseJob(text);
    if (const Faults *faults = std::get_if<Faults>(&checked)) {
        co_return faultsResponse(*faults);
    }
    SubmitJob command = std::move(std::get<SubmitJob>(checked));
    command.environment = std::move(environment);
    command.at = wallTimeNow();
    command.job =
        JobId {entry_.epoch().value() + "-j" + std::to_string(entry_.nextRequest().value())};
    const Call proposal {ProposeCall {encodeCommand(Command {command})}};
    const Result<Reply> reply = co_await callLeader(proposal);
    const ProposeReply *proposed = reply ? std::get_if<ProposeReply>(&reply.value()) : nullptr;
    if (proposed == nullptr) {
        co_return unreachableResponse(
            reply ? std::error_code {CodecError::UnknownKind} : reply.error(), {});
    }
    if (proposed->result.error != StateError::None) {
        Problem problem;
        problem.status = http::status::unprocessable_entity;
        problem.type = "never-fits";
        problem.title = "The job can never run";
        problem.detail = "its tasks are larger than the workers can ever hold";
        problem.execution = "not_run";
        co_return problemResponse(problem);
    }
    const boost::json::object body {{"job", command.job.value()}, {"state", "accepted"}};
    HttpResponse response = jsonResponse(http::status::accepted, boost::json::serialize(body));
    response.set(http::field::location, std::string {jobsPath} + command.job.value());
    co_return response;
}

} // namespace crocusmill
