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

constexpr Milliseconds handshakeTimeout {2'000};
constexpr Milliseconds maxBackoff {1'000};
/// Consensus messages to a peer with this many unanswered messages and calls are dropped.
constexpr std::size_t maxUnansweredCount = 256;
/// A connection without any reply for this long is replaced.
constexpr Milliseconds silenceTimeout {2'500};

std::string toString(capnp::Data::Reader data)
{
    return {reinterpret_cast<const char *>(data.begin()), data.size()};
}

capnp::Data::Reader toData(const std::string &bytes)
{
    return {reinterpret_cast<const kj::byte *>(bytes.data()), bytes.size()};
}

/// Serves the calls of peers.
class PeerServer final : public rpc::Peer::Server
{
public:
    explicit PeerServer(std::shared_ptr<PeerHandlers> handlers)
        : handlers_(std::move(handlers))
    {
    }

    kj::Promise<void> deliver(DeliverContext context) override
    {
        const Result<Message> message = readMessage(context.getParams().getMessage());
        if (message && handlers_->onMessage) {
            handlers_->onMessage(message.value());
        }
        return kj::READY_NOW;
    }

    /// Decodes the request only when the call is scheduled.
    kj::Promise<void> call(CallContext context) override
    {
        kj::PromiseFulfillerPair<std::string> pair = kj::newPromiseAndFulfiller<std::string>();
        const std::shared_ptr<Fulfiller> fulfiller =
            std::make_shared<Fulfiller>(kj::mv(pair.fulfiller));
        const rpc::Peer::CallParams::Reader params = context.getParams();
        const CallClass callClass = readCallClass(params.getCallClass());
        const Milliseconds timeout =
            params.getLimitMs() == 0 ? defaultCallTimeout : Milliseconds {params.getLimitMs()};
        CallScheduler::CallHandlers work;
        work.handle = [handlers = handlers_, fulfiller, request = toString(params.getRequest())]() {
            handle(*handlers, request, fulfiller);
        };
        work.refuse = [callClass, fulfiller](Milliseconds retryAfter) {
            answer(fulfiller, makeRefusalReply(callClass, retryAfter));
        };
        work.drop = [fulfiller]() {
            answer(fulfiller, PeerError::TimedOut);
        };
        context.releaseParams();
        handlers_->callScheduler->add(callClass, timeout, std::move(work));
        return pair.promise.then([context](const std::string &encoded) mutable {
            context.getResults().setReply(toData(encoded));
        });
    }

private:
    using Fulfiller = kj::Own<kj::PromiseFulfiller<std::string>>;

    static CallClass readCallClass(std::uint8_t stated)
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

    static void handle(const PeerHandlers &handlers, const std::string &request,
        const std::shared_ptr<Fulfiller> &fulfiller)
    {
        const Result<Call> decoded = decodeCall(request);
        if (!decoded || !handlers.onCall) {
            answer(fulfiller, PeerError::Undecodable);
            return;
        }
        handlers.onCall(
            decoded.value(), [fulfiller](const Result<Reply> &reply) { answer(fulfiller, reply); });
    }

    std::shared_ptr<PeerHandlers> handlers_;
};

} // namespace

capnp::ReaderOptions peerReaderOptions()
{
    capnp::ReaderOptions options;
    options.traversalLimitInWords = 256ULL * 1024 * 1024 / sizeof(capnp::word);
    return options;
}

capnp::Capability::Client makePeerServer(std::shared_ptr<PeerHandlers> handlers)
{
    return kj::heap<PeerServer>(std::move(handlers));
}

Result<Reply> makeRefusalReply(CallClass callClass, Milliseconds retryAfter)
{
    if (callClass == CallClass::Presence || callClass == CallClass::Change) {
        return PeerError::TimedOut;
    }
    GraphReply refused;
    refused.outcome = GraphOutcome::Refused;
    refused.retryAfter = retryAfter;
    return Reply {refused};
}

PeerLink::PeerLink(
    asio::io_context &context, PeerKey &key, NodeAddress address, std::string localIp)
    : context_(context)
    , key_(key)
    , address_(std::move(address))
    , localIp_(std::move(localIp))
    , timer_(context)
    , tasks_(ignoreErrors_)
{
}

void PeerLink::open()
{
    if (connection_ || isOpening_ || isClosed_) {
        return;
    }
    isOpening_ = true;
    asio::co_spawn(
        context_, [self = shared_from_this()]() { return self->connect(); }, asio::detached);
}

void PeerLink::close()
{
    isClosed_ = true;
    timer_.cancel();
    drop();
}

void PeerLink::deliver(const Message &message)
{
    dropIfSilent();
    if (!connection_) {
        open();
        return;
    }
    if (unansweredCount_ >= maxUnansweredCount) {
        return;
    }
    capnp::Request<rpc::Peer::DeliverParams, rpc::Peer::DeliverResults> request =
        peer_->deliverRequest();
    writeMessage(message, request.initMessage());
    const std::uint64_t generation = recordSent();
    tasks_.add(
        request.send().ignoreResult().then([this, generation]() { recordAnswered(generation); }));
}

void PeerLink::call(const Call &call, Milliseconds timeout, ReplyHandler done)
{
    dropIfSilent();
    if (!connection_) {
        open();
        waitingCalls_.push_back({call, std::chrono::steady_clock::now() + timeout, done});
        return;
    }
    send(call, timeout, std::move(done));
}

void PeerLink::send(const Call &call, Milliseconds timeout, ReplyHandler done)
{
    const std::shared_ptr<ReplyCompletion> completion =
        std::make_shared<ReplyCompletion>(context_, std::move(done));
    completion->timer.expires_after(timeout);
    completion->timer.async_wait([completion](const boost::system::error_code &error) {
        if (!error) {
            completion->finish(PeerError::TimedOut);
        }
    });
    capnp::Request<rpc::Peer::CallParams, rpc::Peer::CallResults> request = peer_->callRequest();
    request.setRequest(toData(encodeCall(call)));
    request.setLimitMs(static_cast<std::uint32_t>(timeout.count()));
    request.setCallClass(static_cast<std::uint8_t>(callClassOf(call)));
    const std::uint64_t generation = recordSent();
    tasks_.add(request.send().then(
        [this, generation, completion](capnp::Response<rpc::Peer::CallResults> &&response) {
            recordAnswered(generation);
            completion->finish(decodeReply(toString(response.getReply())));
        },
        [completion](
            kj::Exception && /*exception*/) { completion->finish(PeerError::Unreachable); }));
}

std::uint64_t PeerLink::recordSent()
{
    if (unansweredCount_ == 0) {
        lastProgressAt_ = std::chrono::steady_clock::now();
    }
    ++unansweredCount_;
    return generation_;
}

void PeerLink::recordAnswered(std::uint64_t generation)
{
    if (generation != generation_) {
        return;
    }
    --unansweredCount_;
    lastProgressAt_ = std::chrono::steady_clock::now();
}

void PeerLink::dropIfSilent()
{
    const bool isSilent = connection_ != nullptr && unansweredCount_ > 0
        && std::chrono::steady_clock::now() - lastProgressAt_ > silenceTimeout;
    if (isSilent) {
        drop();
    }
}

void PeerLink::drop()
{
    ++generation_;
    unansweredCount_ = 0;
    peer_ = nullptr;
    connection_.reset();
}

asio::awaitable<void> PeerLink::connect()
{
    const std::shared_ptr<TlsSocket> socket = std::make_shared<TlsSocket>(context_, key_.context());
    timer_.expires_after(handshakeTimeout);
    timer_.async_wait([socket](const boost::system::error_code &error) {
        if (!error) {
            boost::system::error_code ignored;
            socket->next_layer().close(ignored);
        }
    });
    boost::system::error_code error;
    const Tcp::endpoint endpoint {asio::ip::make_address(address_.ip, error), address_.port};
    // Binds to the listen address, so that peers see one address of this VM.
    const asio::ip::address local = asio::ip::make_address(localIp_, error);
    socket->next_layer().open(endpoint.protocol(), error);
    if (local.is_v4() == endpoint.address().is_v4()) {
        socket->next_layer().bind(Tcp::endpoint {local, 0}, error);
    }
    co_await socket->next_layer().async_connect(endpoint, errorInto(error));
    bool isHandshakeRefused = false;
    if (!error) {
        socket->next_layer().set_option(Tcp::no_delay(true), error);
        co_await socket->async_handshake(asio::ssl::stream_base::client, errorInto(error));
        isHandshakeRefused = error.category() == asio::error::get_ssl_category();
    }
    timer_.cancel();
    if (error) {
        onConnectFailed(isHandshakeRefused);
        co_return;
    }
    onConnected(socket);
}

void PeerLink::onConnected(const std::shared_ptr<TlsSocket> &socket)
{
    isOpening_ = false;
    backoff_ = initialBackoff;
    if (isClosed_) {
        return;
    }
    connection_ = std::make_unique<Connection>(socket);
    peer_ = kj::heap<rpc::Peer::Client>(connection_->peer());
    const std::uint64_t generation = generation_;
    tasks_.add(connection_->whenClosed().then([this, generation]() {
        // Posted, because the callback must not destroy its own connection.
        asio::post(context_, [self = shared_from_this(), generation]() {
            if (generation == self->generation_) {
                self->drop();
            }
        });
    }));
    for (WaitingCall &waiting : std::exchange(waitingCalls_, {})) {
        const Milliseconds remaining = std::chrono::duration_cast<Milliseconds>(
            waiting.deadline - std::chrono::steady_clock::now());
        send(waiting.call, std::max(remaining, Milliseconds {1}), std::move(waiting.done));
    }
}

void PeerLink::onConnectFailed(bool isHandshakeRefused)
{
    if (isHandshakeRefused) {
        logWarning("peer.handshake_refused",
            {{"ip", address_.ip}, {"port", std::uint64_t {address_.port}}});
    }
    for (WaitingCall &waiting : std::exchange(waitingCalls_, {})) {
        waiting.done(PeerError::Unreachable);
    }
    // Calls made during the backoff wait for the next attempt or fail with it.
    timer_.expires_after(backoff_);
    backoff_ = std::min(backoff_ * 2, maxBackoff);
    timer_.async_wait([self = shared_from_this()](const boost::system::error_code & /*error*/) {
        self->isOpening_ = false;
        if (!self->waitingCalls_.empty()) {
            self->open();
        }
    });
}

} // namespace crocusmill
