/// The steps of one request.

#include "src/services/workflow.h"

#include "src/net/peerstream.h"
#include "src/wire/commandjson.h"

#include <algorithm>
#include <array>

namespace crocusmill
{

namespace
{

constexpr Milliseconds proposeLimit {4'000};
constexpr Milliseconds queryLimit {2'000};
constexpr Milliseconds firstPoll {20};
constexpr Milliseconds mostPoll {250};

MonotonicTime monotonicNow()
{
    return std::chrono::steady_clock::now();
}

bool isHopByHop(std::string_view name)
{
    constexpr std::array<std::string_view, 9> hopByHop {"connection", "keep-alive",
        "proxy-authenticate", "proxy-authorization", "te", "trailer", "transfer-encoding",
        "upgrade", "content-length"};
    return std::any_of(hopByHop.begin(), hopByHop.end(),
        [name](std::string_view known) { return beast::iequals(name, known); });
}

Digest digestOfRequest(const StoredRequest &request)
{
    return digestOf(request.method + " " + request.target + "\n" + request.body);
}

AttemptVerdict verdictOf(const ForwardOutcome &outcome)
{
    constexpr unsigned int firstServerError = 500;
    switch (outcome.kind) {
    case ForwardKind::Answered:
        return outcome.response.result_int() < firstServerError ? AttemptVerdict::Succeeded
                                                                : AttemptVerdict::Failed;
    case ForwardKind::NotRun:
    case ForwardKind::TooLarge:
        return AttemptVerdict::Neutral;
    default:
        return AttemptVerdict::Failed;
    }
}

bool provesNotRun(ForwardKind kind)
{
    return kind == ForwardKind::NotSent || kind == ForwardKind::NotRun;
}

std::vector<Header> headersOf(const HttpResponse &response)
{
    std::vector<Header> kept;
    for (const HttpResponse::value_type &field : response) {
        if (!isHopByHop(field.name_string())) {
            kept.push_back({std::string {field.name_string()}, std::string {field.value()}});
        }
    }
    return kept;
}

std::string outcomeText(ForwardKind kind)
{
    switch (kind) {
    case ForwardKind::Answered:
        return "answered";
    case ForwardKind::NotSent:
        return "not_sent";
    case ForwardKind::NotRun:
        return "not_run";
    case ForwardKind::Broken:
        return "broken";
    case ForwardKind::TimedOut:
        return "timed_out";
    case ForwardKind::Mismatched:
        return "mismatched";
    case ForwardKind::TooLarge:
        return "too_large";
    }
    return "unknown";
}

const Attempt *findAttempt(const Work &work, const AttemptId &id)
{
    for (const Attempt &attempt : work.attempts) {
        if (attempt.id == id) {
            return &attempt;
        }
    }
    return nullptr;
}

bool hasEnded(const Work &work)
{
    return work.state == WorkState::Ended || work.state == WorkState::Revoked;
}

} // namespace

std::string_view text(Execution execution)
{
    switch (execution) {
    case Execution::NotRun:
        return "not_run";
    case Execution::Unknown:
        return "unknown";
    case Execution::Ran:
        return "ran";
    }
    return "unknown";
}

WallTime wallTimeNow()
{
    return std::chrono::time_point_cast<Milliseconds>(std::chrono::system_clock::now());
}

Flow::Flow(FlowParts &parts, Forwarder &forwarder, FlowRequest request)
    : parts_(parts)
    , forwarder_(forwarder)
    , request_(std::move(request))
    , service_ {
          request_.environment->document.name, request_.environment->stage, request_.route.service}
{
}

void Flow::countOutcome(const std::string &outcome)
{
    parts_.metrics.count({"requests_total", "outcome=\"" + outcome + "\""});
}

WaitingRequest Flow::makeWaiting(const Tally &tally)
{
    WaitingRequest waiting;
    waiting.id = parts_.entry.nextRequest();
    waiting.service = service_;
    waiting.team = request_.team;
    for (const Team &team : request_.environment->document.teams) {
        if (team.name == request_.team) {
            waiting.weight = team.weight;
            waiting.teamSlots = team.slots;
        }
    }
    waiting.workClass = request_.route.workClass;
    waiting.arrived = monotonicNow();
    waiting.deadline = request_.deadline;
    waiting.avoid = tally.failed;
    return waiting;
}

asio::awaitable<DispatchResult> Flow::acquire(
    const Tally &tally, const std::shared_ptr<CallerWatch> &watch)
{
    OpenSpan span {parts_.tracer, request_.trace.trace, request_.span, "slot wait"};
    const WaitingRequest waiting = makeWaiting(tally);
    if (watch) {
        watch->onGone([this, id = waiting.id]() {
            asio::post(parts_.control,
                [&entry = parts_.entry, service = service_, id]() { entry.cancel(service, id); });
        });
    }
    const std::function<void(std::function<void(DispatchResult)>)> begin =
        [this, waiting](std::function<void(DispatchResult)> done) {
            parts_.entry.acquire(waiting, std::move(done));
        };
    const DispatchResult result = co_await askControl<DispatchResult>(parts_.control, begin);
    if (watch) {
        watch->onGone(nullptr);
    }
    parts_.metrics.observe({"slot_wait_seconds", ""},
        std::chrono::duration_cast<Microseconds>(monotonicNow() - waiting.arrived));
    if (const Dispatch *dispatch = std::get_if<Dispatch>(&result)) {
        span.note("upstream", dispatch->upstream.value());
    } else {
        span.note("refused", std::string {text(std::get<Refusal>(result).reason)});
    }
    co_return result;
}

HttpRequest Flow::makeRequest(const Dispatch &dispatch, const SpanId &span) const
{
    constexpr unsigned int http11 = 11;
    HttpRequest request;
    request.version(http11);
    request.method_string(request_.request.method);
    request.target(request_.request.target);
    for (const Header &header : request_.request.headers) {
        if (!isHopByHop(header.name)) {
            request.insert(header.name, header.value);
        }
    }
    const Milliseconds left =
        std::chrono::duration_cast<Milliseconds>(request_.deadline - monotonicNow());
    request.set(headers::attempt, dispatch.attempt.value());
    request.set(headers::deadline, std::to_string(std::max<std::int64_t>(left.count(), 0)));
    request.set(headers::traceparent, request_.trace.header(span));
    if (request_.route.exclusive) {
        request.set(headers::exclusive, "1");
    }
    request.body() = request_.request.body;
    request.keep_alive(true);
    request.prepare_payload();
    return request;
}

asio::awaitable<ForwardOutcome> Flow::send(const Dispatch &dispatch, bool fresh)
{
    OpenSpan span {parts_.tracer, request_.trace.trace, request_.span, "upstream"};
    span.note("upstream", dispatch.upstream.value());
    span.note("attempt", dispatch.attempt.value());
    ForwardRequest forward;
    forward.to = dispatch.address;
    forward.attempt = dispatch.attempt;
    forward.fresh = fresh;
    forward.request = makeRequest(dispatch, span.id());
    forward.deadline = request_.deadline;
    const MonotonicTime began = monotonicNow();
    ForwardOutcome outcome = co_await forwarder_.forward(std::move(forward));
    const MonotonicTime ended = monotonicNow();
    span.note("outcome", outcomeText(outcome.kind));
    parts_.metrics.count({"attempts_total", "outcome=\"" + outcomeText(outcome.kind) + "\""});
    const bool left = outcome.kind == ForwardKind::Answered || provesNotRun(outcome.kind);
    release(dispatch, verdictOf(outcome), std::chrono::duration_cast<Milliseconds>(ended - began),
        left);
    co_return outcome;
}

void Flow::release(const Dispatch &dispatch, AttemptVerdict verdict, Milliseconds ran, bool left)
{
    asio::post(parts_.control, [&entry = parts_.entry, dispatch, verdict, ran, left]() {
        entry.release(dispatch.request, dispatch.attempt, verdict, ran, left);
    });
}

asio::awaitable<bool> Flow::mayRetry()
{
    constexpr Milliseconds longestJitter {20};
    if (monotonicNow() + longestJitter >= request_.deadline) {
        co_return false;
    }
    const std::function<void(std::function<void(bool)>)> begin =
        [this](const std::function<void(bool)> &done) {
            done(parts_.entry.takeRetry(service_));
        };
    const bool allowed = co_await askControl<bool>(parts_.control, begin);
    if (allowed) {
        const std::int64_t jitter =
            monotonicNow().time_since_epoch().count() % longestJitter.count();
        co_await pause(Milliseconds {1 + jitter});
    }
    retried_ = allowed;
    co_return allowed;
}

asio::awaitable<void> Flow::pause(Milliseconds time)
{
    asio::steady_timer timer {co_await asio::this_coro::executor, time};
    boost::system::error_code ignored;
    co_await timer.async_wait(errorInto(ignored));
}

asio::awaitable<HttpResponse> Flow::runUnrecorded(const std::shared_ptr<CallerWatch> &watch)
{
    Tally tally;
    const WorkId none;
    for (;;) {
        const DispatchResult result = co_await acquire(tally, watch);
        if (const Refusal *refusal = std::get_if<Refusal>(&result)) {
            const Execution execution =
                tally.allProvedNotRun ? Execution::NotRun : Execution::Unknown;
            co_return refused(*refusal, execution, none);
        }
        const Dispatch &dispatch = std::get<Dispatch>(result);
        ForwardOutcome outcome = co_await send(dispatch, false);
        if (outcome.kind == ForwardKind::Answered) {
            co_return answer(std::move(outcome.response), none);
        }
        tally.allProvedNotRun = tally.allProvedNotRun && provesNotRun(outcome.kind);
        tally.failed.push_back(dispatch.upstream);
        if (outcome.kind == ForwardKind::TooLarge || !co_await mayRetry()) {
            const bool late = outcome.kind == ForwardKind::TimedOut;
            co_return failed(late ? http::status::gateway_timeout : http::status::bad_gateway,
                "upstream-" + outcomeText(outcome.kind), "the upstream gave no whole answer",
                tally.allProvedNotRun ? Execution::NotRun : Execution::Unknown, none);
        }
    }
}

asio::awaitable<Result<ApplyReply>> Flow::propose(Command command)
{
    OpenSpan span {parts_.tracer, request_.trace.trace, request_.span, "journal"};
    const ProposeCall call {encodeCommand(command)};
    const std::function<void(std::function<void(Result<Reply>)>)> begin =
        [this, call](std::function<void(Result<Reply>)> done) {
            parts_.client.call(call, proposeLimit, std::move(done));
        };
    const Result<Reply> reply = co_await askControl<Result<Reply>>(parts_.control, begin);
    if (!reply) {
        span.note("error", reply.error().message());
        co_return reply.error();
    }
    const ProposeReply *proposed = std::get_if<ProposeReply>(&reply.value());
    if (proposed == nullptr) {
        co_return PeerError::Undecodable;
    }
    co_return proposed->result;
}

asio::awaitable<std::optional<Flow::Admitted>> Flow::admit(bool keepRequest, HttpResponse &refusal)
{
    AdmitWork command;
    command.work = WorkId {
        parts_.entry.epoch().value() + "-w" + std::to_string(parts_.entry.nextRequest().value())};
    command.environment = service_.environment;
    command.service = service_.service;
    command.key = request_.key;
    command.digest = digestOfRequest(request_.request);
    command.workClass = request_.route.workClass;
    command.repeatable = request_.route.repeatable;
    command.exclusive = request_.route.exclusive;
    command.owner = parts_.entry.epoch();
    command.at = wallTimeNow();
    command.deadline = request_.wallDeadline;
    if (keepRequest) {
        command.request = request_.request;
    }
    const Command admission {command};
    const Result<ApplyReply> reply = co_await propose(admission);
    if (!reply) {
        // The record may have been made; without a start, it can only be revoked.
        refusal = failed(http::status::service_unavailable, "journal-unreachable",
            reply.error().message(), Execution::Unknown, command.work);
        co_return std::nullopt;
    }
    if (reply.value().error == StateError::KeyReused) {
        refusal = failed(http::status::unprocessable_entity, "key-reused",
            std::string {ErrorText<StateError>::text(reply.value().error)}, Execution::NotRun,
            reply.value().work);
        co_return std::nullopt;
    }
    const bool isNew = reply.value().work == command.work;
    co_return Admitted {reply.value().work, isNew};
}

asio::awaitable<HttpResponse> Flow::runRecorded()
{
    HttpResponse refusal;
    const std::optional<Admitted> admitted = co_await admit(false, refusal);
    if (!admitted) {
        co_return refusal;
    }
    if (!admitted->isNew) {
        co_return co_await follow(admitted->work, request_.deadline);
    }
    co_return co_await carryOn(admitted->work);
}

asio::awaitable<bool> Flow::recordStart(const WorkId &work, const Dispatch &dispatch)
{
    const Command start {StartWork {
        work, dispatch.attempt, dispatch.upstream, dispatch.incarnation, parts_.entry.epoch()}};
    const Result<ApplyReply> started = co_await propose(start);
    co_return started &&started.value().error == StateError::None;
}

asio::awaitable<Execution> Flow::giveUp(const WorkId &work, std::optional<AttemptId> unsent)
{
    if (unsent) {
        // Whatever became of the record of its start, this entry did not send it and never will.
        const Command end {EndAttempt {work, *unsent, AttemptEnd::NotRun}};
        const Result<ApplyReply> ended = co_await propose(end);
        if (!ended) {
            co_return Execution::Unknown;
        }
    }
    const Command revoke {RevokeWork {work, false, wallTimeNow()}};
    const Result<ApplyReply> revoked = co_await propose(revoke);
    if (!revoked) {
        co_return Execution::Unknown;
    }
    const std::optional<Work> known = co_await query(work, std::nullopt);
    co_return known ? known->execution() : Execution::Unknown;
}

asio::awaitable<HttpResponse> Flow::endUnanswered(const WorkId &work, const Refusal &refusal)
{
    const Execution execution = co_await giveUp(work, std::nullopt);
    co_return refused(refusal, execution, work);
}

asio::awaitable<HttpResponse> Flow::carryOn(WorkId work)
{
    Tally tally;
    for (;;) {
        const DispatchResult result = co_await acquire(tally, nullptr);
        if (const Refusal *refusal = std::get_if<Refusal>(&result)) {
            co_return co_await endUnanswered(work, *refusal);
        }
        const Dispatch &dispatch = std::get<Dispatch>(result);
        if (!co_await recordStart(work, dispatch)) {
            release(dispatch, AttemptVerdict::Neutral, {}, true);
            const Execution execution = co_await giveUp(work, dispatch.attempt);
            co_return failed(http::status::service_unavailable, "not-started",
                "the start could not be recorded, so nothing was sent", execution, work);
        }
        ForwardOutcome outcome = co_await send(dispatch, true);
        if (outcome.kind == ForwardKind::Answered) {
            StoredAnswer kept;
            kept.status = outcome.response.result_int();
            kept.headers = headersOf(outcome.response);
            kept.bodyOmitted =
                outcome.response.body().size() > parts_.settings.keptAnswerBytes.value();
            kept.body = kept.bodyOmitted ? std::string {} : outcome.response.body();
            // The answer is true whether or not its record can be made.
            const Command finish {
                FinishWork {work, dispatch.attempt, std::move(kept), wallTimeNow()}};
            static_cast<void>(co_await propose(finish));
            co_return answer(std::move(outcome.response), work);
        }
        tally.failed.push_back(dispatch.upstream);
        bool over = provesNotRun(outcome.kind);
        if (over) {
            const Command end {EndAttempt {work, dispatch.attempt, AttemptEnd::NotRun}};
            const Result<ApplyReply> ended = co_await propose(end);
            over = ended.has_value();
        } else {
            const std::optional<Work> settled = co_await settle(work, dispatch.attempt);
            if (settled && hasEnded(*settled)) {
                co_return storedAnswer(*settled);
            }
            const Attempt *attempt = settled ? findAttempt(*settled, dispatch.attempt) : nullptr;
            over = attempt != nullptr
                && (attempt->state == AttemptState::NotRun
                    || (attempt->state == AttemptState::Lost && request_.route.repeatable));
        }
        if (!over || !co_await mayRetry()) {
            const Execution execution = co_await giveUp(work, std::nullopt);
            const bool late = monotonicNow() >= request_.deadline;
            co_return failed(late ? http::status::gateway_timeout : http::status::bad_gateway,
                "upstream-" + outcomeText(outcome.kind), "the upstream gave no whole answer",
                execution, work);
        }
    }
}

asio::awaitable<std::optional<Work>> Flow::query(
    const WorkId &work, std::optional<AttemptId> settle)
{
    const WorkCall call {work, std::move(settle)};
    const std::function<void(std::function<void(Result<Reply>)>)> begin =
        [this, call](std::function<void(Result<Reply>)> done) {
            parts_.client.call(call, queryLimit, std::move(done));
        };
    const Result<Reply> reply = co_await askControl<Result<Reply>>(parts_.control, begin);
    if (!reply) {
        co_return std::nullopt;
    }
    const WorkReply *known = std::get_if<WorkReply>(&reply.value());
    co_return known == nullptr ? std::nullopt : known->work;
}

asio::awaitable<std::optional<Work>> Flow::settle(const WorkId &work, const AttemptId &attempt)
{
    Milliseconds poll = firstPoll;
    std::optional<Work> known;
    while (monotonicNow() < request_.deadline) {
        known = co_await query(work, attempt);
        const Attempt *settled = known ? findAttempt(*known, attempt) : nullptr;
        if (known
            && (hasEnded(*known) || settled == nullptr
                || settled->state != AttemptState::Started)) {
            co_return known;
        }
        co_await pause(poll);
        poll = std::min(poll * 2, mostPoll);
    }
    co_return known;
}

asio::awaitable<HttpResponse> Flow::follow(WorkId work, MonotonicTime until)
{
    Milliseconds poll = firstPoll;
    std::optional<Work> known;
    while (monotonicNow() < until) {
        known = co_await query(work, std::nullopt);
        if (known && hasEnded(*known)) {
            co_return storedAnswer(*known);
        }
        co_await pause(poll);
        poll = std::min(poll * 2, mostPoll);
    }
    co_return failed(http::status::gateway_timeout, "deadline-passed",
        "the work goes on; ask for it later by its id", Execution::Unknown, work);
}

HttpResponse Flow::answer(HttpResponse response, const WorkId &work)
{
    countOutcome("answered");
    response.erase(headers::attempt);
    for (const std::string_view name :
        {"connection", "keep-alive", "transfer-encoding", "trailer", "upgrade"}) {
        response.erase(name);
    }
    identify(response, work);
    return response;
}

void Flow::identify(HttpResponse &response, const WorkId &work) const
{
    if (!work.value().empty()) {
        response.set(headers::workId, work.value());
    }
    if (request_.key) {
        response.set(headers::idempotencyKey, request_.key->value());
    }
    response.set(headers::traceparent, request_.trace.header(request_.span));
}

HttpResponse Flow::storedAnswer(const Work &work)
{
    HttpResponse response = describeWork(work);
    identify(response, work.id);
    countOutcome(work.answer ? "answered" : "ended");
    return response;
}

HttpResponse Flow::refused(const Refusal &refusal, Execution execution, const WorkId &work)
{
    const bool late = refusal.reason == RefusalReason::DeadlinePassed;
    HttpResponse response =
        failed(late ? http::status::gateway_timeout : http::status::service_unavailable, "refused",
            std::string {text(refusal.reason)}, execution, work);
    constexpr std::int64_t perSecond = 1000;
    const std::int64_t seconds =
        std::max<std::int64_t>((refusal.retryAfter.count() + perSecond - 1) / perSecond, 1);
    response.set(http::field::retry_after, std::to_string(seconds));
    return response;
}

HttpResponse Flow::failed(http::status status, const std::string &type, const std::string &detail,
    Execution execution, const WorkId &work)
{
    countOutcome(type + "_" + std::string {text(execution)});
    Problem problem;
    problem.status = status;
    problem.type = type;
    problem.title = "The work was not answered";
    problem.detail = detail;
    problem.execution = std::string {text(execution)};
    problem.workId = work.value();
    HttpResponse response = problemResponse(problem);
    identify(response, work);
    return response;
}

HttpResponse describeWork(const Work &work)
{
    if (work.answer && !work.answer->bodyOmitted) {
        HttpResponse response {static_cast<http::status>(work.answer->status), 11};
        for (const Header &header : work.answer->headers) {
            response.insert(header.name, header.value);
        }
        response.erase(headers::attempt);
        response.body() = work.answer->body;
        response.set(headers::workId, work.id.value());
        return response;
    }
    Problem problem;
    problem.status = work.answer ? http::status::bad_gateway : http::status::service_unavailable;
    problem.type = work.answer ? "answer-not-kept" : "ended-without-answer";
    problem.title = "The work has ended without an answer to give";
    problem.detail = work.answer
        ? "the upstream finished it with status " + std::to_string(work.answer->status)
        : "no attempt answered";
    problem.execution = std::string {text(work.execution())};
    problem.workId = work.id.value();
    HttpResponse response = problemResponse(problem);
    response.set(headers::workId, work.id.value());
    return response;
}

} // namespace crocusmill
