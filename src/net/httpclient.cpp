/// Connection pool and request exchange of HttpClient.

#include "src/net/httpclient.h"

#include <algorithm>
#include <limits>
#include <sys/socket.h>

namespace crocusmill
{

namespace
{

/// Bounds what the parser of a response has not consumed, such as trailers without end.
constexpr std::size_t maxBufferBytes = 128ULL * 1024;

/// Returns true if the socket is open and has no unread input. Unread input would be mistaken for
/// the response to a new request.
bool isOpenWithoutInput(Tcp::socket &socket)
{
    char byte = 0;
    const ssize_t size = ::recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return size < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

} // namespace

HttpClient::Connection::Connection(asio::io_context &context, std::size_t maxBufferBytes)
    : stream(context)
    , buffer(maxBufferBytes)
{
}

HttpClient::HttpClient(asio::io_context &context, HttpClientLimits limits)
    : context_(context)
    , limits_(limits)
{
}

void HttpClient::closeIdle(const NodeAddress &address)
{
    idle_.erase(address);
}

asio::awaitable<HttpClient::ConnectionPtr> HttpClient::connect(
    NodeAddress to, MonotonicTime deadline)
{
    ConnectionPtr connection = std::make_unique<Connection>(context_, maxBufferBytes);
    boost::system::error_code error;
    const Tcp::endpoint endpoint {asio::ip::make_address(to.ip, error), to.port};
    if (error) {
        co_return nullptr;
    }
    const MonotonicTime connectDeadline = std::chrono::steady_clock::now() + limits_.connectTimeout;
    connection->stream.expires_at(std::min(connectDeadline, deadline));
    co_await connection->stream.async_connect(endpoint, errorInto(error));
    if (error) {
        co_return nullptr;
    }
    connection->stream.socket().set_option(Tcp::no_delay(true), error);
    co_return connection;
}

HttpClient::ConnectionPtr HttpClient::takeIdle(const NodeAddress &to)
{
    std::deque<ConnectionPtr> &idle = idle_[to];
    while (!idle.empty()) {
        ConnectionPtr connection = std::move(idle.back());
        idle.pop_back();
        if (isOpenWithoutInput(connection->stream.socket())) {
            return connection;
        }
    }
    return nullptr;
}

asio::awaitable<HttpOutcome> HttpClient::send(HttpCall call)
{
    ConnectionPtr connection = call.needsNewConnection ? nullptr : takeIdle(call.to);
    if (!connection) {
        connection = co_await connect(call.to, call.deadline);
    }
    if (!connection || std::chrono::steady_clock::now() >= call.deadline) {
        co_return HttpOutcome {HttpResultKind::NotSent, {}};
    }
    HttpOutcome outcome = co_await exchange(*connection, call);
    if (outcome.kind == HttpResultKind::TimedOut) {
        closeIdle(call.to); // the other connections may be dead too
    }
    const bool isAnswered = outcome.kind == HttpResultKind::Answered;
    if (isAnswered && outcome.response.keep_alive() && connection->buffer.size() == 0) {
        keepIdle(call, std::move(connection));
    }
    co_return outcome;
}

void HttpClient::keepIdle(const HttpCall &call, ConnectionPtr connection)
{
    std::deque<ConnectionPtr> &idle = idle_[call.to];
    idle.push_back(std::move(connection));
    const std::size_t maxIdle = std::min<std::size_t>(limits_.maxIdlePerAddress,
        call.maxIdleConnections.value_or(std::numeric_limits<std::uint32_t>::max()));
    while (idle.size() > maxIdle) {
        idle.pop_front();
    }
}

asio::awaitable<HttpOutcome> HttpClient::exchange(Connection &connection, const HttpCall &call)
{
    boost::system::error_code error;
    connection.stream.expires_at(call.deadline);
    co_await http::async_write(connection.stream, call.request, errorInto(error));
    if (error) {
        const bool hasTimedOut = error == beast::error::timeout;
        co_return HttpOutcome {hasTimedOut ? HttpResultKind::TimedOut : HttpResultKind::Broken, {}};
    }
    http::response_parser<http::string_body> parser;
    parser.body_limit(limits_.maxAnswerBytes.value());
    co_await http::async_read(connection.stream, connection.buffer, parser, errorInto(error));
    if (error == beast::error::timeout) {
        co_return HttpOutcome {HttpResultKind::TimedOut, {}};
    }
    if (error == http::error::body_limit) {
        co_return HttpOutcome {HttpResultKind::TooLarge, {}};
    }
    // A response without a length ends with its connection, so truncation can't be detected.
    const bool hasKnownEnd = parser.is_header_done()
        && (parser.chunked() || parser.content_length() || parser.get().result_int() == 204);
    if (error || !hasKnownEnd) {
        co_return HttpOutcome {HttpResultKind::Broken, {}};
    }
    co_return HttpOutcome {HttpResultKind::Answered, parser.release()};
}

} // namespace crocusmill
