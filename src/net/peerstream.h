/// TLS between two VMs: the pre-shared key and the errors of peer connections.
///
/// Both ends authenticate by the same key file (TLS-PSK), so no certificates are needed.

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
    Refused, // the handshake failed, most likely because the keys differ
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

/// The key that all VMs of a cell share, and the TLS context made from it.
class PeerKey
{
public:
    /// Errors: KeyUnreadable, KeyTooShort (fewer than 32 bytes).
    [[nodiscard]] static Result<std::unique_ptr<PeerKey>> load(const std::filesystem::path &file);

    explicit PeerKey(const std::string &key);

    [[nodiscard]] asio::ssl::context &context();
    [[nodiscard]] const std::string &key() const;

private:
    std::string key_; // digest of the file's content, so that keys may have any length
    asio::ssl::context context_;
};

} // namespace crocusmill
