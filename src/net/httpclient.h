/// HTTP client with a pool of persistent connections.
///
/// The outcome of a call distinguishes a request that was not sent from one that may have run.
/// Use only on the thread of the context.

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
    Answered, // complete response
    NotSent, // no byte of the request was written
    Broken, // written at least in part, without a complete response
    TimedOut,
    TooLarge, // the response exceeds the size limit
};

struct HttpCall
{
    NodeAddress to;
    HttpRequest request;
    MonotonicTime deadline;
    /// Set this for a request that must not run twice: an idle connection may turn out to be closed
    /// after the request was written, and it is then unknown whether the request ran.
    bool needsNewConnection = false;
    /// Limit of idle connections to this address after the call; empty: the client's limit.
    std::optional<std::uint32_t> maxIdleConnections;
};

struct HttpOutcome
{
    HttpResultKind kind = HttpResultKind::Broken;
    HttpResponse response;
    /// With NotSent: why connecting failed, if the system gave a reason. Set by CallClient.
    boost::system::error_code connectError {};
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
    /// Closes all idle connections to `address`.
    void closeIdle(const NodeAddress &address);

private:
    struct Connection
    {
        Connection(asio::io_context &context, std::size_t maxBufferBytes);

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
