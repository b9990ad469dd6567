/// RPC connections between two VMs.

#include "src/services/peerlink.h"

#include "src/net/consensuswire.h"
#include "src/net/log.h"
#include "src/wire/callclass.h"

#include <kj/debug.h>

namespace crocusmill
{

namespace
{

constexpr Milliseconds handshakeLimit {2'000};
constexpr Milliseconds mostBackoff {1'000};
/// A peer that leaves this many messages unanswered is not sent more.
constexpr std::size_t mostUnanswered = 256;
/// A connection on which nothing was answered this long is made anew.
constexpr Milliseconds silenceLimit {2'500};

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

    /// The record is read once the call has its turn.
    kj::Promise<void> call(CallContext context) override
    {
        kj::PromiseFulfillerPair<std::string> pair = kj::newPromiseAndFulfiller<std::string>();
        const std::shared_ptr<Fulfiller> fulfiller =
            std::make_shared<Fulfiller>(kj::mv(pair.fulfiller));
        const rpc::Peer::CallParams::Reader params = context.getParams();
        const CallClass callClass = readClass(params.getCallClass());
        const Milliseconds limit =
            params.getLimitMs() == 0 ? defaultCallTimeout : Milliseconds {params.getLimitMs()};
        CallScheduler::CallHandlers work;
        work.handle = [handlers = handlers_, fulfiller, request = asText(params.getRequest())]() {
            handle(*handlers, request, fulfiller);
        };
        work.refuse = [callClass, fulfiller](Milliseconds retryAfter) {
            answer(fulfiller, refusalOf(callClass, retryAfter));
        };
        work.drop = [fulfiller]() {
            answer(fulfiller, PeerError::TimedOut);
        };
        context.releaseParams();
        handlers_->scheduler->add(callClass, limit, std::move(work));
        return pair.promise.then([context](const std::string &encoded) mutable {
            context.getResults().setReply(asData(encoded));
        });
    }

private:
    using Fulfiller = kj::Own<kj::PromiseFulfiller<std::string>>;

    static CallClass readClass(std::uint8_t stated)
    {
        return stated < callClassCount ? static_cast<CallClass>(stated) : CallClass::Change;
    }

    static void answer(const std::shared_ptr<Fulfiller> &fulfiller, const Result<Reply> &reply)
    {
        if (reply) {
            (*fulfiller)->fulfill(encodeReply(reply.value()));
        } else {
            (*fulfiller)->reject(KJ_EXCEPTION(FAILED, "no reply"));
        }
    }

    static void handle(const Handlers &handlers, const std::string &request,
        const std::shared_ptr<Fulfiller> &fulfiller)
    {
        const Result<Call> decoded = decodeCall(request);
        if (!decoded || !handlers.call) {
            answer(fulfiller, PeerError::Undecodable);
            return;
        }
        handlers.call(
            decoded.value(), [fulfiller](const Result<Reply> &reply) { answer(fulfiller, reply); });
    }

    std::shared_ptr<Handlers> handlers_;
};

} // namespace

capnp::ReaderOptions peerReaderOptions()
{
    capnp::ReaderOptions options;
    options.traversalLimitInWords = 256ULL * 1024 * 1024 / sizeof(capnp::word);
    return options;
}

capnp::Capability::Client makePeerServer(std::shared_ptr<Handlers> handlers)
{
    return kj::heap<PeerServer>(std::move(handlers));
}

Result<Reply> refusalOf(CallClass callClass, Milliseconds retryAfter)
{
    if (callClass == CallClass::Presence || callClass == CallClass::Change) {
        return PeerError::TimedOut;
    }
    GraphReply refused;
    refused.outcome = GraphOutcome::Refused;
    refused.retryAfter = retryAfter;
    return Reply {refused};
}

Link::Link(asio::io_context &context, PeerKey &key, NodeAddress address, std::string localIp)
    : context_(context)
    , key_(key)
    , address_(std::move(address))
    , localIp_(std::move(localIp))
    , timer_(context)
    , tasks_(ignoreErrors_)
{
}

void Link::open()
{
    if (connection_ || opening_ || closed_) {
        return;
    }
    opening_ = true;
    asio::co_spawn(
        context_, [self = shared_from_this()]() { return self->connect(); }, asio::detached);
}

void Link::close()
{
    closed_ = true;
    timer_.cancel();
    drop();
}

void Link::deliver(const Message &message)
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
    tasks_.add(request.send().ignoreResult().then([this, generation]() { answered(generation); }));
}

void Link::call(const Call &call, Milliseconds timeout, ReplyHandler done)
{
    dropWhenSilent();
    if (!connection_) {
        open();
        waiting_.push_back({call, std::chrono::steady_clock::now() + timeout, done});
        return;
    }
    send(call, timeout, std::move(done));
}

void Link::send(const Call &call, Milliseconds timeout, ReplyHandler done)
{
    const std::shared_ptr<OneReply> one = std::make_shared<OneReply>(context_, std::move(done));
    one->timer.expires_after(timeout);
    one->timer.async_wait([one](const boost::system::error_code &error) {
        if (!error) {
            one->finish(PeerError::TimedOut);
        }
    });
    capnp::Request<rpc::Peer::CallParams, rpc::Peer::CallResults> request = peer_->callRequest();
    request.setRequest(asData(encodeCall(call)));
    request.setLimitMs(static_cast<std::uint32_t>(timeout.count()));
    request.setCallClass(static_cast<std::uint8_t>(callClassOf(call)));
    const std::uint64_t generation = sent();
    tasks_.add(request.send().then(
        [this, generation, one](capnp::Response<rpc::Peer::CallResults> &&response) {
            answered(generation);
            one->finish(decodeReply(asText(response.getReply())));
        },
        [one](kj::Exception && /*exception*/) { one->finish(PeerError::Unreachable); }));
}

std::uint64_t Link::sent()
{
    if (unanswered_ == 0) {
        silentSince_ = std::chrono::steady_clock::now();
    }
    ++unanswered_;
    return generation_;
}

void Link::answered(std::uint64_t generation)
{
    if (generation != generation_) {
        return;
    }
    --unanswered_;
    silentSince_ = std::chrono::steady_clock::now();
}

void Link::dropWhenSilent()
{
    const bool silent = connection_ != nullptr && unanswered_ > 0
        && std::chrono::steady_clock::now() - silentSince_ > silenceLimit;
    if (silent) {
        drop();
    }
}

void Link::drop()
{
    ++generation_;
    unanswered_ = 0;
    peer_ = nullptr;
    connection_.reset();
}

asio::awaitable<void> Link::connect()
{
    const std::shared_ptr<TlsSocket> socket = std::make_shared<TlsSocket>(context_, key_.context());
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

void Link::connected(const std::shared_ptr<TlsSocket> &socket)
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

void Link::connectFailed(bool refused)
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

} // namespace crocusmill
