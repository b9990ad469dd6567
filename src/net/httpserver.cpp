/// Accepts connections and serves their requests.

#include "src/net/httpserver.h"

#include "src/net/log.h"

#include <boost/json.hpp>

#include <sys/socket.h>

namespace crocusmill
{

namespace
{

HttpResponse problemFor(HttpError error)
{
    Problem problem;
    problem.execution = "not_run";
    problem.detail = std::string {ErrorText<HttpError>::text(error)};
    problem.title = "The request was not taken in";
    switch (error) {
    case HttpError::HeaderTooLarge:
        problem.status = http::status::request_header_fields_too_large;
        problem.type = "header-too-large";
        break;
    case HttpError::BodyTooLarge:
        problem.status = http::status::payload_too_large;
        problem.type = "body-too-large";
        break;
    case HttpError::TooSlow:
        problem.status = http::status::request_timeout;
        problem.type = "too-slow";
        break;
    case HttpError::TooManyConnections:
        problem.status = http::status::service_unavailable;
        problem.type = "too-many-connections";
        break;
    case HttpError::CannotListen:
    case HttpError::Malformed:
        problem.status = http::status::bad_request;
        problem.type = "malformed";
        break;
    }
    return problemResponse(problem);
}

HttpError classify(const boost::system::error_code &error)
{
    if (error == http::error::header_limit) {
        return HttpError::HeaderTooLarge;
    }
    if (error == http::error::body_limit) {
        return HttpError::BodyTooLarge;
    }
    if (error == beast::error::timeout) {
        return HttpError::TooSlow;
    }
    return HttpError::Malformed;
}

bool hasHungUp(Tcp::socket &socket)
{
    char byte = 0;
    return ::recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT) == 0;
}

} // namespace

std::string_view ErrorText<HttpError>::text(HttpError error)
{
    switch (error) {
    case HttpError::CannotListen:
        return "cannot listen on the address";
    case HttpError::HeaderTooLarge:
        return "the header is larger than allowed";
    case HttpError::BodyTooLarge:
        return "the body is larger than allowed";
    case HttpError::Malformed:
        return "not a valid HTTP request";
    case HttpError::TooSlow:
        return "the request did not arrive in time";
    case HttpError::TooManyConnections:
        return "too many connections are open";
    }
    return "unknown HTTP error";
}

void CallerWatch::onDisconnect(std::function<void()> handler)
{
    handler_ = std::move(handler);
    if (isDisconnected_ && handler_) {
        std::exchange(handler_, nullptr)();
    }
}

void CallerWatch::notifyDisconnected()
{
    isDisconnected_ = true;
    if (handler_) {
        std::exchange(handler_, nullptr)();
    }
}

HttpServer::HttpServer(
    std::vector<asio::io_context *> contexts, HttpLimits limits, HttpHandler &handler)
    : contexts_(std::move(contexts))
    , limits_(limits)
    , handler_(handler)
    , acceptor_(*contexts_.front())
{
}

Result<void> HttpServer::listen(const NodeAddress &address)
{
    boost::system::error_code error;
    const Tcp::endpoint endpoint {asio::ip::make_address(address.ip, error), address.port};
    if (error) {
        return HttpError::CannotListen;
    }
    acceptor_.open(endpoint.protocol(), error);
    acceptor_.set_option(Tcp::acceptor::reuse_address(true), error);
    acceptor_.bind(endpoint, error);
    if (!error) {
        acceptor_.listen(asio::socket_base::max_listen_connections, error);
    }
    if (error) {
        return HttpError::CannotListen;
    }
    asio::co_spawn(acceptor_.get_executor(), accept(), asio::detached);
    return success();
}

void HttpServer::stopAccepting()
{
    isStopping_ = true;
    asio::post(acceptor_.get_executor(), [this]() {
        boost::system::error_code ignored;
        acceptor_.close(ignored);
    });
    const std::lock_guard<std::mutex> lock {idleMutex_};
    for (beast::tcp_stream *stream : idleStreams_) {
        asio::post(stream->get_executor(), [this, stream]() {
            const std::lock_guard<std::mutex> callbackLock {idleMutex_};
            if (idleStreams_.contains(stream)) {
                stream->cancel();
            }
        });
    }
}

std::size_t HttpServer::busyCount() const
{
    return busyCount_;
}

asio::awaitable<void> HttpServer::accept()
{
    while (acceptor_.is_open()) {
        asio::io_context &context = *contexts_[nextContext_++ % contexts_.size()];
        boost::system::error_code error;
        Tcp::socket socket = co_await acceptor_.async_accept(context, errorInto(error));
        if (error == asio::error::operation_aborted) {
            co_return;
        }
        if (!error) {
            asio::co_spawn(context, serve(std::move(socket)), asio::detached);
        }
    }
}

/// Serves one connection.
class HttpServer::Session
{
public:
    Session(HttpServer &server, Tcp::socket socket)
        : server_(server)
        , stream_(std::move(socket))
    {
        ++server_.connectionCount_;
    }

    ~Session()
    {
        --server_.connectionCount_;
    }

    Session(const Session &) = delete;
    Session &operator=(const Session &) = delete;

    asio::awaitable<void> run()
    {
        boost::system::error_code ignored;
        stream_.socket().set_option(Tcp::no_delay(true), ignored);
        if (server_.connectionCount_ > server_.limits_.maxConnections) {
            co_await write(problemFor(HttpError::TooManyConnections));
            co_return;
        }
        while (co_await serveOne()) { }
        stream_.socket().shutdown(Tcp::socket::shutdown_send, ignored);
    }

private:
    /// Waits for the first byte of the next request. Returns false if none arrives.
    asio::awaitable<bool> awaitRequest()
    {
        if (buffer_.size() > 0) {
            co_return true;
        }
        constexpr std::size_t firstRead = 4096;
        setIdle(true);
        stream_.expires_after(server_.limits_.idleTimeout);
        boost::system::error_code error;
        if (server_.isStopping_) {
            error = asio::error::operation_aborted;
        } else {
            const std::size_t size =
                co_await stream_.async_read_some(buffer_.prepare(firstRead), errorInto(error));
            buffer_.commit(size);
        }
        setIdle(false);
        co_return !error;
    }

    void setIdle(bool idle)
    {
        const std::lock_guard<std::mutex> lock {server_.idleMutex_};
        if (idle) {
            server_.idleStreams_.insert(&stream_);
        } else {
            server_.idleStreams_.erase(&stream_);
        }
    }

    asio::awaitable<bool> serveOne()
    {
        if (!co_await awaitRequest()) {
            co_return false;
        }
        ++server_.busyCount_;
        const bool keepsConnection = co_await answerOne();
        --server_.busyCount_;
        co_return keepsConnection;
    }

    asio::awaitable<bool> answerOne()
    {
        http::request_parser<http::string_body> parser;
        parser.header_limit(static_cast<std::uint32_t>(server_.limits_.maxHeaderBytes.value()));
        parser.body_limit(server_.limits_.maxBodyBytes.value());
        stream_.expires_after(server_.limits_.receiveTimeout);
        boost::system::error_code error;
        co_await http::async_read(stream_, buffer_, parser, errorInto(error));
        if (error == http::error::end_of_stream || error == asio::error::connection_reset) {
            co_return false;
        }
        if (error) {
            stream_.expires_after(server_.limits_.receiveTimeout);
            co_await write(problemFor(classify(error)));
            co_await discardRest();
            co_return false;
        }
        HttpRequest request = parser.release();
        const bool keepAlive = request.keep_alive();
        const unsigned int version = request.version();
        HttpResponse response = co_await handleGuarded(std::move(request));
        response.version(version);
        response.keep_alive(keepAlive && !server_.isStopping_);
        co_return co_await write(std::move(response)) && keepAlive && !server_.isStopping_;
    }

    /// Reads and discards the rest of a refused request. An immediate close would reset the
    /// connection, and the caller would lose the response.
    asio::awaitable<void> discardRest()
    {
        constexpr std::size_t maxDiscardedBytes = 64ULL * 1024 * 1024;
        constexpr std::size_t chunk = 64ULL * 1024;
        boost::system::error_code error;
        stream_.socket().shutdown(Tcp::socket::shutdown_send, error);
        stream_.expires_after(server_.limits_.receiveTimeout);
        buffer_.clear();
        for (std::size_t discarded = 0; !error && discarded < maxDiscardedBytes;) {
            discarded += co_await stream_.async_read_some(buffer_.prepare(chunk), errorInto(error));
        }
    }

    /// An exception ends the request, not the process.
    asio::awaitable<HttpResponse> handleGuarded(HttpRequest request)
    {
        const std::string target {request.target()};
        std::string failure;
        try {
            co_return co_await handleWatched(std::move(request));
        } catch (const std::exception &error) {
            failure = error.what();
        }
        logError("http.handler_failed", {{"target", target}, {"error", failure}});
        Problem problem;
        problem.status = http::status::internal_server_error;
        problem.type = "internal";
        problem.title = "The request could not be handled";
        problem.execution = "unknown";
        co_return problemResponse(problem);
    }

    asio::awaitable<HttpResponse> handleWatched(HttpRequest request)
    {
        if (!server_.handler_.watchesCallers()) {
            stream_.expires_never();
            co_return co_await server_.handler_.handle(std::move(request), nullptr);
        }
        const std::shared_ptr<CallerWatch> watch = std::make_shared<CallerWatch>();
        stream_.expires_never();
        Tcp::socket &socket = stream_.socket();
        socket.async_wait(
            Tcp::socket::wait_read, [&socket, watch](const boost::system::error_code &error) {
                if (!error && hasHungUp(socket)) {
                    watch->notifyDisconnected();
                }
            });
        HttpResponse response = co_await server_.handler_.handle(std::move(request), watch);
        watch->onDisconnect(nullptr);
        boost::system::error_code ignored;
        socket.cancel(ignored);
        // Let the handler of the cancelled wait run before the socket is destroyed.
        co_await asio::post(stream_.get_executor(), asio::use_awaitable);
        co_return response;
    }

    asio::awaitable<bool> write(HttpResponse response)
    {
        response.prepare_payload();
        http::response_serializer<http::string_body> serializer {response};
        boost::system::error_code error;
        // Most responses fit into the socket's send buffer.
        stream_.socket().non_blocking(true, error);
        while (!error && !serializer.is_done()) {
            http::write_some(stream_.socket(), serializer, error);
        }
        if (error == asio::error::would_block) {
            stream_.expires_after(server_.limits_.idleTimeout);
            co_await http::async_write(stream_, serializer, errorInto(error));
        }
        co_return !error;
    }

    HttpServer &server_;
    beast::tcp_stream stream_;
    beast::flat_buffer buffer_;
};

asio::awaitable<void> HttpServer::serve(Tcp::socket socket)
{
    Session session {*this, std::move(socket)};
    co_await session.run();
}

HttpResponse jsonResponse(http::status status, std::string body)
{
    HttpResponse response {status, 11};
    response.set(http::field::content_type, "application/json");
    response.body() = std::move(body);
    return response;
}

HttpResponse problemResponse(const Problem &problem)
{
    boost::json::object body;
    body["type"] = "urn:crocusmill:" + problem.type;
    body["title"] = problem.title;
    body["status"] = static_cast<unsigned int>(problem.status);
    body["detail"] = problem.detail;
    if (!problem.execution.empty()) {
        body["execution"] = problem.execution;
    }
    if (!problem.workId.empty()) {
        body["work_id"] = problem.workId;
    }
    HttpResponse response = jsonResponse(problem.status, boost::json::serialize(body));
    response.set(http::field::content_type, "application/problem+json");
    if (problem.retryAfter) {
        constexpr std::int64_t millisecondsPerSecond = 1000;
        const std::int64_t seconds =
            (problem.retryAfter->count() + millisecondsPerSecond - 1) / millisecondsPerSecond;
        response.set(http::field::retry_after, std::to_string(std::max<std::int64_t>(seconds, 1)));
    }
    return response;
}

HttpResponse faultsResponse(const Faults &faults)
{
    boost::json::array list;
    for (const Fault &fault : faults) {
        list.push_back(boost::json::object {
            {"pointer", fault.pointer}, {"fault", text(fault.kind)}, {"expected", fault.expected}});
    }
    boost::json::object body {{"type", "urn:crocusmill:invalid"}, {"title", "Not valid"},
        {"status", 400}, {"detail", "see faults"}, {"faults", std::move(list)}};
    HttpResponse response = jsonResponse(http::status::bad_request, boost::json::serialize(body));
    response.set(http::field::content_type, "application/problem+json");
    return response;
}

} // namespace crocusmill
