/// Byte channel over an established TLS connection that uses few system calls.
///
/// Data queued in one iteration of the control loop is sent with one write, and all data that has
/// arrived is read with one read. Asio's TLS stream would make a record and a write of each buffer.
/// Use only on the control thread.

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
    /// Takes over the TLS state of the Asio stream, which must not be used any more.
    explicit TlsChannel(std::shared_ptr<TlsSocket> socket);

    /// Reads once and passes the decrypted data to `received` in chunks, then calls `done`, with
    /// false if the connection has ended. Ignored while another read is pending.
    void read(std::function<void(std::string_view)> received, std::function<void(bool)> done);

    /// Buffer for outgoing data; the next flush() sends it.
    [[nodiscard]] std::string &outgoing();
    /// Sends the queued data, the rest of it as soon as the socket is writable again.
    void flush();
    /// Number of queued bytes that were not yet written to the socket.
    [[nodiscard]] std::size_t unsentByteCount() const;
    /// Sets the callback for when all data is written or the channel has failed.
    void onDrained(std::function<void()> drained);

    [[nodiscard]] bool hasFailed() const;
    /// Shuts down the sending side after all queued data is sent.
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
    std::string outgoing_; // plaintext
    // Invariant: empty unless a wait for the socket is pending.
    std::string unsent_; // encrypted
    std::size_t sent_ = 0; // bytes of unsent_ already written
    bool isWaitingForSocket_ = false;
    bool isShuttingDown_ = false;
    bool hasFailed_ = false;
    std::function<void()> onDrained_;
};

} // namespace crocusmill
