/// Sends one attempt to an upstream and says truthfully what became of it.
///
/// One for each traffic thread, used on that thread alone.

#pragma once

#include "src/net/httpclient.h"

#include <crocusmill/ids.h>

namespace crocusmill
{

enum class ForwardKind {
    Answered, // the whole answer, which belongs to this attempt
    NotSent, // no byte of the request was written
    NotRun, // the upstream said that it did not start
    Broken, // written at least in part, and no whole answer came
    TimedOut,
    Mismatched, // an answer to another attempt
    TooLarge, // the answer is larger than allowed
};

struct ForwardRequest
{
    NodeAddress to;
    AttemptId attempt;
    std::optional<std::uint32_t> maxIdleConnections; // see HttpCall, as the next
    bool needsNewConnection = false;
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

/// Header names of the upstream interface.
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
