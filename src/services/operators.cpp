/// Handles the requests of operators.

#include "src/services/operators.h"

#include "src/net/clock.h"
#include "src/net/controlloop.h"
#include "src/net/log.h"
#include "src/services/workflow.h"
#include "src/wire/commandjson.h"

#include <crocusmill/placementreport.h>

#include <openssl/crypto.h>

namespace crocusmill
{

namespace
{

constexpr Milliseconds callTimeout {3'000};
constexpr std::uint32_t maxConnections = 256;

HttpResponse problem(http::status status, const std::string &type, const std::string &detail)
{
    Problem content;
    content.status = status;
    content.type = type;
    content.title = std::string {http::obsolete_reason(status)};
    content.detail = detail;
    return problemResponse(content);
}

HttpResponse unreachableResponse(const std::error_code &error)
{
    return problem(http::status::service_unavailable, "outcome-unknown", error.message());
}

std::vector<std::string> pathParts(std::string_view target)
{
    std::vector<std::string> parts;
    target = target.substr(0, target.find('?'));
    while (!target.empty()) {
        target.remove_prefix(1);
        const std::size_t end = target.find('/');
        parts.emplace_back(target.substr(0, end));
        target.remove_prefix(std::min(end, target.size()));
    }
    return parts;
}

http::status httpStatusOf(StateError error)
{
    switch (error) {
    case StateError::VersionConflict:
    case StateError::VersionStale:
    case StateError::HostTaken:
        return http::status::conflict;
    case StateError::NoSuchJob:
    case StateError::NoSuchWork:
        return http::status::not_found;
    default:
        return http::status::unprocessable_entity;
    }
}

std::string problemTypeOf(StateError error)
{
    switch (error) {
    case StateError::VersionConflict:
        return "version-conflict";
    case StateError::VersionStale:
        return "version-stale";
    case StateError::HostTaken:
        return "host-taken";
    case StateError::NotTried:
        return "not-tried";
    default:
        return "refused";
    }
}

HttpResponse rejectedCommandResponse(const ApplyReply &reply)
{
    boost::json::object body;
    const http::status status = httpStatusOf(reply.error);
    body["type"] = "urn:crocusmill:" + problemTypeOf(reply.error);
    body["title"] = "Refused";
    body["status"] = static_cast<unsigned int>(status);
    body["detail"] = ErrorText<StateError>::text(reply.error);
    if (reply.conflict) {
        body["in_force"] = boost::json::object {{"version", reply.conflict->version.value()},
            {"digest", reply.conflict->digest.value()}, {"by", reply.conflict->by.value()}};
    }
    HttpResponse response = jsonResponse(status, boost::json::serialize(body));
    response.set(http::field::content_type, "application/problem+json");
    return response;
}

class OperatorService final : public Service, public HttpHandler
{
public:
    OperatorService(asio::io_context &control, std::vector<asio::io_context *> traffic,
        const Settings &settings, const std::string &token, Metrics &metrics, Tracer &tracer,
        std::shared_ptr<ClientConnections> connections, std::function<void()> drain)
        : control_(control)
        , traffic_(std::move(traffic))
        , settings_(settings)
        , authorization_("Bearer " + token)
        , metrics_(metrics)
        , tracer_(tracer)
        , connections_(std::move(connections))
        , onDrain_(std::move(drain))
    {
    }

    std::string_view name() const override
    {
        return names::operators;
    }

    std::vector<std::string_view> dependencies() const override
    {
        return {names::client};
    }

    Result<void> start(Kernel &kernel) override
    {
        client_ = kernel.find<LeaderClient>(names::client);
        HttpLimits limits;
        limits.maxConnections = maxConnections;
        limits.connections = connections_;
        server_ = std::make_unique<HttpServer>(traffic_, limits, *this);
        return server_->listen(settings_.operators.listen);
    }

    void stop() override
    {
        server_->stopAccepting();
    }

    asio::awaitable<HttpResponse> handle(
        HttpRequest request, std::shared_ptr<CallerWatch> /*watch*/) override
    {
        if (!isAuthorized(request)) {
            co_return problem(http::status::unauthorized, "wrong-token",
                "a bearer token from the token file is needed");
        }
        const std::vector<std::string> path = pathParts(request.target());
        if (request.target() == "/metrics") {
            HttpResponse response = jsonResponse(http::status::ok, metrics_.prometheus());
            response.set(http::field::content_type, "text/plain; version=0.0.4");
            co_return response;
        }
        if (path.size() < 2 || path[0] != "v1") {
            co_return problem(http::status::not_found, "no-such-path", "no such path");
        }
        if (request.method() == http::verb::get) {
            co_return co_await handleRead(path);
        }
        co_return co_await handleChange(request, path);
    }

private:
    bool isAuthorized(const HttpRequest &request) const
    {
        const std::string header {request[http::field::authorization]};
        return header.size() == authorization_.size()
            && CRYPTO_memcmp(header.data(), authorization_.data(), header.size()) == 0;
    }

    asio::awaitable<Result<Reply>> call(Call leaderCall)
    {
        const std::function<void(std::function<void(Result<Reply>)>)> startCall =
            [this, leaderCall](std::function<void(Result<Reply>)> done) {
                client_->call(leaderCall, callTimeout, std::move(done));
            };
        co_return co_await callOnControlThread<Result<Reply>>(control_, startCall);
    }

    asio::awaitable<HttpResponse> requestAction(OperatorAction action, std::string subject = {})
    {
        const Call leaderCall {OperatorCall {action, std::move(subject)}};
        const Result<Reply> reply = co_await call(leaderCall);
        if (!reply) {
            co_return unreachableResponse(reply.error());
        }
        const OperatorReply *operatorReply = std::get_if<OperatorReply>(&reply.value());
        if (operatorReply == nullptr || !operatorReply->found) {
            co_return problem(http::status::not_found, "no-such-subject", "nothing of that name");
        }
        co_return jsonResponse(
            http::status::ok, operatorReply->body.empty() ? "{}" : operatorReply->body);
    }

    asio::awaitable<HttpResponse> handleRead(const std::vector<std::string> &path)
    {
        const std::string &resource = path[1];
        if (resource == "status" || resource == "vms") {
            co_return co_await requestAction(OperatorAction::ListVms);
        }
        if (resource == "members") {
            co_return co_await requestAction(OperatorAction::ListMembers);
        }
        if (resource == "upstreams") {
            co_return co_await requestAction(OperatorAction::ListUpstreams);
        }
        if (resource == "workers") {
            co_return co_await requestAction(OperatorAction::ListWorkers);
        }
        if (resource == "jobs") {
            co_return co_await requestAction(OperatorAction::ListJobs);
        }
        if (resource == "customers") {
            co_return co_await requestAction(OperatorAction::ListCustomers);
        }
        if (resource == "explain" && path.size() == 4 && path[2] == "jobs") {
            co_return co_await explain(placementQuestionAbout(GraphId {path[3]}));
        }
        if (resource == "environments") {
            co_return co_await requestAction(OperatorAction::ListEnvironments);
        }
        if (resource == "traces" && path.size() == 3) {
            co_return jsonResponse(http::status::ok, tracer_.find(TraceId {path[2]}));
        }
        if (resource == "work" && path.size() == 3) {
            const WorkId id {path[2]};
            co_return co_await showWork(id);
        }
        co_return problem(http::status::not_found, "no-such-path", "no such path");
    }

    asio::awaitable<HttpResponse> explain(std::string question)
    {
        const Checked<PlacementQuestion> checked = parsePlacementQuestion(question);
        if (const Faults *faults = std::get_if<Faults>(&checked)) {
            co_return faultsResponse(*faults);
        }
        co_return co_await requestAction(OperatorAction::Explain, std::move(question));
    }

    asio::awaitable<HttpResponse> showWork(WorkId id)
    {
        const Call leaderCall {WorkCall {id, std::nullopt}};
        const Result<Reply> reply = co_await call(leaderCall);
        if (!reply) {
            co_return unreachableResponse(reply.error());
        }
        const WorkReply *workReply = std::get_if<WorkReply>(&reply.value());
        if (workReply == nullptr || !workReply->work) {
            co_return problem(http::status::not_found, "no-such-subject", "no such work");
        }
        co_return jsonResponse(http::status::ok, encodeStruct(*workReply->work));
    }

    asio::awaitable<HttpResponse> handleChange(
        const HttpRequest &request, const std::vector<std::string> &path)
    {
        const std::string &resource = path[1];
        const std::string subject = path.size() > 2 ? path[2] : std::string {};
        const std::string action = path.size() > 3 ? path[3] : std::string {};
        const bool isDelete = request.method() == http::verb::delete_;
        if (resource == "environments" && subject == "trial") {
            co_return co_await submitTrial(request);
        }
        if (resource == "environments" && action == "promote") {
            const EnvironmentName environment {subject};
            co_return co_await promote(request, environment);
        }
        if (resource == "explain" && path.size() == 2 && request.method() == http::verb::post) {
            co_return co_await explain(request.body());
        }
        if (resource == "vm" && subject == "drain") {
            onDrain_();
            co_return jsonResponse(http::status::ok, R"({"state":"draining"})");
        }
        if (resource == "upstreams" && action == "drain") {
            co_return co_await requestAction(OperatorAction::DrainUpstream, subject);
        }
        if (resource == "upstreams" && action == "resume") {
            co_return co_await requestAction(OperatorAction::ResumeUpstream, subject);
        }
        if (resource == "workers" && action == "drain") {
            co_return co_await requestAction(OperatorAction::DrainWorker, subject);
        }
        if (resource == "workers" && action == "resume") {
            co_return co_await requestAction(OperatorAction::ResumeWorker, subject);
        }
        if (resource == "workers" && action == "quarantine") {
            const bool isQuarantined = request.body() != "off";
            const Command command {QuarantineWorker {WorkerId {subject}, isQuarantined}};
            co_return co_await proposeCommand(command);
        }
        if (resource == "members" && action == "replace") {
            co_return co_await requestAction(OperatorAction::ReplaceMember, subject);
        }
        if (resource == "jobs" && isDelete) {
            const Command command {CancelJob {JobId {subject}, wallTimeNow()}};
            co_return co_await proposeCommand(command);
        }
        if (resource == "work" && isDelete) {
            const Command command {RevokeWork {WorkId {subject}, true, wallTimeNow()}};
            co_return co_await proposeCommand(command);
        }
        co_return problem(http::status::not_found, "no-such-path", "no such path");
    }

    asio::awaitable<HttpResponse> proposeCommand(Command command)
    {
        const Call leaderCall {ProposeCall {encodeCommand(command)}};
        const Result<Reply> reply = co_await call(leaderCall);
        if (!reply) {
            co_return unreachableResponse(reply.error());
        }
        const ProposeReply *proposed = std::get_if<ProposeReply>(&reply.value());
        if (proposed == nullptr) {
            co_return problem(
                http::status::service_unavailable, "outcome-unknown", "unexpected reply");
        }
        if (proposed->result.error != StateError::None) {
            co_return rejectedCommandResponse(proposed->result);
        }
        const boost::json::object body {{"repeated", proposed->result.repeated}};
        co_return jsonResponse(http::status::ok, boost::json::serialize(body));
    }

    static OperatorName operatorOf(const HttpRequest &request)
    {
        const std::string_view name = request["Crocusmill-Operator"];
        return OperatorName {name.empty() ? "operator" : std::string {name}};
    }

    asio::awaitable<HttpResponse> submitTrial(const HttpRequest &request)
    {
        const Checked<Document> checked = parseDocument(request.body());
        if (const Faults *faults = std::get_if<Faults>(&checked)) {
            co_return faultsResponse(*faults);
        }
        const Document &document = std::get<Document>(checked);
        const Digest digest = digestOf(request.body());
        const Command command {TryEnvironment {
            document.name, document.version, digest, request.body(), operatorOf(request)}};
        HttpResponse response = co_await proposeCommand(command);
        if (response.result() == http::status::ok) {
            const boost::json::object body {{"environment", document.name.value()},
                {"version", document.version.value()}, {"digest", digest.value()}};
            response.body() = boost::json::serialize(body);
        }
        co_return response;
    }

    asio::awaitable<HttpResponse> promote(const HttpRequest &request, EnvironmentName name)
    {
        const Result<boost::json::value> json = parseJson(request.body());
        const boost::json::object *object = json ? json.value().if_object() : nullptr;
        const boost::json::value *version =
            object == nullptr ? nullptr : object->if_contains("version");
        const boost::json::value *digest =
            object == nullptr ? nullptr : object->if_contains("digest");
        if (version == nullptr || !version->is_int64() || digest == nullptr
            || !digest->is_string()) {
            co_return problem(http::status::bad_request, "invalid",
                "version (a number) and digest (a string) are needed");
        }
        const Command command {PromoteEnvironment {name,
            DocumentVersion {static_cast<std::uint64_t>(version->get_int64())},
            Digest {std::string {digest->get_string()}}, operatorOf(request)}};
        co_return co_await proposeCommand(command);
    }

    asio::io_context &control_;
    std::vector<asio::io_context *> traffic_;
    Settings settings_;
    std::string authorization_;
    Metrics &metrics_;
    Tracer &tracer_;
    std::shared_ptr<ClientConnections> connections_;
    std::function<void()> onDrain_;
    LeaderClient *client_ = nullptr;
    std::unique_ptr<HttpServer> server_;
};

} // namespace

std::unique_ptr<Service> makeOperatorService(asio::io_context &control,
    std::vector<asio::io_context *> traffic, const Settings &settings, const std::string &token,
    Metrics &metrics, Tracer &tracer, std::shared_ptr<ClientConnections> connections,
    std::function<void()> drain)
{
    return std::make_unique<OperatorService>(control, std::move(traffic), settings, token, metrics,
        tracer, std::move(connections), std::move(drain));
}

} // namespace crocusmill
