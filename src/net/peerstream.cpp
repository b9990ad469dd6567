/// TLS with a pre-shared key, and Cap'n Proto's stream interface on an Asio socket.

#include "src/net/peerstream.h"

#include <crocusmill/document.h>

#include <kj/debug.h>

#include <algorithm>
#include <cstring>
#include <fstream>
#include <sstream>

namespace crocusmill
{

namespace
{

constexpr std::size_t leastKeyBytes = 32;
constexpr std::size_t chunkBytes = 64ULL * 1024;
constexpr const char *pskIdentity = "crocusmill";
constexpr const char *pskCiphers = "ECDHE-PSK-CHACHA20-POLY1305";

/// Where a TLS context keeps its PeerKey. Not the application's data: Asio keeps a callback there
/// that it deletes with the context.
int keySlot()
{
    static const int slot = SSL_CTX_get_ex_new_index(0, nullptr, nullptr, nullptr, nullptr);
    return slot;
}

const std::string &keyOf(SSL *ssl)
{
    const void *key = SSL_CTX_get_ex_data(SSL_get_SSL_CTX(ssl), keySlot());
    return static_cast<const PeerKey *>(key)->key();
}

unsigned int copyKey(SSL *ssl, unsigned char *out, unsigned int most)
{
    const std::string &key = keyOf(ssl);
    const std::size_t size = std::min<std::size_t>(key.size(), most);
    std::copy_n(key.begin(), size, out); // bytes of a key, not a C string
    return static_cast<unsigned int>(size);
}

unsigned int clientKey(SSL *ssl, const char * /*hint*/, char *identity, unsigned int identitySize,
    unsigned char *out, unsigned int most)
{
    if (std::strlen(pskIdentity) + 1 > identitySize) {
        return 0;
    }
    std::strncpy(identity, pskIdentity, identitySize);
    return copyKey(ssl, out, most);
}

unsigned int serverKey(SSL *ssl, const char *identity, unsigned char *out, unsigned int most)
{
    if (identity == nullptr || std::strcmp(identity, pskIdentity) != 0) {
        return 0;
    }
    return copyKey(ssl, out, most);
}

/// What outlives the stream object while an operation on the socket is under way. Cap'n Proto may
/// drop a promise and its buffer at any time, so data passes through buffers of our own.
struct StreamState
{
    std::shared_ptr<TlsSocket> socket;
    std::string received;
    std::array<char, chunkBytes> chunk {};
    std::string sending;
};

struct PendingRead
{
    char *buffer;
    std::size_t least;
    std::size_t most;
    std::size_t done = 0;
    kj::Own<kj::PromiseFulfiller<std::size_t>> fulfiller;
};

void takeReceived(StreamState &state, PendingRead &read)
{
    const std::size_t size = std::min(state.received.size(), read.most - read.done);
    std::memcpy(read.buffer + read.done, state.received.data(), size);
    state.received.erase(0, size);
    read.done += size;
}

void readMore(const std::shared_ptr<StreamState> &state, const std::shared_ptr<PendingRead> &read)
{
    state->socket->async_read_some(asio::buffer(state->chunk),
        [state, read](const boost::system::error_code &error, std::size_t size) {
            state->received.append(state->chunk.data(), size);
            if (!read->fulfiller->isWaiting()) {
                return;
            }
            takeReceived(*state, *read);
            if (read->done >= read->least || error) {
                read->fulfiller->fulfill(std::size_t {read->done});
                return;
            }
            readMore(state, read);
        });
}

class PeerStream final : public kj::AsyncIoStream
{
public:
    explicit PeerStream(std::shared_ptr<TlsSocket> socket)
        : state_(std::make_shared<StreamState>())
    {
        state_->socket = std::move(socket);
    }

    ~PeerStream() noexcept(false)
    {
        boost::system::error_code ignored;
        state_->socket->next_layer().close(ignored);
    }

    kj::Promise<std::size_t> tryRead(void *buffer, std::size_t least, std::size_t most) override
    {
        kj::PromiseFulfillerPair<std::size_t> pair = kj::newPromiseAndFulfiller<std::size_t>();
        const std::shared_ptr<PendingRead> read = std::make_shared<PendingRead>(
            PendingRead {static_cast<char *>(buffer), least, most, 0, kj::mv(pair.fulfiller)});
        takeReceived(*state_, *read);
        if (read->done >= least) {
            return std::size_t {read->done};
        }
        readMore(state_, read);
        return kj::mv(pair.promise);
    }

    kj::Promise<void> write(const void *buffer, std::size_t size) override
    {
        state_->sending.assign(static_cast<const char *>(buffer), size);
        return flush();
    }

    kj::Promise<void> write(kj::ArrayPtr<const kj::ArrayPtr<const kj::byte>> pieces) override
    {
        state_->sending.clear();
        for (const kj::ArrayPtr<const kj::byte> &piece : pieces) {
            state_->sending.append(reinterpret_cast<const char *>(piece.begin()), piece.size());
        }
        return flush();
    }

    kj::Promise<void> whenWriteDisconnected() override
    {
        return kj::NEVER_DONE;
    }

    void shutdownWrite() override
    {
        boost::system::error_code ignored;
        state_->socket->next_layer().shutdown(Tcp::socket::shutdown_send, ignored);
    }

private:
    kj::Promise<void> flush()
    {
        kj::PromiseFulfillerPair<void> pair = kj::newPromiseAndFulfiller<void>();
        const std::shared_ptr<kj::Own<kj::PromiseFulfiller<void>>> fulfiller =
            std::make_shared<kj::Own<kj::PromiseFulfiller<void>>>(kj::mv(pair.fulfiller));
        const std::shared_ptr<StreamState> state = state_;
        asio::async_write(*state->socket, asio::buffer(state->sending),
            [state, fulfiller](const boost::system::error_code &error, std::size_t /*size*/) {
                if (error) {
                    (*fulfiller)->reject(KJ_EXCEPTION(DISCONNECTED, "write failed"));
                } else {
                    (*fulfiller)->fulfill();
                }
            });
        return kj::mv(pair.promise);
    }

    std::shared_ptr<StreamState> state_;
};

} // namespace

std::string_view ErrorText<PeerError>::text(PeerError error)
{
    switch (error) {
    case PeerError::KeyUnreadable:
        return "the peer key file cannot be read";
    case PeerError::KeyTooShort:
        return "the peer key has fewer than 32 bytes";
    case PeerError::Refused:
        return "the peer refused the handshake";
    case PeerError::Unreachable:
        return "the peer cannot be reached";
    case PeerError::TimedOut:
        return "the peer did not answer in time";
    case PeerError::Undecodable:
        return "the peer sent what cannot be decoded";
    case PeerError::NotLeader:
        return "no leader is known";
    case PeerError::Stopping:
        return "this process is stopping";
    }
    return "unknown peer error";
}

PeerKey::PeerKey(const std::string &key)
    : key_(digestOf(key).value())
    , context_(asio::ssl::context::tlsv12)
{
    SSL_CTX *native = context_.native_handle();
    SSL_CTX_set_ex_data(native, keySlot(), this);
    SSL_CTX_set_cipher_list(native, pskCiphers);
    SSL_CTX_set_psk_client_callback(native, clientKey);
    SSL_CTX_set_psk_server_callback(native, serverKey);
    SSL_CTX_set_options(native, SSL_OP_NO_TICKET);
    context_.set_verify_mode(asio::ssl::verify_none);
}

Result<std::unique_ptr<PeerKey>> PeerKey::load(const std::filesystem::path &file)
{
    std::ifstream in {file, std::ios::binary};
    if (!in) {
        return PeerError::KeyUnreadable;
    }
    std::ostringstream content;
    content << in.rdbuf();
    std::string key = std::move(content).str();
    while (!key.empty() && (key.back() == '\n' || key.back() == '\r')) {
        key.pop_back();
    }
    if (key.size() < leastKeyBytes) {
        return PeerError::KeyTooShort;
    }
    return std::make_unique<PeerKey>(key);
}

asio::ssl::context &PeerKey::context()
{
    return context_;
}

const std::string &PeerKey::key() const
{
    return key_;
}

kj::Own<kj::AsyncIoStream> makePeerStream(std::shared_ptr<TlsSocket> socket)
{
    return kj::heap<PeerStream>(std::move(socket));
}

} // namespace crocusmill
