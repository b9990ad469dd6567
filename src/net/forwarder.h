/// Sends one attempt to an upstream and says truthfully what became of it.
///
/// One for each traffic thread, used on that thread alone.

#pragma once

#include "src/net/httpserver.h"

#include <crocusmill/ids.h>

#include <deque>
#include <map>
#include <memory>

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
    /// A kept connection may turn out to be closed when the request has been written, which
    /// proves nothing; work that may not run twice gets a fresh one.
    /// Idle connections to this address that may be kept afterwards; none: the forwarder's limit.
    std::optional<std::uint32_t> keep;
    bool fresh = false;
    HttpRequest request;
    MonotonicTime deadline;
};

struct ForwardOutcome
{
    ForwardKind kind = ForwardKind::Broken;
    HttpResponse response;
};

struct ForwardLimits
{
    Milliseconds connect {1'000};
    ByteCount answerBytes {8ULL * 1024 * 1024};
    std::size_t idlePerUpstream = 8;
};

class Forwarder
{
public:
    Forwarder(asio::io_context &context, ForwardLimits limits);

    [[nodiscard]] asio::awaitable<ForwardOutcome> forward(ForwardRequest request);

private:
    struct Connection
    {
        explicit Connection(asio::io_context &context);

        beast::tcp_stream stream;
        beast::flat_buffer buffer;
    };
    using ConnectionPtr = std::unique_ptr<Connection>;

    [[nodiscard]] asio::awaitable<ConnectionPtr> connect(NodeAddress to, MonotonicTime deadline);
    [[nodiscard]] ConnectionPtr takeIdle(const NodeAddress &to);
    [[nodiscard]] asio::awaitable<ForwardOutcome> exchange(
        Connection &connection, const ForwardRequest &request);
    [[nodiscard]] static ForwardOutcome judge(HttpResponse response, const AttemptId &attempt);

    asio::io_context &context_;
    ForwardLimits limits_;
    std::map<NodeAddress, std::deque<ConnectionPtr>> idle_;
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
