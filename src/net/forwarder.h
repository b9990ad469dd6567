/// Sends attempts to upstreams and classifies their outcomes.
///
/// Each traffic thread has its own forwarder and uses it on that thread only.

#pragma once

#include "src/net/httpclient.h"

#include <crocusmill/ids.h>

namespace crocusmill
{

enum class ForwardKind {
    Answered, // complete response that names this attempt
    NotSent, // no byte of the request was written
    NotRun, // the upstream reported that the work did not start
    Broken, // written at least in part, without a complete response
    TimedOut,
    Mismatched, // the response names another attempt
    TooLarge, // the response exceeds the size limit
};

struct ForwardRequest
{
    NodeAddress to;
    AttemptId attempt;
    std::optional<std::uint32_t> maxIdleConnections; // see HttpCall::maxIdleConnections
    bool needsNewConnection = false; // see HttpCall::needsNewConnection
    HttpRequest request;
    MonotonicTime deadline;
};

struct ForwardOutcome
{
    ForwardKind kind = ForwardKind::Broken;
    HttpResponse response;
};

class Forwarder
{
public:
    Forwarder(asio::io_context &context, HttpClientLimits limits);

    [[nodiscard]] asio::awaitable<ForwardOutcome> forward(ForwardRequest request);

private:
    [[nodiscard]] static ForwardOutcome classify(HttpResponse response, const AttemptId &attempt);

    HttpClient client_;
};

/// Header names of the upstream protocol.
namespace headers
{
inline constexpr std::string_view attempt = "Crocusmill-Attempt";
inline constexpr std::string_view deadline = "Crocusmill-Deadline-Ms";
inline constexpr std::string_view exclusive = "Crocusmill-Exclusive";
inline constexpr std::string_view notRun = "Crocusmill-Not-Run";
inline constexpr std::string_view workId = "Crocusmill-Work-Id";
inline constexpr std::string_view team = "Crocusmill-Team";
inline constexpr std::string_view idempotencyKey = "Idempotency-Key";
inline constexpr std::string_view traceparent = "traceparent";
} // namespace headers

} // namespace crocusmill
