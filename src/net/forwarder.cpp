/// Sending of attempts and classification of their responses.

#include "src/net/forwarder.h"

namespace crocusmill
{

Forwarder::Forwarder(asio::io_context &context, HttpClientLimits limits)
    : client_(context, limits)
{
}

asio::awaitable<ForwardOutcome> Forwarder::forward(ForwardRequest request)
{
    HttpCall call;
    call.to = request.to;
    call.request = std::move(request.request);
    call.deadline = request.deadline;
    call.needsNewConnection = request.needsNewConnection;
    call.maxIdleConnections = request.maxIdleConnections;
    HttpOutcome outcome = co_await client_.send(std::move(call));
    switch (outcome.kind) {
    case HttpResultKind::Answered:
        break;
    case HttpResultKind::NotSent:
        co_return ForwardOutcome {ForwardKind::NotSent, {}};
    case HttpResultKind::Broken:
        co_return ForwardOutcome {ForwardKind::Broken, {}};
    case HttpResultKind::TimedOut:
        co_return ForwardOutcome {ForwardKind::TimedOut, {}};
    case HttpResultKind::TooLarge:
        co_return ForwardOutcome {ForwardKind::TooLarge, {}};
    }
    co_return classify(std::move(outcome.response), request.attempt);
}

ForwardOutcome Forwarder::classify(HttpResponse response, const AttemptId &attempt)
{
    const bool isNotRun = response.result() == http::status::service_unavailable
        && response[std::string {headers::notRun}] == "1";
    if (response[std::string {headers::attempt}] != attempt.value()) {
        return {ForwardKind::Mismatched, {}};
    }
    if (isNotRun) {
        return {ForwardKind::NotRun, std::move(response)};
    }
    return {ForwardKind::Answered, std::move(response)};
}

} // namespace crocusmill
