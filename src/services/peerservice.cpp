/// Accepts peers' connections and keeps one to each peer.

#include "src/services/peerservice.h"

#include "proto/peer.capnp.h"
#include "src/net/consensuswire.h"
#include "src/net/log.h"

#include <capnp/rpc-twoparty.h>
#include <kj/debug.h>

#include <map>
#include <set>

namespace crocusmill
{

namespace
{

constexpr Milliseconds handshakeLimit {2'000};
constexpr Milliseconds firstBackoff {50};
constexpr Milliseconds mostBackoff {1'000};
/// A peer that leaves this many messages unanswered is not sent more.
constexpr std::size_t mostUnanswered = 256;
/// A connection on which nothing was answered this long is made anew.
constexpr Milliseconds silenceLimit {2'500};

capnp::ReaderOptions readerOptions()
{
    capnp::ReaderOptions options;
    options.traversalLimitInWords = 256ULL * 1024 * 1024 / sizeof(capnp::word);
    return options;
}

struct Handlers
{
    std::function<void(const Message &)> message;
    std::function<void(const Call &, ReplyHandler)> call;
};

std::string asText(capnp::Data::Reader data)
{
    return {reinterpret_cast<const char *>(data.begin()), data.size()};
}

capnp::Data::Reader asData(const std::string &bytes)
{
    return {reinterpret_cast<const kj::byte *>(bytes.data()), bytes.size()};
}

/// The calls that this VM answers.
class PeerServer final : public rpc::Peer::Server
{
public:
    explicit PeerServer(std::shared_ptr<Handlers> handlers)
        : handlers_(std::move(handlers))
    {
    }

    kj::Promise<void> deliver(DeliverContext context) override
    {
        const Result<Message> message = readMessage(context.getParams().getMessage());
        if (message && handlers_->message) {
            handlers_->message(message.value());
        }
        return kj::READY_NOW;
    }

    kj::Promise<void> call(CallContext context) override
    {
        const Result<Call> decoded = decodeCall(asText(context.getParams().getRequest()));
        if (!decoded || !handlers_->call) {
            throw KJ_EXCEPTION(FAILED, "undecodable call");
        }
        kj::PromiseFulfillerPair<std::string> pair = kj::newPromiseAndFulfiller<std::string>();
        using Fulfiller = kj::Own<kj::PromiseFulfiller<std::string>>;
        const std::shared_ptr<Fulfiller> fulfiller =
            std::make_shared<Fulfiller>(kj::mv(pair.fulfiller));
        handlers_->call(decoded.value(), [fulfiller](const Result<Reply> &reply) {
            if (reply) {
                (*fulfiller)->fulfill(encodeReply(reply.value()));
            } else {
                (*fulfiller)->reject(KJ_EXCEPTION(FAILED, "no reply"));
            }
        });
        return pair.promise.then([context](const std::string &encoded) mutable {
            context.getResults().setReply(asData(encoded));
        });
    }

private:
    std::shared_ptr<Handlers> handlers_;
};

/// RPC on one connection, either way.
class Connection
{
public:
    Connection(std::shared_ptr<TlsSocket> socket, capnp::Capability::Client bootstrap)
        : network_(*(stream_ = makePeerStream(std::move(socket))),
            capnp::rpc::twoparty::Side::SERVER, readerOptions())
        , system_(capnp::makeRpcServer(network_, kj::mv(bootstrap)))
    {
    }

    explicit Connection(std::shared_ptr<TlsSocket> socket)
        : network_(*(stream_ = makePeerStream(std::move(socket))),
            capnp::rpc::twoparty::Side::CLIENT, readerOptions())
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
    kj::Own<kj::AsyncIoStream> stream_;
    capnp::TwoPartyVatNetwork network_;
    capnp::RpcSystem<capnp::rpc::twoparty::VatId> system_;
};

/// The connection to one peer, made anew after each failure.
class Link : public std::enable_shared_from_this<Link>
{
public:
    Link(asio::io_context &context, PeerKey &key, NodeAddress address, std::string localIp)
        : context_(context)
        , key_(key)
        , address_(std::move(address))
        , localIp_(std::move(localIp))
        , timer_(context)
        , tasks_(ignoreErrors_)
    {
    }

    void open()
    {
        if (connection_ || opening_ || closed_) {
            return;
        }
        opening_ = true;
        asio::co_spawn(
            context_, [self = shared_from_this()]() { return self->connect(); }, asio::detached);
    }

    void close()
    {
        closed_ = true;
        timer_.cancel();
        drop();
    }

    void deliver(const Message &message)
    {
        dropWhenSilent();
        if (!connection_) {
            open();
            return;
        }
        if (unanswered_ >= mostUnanswered) {
            return;
        }
        capnp::Request<rpc::Peer::DeliverParams, rpc::Peer::DeliverResults> request =
            peer_->deliverRequest();
        writeMessage(message, request.initMessage());
        const std::uint64_t generation = sent();
        tasks_.add(
            request.send().ignoreResult().then([this, generation]() { answered(generation); }));
    }

    void call(const Call &call, Milliseconds timeout, ReplyHandler done)
    {
        dropWhenSilent();
        if (!connection_) {
            open();
            waiting_.push_back({call, std::chrono::steady_clock::now() + timeout, done});
            return;
        }
        send(call, timeout, std::move(done));
    }

private:
    struct WaitingCall
    {
        Call call;
        MonotonicTime until;
        ReplyHandler done;
    };

    class IgnoreErrors final : public kj::TaskSet::ErrorHandler
    {
    public:
        void taskFailed(kj::Exception && /*exception*/) override
        {
        }
    };

    /// Calls the handler once, with what comes first: the reply, a failure or the timeout.
    struct OneReply
    {
        OneReply(asio::io_context &context, ReplyHandler handler)
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

    void send(const Call &call, Milliseconds timeout, ReplyHandler done)
    {
        const std::shared_ptr<OneReply> one = std::make_shared<OneReply>(context_, std::move(done));
        one->timer.expires_after(timeout);
        one->timer.async_wait([one](const boost::system::error_code &error) {
            if (!error) {
                one->finish(PeerError::TimedOut);
            }
        });
        capnp::Request<rpc::Peer::CallParams, rpc::Peer::CallResults> request =
            peer_->callRequest();
        request.setRequest(asData(encodeCall(call)));
        const std::uint64_t generation = sent();
        tasks_.add(request.send().then(
            [this, generation, one](capnp::Response<rpc::Peer::CallResults> &&response) {
                answered(generation);
                one->finish(decodeReply(asText(response.getReply())));
            },
            [one](kj::Exception && /*exception*/) { one->finish(PeerError::Unreachable); }));
    }

    std::uint64_t sent()
    {
        if (unanswered_ == 0) {
            silentSince_ = std::chrono::steady_clock::now();
        }
        ++unanswered_;
        return generation_;
    }

    void answered(std::uint64_t generation)
    {
        if (generation != generation_) {
            return;
        }
        --unanswered_;
        silentSince_ = std::chrono::steady_clock::now();
    }

    void dropWhenSilent()
    {
        const bool silent = connection_ != nullptr && unanswered_ > 0
            && std::chrono::steady_clock::now() - silentSince_ > silenceLimit;
        if (silent) {
            drop();
        }
    }

    void drop()
    {
        ++generation_;
        unanswered_ = 0;
        peer_ = nullptr;
        connection_.reset();
    }

    asio::awaitable<void> connect()
    {
        const std::shared_ptr<TlsSocket> socket =
            std::make_shared<TlsSocket>(context_, key_.context());
        timer_.expires_after(handshakeLimit);
        timer_.async_wait([socket](const boost::system::error_code &error) {
            if (!error) {
                boost::system::error_code ignored;
                socket->next_layer().close(ignored);
            }
        });
        boost::system::error_code error;
        const Tcp::endpoint endpoint {asio::ip::make_address(address_.ip, error), address_.port};
        // From the address that this VM listens on, so that it has one address towards its peers.
        const asio::ip::address local = asio::ip::make_address(localIp_, error);
        socket->next_layer().open(endpoint.protocol(), error);
        if (local.is_v4() == endpoint.address().is_v4()) {
            socket->next_layer().bind(Tcp::endpoint {local, 0}, error);
        }
        co_await socket->next_layer().async_connect(endpoint, errorInto(error));
        bool refused = false;
        if (!error) {
            socket->next_layer().set_option(Tcp::no_delay(true), error);
            co_await socket->async_handshake(asio::ssl::stream_base::client, errorInto(error));
            refused = error.category() == asio::error::get_ssl_category();
        }
        timer_.cancel();
        if (error) {
            connectFailed(refused);
            co_return;
        }
        connected(socket);
    }

    void connected(const std::shared_ptr<TlsSocket> &socket)
    {
        opening_ = false;
        backoff_ = firstBackoff;
        if (closed_) {
            return;
        }
        connection_ = std::make_unique<Connection>(socket);
        peer_ = kj::heap<rpc::Peer::Client>(connection_->peer());
        const std::uint64_t generation = generation_;
        tasks_.add(connection_->whenClosed().then([this, generation]() {
            // Not from within the connection's own callback.
            asio::post(context_, [self = shared_from_this(), generation]() {
                if (generation == self->generation_) {
                    self->drop();
                }
            });
        }));
        for (WaitingCall &waiting : std::exchange(waiting_, {})) {
            const Milliseconds left = std::chrono::duration_cast<Milliseconds>(
                waiting.until - std::chrono::steady_clock::now());
            send(waiting.call, std::max(left, Milliseconds {1}), std::move(waiting.done));
        }
    }

    void connectFailed(bool refused)
    {
        if (refused) {
            logWarning("peer.handshake_refused",
                {{"ip", address_.ip}, {"port", std::uint64_t {address_.port}}});
        }
        for (WaitingCall &waiting : std::exchange(waiting_, {})) {
            waiting.done(PeerError::Unreachable);
        }
        // Calls made while this pause lasts wait for the next attempt or fail with it.
        timer_.expires_after(backoff_);
        backoff_ = std::min(backoff_ * 2, mostBackoff);
        timer_.async_wait([self = shared_from_this()](const boost::system::error_code & /*error*/) {
            self->opening_ = false;
            if (!self->waiting_.empty()) {
                self->open();
            }
        });
    }

    asio::io_context &context_;
    PeerKey &key_;
    NodeAddress address_;
    std::string localIp_;
    asio::steady_timer timer_;
    bool opening_ = false;
    bool closed_ = false;
    Milliseconds backoff_ = firstBackoff;
    std::vector<WaitingCall> waiting_;
    std::unique_ptr<Connection> connection_;
    kj::Own<rpc::Peer::Client> peer_;
    std::uint64_t generation_ = 0; // of the connection; answers to an earlier one do not count
    std::size_t unanswered_ = 0;
    MonotonicTime silentSince_ {};
    IgnoreErrors ignoreErrors_;
    kj::TaskSet tasks_;
};

class PeerService final : public Service, public Peers
{
public:
    PeerService(ControlLoop &loop, PeerSettings settings, std::unique_ptr<PeerKey> key)
        : context_(loop.context())
        , settings_(std::move(settings))
        , key_(std::move(key))
        , acceptor_(context_)
        , handlers_(std::make_shared<Handlers>())
    {
    }

    std::string_view name() const override
    {
        return names::peers;
    }

    std::vector<std::string_view> needs() const override
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
        handlers_->message = nullptr;
        handlers_->call = nullptr;
        for (const std::pair<const NodeAddress, std::shared_ptr<Link>> &known : links_) {
            known.second->close();
        }
        links_.clear();
        incoming_.clear();
    }

    void deliver(const NodeAddress &to, const Message &message) override
    {
        linkTo(to).deliver(message);
    }

    void call(
        const NodeAddress &to, const Call &call, Milliseconds timeout, ReplyHandler done) override
    {
        linkTo(to).call(call, timeout, std::move(done));
    }

    void onMessage(std::function<void(const Message &)> handler) override
    {
        handlers_->message = std::move(handler);
    }

    void onCall(std::function<void(const Call &, ReplyHandler)> handler) override
    {
        handlers_->call = std::move(handler);
    }

private:
    class IgnoreErrors final : public kj::TaskSet::ErrorHandler
    {
    public:
        void taskFailed(kj::Exception && /*exception*/) override
        {
        }
    };

    Link &linkTo(const NodeAddress &to)
    {
        std::shared_ptr<Link> &link = links_[to];
        if (!link) {
            link = std::make_shared<Link>(context_, *key_, to, settings_.listen.ip);
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
                asio::co_spawn(context_, greet(std::move(socket)), asio::detached);
            }
        }
    }

    asio::awaitable<void> greet(Tcp::socket accepted)
    {
        const std::shared_ptr<TlsSocket> socket =
            std::make_shared<TlsSocket>(std::move(accepted), key_->context());
        asio::steady_timer limit {context_, handshakeLimit};
        limit.async_wait([socket](const boost::system::error_code &error) {
            if (!error) {
                boost::system::error_code ignored;
                socket->next_layer().close(ignored);
            }
        });
        boost::system::error_code error;
        socket->next_layer().set_option(Tcp::no_delay(true), error);
        co_await socket->async_handshake(asio::ssl::stream_base::server, errorInto(error));
        limit.cancel();
        if (error) {
            if (error.category() == asio::error::get_ssl_category()) {
                logWarning("peer.handshake_rejected", {{"error", std::error_code {error}}});
            }
            co_return;
        }
        serve(socket);
    }

    void serve(const std::shared_ptr<TlsSocket> &socket)
    {
        const std::uint64_t id = nextIncoming_++;
        std::unique_ptr<Connection> connection =
            std::make_unique<Connection>(socket, kj::heap<PeerServer>(handlers_));
        tasks_->add(connection->whenClosed().then([this, id]() {
            // Not from within the connection's own callback.
            asio::post(context_, [this, id]() { incoming_.erase(id); });
        }));
        incoming_[id] = std::move(connection);
    }

    asio::io_context &context_;
    PeerSettings settings_;
    std::unique_ptr<PeerKey> key_;
    Tcp::acceptor acceptor_;
    std::shared_ptr<Handlers> handlers_;
    std::map<NodeAddress, std::shared_ptr<Link>> links_;
    std::uint64_t nextIncoming_ = 1;
    std::map<std::uint64_t, std::unique_ptr<Connection>> incoming_;
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
