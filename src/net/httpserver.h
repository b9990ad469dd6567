/// HTTP server on the traffic threads, with limits on connections, sizes and time.
///
/// All servers of a process share one budget for what clients make them hold: requests that have
/// arrived in part, requests that are handled, and answers that clients do not read.

#pragma once

#include "src/net/asio.h"
#include "src/net/clientconnections.h"

#include <crocusmill/error.h>
#include <crocusmill/settings.h>

#include <atomic>
#include <functional>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <vector>

namespace crocusmill
{

using HttpRequest = http::request<http::string_body>;
using HttpResponse = http::response<http::string_body>;

enum class HttpError {
    CannotListen = 1,
    HeaderTooLarge,
    BodyTooLarge,
    Malformed,
    TooSlow,
    TooManyConnections,
    Overloaded,
};

template <> struct ErrorText<HttpError>
{
    static constexpr const char *category = "http";
    static std::string_view text(HttpError error);
};

/// Notifies a handler when its caller disconnects. Use only on the thread of the connection.
class CallerWatch
{
public:
    void onDisconnect(std::function<void()> handler);
    void notifyDisconnected();

private:
    bool isDisconnected_ = false;
    std::function<void()> handler_;
};

class HttpHandler
{
public:
    virtual ~HttpHandler() = default;

    /// Runs on the traffic thread of the connection.
    [[nodiscard]] virtual asio::awaitable<HttpResponse> handle(
        HttpRequest request, std::shared_ptr<CallerWatch> watch) = 0;

    /// If false, handle() gets a null `watch` and disconnects are not detected.
    [[nodiscard]] virtual bool watchesCallers() const
    {
        return true;
    }
};

struct HttpLimits
{
    std::uint32_t maxConnections = 1024;
    ByteCount maxHeaderBytes {16ULL * 1024};
    ByteCount maxBodyBytes {1024ULL * 1024};
    Milliseconds idleTimeout {60'000};
    Milliseconds receiveTimeout {10'000};
    /// Shared by the servers of a process; null: the server has a budget of its own.
    std::shared_ptr<ClientConnections> connections {};
};

class HttpServer
{
public:
    /// Assigns connections to the contexts round-robin. `handler` must outlive the server.
    HttpServer(std::vector<asio::io_context *> contexts, HttpLimits limits, HttpHandler &handler);

    /// Errors: HttpError::CannotListen.
    [[nodiscard]] Result<void> listen(const NodeAddress &address);
    /// Stops accepting and closes idle connections. Busy ones close after their response.
    void stopAccepting();
    [[nodiscard]] std::size_t busyCount() const;

private:
    class Session;

    asio::awaitable<void> accept();
    asio::awaitable<void> serve(Tcp::socket socket);

    std::vector<asio::io_context *> contexts_;
    HttpLimits limits_;
    HttpHandler &handler_;
    Tcp::acceptor acceptor_;
    std::size_t nextContext_ = 0;
    std::shared_ptr<ClientConnections> connections_;
    ListenerId listener_;
    std::atomic<std::uint32_t> busyCount_ {0};
    std::atomic<bool> isStopping_ {false};
    std::mutex idleMutex_;
    std::set<beast::tcp_stream *> idleStreams_; // connections between two requests
};

/// Returns a response of type `application/json`.
[[nodiscard]] HttpResponse jsonResponse(http::status status, std::string body);

/// Fields of a problem document (RFC 9457), extended by the state of the work.
struct Problem
{
    http::status status = http::status::internal_server_error;
    std::string type; // short name, becomes a URN
    std::string title;
    std::string detail;
    std::string execution; // empty if not applicable
    std::string workId;
    std::optional<Milliseconds> retryAfter;
};

[[nodiscard]] HttpResponse problemResponse(const Problem &problem);
/// Returns a problem document that lists every fault with its JSON pointer.
[[nodiscard]] HttpResponse faultsResponse(const Faults &faults);

} // namespace crocusmill
