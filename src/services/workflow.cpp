/// Steps shared by all requests, and the path of unrecorded work.

#include "src/services/workflow.h"

#include "src/services/flowhelpers.h"

#include <algorithm>

namespace crocusmill
{

namespace
{

AttemptOutcome attemptOutcomeOf(const ForwardOutcome &outcome)
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

Flow::Flow(FlowContext &context, Forwarder &forwarder, FlowRequest request)
    : context_(context)
    , forwarder_(forwarder)
    , request_(std::move(request))
    , service_ {
          request_.environment->document.name, request_.environment->stage, request_.route.service}
{
}

WaitingRequest Flow::makeWaitingRequest(const AttemptHistory &history)
{
    WaitingRequest waiting;
    waiting.id = context_.entry.nextRequest();
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
    waiting.avoid = history.failedUpstreams;
    return waiting;
}

asio::awaitable<DispatchResult> Flow::acquire(
    const AttemptHistory &history, const std::shared_ptr<CallerWatch> &watch)
{
    ScopedSpan span {context_.tracer, request_.trace.trace, request_.span, "slot wait"};
    const WaitingRequest waiting = makeWaitingRequest(history);
    if (watch) {
        watch->onDisconnect([this, id = waiting.id]() {
            asio::post(context_.control,
                [&entry = context_.entry, service = service_, id]() { entry.cancel(service, id); });
        });
    }
    const std::function<void(std::function<void(DispatchResult)>)> begin =
        [this, waiting](std::function<void(DispatchResult)> done) {
            context_.entry.acquire(waiting, std::move(done));
        };
    const DispatchResult result =
        co_await callOnControlThread<DispatchResult>(context_.control, begin);
    if (watch) {
        watch->onDisconnect(nullptr);
    }
    context_.metrics.observe({"slot_wait_seconds", ""},
        std::chrono::duration_cast<Microseconds>(monotonicNow() - waiting.arrived));
    if (const Dispatch *dispatch = std::get_if<Dispatch>(&result)) {
        span.addAttribute("upstream", dispatch->upstream.value());
    } else {
        span.addAttribute("refused", std::string {text(std::get<Refusal>(result).reason)});
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
    const Milliseconds remaining =
        std::chrono::duration_cast<Milliseconds>(request_.deadline - monotonicNow());
    request.set(headers::attempt, dispatch.attempt.value());
    request.set(headers::deadline, std::to_string(std::max<std::int64_t>(remaining.count(), 0)));
    request.set(headers::traceparent, request_.trace.header(span));
    if (request_.route.exclusive) {
        request.set(headers::exclusive, "1");
    }
    request.body() = request_.request.body;
    request.keep_alive(true);
    request.prepare_payload();
    return request;
}

asio::awaitable<ForwardOutcome> Flow::send(const Dispatch &dispatch, bool useFreshConnection)
{
    ScopedSpan span {context_.tracer, request_.trace.trace, request_.span, "upstream"};
    span.addAttribute("upstream", dispatch.upstream.value());
    span.addAttribute("attempt", dispatch.attempt.value());
    ForwardRequest forward;
    forward.to = dispatch.address;
    forward.attempt = dispatch.attempt;
    forward.needsNewConnection = useFreshConnection;
    forward.maxIdleConnections = dispatch.maxIdleConnections;
    forward.request = makeRequest(dispatch, span.id());
    forward.deadline = request_.deadline;
    const MonotonicTime startedAt = monotonicNow();
    ForwardOutcome outcome = co_await forwarder_.forward(std::move(forward));
    const MonotonicTime endedAt = monotonicNow();
    span.addAttribute("outcome", std::string {outcomeText(outcome.kind)});
    context_.metrics.count(
        {"attempts_total", "outcome=\"" + std::string {outcomeText(outcome.kind)} + "\""});
    const bool hasLeft = outcome.kind == ForwardKind::Answered || provesNotRun(outcome.kind);
    release(dispatch, attemptOutcomeOf(outcome),
        std::chrono::duration_cast<Milliseconds>(endedAt - startedAt), hasLeft);
    co_return outcome;
}

void Flow::release(
    const Dispatch &dispatch, AttemptOutcome outcome, Milliseconds runDuration, bool hasLeft)
{
    asio::post(
        context_.control, [&entry = context_.entry, dispatch, outcome, runDuration, hasLeft]() {
            entry.release(dispatch.request, dispatch.attempt, outcome, runDuration, hasLeft);
        });
}

asio::awaitable<bool> Flow::takeRetry()
{
    constexpr Milliseconds maxJitter {20};
    if (monotonicNow() + maxJitter >= request_.deadline) {
        co_return false;
    }
    const std::function<void(std::function<void(bool)>)> begin =
        [this](const std::function<void(bool)> &done) {
            done(context_.entry.takeRetry(service_));
        };
    const bool isAllowed = co_await callOnControlThread<bool>(context_.control, begin);
    if (isAllowed) {
        const std::int64_t jitter = monotonicNow().time_since_epoch().count() % maxJitter.count();
        co_await pause(Milliseconds {1 + jitter});
    }
    co_return isAllowed;
}

asio::awaitable<void> Flow::pause(Milliseconds time)
{
    asio::steady_timer timer {co_await asio::this_coro::executor, time};
    boost::system::error_code ignored;
    co_await timer.async_wait(errorInto(ignored));
}

asio::awaitable<HttpResponse> Flow::runUnrecorded(const std::shared_ptr<CallerWatch> &watch)
{
    AttemptHistory history;
    const WorkId noWork;
    for (;;) {
        const DispatchResult result = co_await acquire(history, watch);
        if (const Refusal *refusal = std::get_if<Refusal>(&result)) {
            const Execution execution =
                history.isProvenNotRun ? Execution::NotRun : Execution::Unknown;
            co_return refusalResponse(*refusal, execution, noWork);
        }
        const Dispatch &dispatch = std::get<Dispatch>(result);
        ForwardOutcome outcome = co_await send(dispatch, false);
        if (outcome.kind == ForwardKind::Answered) {
            co_return forwardedResponse(std::move(outcome.response), noWork);
        }
        history.isProvenNotRun = history.isProvenNotRun && provesNotRun(outcome.kind);
        history.failedUpstreams.push_back(dispatch.upstream);
        if (outcome.kind == ForwardKind::TooLarge || !co_await takeRetry()) {
            const bool isLate = outcome.kind == ForwardKind::TimedOut;
            co_return failureResponse(
                isLate ? http::status::gateway_timeout : http::status::bad_gateway,
                "upstream-" + std::string {outcomeText(outcome.kind)},
                "the upstream gave no whole answer",
                history.isProvenNotRun ? Execution::NotRun : Execution::Unknown, noWork);
        }
    }
}

} // namespace crocusmill
