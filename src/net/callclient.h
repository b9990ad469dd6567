/// Many small requests over kept connections; says truthfully what became of each.
///
/// For calls that are made by the hundred a second: a request is one string and one write, a
/// connection always has a read pending, which also shows at once when an idle one closes, and one
/// timer serves the deadlines of all calls. Used on the thread of its context alone.

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
    /// Called once for each call, never from within send(). Of an answer's header only the status
    /// is kept.
    using Done = std::function<void(const HttpOutcome &)>;

    CallClient(asio::io_context &context, HttpClientLimits limits);
    /// Calls that are under way are dropped without a word.
    ~CallClient();
    CallClient(const CallClient &) = delete;
    CallClient &operator=(const CallClient &) = delete;

    /// `request` is a whole message. A kept connection that turns out to be closed before a byte
    /// was written is passed over; once a byte was written nothing is sent again.
    void send(const NodeAddress &to, std::string request, MonotonicTime deadline, Done done);
    /// Closes the idle connections to an address.
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
    // Invariant: each stands at its own place_; these have a call under way.
    std::vector<ConnectionPtr> busy_;
    asio::steady_timer timer_;
    // Invariant: not after the earliest deadline of busy_; the largest time: not armed.
    MonotonicTime timerDeadline_ = MonotonicTime::max();
    std::shared_ptr<CallClient *> self_; // empty pointer once this is gone
};

/// A POST with a JSON body as one string; `header` is further lines, each with its line end.
[[nodiscard]] std::string postText(
    const NodeAddress &to, std::string_view target, std::string_view header, std::string_view body);

} // namespace crocusmill
