/// What the operators' port answers.

#include "src/services/operators.h"

#include "src/net/clock.h"
#include "src/net/controlloop.h"
#include "src/net/log.h"
#include "src/services/workflow.h"
#include "src/wire/commandjson.h"

#include <openssl/crypto.h>

namespace crocusmill
{

namespace
{

constexpr Milliseconds callLimit {3'000};

HttpResponse problem(http::status status, const std::string &type, const std::string &detail)
{
    Problem described;
    described.status = status;
    described.type = type;
    described.title = std::string {http::obsolete_reason(status)};
    described.detail = detail;
    return problemResponse(described);
}

HttpResponse unreachable(const std::error_code &error)
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

http::status statusOf(StateError error)
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

std::string typeOf(StateError error)
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

HttpResponse refusedCommand(const ApplyReply &reply)
{
    boost::json::object body;
    const http::status status = statusOf(reply.error);
    body["type"] = "urn:crocusmill:" + typeOf(reply.error);
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
        std::function<void()> drain)
        : control_(control)
        , traffic_(std::move(traffic))
        , settings_(settings)
        , authorization_("Bearer " + token)
        , metrics_(metrics)
        , tracer_(tracer)
        , drain_(std::move(drain))
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
        server_ = std::make_unique<HttpServer>(traffic_, HttpLimits {}, *this);
        return server_->listen(settings_.operators.listen);
    }

    void stop() override
    {
        server_->stopAccepting();
    }

    asio::awaitable<HttpResponse> handle(
        HttpRequest request, std::shared_ptr<CallerWatch> /*watch*/) override
    {
        if (!authorized(request)) {
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
            co_return co_await read(path);
        }
        co_return co_await change(request, path);
    }

private:
    bool authorized(const HttpRequest &request) const
    {
        const std::string given {request[http::field::authorization]};
        return given.size() == authorization_.size()
            && CRYPTO_memcmp(given.data(), authorization_.data(), given.size()) == 0;
    }

    asio::awaitable<Result<Reply>> call(Call wanted)
    {
        const std::function<void(std::function<void(Result<Reply>)>)> begin =
            [this, wanted](std::function<void(Result<Reply>)> done) {
                client_->call(wanted, callLimit, std::move(done));
            };
        co_return co_await callOnControlThread<Result<Reply>>(control_, begin);
    }

    asio::awaitable<HttpResponse> ask(OperatorAction action, std::string subject = {})
    {
        const Call wanted {OperatorCall {action, std::move(subject)}};
        const Result<Reply> reply = co_await call(wanted);
        if (!reply) {
            co_return unreachable(reply.error());
        }
        const OperatorReply *known = std::get_if<OperatorReply>(&reply.value());
        if (known == nullptr || !known->found) {
            co_return problem(http::status::not_found, "no-such-subject", "nothing of that name");
        }
        co_return jsonResponse(http::status::ok, known->body.empty() ? "{}" : known->body);
    }

    asio::awaitable<HttpResponse> read(const std::vector<std::string> &path)
    {
        const std::string &what = path[1];
        if (what == "status" || what == "vms") {
            co_return co_await ask(OperatorAction::ListVms);
        }
        if (what == "members") {
            co_return co_await ask(OperatorAction::ListMembers);
        }
        if (what == "upstreams") {
            co_return co_await ask(OperatorAction::ListUpstreams);
        }
        if (what == "workers") {
            co_return co_await ask(OperatorAction::ListWorkers);
        }
        if (what == "jobs") {
            co_return co_await ask(OperatorAction::ListJobs);
        }
        if (what == "environments") {
            co_return co_await ask(OperatorAction::ListEnvironments);
        }
        if (what == "traces" && path.size() == 3) {
            co_return jsonResponse(http::status::ok, tracer_.find(TraceId {path[2]}));
        }
        if (what == "work" && path.size() == 3) {
            const WorkId id {path[2]};
            co_return co_await showWork(id);
        }
        co_return problem(http::status::not_found, "no-such-path", "no such path");
    }

    asio::awaitable<HttpResponse> showWork(WorkId id)
    {
        const Call wanted {WorkCall {id, std::nullopt}};
        const Result<Reply> reply = co_await call(wanted);
        if (!reply) {
            co_return unreachable(reply.error());
        }
        const WorkReply *known = std::get_if<WorkReply>(&reply.value());
        if (known == nullptr || !known->work) {
            co_return problem(http::status::not_found, "no-such-subject", "no such work");
        }
        co_return jsonResponse(http::status::ok, encodeStruct(*known->work));
    }

    asio::awaitable<HttpResponse> change(
        const HttpRequest &request, const std::vector<std::string> &path)
    {
        const std::string &what = path[1];
        const std::string subject = path.size() > 2 ? path[2] : std::string {};
        const std::string verb = path.size() > 3 ? path[3] : std::string {};
        const bool removes = request.method() == http::verb::delete_;
        if (what == "environments" && subject == "trial") {
            co_return co_await tryDocument(request);
        }
        if (what == "environments" && verb == "promote") {
            const EnvironmentName environment {subject};
            co_return co_await promote(request, environment);
        }
        if (what == "vm" && subject == "drain") {
            drain_();
            co_return jsonResponse(http::status::ok, R"({"state":"draining"})");
        }
        if (what == "upstreams" && verb == "drain") {
            co_return co_await ask(OperatorAction::DrainUpstream, subject);
        }
        if (what == "upstreams" && verb == "resume") {
            co_return co_await ask(OperatorAction::ResumeUpstream, subject);
        }
        if (what == "workers" && verb == "drain") {
            co_return co_await ask(OperatorAction::DrainWorker, subject);
        }
        if (what == "workers" && verb == "resume") {
            co_return co_await ask(OperatorAction::ResumeWorker, subject);
        }
        if (what == "workers" && verb == "quarantine") {
            const bool on = request.body() != "off";
            const Command command {QuarantineWorker {WorkerId {subject}, on}};
            co_return co_await record(command);
        }
        if (what == "members" && verb == "replace") {
            co_return co_await ask(OperatorAction::ReplaceMember, subject);
        }
        if (what == "jobs" && removes) {
            const Command command {CancelJob {JobId {subject}, wallTimeNow()}};
            co_return co_await record(command);
        }
        if (what == "work" && removes) {
            const Command command {RevokeWork {WorkId {subject}, true, wallTimeNow()}};
            co_return co_await record(command);
        }
        co_return problem(http::status::not_found, "no-such-path", "no such path");
    }

    asio::awaitable<HttpResponse> record(Command command)
    {
        const Call wanted {ProposeCall {encodeCommand(command)}};
        const Result<Reply> reply = co_await call(wanted);
        if (!reply) {
            co_return unreachable(reply.error());
        }
        const ProposeReply *proposed = std::get_if<ProposeReply>(&reply.value());
        if (proposed == nullptr) {
            co_return problem(
                http::status::service_unavailable, "outcome-unknown", "unexpected reply");
        }
        if (proposed->result.error != StateError::None) {
            co_return refusedCommand(proposed->result);
        }
        const boost::json::object body {{"repeated", proposed->result.repeated}};
        co_return jsonResponse(http::status::ok, boost::json::serialize(body));
    }

    static OperatorName operatorOf(const HttpRequest &request)
    {
        const std::string_view name = request["Crocusmill-Operator"];
        return OperatorName {name.empty() ? "operator" : std::string {name}};
    }

    asio::awaitable<HttpResponse> tryDocument(const HttpRequest &request)
    {
        const Checked<Document> checked = parseDocument(request.body());
        if (const Faults *faults = std::get_if<Faults>(&checked)) {
            co_return faultsResponse(*faults);
        }
        const Document &document = std::get<Document>(checked);
        const Digest digest = digestOf(request.body());
        const Command command {TryEnvironment {
            document.name, document.version, digest, request.body(), operatorOf(request)}};
        HttpResponse response = co_await record(command);
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
        co_return co_await record(command);
    }

    asio::io_context &control_;
    std::vector<asio::io_context *> traffic_;
    Settings settings_;
    std::string authorization_;
    Metrics &metrics_;
    Tracer &tracer_;
    std::function<void()> drain_;
    LeaderClient *client_ = nullptr;
    std::unique_ptr<HttpServer> server_;
};

} // namespace

std::unique_ptr<Service> makeOperatorService(asio::io_context &control,
    std::vector<asio::io_context *> traffic, const Settings &settings, const std::string &token,
    Metrics &metrics, Tracer &tracer, std::function<void()> drain)
{
    return std::make_unique<OperatorService>(
        control, std::move(traffic), settings, token, metrics, tracer, std::move(drain));
}

} // namespace crocusmill
