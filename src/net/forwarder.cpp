/// Attempts, and the judgement of their answers.

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
    call.fresh = request.fresh;
    call.keep = request.keep;
    HttpOutcome outcome = co_await client_.send(std::move(call));
    switch (outcome.kind) {
    case HttpSending::Answered:
        break;
    case HttpSending::NotSent:
        co_return ForwardOutcome {ForwardKind::NotSent, {}};
    case HttpSending::Broken:
        co_return ForwardOutcome {ForwardKind::Broken, {}};
    case HttpSending::TimedOut:
        co_return ForwardOutcome {ForwardKind::TimedOut, {}};
    case HttpSending::TooLarge:
        co_return ForwardOutcome {ForwardKind::TooLarge, {}};
    }
    co_return judge(std::move(outcome.response), request.attempt);
}

ForwardOutcome Forwarder::judge(HttpResponse response, const AttemptId &attempt)
{
    const bool refused = response.result() == http::status::service_unavailable
        && response[std::string {headers::notRun}] == "1";
    if (response[std::string {headers::attempt}] != attempt.value()) {
        return {ForwardKind::Mismatched, {}};
    }
    if (refused) {
        return {ForwardKind::NotRun, std::move(response)};
    }
    return {ForwardKind::Answered, std::move(response)};
}

} // namespace crocusmill
