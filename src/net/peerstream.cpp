/// TLS context with a pre-shared key.

#include "src/net/peerstream.h"

#include <crocusmill/document.h>

#include <algorithm>
#include <cstring>
#include <fstream>
#include <sstream>

namespace crocusmill
{

namespace
{

constexpr std::size_t minKeyBytes = 32;
constexpr const char *pskIdentity = "crocusmill";
constexpr const char *pskCiphers = "ECDHE-PSK-CHACHA20-POLY1305";

/// Returns the ex_data index under which a TLS context stores its PeerKey. The app_data slot is
/// taken: Asio stores a callback there and deletes it with the context.
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

unsigned int copyKey(SSL *ssl, unsigned char *out, unsigned int capacity)
{
    const std::string &key = keyOf(ssl);
    const std::size_t size = std::min<std::size_t>(key.size(), capacity);
    std::copy_n(key.begin(), size, out); // the key may contain null bytes
    return static_cast<unsigned int>(size);
}

unsigned int clientKey(SSL *ssl, const char * /*hint*/, char *identity, unsigned int identitySize,
    unsigned char *out, unsigned int capacity)
{
    if (std::strlen(pskIdentity) + 1 > identitySize) {
        return 0;
    }
    std::strncpy(identity, pskIdentity, identitySize);
    return copyKey(ssl, out, capacity);
}

unsigned int serverKey(SSL *ssl, const char *identity, unsigned char *out, unsigned int capacity)
{
    if (identity == nullptr || std::strcmp(identity, pskIdentity) != 0) {
        return 0;
    }
    return copyKey(ssl, out, capacity);
}

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
    if (key.size() < minKeyBytes) {
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

} // namespace crocusmill
