/// Message stream that batches writes and defers messages that nobody waits for.

#include "src/net/messagestream.h"

#include "src/net/controlloop.h"
#include "src/net/framebuffer.h"
#include "src/net/tlschannel.h"

#include <capnp/rpc.capnp.h>
#include <capnp/serialize.h>
#include <kj/debug.h>

namespace crocusmill
{

namespace
{

/// Writers wait while more than this is unsent.
constexpr std::size_t maxQueuedBytes = 1024ULL * 1024;
/// Deferred messages are sent with the next urgent message, or at the next multiple of this
/// interval. Multiples let the timers of all connections fire at the same time.
constexpr Milliseconds deferralInterval {20};
/// This many deferred messages are sent without waiting for the timer.
constexpr std::size_t maxDeferredMessages = 32;

using Segments = kj::ArrayPtr<const kj::ArrayPtr<const capnp::word>>;
using MaybeMessage = kj::Maybe<capnp::MessageReaderAndFds>;

/// Returns true for a message that only lets the peer release the state of a call: the caller has
/// its reply, or the reply is empty and nobody waits for it.
bool canDefer(Segments segments)
{
    capnp::SegmentArrayMessageReader reader {segments};
    const capnp::rpc::Message::Reader message = reader.getRoot<capnp::rpc::Message>();
    if (message.isFinish() || message.isRelease()) {
        return true;
    }
    if (!message.isReturn() || !message.getReturn().isResults()) {
        return false;
    }
    const capnp::rpc::Payload::Reader results = message.getReturn().getResults();
    return results.getCapTable().size() == 0 && results.getContent().targetSize().wordCount == 0;
}

void appendMessage(std::string &out, Segments segments)
{
    const auto appendUint32 = [&out](std::uint32_t value) {
        // All VMs are little-endian.
        out.append(reinterpret_cast<const char *>(&value), sizeof(value));
    };
    appendUint32(static_cast<std::uint32_t>(segments.size() - 1));
    for (const kj::ArrayPtr<const capnp::word> &segment : segments) {
        appendUint32(static_cast<std::uint32_t>(segment.size()));
    }
    if (segments.size() % 2 == 0) {
        appendUint32(0); // padding to a whole word
    }
    for (const kj::ArrayPtr<const capnp::word> &segment : segments) {
        out.append(reinterpret_cast<const char *>(segment.begin()), segment.asBytes().size());
    }
}

/// State that outlives the stream object while a socket operation is pending.
struct StreamState : public std::enable_shared_from_this<StreamState>
{
    explicit StreamState(std::shared_ptr<TlsSocket> socket)
        : timer(socket->get_executor())
        , channel(std::make_shared<TlsChannel>(std::move(socket)))
    {
    }

    void flushWhenIdle()
    {
        if (isFlushScheduled) {
            return;
        }
        isFlushScheduled = true;
        ControlLoop::current().whenIdle([weak = weak_from_this()]() {
            if (const std::shared_ptr<StreamState> state = weak.lock()) {
                state->isFlushScheduled = false;
                state->deferredCount = 0;
                state->channel->flush();
            }
        });
    }

    void flushDeferred()
    {
        if (++deferredCount >= maxDeferredMessages) {
            flushWhenIdle();
        }
        if (isFlushScheduled || isTimerSet) {
            return;
        }
        isTimerSet = true;
        const MonotonicTime now = std::chrono::steady_clock::now();
        timer.expires_after(deferralInterval - now.time_since_epoch() % deferralInterval);
        timer.async_wait([weak = weak_from_this()](const boost::system::error_code &error) {
            const std::shared_ptr<StreamState> state = weak.lock();
            if (state && !error) {
                state->isTimerSet = false;
                state->deferredCount = 0;
                state->channel->flush();
            }
        });
    }

    /// Passes the next message to the waiting reader, or starts another read.
    void deliverToReader()
    {
        if (reader.get() == nullptr || !reader->isWaiting()) {
            return;
        }
        kj::Array<capnp::word> message;
        bool hasMessage = false;
        kj::Maybe<kj::Exception> failure = kj::runCatchingExceptions(
            [&]() { hasMessage = frames.takeMessage(message, options.traversalLimitInWords); });
        KJ_IF_MAYBE (exception, failure) {
            reader->reject(kj::mv(*exception));
        } else if (hasMessage) {
            reader->fulfill(read(kj::mv(message)));
        } else if (channel->hasFailed()) {
            reader->fulfill(MaybeMessage {});
        } else {
            readMore();
        }
    }

    void readMore()
    {
        channel->read(
            [state = shared_from_this()](std::string_view bytes) { state->frames.append(bytes); },
            [state = shared_from_this()](bool /*open*/) {
                ControlLoop::current().runToIdle([&state]() { state->deliverToReader(); });
            });
    }

    MaybeMessage read(kj::Array<capnp::word> message) const
    {
        const kj::ArrayPtr<const capnp::word> words = message.asPtr();
        kj::Own<capnp::MessageReader> parsed =
            kj::heap<capnp::FlatArrayMessageReader>(words, options).attach(kj::mv(message));
        return capnp::MessageReaderAndFds {kj::mv(parsed), nullptr};
    }

    asio::steady_timer timer;
    bool isTimerSet = false;
    bool isFlushScheduled = false;
    std::size_t deferredCount = 0; // messages that wait for the timer
    std::shared_ptr<TlsChannel> channel;
    FrameBuffer frames;
    capnp::ReaderOptions options;
    kj::Own<kj::PromiseFulfiller<MaybeMessage>> reader;
    kj::Own<kj::PromiseFulfiller<void>> writer; // set while a writer waits for the queue to drain
};

class PeerMessageStream final : public capnp::MessageStream
{
public:
    explicit PeerMessageStream(std::shared_ptr<TlsSocket> socket)
        : state_(std::make_shared<StreamState>(std::move(socket)))
    {
        state_->channel->onDrained([state = state_.get()]() {
            if (state->writer.get() != nullptr && state->writer->isWaiting()) {
                state->writer->fulfill();
            }
        });
    }

    PeerMessageStream(const PeerMessageStream &) = delete;
    PeerMessageStream &operator=(const PeerMessageStream &) = delete;

    ~PeerMessageStream() noexcept(false)
    {
        state_->channel->onDrained(nullptr);
        state_->timer.cancel();
        state_->channel->close();
    }

    kj::Promise<MaybeMessage> tryReadMessage(kj::ArrayPtr<kj::AutoCloseFd> /*fdSpace*/,
        capnp::ReaderOptions options, kj::ArrayPtr<capnp::word> /*scratchSpace*/) override
    {
        state_->options = options;
        kj::Array<capnp::word> message;
        if (state_->frames.takeMessage(message, options.traversalLimitInWords)) {
            return state_->read(kj::mv(message));
        }
        if (state_->channel->hasFailed()) {
            return MaybeMessage {};
        }
        kj::PromiseFulfillerPair<MaybeMessage> pair = kj::newPromiseAndFulfiller<MaybeMessage>();
        state_->reader = kj::mv(pair.fulfiller);
        state_->readMore();
        return kj::mv(pair.promise);
    }

    kj::Promise<void> writeMessage(kj::ArrayPtr<const int> /*fds*/, Segments segments) override
    {
        const bool isUrgent = !canDefer(segments);
        appendMessage(state_->channel->outgoing(), segments);
        return scheduleFlush(isUrgent);
    }

    kj::Promise<void> writeMessages(kj::ArrayPtr<Segments> messages) override
    {
        for (const Segments &segments : messages) {
            appendMessage(state_->channel->outgoing(), segments);
        }
        return scheduleFlush(true);
    }

    kj::Maybe<int> getSendBufferSize() override
    {
        return nullptr;
    }

    kj::Promise<void> end() override
    {
        state_->channel->shutdownWrite();
        return kj::READY_NOW;
    }

private:
    kj::Promise<void> scheduleFlush(bool isUrgent)
    {
        if (state_->channel->hasFailed()) {
            return KJ_EXCEPTION(DISCONNECTED, "write failed");
        }
        if (isUrgent) {
            state_->flushWhenIdle();
        } else {
            state_->flushDeferred();
        }
        if (state_->channel->unsentByteCount() <= maxQueuedBytes) {
            return kj::READY_NOW;
        }
        kj::PromiseFulfillerPair<void> pair = kj::newPromiseAndFulfiller<void>();
        state_->writer = kj::mv(pair.fulfiller);
        return kj::mv(pair.promise);
    }

    std::shared_ptr<StreamState> state_;
};

} // namespace

kj::Own<capnp::MessageStream> makeMessageStream(std::shared_ptr<TlsSocket> socket)
{
    return kj::heap<PeerMessageStream>(std::move(socket));
}

} // namespace crocusmill
