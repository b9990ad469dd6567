/// RPC connections between two VMs: the server side, and the client link that reconnects after each
/// failure. Only for the control thread.

#pragma once

#include "proto/peer.capnp.h"
#include "src/net/messagestream.h"
#include "src/services/callscheduler.h"
#include "src/services/interfaces.h"

#include <capnp/rpc-twoparty.h>

#include <memory>
#include <string>
#include <vector>

namespace crocusmill
{

struct PeerHandlers
{
    std::function<void(const Message &)> onMessage;
    std::function<void(const Call &, ReplyHandler)> onCall;
    /// Schedules the calls.
    std::unique_ptr<CallScheduler> callScheduler;
};

[[nodiscard]] capnp::ReaderOptions peerReaderOptions();
/// Returns the RPC server for the calls of peers.
[[nodiscard]] capnp::Capability::Client makePeerServer(std::shared_ptr<PeerHandlers> handlers);

/// Returns the reply to a refused call: GraphOutcome::Refused for classes whose reply has an
/// outcome, else PeerError::TimedOut.
[[nodiscard]] Result<Reply> makeRefusalReply(CallClass callClass, Milliseconds retryAfter);

/// Ignores errors of RPC calls, which their handlers receive already.
class IgnoreErrors final : public kj::TaskSet::ErrorHandler
{
public:
    void taskFailed(kj::Exception && /*exception*/) override
    {
    }
};

/// RPC on one connection, as server or client.
class Connection
{
public:
    Connection(std::shared_ptr<TlsSocket> socket, capnp::Capability::Client bootstrap)
        : network_(*(stream_ = makeMessageStream(std::move(socket))),
            capnp::rpc::twoparty::Side::SERVER, peerReaderOptions())
        , system_(capnp::makeRpcServer(network_, kj::mv(bootstrap)))
    {
    }

    explicit Connection(std::shared_ptr<TlsSocket> socket)
        : network_(*(stream_ = makeMessageStream(std::move(socket))),
            capnp::rpc::twoparty::Side::CLIENT, peerReaderOptions())
        , system_(capnp::makeRpcClient(network_))
    {
    }

    [[nodiscard]] kj::Promise<void> whenClosed()
    {
        return network_.onDisconnect();
    }

    [[nodiscard]] rpc::Peer::Client peer()
    {
        capnp::MallocMessageBuilder message;
        capnp::rpc::twoparty::VatId::Builder vat = message.initRoot<capnp::rpc::twoparty::VatId>();
        vat.setSide(capnp::rpc::twoparty::Side::SERVER);
        return system_.bootstrap(vat).castAs<rpc::Peer>();
    }

private:
    kj::Own<capnp::MessageStream> stream_;
    capnp::TwoPartyVatNetwork network_;
    capnp::RpcSystem<capnp::rpc::twoparty::VatId> system_;
};

/// Backoff after the first failed connection; it doubles up to one second.
inline constexpr Milliseconds initialBackoff {50};

/// Connection to one peer that reconnects after each failure.
class PeerLink : public std::enable_shared_from_this<PeerLink>
{
public:
    PeerLink(asio::io_context &context, PeerKey &key, NodeAddress address, std::string localIp);
    void open();
    void close();
    void deliver(const Message &message);
    void call(const Call &call, Milliseconds timeout, ReplyHandler done);

private:
    struct WaitingCall
    {
        Call call;
        MonotonicTime deadline;
        ReplyHandler done;
    };

    /// Calls the handler once, with the reply, a failure or the timeout, whichever comes first.
    struct ReplyCompletion
    {
        ReplyCompletion(asio::io_context &context, ReplyHandler handler)
            : timer(context)
            , done(std::move(handler))
        {
        }

        void finish(Result<Reply> reply)
        {
            timer.cancel();
            if (done) {
                const ReplyHandler handler = std::exchange(done, nullptr);
                handler(std::move(reply));
            }
        }

        asio::steady_timer timer;
        ReplyHandler done;
    };

    void send(const Call &call, Milliseconds timeout, ReplyHandler done);
    std::uint64_t recordSent();
    void recordAnswered(std::uint64_t generation);
    void dropIfSilent();
    void drop();
    asio::awaitable<void> connect();
    void onConnected(const std::shared_ptr<TlsSocket> &socket);
    void onConnectFailed(bool isHandshakeRefused);
    asio::io_context &context_;
    PeerKey &key_;
    NodeAddress address_;
    std::string localIp_;
    asio::steady_timer timer_;
    bool isOpening_ = false;
    bool isClosed_ = false;
    Milliseconds backoff_ {initialBackoff};
    std::vector<WaitingCall> waitingCalls_;
    std::unique_ptr<Connection> connection_;
    kj::Own<rpc::Peer::Client> peer_;
    std::uint64_t generation_ = 0; // of the connection; replies on an earlier one are ignored
    std::size_t unansweredCount_ = 0;
    MonotonicTime lastProgressAt_ {};
    IgnoreErrors ignoreErrors_;
    kj::TaskSet tasks_;
};

} // namespace crocusmill
