/// The path of recorded work: admitted, started and finished in the journal.

#include "src/net/peerstream.h"
#include "src/services/flowhelpers.h"
#include "src/services/workflow.h"

#include <algorithm>

namespace crocusmill
{

namespace
{

constexpr Milliseconds proposeLimit {4'000};
constexpr Milliseconds queryLimit {2'000};
constexpr Milliseconds firstPoll {20};
constexpr Milliseconds mostPoll {250};

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
    command.seen = request_.seen;
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
            release(dispatch, AttemptOutcome::Neutral, {}, true);
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
                outcome.response.body().size() > parts_.settings.maxKeptAnswerBytes.value();
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
                "upstream-" + std::string {outcomeText(outcome.kind)},
                "the upstream gave no whole answer", execution, work);
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

} // namespace crocusmill
