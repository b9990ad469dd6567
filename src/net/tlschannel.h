/// Plain bytes over a TLS connection whose handshake is done, with few system calls.
///
/// What is queued in one turn of the control loop goes out with one write, and what has arrived is
/// read at once. Asio's own TLS stream makes a record and a write of each buffer that it is given.
/// Only for the control thread.

#pragma once

#include "src/net/peerstream.h"

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace crocusmill
{

class TlsChannel : public std::enable_shared_from_this<TlsChannel>
{
public:
    /// Takes the TLS state over from the socket's own stream, which is not used any more.
    explicit TlsChannel(std::shared_ptr<TlsSocket> socket);

    /// Reads once and hands over what came, in pieces. `done` follows with false when the
    /// connection has ended. At most one read is under way.
    void read(std::function<void(std::string_view)> received, std::function<void(bool)> done);

    /// To append bytes to; they go out with the next flush().
    [[nodiscard]] std::string &outgoing();
    /// Sends what is queued as far as the socket takes it, and the rest when it takes more.
    void flush();
    /// Bytes that were queued and that the socket has not taken.
    [[nodiscard]] std::size_t unsentByteCount() const;
    /// Called when the socket has taken everything, and when it has failed.
    void onDrained(std::function<void()> drained);

    [[nodiscard]] bool hasFailed() const;
    /// Ends the sending side once everything is sent.
    void shutdownWrite();
    void close();

private:
    void replaceBuffers();
    void decrypt(std::size_t size, const std::function<void(std::string_view)> &received);
    void encrypt();
    void send();
    void sendLater();
    void fail();

    std::shared_ptr<TlsSocket> socket_;
    SSL *ssl_;
    std::vector<char> incoming_; // encrypted
    bool isReading_ = false;
    std::string outgoing_; // plain
    // Invariant: empty unless a wait for the socket is under way.
    std::string unsent_; // encrypted
    std::size_t sent_ = 0; // of unsent_
    bool isWaitingForSocket_ = false;
    bool isShuttingDown_ = false;
    bool hasFailed_ = false;
    std::function<void()> onDrained_;
};

} // namespace crocusmill
