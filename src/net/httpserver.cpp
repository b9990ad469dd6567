/// Accepts connections and serves their requests.

#include "src/net/httpserver.h"

#include "src/net/log.h"

#include <boost/json.hpp>

#include <sys/socket.h>

namespace crocusmill
{

namespace
{

constexpr Milliseconds overloadRetryAfter {1'000};
/// Pause after a connection could not be accepted. The system keeps it and is asked again.
constexpr Milliseconds acceptRetryDelay {50};
/// Unread input that the system keeps for a connection while its request is handled.
constexpr int receiveBufferBytes = 64 * 1024;
/// Each connection may hold this much outside the budget, so that short requests are read when the
/// budget is used up.
constexpr std::size_t freeBytes = 4'096;
constexpr std::size_t bodyReadBytes = 16ULL * 1024;
/// A header field takes this much memory in addition to its text.
constexpr std::size_t fieldBytes = 64;
/// While a request is handled, its content exists as text, decoded, and encoded for the leader.
constexpr std::size_t copiesWhileHandled = 3;

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
        problem.retryAfter = overloadRetryAfter;
        break;
    case HttpError::Overloaded:
        problem.status = http::status::service_unavailable;
        problem.type = "overloaded";
        problem.retryAfter = overloadRetryAfter;
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
    case HttpError::Overloaded:
        return "too many large requests are in progress";
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
    , limits_(std::move(limits))
    , handler_(handler)
    , acceptor_(*contexts_.front())
    , connections_(limits_.connections
              ? limits_.connections
              : std::make_shared<ClientConnections>(EntrySettings {}.maxRequestMemory, nullptr))
    , listener_(connections_->addListener(limits_.maxConnections))
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
    acceptor_.set_option(asio::socket_base::receive_buffer_size(receiveBufferBytes), error);
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
            continue;
        }
        connections_->makePlace(listener_);
        asio::steady_timer timer {acceptor_.get_executor(), acceptRetryDelay};
        co_await timer.async_wait(errorInto(error));
    }
}

/// Serves one connection.
class HttpServer::Session
{
public:
    Session(HttpServer &server, Tcp::socket socket)
        : server_(server)
        , connections_(server.connections_)
        , stream_(std::move(socket))
        , self_(std::make_shared<Session *>(this))
        , id_(connections_->add(server_.listener_,
              [self = std::weak_ptr<Session *> {self_}, executor = stream_.get_executor()]() {
                  asio::post(executor, [self]() {
                      if (const std::shared_ptr<Session *> session = self.lock()) {
                          (*session)->stream_.close();
                      }
                  });
              }))
    {
    }

    ~Session()
    {
        if (id_) {
            connections_->remove(*id_);
        }
    }

    Session(const Session &) = delete;
    Session &operator=(const Session &) = delete;

    asio::awaitable<void> run()
    {
        boost::system::error_code ignored;
        stream_.socket().set_option(Tcp::no_delay(true), ignored);
        if (!id_) {
            co_await refuse(HttpError::TooManyConnections);
            co_return;
        }
        while (co_await serveOne()) { }
        stream_.socket().shutdown(Tcp::socket::shutdown_send, ignored);
    }

private:
    using Parser = http::request_parser<http::string_body>;

    /// Waits for the first byte of the next request. Returns false if none arrives.
    asio::awaitable<bool> awaitRequest()
    {
        if (buffer_.size() > 0) {
            co_return true;
        }
        buffer_.shrink_to_fit(); // frees what a large request took
        static_cast<void>(hold(0));
        setIdle(true);
        stream_.expires_after(server_.limits_.idleTimeout);
        boost::system::error_code error;
        if (server_.isStopping_) {
            error = asio::error::operation_aborted;
        } else {
            const std::size_t size =
                co_await stream_.async_read_some(buffer_.prepare(freeBytes), errorInto(error));
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

    void setPhase(ConnectionPhase phase)
    {
        connections_->setPhase(*id_, phase);
    }

    /// Returns false if there is no room for it, or if the connection is being closed.
    [[nodiscard]] bool hold(std::size_t bytes)
    {
        const std::size_t counted = bytes > freeBytes ? bytes : 0;
        if (counted == heldBytes_) {
            return true;
        }
        const bool isGranted = connections_->hold(*id_, ByteCount {counted});
        heldBytes_ = isGranted ? counted : heldBytes_;
        return isGranted;
    }

    asio::awaitable<bool> serveOne()
    {
        if (!co_await awaitRequest()) {
            co_return false;
        }
        ++server_.busyCount_;
        const bool keepsConnection = co_await answerOne();
        --server_.busyCount_;
        setPhase(ConnectionPhase::Idle);
        co_return keepsConnection;
    }

    asio::awaitable<bool> answerOne()
    {
        Parser parser;
        parser.eager(true);
        parser.header_limit(static_cast<std::uint32_t>(server_.limits_.maxHeaderBytes.value()));
        parser.body_limit(server_.limits_.maxBodyBytes.value());
        stream_.expires_after(server_.limits_.receiveTimeout);
        std::optional<HttpError> refusal;
        if (!co_await receive(parser, refusal)) {
            co_return false;
        }
        if (!refusal && !hold(copiesWhileHandled * contentBytes(parser))) {
            refusal = HttpError::Overloaded;
        }
        if (refusal) {
            co_await refuse(*refusal);
            co_return false;
        }
        setPhase(ConnectionPhase::Handling);
        HttpRequest request = parser.release();
        const bool keepAlive = request.keep_alive();
        const unsigned int version = request.version();
        HttpResponse response = co_await handleGuarded(std::move(request));
        response.version(version);
        response.keep_alive(keepAlive && !server_.isStopping_);
        co_return co_await write(std::move(response)) && keepAlive && !server_.isStopping_;
    }

    /// Receives one request. Sets `refusal` if it cannot be handled. Returns false if the
    /// connection has ended.
    asio::awaitable<bool> receive(Parser &parser, std::optional<HttpError> &refusal)
    {
        boost::system::error_code error;
        while (true) {
            if (buffer_.size() > 0) {
                buffer_.consume(parser.put(buffer_.data(), error));
            }
            if (parser.is_done() && !error) {
                co_return true;
            }
            if (error && error != http::error::need_more) {
                refusal = classify(error);
                co_return true;
            }
            // The parser consumes a header, a chunk's first line and the trailers as a whole, and
            // limits only the first of them.
            if (buffer_.size() > server_.limits_.maxHeaderBytes.value()) {
                refusal = HttpError::HeaderTooLarge;
                co_return true;
            }
            setPhase(ConnectionPhase::Receiving);
            const std::size_t readBytes = parser.is_header_done() ? bodyReadBytes : freeBytes;
            const asio::mutable_buffer space = buffer_.prepare(readBytes);
            if (!hold(buffer_.capacity() + contentBytes(parser))) {
                refusal = HttpError::Overloaded;
                co_return true;
            }
            error = {};
            const std::size_t size = co_await stream_.async_read_some(space, errorInto(error));
            buffer_.commit(size);
            if (error == asio::error::eof) {
                refusal = HttpError::Malformed; // the request ended too early
                co_return true;
            }
            if (error == beast::error::timeout) {
                refusal = HttpError::TooSlow;
                co_return true;
            }
            if (error) {
                co_return false;
            }
        }
    }

    /// Returns the memory that the parsed part of a request takes.
    static std::size_t contentBytes(const Parser &parser)
    {
        const HttpRequest &request = parser.get();
        std::size_t bytes = request.body().capacity() + request.target().size();
        for (const HttpRequest::value_type &field : request) {
            bytes += field.name_string().size() + field.value().size() + fieldBytes;
        }
        return bytes;
    }

    /// Answers a request that is not handled, and ends the connection.
    asio::awaitable<void> refuse(HttpError error)
    {
        HttpResponse problem = problemFor(error);
        connections_->countRefusal(ErrorText<HttpError>::text(error));
        stream_.expires_after(server_.limits_.receiveTimeout);
        const bool isWritten = co_await write(std::move(problem));
        if (isWritten && id_) {
            buffer_ = {};
            static_cast<void>(hold(0));
            co_await discardRest();
        }
    }

    /// Reads and discards the rest of a refused request. An immediate close would reset the
    /// connection, and the caller would lose the response.
    asio::awaitable<void> discardRest()
    {
        constexpr std::size_t maxDiscardedBytes = 4ULL * 1024 * 1024;
        boost::system::error_code error;
        stream_.socket().shutdown(Tcp::socket::shutdown_send, error);
        stream_.expires_after(server_.limits_.receiveTimeout);
        for (std::size_t discarded = 0; !error && discarded < maxDiscardedBytes;) {
            discarded +=
                co_await stream_.async_read_some(buffer_.prepare(freeBytes), errorInto(error));
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
            if (!id_ || !hold(response.body().size())) {
                co_return false;
            }
            setPhase(ConnectionPhase::Sending);
            stream_.expires_after(server_.limits_.idleTimeout);
            co_await http::async_write(stream_, serializer, errorInto(error));
        }
        co_return !error;
    }

    HttpServer &server_;
    std::shared_ptr<ClientConnections> connections_; // a session may outlive its server
    beast::tcp_stream stream_;
    beast::flat_buffer buffer_;
    std::shared_ptr<Session *> self_; // for the closer, which may be called after this object's end
    std::optional<ConnectionId> id_; // none: refused
    std::size_t heldBytes_ = 0; // counted for id_
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
