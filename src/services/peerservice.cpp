/// Accepts connections of peers and keeps one link to each peer.

#include "src/services/peerservice.h"

#include "src/net/log.h"
#include "src/net/loglimiter.h"
#include "src/services/peerlink.h"
#include "src/wire/callclass.h"

#include <list>
#include <map>

namespace crocusmill
{

namespace
{

constexpr Milliseconds handshakeTimeout {2'000};
/// Incoming connections that may be in the handshake at once; each takes some 64 KiB. Beyond this,
/// the oldest is closed: peers complete theirs within a few round trips.
constexpr std::size_t maxHandshakes = 128;
constexpr Milliseconds acceptRetryDelay {50};
constexpr Milliseconds rejectionRecordInterval {1'000}; // between log records of one cause

class PeerService final : public Service, public Peers
{
public:
    PeerService(ControlLoop &loop, PeerSettings settings, std::unique_ptr<PeerKey> key)
        : context_(loop.context())
        , settings_(std::move(settings))
        , key_(std::move(key))
        , acceptor_(context_)
        , handlers_(std::make_shared<PeerHandlers>())
    {
        handlers_->callScheduler = std::make_unique<CallScheduler>(context_);
    }

    std::string_view name() const override
    {
        return names::peers;
    }

    std::vector<std::string_view> dependencies() const override
    {
        return {};
    }

    Result<void> start(Kernel & /*kernel*/) override
    {
        boost::system::error_code error;
        const Tcp::endpoint endpoint {
            asio::ip::make_address(settings_.listen.ip, error), settings_.listen.port};
        acceptor_.open(endpoint.protocol(), error);
        acceptor_.set_option(Tcp::acceptor::reuse_address(true), error);
        acceptor_.bind(endpoint, error);
        if (error) {
            return std::error_code {error};
        }
        acceptor_.listen(asio::socket_base::max_listen_connections, error);
        if (error) {
            return std::error_code {error};
        }
        asio::co_spawn(context_, accept(), asio::detached);
        return success();
    }

    void stop() override
    {
        boost::system::error_code ignored;
        acceptor_.close(ignored);
        handlers_->callScheduler->stop();
        handlers_->onMessage = nullptr;
        handlers_->onCall = nullptr;
        for (const std::pair<const NodeAddress, std::shared_ptr<PeerLink>> &entry : links_) {
            entry.second->close();
        }
        links_.clear();
        incomingConnections_.clear();
    }

    void deliver(const NodeAddress &to, const Message &message) override
    {
        linkTo(to).deliver(message);
    }

    void call(
        const NodeAddress &to, const Call &call, Milliseconds timeout, ReplyHandler done) override
    {
        if (to == settings_.advertise) {
            callSelf(call, timeout, done);
            return;
        }
        linkTo(to).call(call, timeout, std::move(done));
    }

    void onMessage(std::function<void(const Message &)> handler) override
    {
        handlers_->onMessage = std::move(handler);
    }

    void onCall(std::function<void(const Call &, ReplyHandler)> handler) override
    {
        handlers_->onCall = std::move(handler);
    }

    void holdCallsWhile(const std::function<bool()> &condition) override
    {
        handlers_->callScheduler->holdWhile(condition);
    }

private:
    /// Schedules the call in the same queue as calls of other VMs.
    void callSelf(const Call &call, Milliseconds timeout, const ReplyHandler &done)
    {
        const CallClass callClass = callClassOf(call);
        CallScheduler::CallHandlers work;
        work.handle = [handlers = handlers_, call, done]() {
            if (handlers->onCall) {
                handlers->onCall(call, done);
            } else {
                done(PeerError::Stopping);
            }
        };
        work.refuse = [callClass, done](Milliseconds retryAfter) {
            done(makeRefusalReply(callClass, retryAfter));
        };
        work.drop = [done]() {
            done(PeerError::TimedOut);
        };
        handlers_->callScheduler->add(callClass, timeout, std::move(work));
    }

    PeerLink &linkTo(const NodeAddress &to)
    {
        std::shared_ptr<PeerLink> &link = links_[to];
        if (!link) {
            link = std::make_shared<PeerLink>(context_, *key_, to, settings_.listen.ip);
        }
        return *link;
    }

    asio::awaitable<void> accept()
    {
        while (acceptor_.is_open()) {
            boost::system::error_code error;
            Tcp::socket socket = co_await acceptor_.async_accept(errorInto(error));
            if (error == asio::error::operation_aborted) {
                co_return;
            }
            if (!error) {
                asio::co_spawn(context_, handshake(std::move(socket)), asio::detached);
                continue;
            }
            asio::steady_timer timer {context_, acceptRetryDelay};
            co_await timer.async_wait(errorInto(error));
        }
    }

    /// Closes the oldest connection without a handshake if there are too many.
    std::list<std::shared_ptr<TlsSocket>>::iterator addHandshake(
        const std::shared_ptr<TlsSocket> &socket)
    {
        std::size_t openCount = 0;
        for (const std::shared_ptr<TlsSocket> &other : handshakes_) {
            openCount += other->next_layer().is_open() ? 1 : 0;
        }
        for (const std::shared_ptr<TlsSocket> &other : handshakes_) {
            if (openCount >= maxHandshakes && other->next_layer().is_open()) {
                boost::system::error_code ignored;
                other->next_layer().close(ignored);
                --openCount;
            }
        }
        return handshakes_.insert(handshakes_.end(), socket);
    }

    asio::awaitable<void> handshake(Tcp::socket accepted)
    {
        const std::shared_ptr<TlsSocket> socket =
            std::make_shared<TlsSocket>(std::move(accepted), key_->context());
        asio::steady_timer timeoutTimer {context_, handshakeTimeout};
        timeoutTimer.async_wait([socket](const boost::system::error_code &error) {
            if (!error) {
                boost::system::error_code ignored;
                socket->next_layer().close(ignored);
            }
        });
        const std::list<std::shared_ptr<TlsSocket>>::iterator handshake = addHandshake(socket);
        boost::system::error_code error;
        socket->next_layer().set_option(Tcp::no_delay(true), error);
        co_await socket->async_handshake(asio::ssl::stream_base::server, errorInto(error));
        timeoutTimer.cancel();
        handshakes_.erase(handshake);
        if (error) {
            logRejection(error);
            co_return;
        }
        serve(socket);
    }

    void logRejection(const boost::system::error_code &error)
    {
        const std::error_code cause {error};
        const std::optional<std::uint64_t> leftOut =
            error.category() == asio::error::get_ssl_category()
            ? rejectedHandshakes_.admit(cause.message(), std::chrono::steady_clock::now())
            : std::nullopt;
        if (leftOut) {
            logWarning("peer.handshake_rejected", {{"error", cause}, {"left_out", *leftOut}});
        }
    }

    void serve(const std::shared_ptr<TlsSocket> &socket)
    {
        const std::uint64_t id = nextIncomingId_++;
        std::unique_ptr<Connection> connection =
            std::make_unique<Connection>(socket, makePeerServer(handlers_));
        tasks_->add(connection->whenClosed().then([this, id]() {
            // Posted, because the callback must not destroy its own connection.
            asio::post(context_, [this, id]() { incomingConnections_.erase(id); });
        }));
        incomingConnections_[id] = std::move(connection);
    }

    asio::io_context &context_;
    PeerSettings settings_;
    std::unique_ptr<PeerKey> key_;
    Tcp::acceptor acceptor_;
    std::shared_ptr<PeerHandlers> handlers_;
    std::map<NodeAddress, std::shared_ptr<PeerLink>> links_;
    std::list<std::shared_ptr<TlsSocket>> handshakes_; // of incoming connections, oldest first
    LogLimiter rejectedHandshakes_ {rejectionRecordInterval};
    std::uint64_t nextIncomingId_ = 1;
    std::map<std::uint64_t, std::unique_ptr<Connection>> incomingConnections_;
    IgnoreErrors ignoreErrors_;
    std::unique_ptr<kj::TaskSet> tasks_ = std::make_unique<kj::TaskSet>(ignoreErrors_);
};

} // namespace

std::unique_ptr<Service> makePeerService(
    ControlLoop &loop, const PeerSettings &settings, std::unique_ptr<PeerKey> key)
{
    return std::make_unique<PeerService>(loop, settings, std::move(key));
}

} // namespace crocusmill
