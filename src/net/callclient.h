/// HTTP client for many small requests over persistent connections.
///
/// Made for hundreds of calls a second: a request is one string and one write, and one timer serves
/// the deadlines of all calls. Each connection always has a read pending, so the client notices at
/// once when an idle one closes. The outcome of a call distinguishes a request that was not sent
/// from one that may have run. Use only on the thread of the context.

#pragma once

#include "src/net/httpclient.h"

#include <functional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace crocusmill
{

class CallClient
{
public:
    /// Called once per call, never from within send(). The response holds only the status and the
    /// body.
    using Done = std::function<void(const HttpOutcome &)>;

    CallClient(asio::io_context &context, HttpClientLimits limits);
    /// Drops pending calls without calling their callbacks.
    ~CallClient();
    CallClient(const CallClient &) = delete;
    CallClient &operator=(const CallClient &) = delete;

    /// Sends `request`, which is a complete HTTP message. If an idle connection turns out to be
    /// closed before a byte is written, another one is used. After the first byte is written, the
    /// request is never sent again.
    void send(const NodeAddress &to, std::string request, MonotonicTime deadline, Done done);
    /// Closes all idle connections to `address`.
    void closeIdle(const NodeAddress &address);

private:
    class Connection;
    using ConnectionPtr = std::shared_ptr<Connection>;

    struct AddressHash
    {
        std::size_t operator()(const NodeAddress &address) const;
    };

    [[nodiscard]] ConnectionPtr takeIdle(const NodeAddress &to);
    void keepIdle(const ConnectionPtr &connection);
    void dropIdle(const ConnectionPtr &connection);
    void addBusy(const ConnectionPtr &connection);
    void removeBusy(Connection &connection);
    void armTimer(MonotonicTime deadline);
    void expireCalls();

    asio::io_context &context_;
    HttpClientLimits limits_;
    std::unordered_map<NodeAddress, std::vector<ConnectionPtr>, AddressHash> idle_;
    // Connections with a pending call. Invariant: each is at the index in its busyIndex_.
    std::vector<ConnectionPtr> busy_;
    asio::steady_timer timer_;
    // Invariant: not after the earliest deadline in busy_; max() if the timer is not armed.
    MonotonicTime timerDeadline_ = MonotonicTime::max();
    std::shared_ptr<CallClient *> self_; // points to null after destruction
};

/// Returns a POST request with a JSON body. `header` holds additional header lines, each with its
/// line end.
[[nodiscard]] std::string postText(
    const NodeAddress &to, std::string_view target, std::string_view header, std::string_view body);

} // namespace crocusmill
