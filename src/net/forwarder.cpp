/// Attempts over pooled connections.

#include "src/net/forwarder.h"

#include <algorithm>
#include <limits>
#include <sys/socket.h>

namespace crocusmill
{

namespace
{

/// Nothing to read and not closed; anything else is no connection for a new request.
bool isQuiet(Tcp::socket &socket)
{
    char byte = 0;
    const ssize_t size = ::recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return size < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

} // namespace

Forwarder::Connection::Connection(asio::io_context &context)
    : stream(context)
{
}

Forwarder::Forwarder(asio::io_context &context, ForwardLimits limits)
    : context_(context)
    , limits_(limits)
{
}

asio::awaitable<Forwarder::ConnectionPtr> Forwarder::connect(NodeAddress to, MonotonicTime deadline)
{
    ConnectionPtr connection = std::make_unique<Connection>(context_);
    boost::system::error_code error;
    const Tcp::endpoint endpoint {asio::ip::make_address(to.ip, error), to.port};
    if (error) {
        co_return nullptr;
    }
    const MonotonicTime limit = std::chrono::steady_clock::now() + limits_.connect;
    connection->stream.expires_at(std::min(limit, deadline));
    co_await connection->stream.async_connect(endpoint, errorInto(error));
    if (error) {
        co_return nullptr;
    }
    connection->stream.socket().set_option(Tcp::no_delay(true), error);
    co_return connection;
}

Forwarder::ConnectionPtr Forwarder::takeIdle(const NodeAddress &to)
{
    std::deque<ConnectionPtr> &idle = idle_[to];
    while (!idle.empty()) {
        ConnectionPtr connection = std::move(idle.back());
        idle.pop_back();
        if (isQuiet(connection->stream.socket())) {
            return connection;
        }
    }
    return nullptr;
}

asio::awaitable<ForwardOutcome> Forwarder::forward(ForwardRequest request)
{
    ConnectionPtr connection = request.fresh ? nullptr : takeIdle(request.to);
    if (!connection) {
        connection = co_await connect(request.to, request.deadline);
    }
    if (!connection || std::chrono::steady_clock::now() >= request.deadline) {
        co_return ForwardOutcome {ForwardKind::NotSent, {}};
    }
    ForwardOutcome outcome = co_await exchange(*connection, request);
    const bool whole = outcome.kind == ForwardKind::Answered || outcome.kind == ForwardKind::NotRun;
    std::deque<ConnectionPtr> &idle = idle_[request.to];
    const std::size_t most = std::min<std::size_t>(
        limits_.idlePerUpstream, request.keep.value_or(std::numeric_limits<std::uint32_t>::max()));
    if (whole && outcome.response.keep_alive() && connection->buffer.size() == 0) {
        idle.push_back(std::move(connection));
    }
    while (idle.size() > most) {
        idle.pop_front();
    }
    co_return outcome;
}

asio::awaitable<ForwardOutcome> Forwarder::exchange(
    Connection &connection, const ForwardRequest &request)
{
    boost::system::error_code error;
    connection.stream.expires_at(request.deadline);
    co_await http::async_write(connection.stream, request.request, errorInto(error));
    if (error) {
        co_return ForwardOutcome {ForwardKind::Broken, {}};
    }
    http::response_parser<http::string_body> parser;
    parser.body_limit(limits_.answerBytes.value());
    co_await http::async_read(connection.stream, connection.buffer, parser, errorInto(error));
    if (error == beast::error::timeout) {
        co_return ForwardOutcome {ForwardKind::TimedOut, {}};
    }
    if (error == http::error::body_limit) {
        co_return ForwardOutcome {ForwardKind::TooLarge, {}};
    }
    // An answer without a length ends with its connection, so a cut cannot be told from its end.
    const bool delimited = parser.is_header_done()
        && (parser.chunked() || parser.content_length() || parser.get().result_int() == 204);
    if (error || !delimited) {
        co_return ForwardOutcome {ForwardKind::Broken, {}};
    }
    co_return judge(parser.release(), request.attempt);
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
