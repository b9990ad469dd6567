/// The path of recorded work, whose admission, starts and end are in the journal.

#include "src/net/peerstream.h"
#include "src/services/flowhelpers.h"
#include "src/services/workflow.h"

#include <algorithm>

namespace crocusmill
{

namespace
{

constexpr Milliseconds proposeTimeout {4'000};
constexpr Milliseconds queryTimeout {2'000};
constexpr Milliseconds initialPollInterval {20};
constexpr Milliseconds maxPollInterval {250};

Digest digestOfRequest(const StoredRequest &request)
{
    return digestOf(request.method + " " + request.target + "\n" + request.body);
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

asio::awaitable<Result<ApplyReply>> Flow::propose(Command command)
{
    ScopedSpan span {context_.tracer, request_.trace.trace, request_.span, "journal"};
    const ProposeCall call {encodeCommand(command)};
    const std::function<void(std::function<void(Result<Reply>)>)> begin =
        [this, call](std::function<void(Result<Reply>)> done) {
            context_.client.call(call, proposeTimeout, std::move(done));
        };
    const Result<Reply> reply =
        co_await callOnControlThread<Result<Reply>>(context_.control, begin);
    if (!reply) {
        span.addAttribute("error", reply.error().message());
        co_return reply.error();
    }
    const ProposeReply *proposed = std::get_if<ProposeReply>(&reply.value());
    if (proposed == nullptr) {
        co_return PeerError::Undecodable;
    }
    co_return proposed->result;
}

asio::awaitable<std::optional<Flow::AdmissionResult>> Flow::admit(
    bool keepRequest, HttpResponse &refusal)
{
    AdmitWork command;
    command.work = WorkId {context_.entry.epoch().value() + "-w"
        + std::to_string(context_.entry.nextRequest().value())};
    command.environment = service_.environment;
    command.service = service_.service;
    command.key = request_.key;
    command.digest = digestOfRequest(request_.request);
    command.workClass = request_.route.workClass;
    command.repeatable = request_.route.repeatable;
    command.exclusive = request_.route.exclusive;
    command.owner = context_.entry.epoch();
    command.seen = request_.appliedIndex;
    command.at = wallTimeNow();
    command.deadline = request_.wallDeadline;
    if (keepRequest) {
        command.request = request_.request;
    }
    const Command admission {command};
    const Result<ApplyReply> reply = co_await propose(admission);
    if (!reply) {
        // The admission may have been recorded. Without a start it can only be revoked.
        refusal = failureResponse(http::status::service_unavailable, "journal-unreachable",
            reply.error().message(), Execution::Unknown, command.work);
        co_return std::nullopt;
    }
    if (reply.value().error == StateError::KeyReused) {
        refusal = failureResponse(http::status::unprocessable_entity, "key-reused",
            std::string {ErrorText<StateError>::text(reply.value().error)}, Execution::NotRun,
            reply.value().work);
        co_return std::nullopt;
    }
    const bool isNew = reply.value().work == command.work;
    co_return AdmissionResult {reply.value().work, isNew};
}

asio::awaitable<HttpResponse> Flow::runRecorded()
{
    HttpResponse refusal;
    const std::optional<AdmissionResult> admitted = co_await admit(false, refusal);
    if (!admitted) {
        co_return refusal;
    }
    if (!admitted->isNew) {
        co_return co_await awaitCompletion(admitted->work, request_.deadline);
    }
    co_return co_await executeAdmitted(admitted->work);
}

asio::awaitable<bool> Flow::recordStart(const WorkId &work, const Dispatch &dispatch)
{
    const Command start {StartWork {
        work, dispatch.attempt, dispatch.upstream, dispatch.incarnation, context_.entry.epoch()}};
    const Result<ApplyReply> started = co_await propose(start);
    co_return started &&started.value().error == StateError::None;
}

asio::awaitable<Execution> Flow::abandon(const WorkId &work, std::optional<AttemptId> unsent)
{
    if (unsent) {
        // The start may have been recorded, but this entry never sends the attempt.
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
    const std::optional<Work> current = co_await query(work, std::nullopt);
    co_return current ? current->execution() : Execution::Unknown;
}

asio::awaitable<HttpResponse> Flow::abandonAndRefuse(const WorkId &work, const Refusal &refusal)
{
    const Execution execution = co_await abandon(work, std::nullopt);
    co_return refusalResponse(refusal, execution, work);
}

asio::awaitable<HttpResponse> Flow::executeAdmitted(WorkId work)
{
    AttemptHistory history;
    for (;;) {
        const DispatchResult result = co_await acquire(history, nullptr);
        if (const Refusal *refusal = std::get_if<Refusal>(&result)) {
            co_return co_await abandonAndRefuse(work, *refusal);
        }
        const Dispatch &dispatch = std::get<Dispatch>(result);
        if (!co_await recordStart(work, dispatch)) {
            release(dispatch, AttemptOutcome::Neutral, {}, true);
            const Execution execution = co_await abandon(work, dispatch.attempt);
            co_return failureResponse(http::status::service_unavailable, "not-started",
                "the start could not be recorded, so nothing was sent", execution, work);
        }
        ForwardOutcome outcome = co_await send(dispatch, true);
        if (outcome.kind == ForwardKind::Answered) {
            StoredAnswer stored;
            stored.status = outcome.response.result_int();
            stored.headers = endToEndHeaders(outcome.response);
            stored.bodyOmitted =
                outcome.response.body().size() > context_.settings.maxKeptAnswerBytes.value();
            stored.body = stored.bodyOmitted ? std::string {} : outcome.response.body();
            // The answer is valid even if it cannot be recorded.
            const Command finish {
                FinishWork {work, dispatch.attempt, std::move(stored), wallTimeNow()}};
            static_cast<void>(co_await propose(finish));
            co_return forwardedResponse(std::move(outcome.response), work);
        }
        history.failedUpstreams.push_back(dispatch.upstream);
        bool isRetrySafe = provesNotRun(outcome.kind);
        if (isRetrySafe) {
            const Command end {EndAttempt {work, dispatch.attempt, AttemptEnd::NotRun}};
            const Result<ApplyReply> ended = co_await propose(end);
            isRetrySafe = ended.has_value();
        } else {
            const std::optional<Work> settled = co_await awaitAttemptEnd(work, dispatch.attempt);
            if (settled && hasEnded(*settled)) {
                co_return storedResponse(*settled);
            }
            const Attempt *attempt = settled ? findAttempt(*settled, dispatch.attempt) : nullptr;
            isRetrySafe = attempt != nullptr
                && (attempt->state == AttemptState::NotRun
                    || (attempt->state == AttemptState::Lost && request_.route.repeatable));
        }
        if (!isRetrySafe || !co_await takeRetry()) {
            const Execution execution = co_await abandon(work, std::nullopt);
            const bool isLate = monotonicNow() >= request_.deadline;
            co_return failureResponse(
                isLate ? http::status::gateway_timeout : http::status::bad_gateway,
                "upstream-" + std::string {outcomeText(outcome.kind)},
                "the upstream gave no whole answer", execution, work);
        }
    }
}

asio::awaitable<std::optional<Work>> Flow::query(
    const WorkId &work, std::optional<AttemptId> attemptToSettle)
{
    const WorkCall call {work, std::move(attemptToSettle)};
    const std::function<void(std::function<void(Result<Reply>)>)> begin =
        [this, call](std::function<void(Result<Reply>)> done) {
            context_.client.call(call, queryTimeout, std::move(done));
        };
    const Result<Reply> reply =
        co_await callOnControlThread<Result<Reply>>(context_.control, begin);
    if (!reply) {
        co_return std::nullopt;
    }
    const WorkReply *current = std::get_if<WorkReply>(&reply.value());
    co_return current == nullptr ? std::nullopt : current->work;
}

asio::awaitable<std::optional<Work>> Flow::awaitAttemptEnd(
    const WorkId &work, const AttemptId &attempt)
{
    Milliseconds pollInterval = initialPollInterval;
    std::optional<Work> current;
    while (monotonicNow() < request_.deadline) {
        current = co_await query(work, attempt);
        const Attempt *settled = current ? findAttempt(*current, attempt) : nullptr;
        if (current
            && (hasEnded(*current) || settled == nullptr
                || settled->state != AttemptState::Started)) {
            co_return current;
        }
        co_await pause(pollInterval);
        pollInterval = std::min(pollInterval * 2, maxPollInterval);
    }
    co_return current;
}

asio::awaitable<HttpResponse> Flow::awaitCompletion(WorkId work, MonotonicTime deadline)
{
    Milliseconds pollInterval = initialPollInterval;
    std::optional<Work> current;
    while (monotonicNow() < deadline) {
        current = co_await query(work, std::nullopt);
        if (current && hasEnded(*current)) {
            co_return storedResponse(*current);
        }
        co_await pause(pollInterval);
        pollInterval = std::min(pollInterval * 2, maxPollInterval);
    }
    co_return failureResponse(http::status::gateway_timeout, "deadline-passed",
        "the work goes on; ask for it later by its id", Execution::Unknown, work);
}

} // namespace crocusmill
