/// The steps that all requests share, and the path of work that needs no record.

#include "src/services/workflow.h"

#include "src/services/flowhelpers.h"

#include <algorithm>

namespace crocusmill
{

namespace
{

AttemptOutcome verdictOf(const ForwardOutcome &outcome)
{
    constexpr unsigned int firstServerError = 500;
    switch (outcome.kind) {
    case ForwardKind::Answered:
        return outcome.response.result_int() < firstServerError ? AttemptOutcome::Succeeded
                                                                : AttemptOutcome::Failed;
    case ForwardKind::NotRun:
    case ForwardKind::TooLarge:
        return AttemptOutcome::Neutral;
    default:
        return AttemptOutcome::Failed;
    }
}

} // namespace

Flow::Flow(FlowParts &parts, Forwarder &forwarder, FlowRequest request)
    : parts_(parts)
    , forwarder_(forwarder)
    , request_(std::move(request))
    , service_ {
          request_.environment->document.name, request_.environment->stage, request_.route.service}
{
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
            waiting.teamSlots = team.slotQuota;
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
    forward.keep = dispatch.maxIdleConnections;
    forward.request = makeRequest(dispatch, span.id());
    forward.deadline = request_.deadline;
    const MonotonicTime began = monotonicNow();
    ForwardOutcome outcome = co_await forwarder_.forward(std::move(forward));
    const MonotonicTime ended = monotonicNow();
    span.note("outcome", std::string {outcomeText(outcome.kind)});
    parts_.metrics.count(
        {"attempts_total", "outcome=\"" + std::string {outcomeText(outcome.kind)} + "\""});
    const bool left = outcome.kind == ForwardKind::Answered || provesNotRun(outcome.kind);
    release(dispatch, verdictOf(outcome), std::chrono::duration_cast<Milliseconds>(ended - began),
        left);
    co_return outcome;
}

void Flow::release(const Dispatch &dispatch, AttemptOutcome verdict, Milliseconds ran, bool left)
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
                "upstream-" + std::string {outcomeText(outcome.kind)},
                "the upstream gave no whole answer",
                tally.allProvedNotRun ? Execution::NotRun : Execution::Unknown, none);
        }
    }
}

} // namespace crocusmill
