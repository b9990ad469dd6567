/// HTTP requests to other processes over kept connections; says truthfully what became of each.
///
/// Used on the thread of its context alone.

#pragma once

#include "src/net/httpserver.h"

#include <crocusmill/ids.h>

#include <deque>
#include <map>
#include <memory>
#include <optional>

namespace crocusmill
{

enum class HttpResultKind {
    Answered, // the whole answer
    NotSent, // no byte of the request was written
    Broken, // written at least in part, and no whole answer came
    TimedOut,
    TooLarge, // the answer is larger than allowed
};

struct HttpCall
{
    NodeAddress to;
    HttpRequest request;
    MonotonicTime deadline;
    /// A kept connection may turn out to be closed when the request has been written, which
    /// proves nothing; a request that may not run twice gets a fresh one.
    bool needsNewConnection = false;
    /// Idle connections to this address that may be kept afterwards; none: the client's limit.
    std::optional<std::uint32_t> maxIdleConnections;
};

struct HttpOutcome
{
    HttpResultKind kind = HttpResultKind::Broken;
    HttpResponse response;
};

struct HttpClientLimits
{
    Milliseconds connectTimeout {1'000};
    ByteCount maxAnswerBytes {8ULL * 1024 * 1024};
    std::size_t maxIdlePerAddress = 8;
};

class HttpClient
{
public:
    HttpClient(asio::io_context &context, HttpClientLimits limits);

    [[nodiscard]] asio::awaitable<HttpOutcome> send(HttpCall call);
    /// Closes the idle connections to an address.
    void closeIdle(const NodeAddress &address);

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
    [[nodiscard]] asio::awaitable<HttpOutcome> exchange(
        Connection &connection, const HttpCall &call);
    void keepIdle(const HttpCall &call, ConnectionPtr connection);

    asio::io_context &context_;
    HttpClientLimits limits_;
    std::map<NodeAddress, std::deque<ConnectionPtr>> idle_;
};

} // namespace crocusmill
