/// Responses to callers.

#include "src/services/flowhelpers.h"
#include "src/services/workflow.h"

#include <algorithm>

namespace crocusmill
{

namespace
{

/// Returns the delay after which a key can be used again: every entry must have learned first that
/// its work was given up. Returns std::nullopt for work that may have run.
std::optional<Milliseconds> retryDelay(Execution execution)
{
    constexpr Milliseconds wait {1'000};
    return execution == Execution::NotRun ? std::optional<Milliseconds> {wait} : std::nullopt;
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

void Flow::countOutcome(const std::string &outcome)
{
    context_.metrics.count({"requests_total", "outcome=\"" + outcome + "\""});
}

HttpResponse Flow::forwardedResponse(HttpResponse response, const WorkId &work)
{
    countOutcome("answered");
    response.erase(headers::attempt);
    for (const std::string_view name :
        {"connection", "keep-alive", "transfer-encoding", "trailer", "upgrade"}) {
        response.erase(name);
    }
    setIdentityHeaders(response, work);
    return response;
}

void Flow::setIdentityHeaders(HttpResponse &response, const WorkId &work) const
{
    if (!work.value().empty()) {
        response.set(headers::workId, work.value());
    }
    if (request_.key) {
        response.set(headers::idempotencyKey, request_.key->value());
    }
    response.set(headers::traceparent, request_.trace.header(request_.span));
}

HttpResponse Flow::storedResponse(const Work &work)
{
    HttpResponse response = describeWork(work);
    setIdentityHeaders(response, work.id);
    countOutcome(work.answer ? "answered" : "ended");
    return response;
}

HttpResponse Flow::refusalResponse(const Refusal &refusal, Execution execution, const WorkId &work)
{
    const bool isLate = refusal.reason == RefusalReason::DeadlinePassed;
    HttpResponse response =
        failureResponse(isLate ? http::status::gateway_timeout : http::status::service_unavailable,
            "refused", std::string {text(refusal.reason)}, execution, work);
    constexpr std::int64_t millisecondsPerSecond = 1000;
    const std::int64_t seconds = std::max<std::int64_t>(
        (refusal.retryAfter.count() + millisecondsPerSecond - 1) / millisecondsPerSecond, 1);
    response.set(http::field::retry_after, std::to_string(seconds));
    return response;
}

HttpResponse Flow::failureResponse(http::status status, const std::string &type,
    const std::string &detail, Execution execution, const WorkId &work)
{
    countOutcome(type + "_" + std::string {text(execution)});
    Problem problem;
    problem.status = status;
    problem.type = type;
    problem.title = "The work was not answered";
    problem.detail = detail;
    problem.execution = std::string {text(execution)};
    problem.workId = work.value();
    problem.retryAfter = retryDelay(execution);
    HttpResponse response = problemResponse(problem);
    setIdentityHeaders(response, work);
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
    problem.retryAfter = retryDelay(work.execution());
    HttpResponse response = problemResponse(problem);
    response.set(headers::workId, work.id.value());
    return response;
}

} // namespace crocusmill
