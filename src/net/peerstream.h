/// TLS between two VMs: the key that they share, and what can go wrong.
///
/// Both ends prove that they hold the same key file (TLS with a pre-shared key), so no
/// certificates are needed.

#pragma once

#include "src/net/asio.h"

#include <crocusmill/error.h>

#include <filesystem>
#include <memory>
#include <string>

namespace crocusmill
{

enum class PeerError {
    KeyUnreadable = 1,
    KeyTooShort,
    Refused, // the handshake failed: most likely another key
    Unreachable,
    TimedOut,
    Undecodable,
    NotLeader,
    Stopping,
};

template <> struct ErrorText<PeerError>
{
    static constexpr const char *category = "peer";
    static std::string_view text(PeerError error);
};

using TlsSocket = asio::ssl::stream<Tcp::socket>;

/// The key that all VMs of one cell share, and the TLS contexts made from it.
class PeerKey
{
public:
    /// Errors: KeyUnreadable, KeyTooShort (fewer than 32 bytes).
    [[nodiscard]] static Result<std::unique_ptr<PeerKey>> load(const std::filesystem::path &file);

    explicit PeerKey(const std::string &key);

    [[nodiscard]] asio::ssl::context &context();
    [[nodiscard]] const std::string &key() const;

private:
    std::string key_; // digest of the file, so that keys of any length serve
    asio::ssl::context context_;
};

} // namespace crocusmill
