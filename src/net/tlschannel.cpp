/// TLS through OpenSSL memory BIOs, with direct reads and writes of the socket.

#include "src/net/tlschannel.h"

#include <openssl/bio.h>
#include <openssl/err.h>

#include <array>

namespace crocusmill
{

namespace
{

constexpr std::size_t readBufferBytes = 32ULL * 1024;
constexpr std::size_t maxRecordBytes = 16ULL * 1024; // payload limit of a TLS record

} // namespace

TlsChannel::TlsChannel(std::shared_ptr<TlsSocket> socket)
    : socket_(std::move(socket))
    , ssl_(socket_->native_handle())
    , incoming_(readBufferBytes)
{
    boost::system::error_code error;
    socket_->next_layer().non_blocking(true, error);
    hasFailed_ = error.failed();
    replaceBuffers();
}

void TlsChannel::replaceBuffers()
{
    BIO *const received = BIO_new(BIO_s_mem());
    // Moves bytes that arrived together with the end of the handshake.
    BIO *const before = SSL_get_rbio(ssl_);
    while (BIO_pending(before) > 0) {
        const int size = BIO_read(before, incoming_.data(), static_cast<int>(incoming_.size()));
        if (size <= 0) {
            break;
        }
        BIO_write(received, incoming_.data(), size);
    }
    SSL_set_bio(ssl_, received, BIO_new(BIO_s_mem()));
}

void TlsChannel::read(
    std::function<void(std::string_view)> received, std::function<void(bool)> done)
{
    if (isReading_) {
        return;
    }
    isReading_ = true;
    socket_->next_layer().async_read_some(asio::buffer(incoming_),
        [self = shared_from_this(), received = std::move(received), done = std::move(done)](
            const boost::system::error_code &error, std::size_t size) {
            self->isReading_ = false;
            if (error) {
                self->fail();
            } else {
                self->decrypt(size, received);
            }
            done(!self->hasFailed_);
        });
}

void TlsChannel::decrypt(std::size_t size, const std::function<void(std::string_view)> &received)
{
    BIO_write(SSL_get_rbio(ssl_), incoming_.data(), static_cast<int>(size));
    std::array<char, maxRecordBytes> plain; // filled by OpenSSL
    while (true) {
        ERR_clear_error();
        const int plainSize = SSL_read(ssl_, plain.data(), static_cast<int>(plain.size()));
        if (plainSize <= 0) {
            if (SSL_get_error(ssl_, plainSize) != SSL_ERROR_WANT_READ) {
                fail();
            }
            return;
        }
        received({plain.data(), static_cast<std::size_t>(plainSize)});
    }
}

std::string &TlsChannel::outgoing()
{
    return outgoing_;
}

std::size_t TlsChannel::unsentByteCount() const
{
    return outgoing_.size() + unsent_.size() - sent_;
}

void TlsChannel::onDrained(std::function<void()> drained)
{
    onDrained_ = std::move(drained);
}

bool TlsChannel::hasFailed() const
{
    return hasFailed_;
}

void TlsChannel::flush()
{
    if (hasFailed_ || isWaitingForSocket_) {
        return; // the data is sent when the socket is writable
    }
    encrypt();
    send();
}

void TlsChannel::encrypt()
{
    std::size_t done = 0;
    while (done < outgoing_.size() && !hasFailed_) {
        ERR_clear_error();
        const int size = static_cast<int>(std::min(outgoing_.size() - done, maxRecordBytes));
        const int written = SSL_write(ssl_, outgoing_.data() + done, size);
        if (written <= 0) {
            fail();
            return;
        }
        done += static_cast<std::size_t>(written);
    }
    outgoing_.clear();
    BIO *const records = SSL_get_wbio(ssl_);
    char *bytes = nullptr;
    const long size = BIO_get_mem_data(records, &bytes);
    unsent_.append(bytes, static_cast<std::size_t>(size));
    static_cast<void>(BIO_reset(records));
}

void TlsChannel::send()
{
    boost::system::error_code error;
    while (!hasFailed_ && sent_ < unsent_.size()) {
        sent_ += socket_->next_layer().write_some(
            asio::buffer(unsent_.data() + sent_, unsent_.size() - sent_), error);
        if (error == asio::error::would_block || error == asio::error::try_again) {
            sendLater();
            return;
        }
        if (error) {
            fail();
            return;
        }
    }
    unsent_.clear();
    sent_ = 0;
    if (isShuttingDown_) {
        socket_->next_layer().shutdown(Tcp::socket::shutdown_send, error);
    }
    if (onDrained_) {
        onDrained_();
    }
}

void TlsChannel::sendLater()
{
    isWaitingForSocket_ = true;
    socket_->next_layer().async_wait(Tcp::socket::wait_write,
        [self = shared_from_this()](const boost::system::error_code &error) {
            self->isWaitingForSocket_ = false;
            if (error) {
                self->fail();
                return;
            }
            self->encrypt();
            self->send();
        });
}

void TlsChannel::shutdownWrite()
{
    isShuttingDown_ = true;
    flush();
}

void TlsChannel::close()
{
    boost::system::error_code ignored;
    socket_->next_layer().close(ignored);
}

void TlsChannel::fail()
{
    hasFailed_ = true;
    outgoing_.clear();
    unsent_.clear();
    sent_ = 0;
    if (onDrained_) {
        onDrained_();
    }
}

} // namespace crocusmill
