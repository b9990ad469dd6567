/// Connection pool and connections of CallClient.

#include "src/net/callclient.h"

#include "src/net/answerparser.h"

#include <algorithm>
#include <array>
#include <sys/socket.h>

namespace crocusmill
{

namespace
{

/// A connection that was idle for less than this is used without a check of its socket, unless the
/// pending read has already seen it close.
constexpr Milliseconds maxUncheckedIdleDuration {100};
constexpr std::size_t readBytes = 2'048;
/// The parser consumes a response's header, the first line of a chunk and the trailers as a whole.
constexpr std::size_t maxUnparsedBytes = 64ULL * 1024;

/// Avoids the type-erased executor of the default socket.
using CallSocket = asio::basic_stream_socket<Tcp, asio::io_context::executor_type>;

/// Returns true if the socket is open and has no unread input.
bool isOpenWithoutInput(CallSocket &socket)
{
    char byte = 0;
    const ssize_t size = ::recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return size < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

} // namespace

/// One connection and its pending call, if any.
class CallClient::Connection final : public std::enable_shared_from_this<Connection>
{
public:
    Connection(CallClient &client, NodeAddress to)
        : owner_(client.self_)
        , to_(std::move(to))
        , socket_(client.context_)
    {
    }

    const NodeAddress &to() const
    {
        return to_;
    }

    MonotonicTime deadline() const
    {
        return deadline_;
    }

    /// Index of this connection in busy_.
    std::size_t busyIndex() const
    {
        return busyIndex_;
    }

    void setBusyIndex(std::size_t busyIndex)
    {
        busyIndex_ = busyIndex;
    }

    bool isUsable(MonotonicTime now)
    {
        return socket_.is_open()
            && (now - idleSince_ < maxUncheckedIdleDuration || isOpenWithoutInput(socket_));
    }

    void begin(std::string request, MonotonicTime deadline, Done done, ByteCount maxAnswerBytes)
    {
        request_ = std::move(request);
        deadline_ = deadline;
        done_ = std::move(done);
        parser_.emplace(maxAnswerBytes);
        sent_ = 0;
    }

    /// Connects and then sends the request. `connectDeadline` applies to connecting only.
    void connect(MonotonicTime connectDeadline)
    {
        callDeadline_ = deadline_;
        deadline_ = std::min(deadline_, connectDeadline);
        boost::system::error_code error;
        const Tcp::endpoint endpoint {asio::ip::make_address(to_.ip, error), to_.port};
        if (error) {
            asio::post(socket_.get_executor(),
                [self = shared_from_this()]() { self->finish(HttpResultKind::NotSent); });
            return;
        }
        socket_.async_connect(
            endpoint, [self = shared_from_this()](const boost::system::error_code &failed) {
                self->onConnected(failed);
            });
    }

    /// Returns false if no byte could be written; the call can then use another connection.
    bool write()
    {
        boost::system::error_code error;
        sent_ = socket_.write_some(asio::buffer(request_), error);
        if (error && error != asio::error::would_block) {
            return false;
        }
        if (sent_ < request_.size()) {
            writeRest();
        }
        return true;
    }

    std::string takeRequest()
    {
        return std::move(request_);
    }

    Done takeDone()
    {
        return std::move(done_);
    }

    void readMore()
    {
        socket_.async_read_some(asio::buffer(input_),
            [self = shared_from_this()](const boost::system::error_code &error, std::size_t size) {
                self->onReceived(error, size);
            });
    }

    void close()
    {
        boost::system::error_code ignored;
        socket_.close(ignored);
    }

    void expire()
    {
        finish(isConnected_ ? HttpResultKind::TimedOut : HttpResultKind::NotSent);
    }

private:
    bool isBusy() const
    {
        return static_cast<bool>(done_);
    }

    void onConnected(const boost::system::error_code &error)
    {
        if (!isBusy() || *owner_ == nullptr) {
            return;
        }
        if (error || std::chrono::steady_clock::now() >= callDeadline_) {
            finish(HttpResultKind::NotSent, error);
            return;
        }
        isConnected_ = true;
        deadline_ = callDeadline_;
        (*owner_)->armTimer(deadline_);
        boost::system::error_code ignored;
        socket_.set_option(Tcp::no_delay(true), ignored);
        socket_.non_blocking(true, ignored);
        if (!write()) {
            finish(HttpResultKind::NotSent);
            return;
        }
        readMore();
    }

    void writeRest()
    {
        const asio::const_buffer rest = asio::buffer(request_) + sent_;
        asio::async_write(socket_, rest,
            [self = shared_from_this()](const boost::system::error_code &error, std::size_t size) {
                self->sent_ += size;
                if (error && self->isBusy()) {
                    self->finish(
                        self->sent_ == 0 ? HttpResultKind::NotSent : HttpResultKind::Broken);
                }
            });
    }

    void onReceived(const boost::system::error_code &error, std::size_t size)
    {
        if (*owner_ == nullptr) {
            return;
        }
        if (!isBusy()) {
            close(); // closed by the peer, or unexpected input
            (*owner_)->dropIdle(shared_from_this());
            return;
        }
        if (error) {
            finish(HttpResultKind::Broken);
            return;
        }
        if (!parse(size)) {
            return;
        }
        while (size == input_.size()) { // the socket may hold more input
            boost::system::error_code failed;
            size = socket_.read_some(asio::buffer(input_), failed);
            if (failed == asio::error::would_block) {
                break;
            }
            if (failed) {
                finish(HttpResultKind::Broken);
                return;
            }
            if (!parse(size)) {
                return;
            }
        }
        readMore();
    }

    /// Parses `size` bytes of input_. Returns false if the call has ended.
    bool parse(std::size_t size)
    {
        std::string_view bytes {input_.data(), size};
        if (!unparsed_.empty()) {
            unparsed_ += bytes;
            bytes = unparsed_;
        }
        boost::system::error_code error;
        const std::size_t consumed = parser_->put(asio::buffer(bytes.data(), bytes.size()), error);
        const bool isPartial = error == http::error::need_more;
        if (error && !isPartial) {
            finish(error == http::error::body_limit ? HttpResultKind::TooLarge
                                                    : HttpResultKind::Broken);
            return false;
        }
        // A response without a length ends with its connection, so truncation can't be detected.
        if (parser_->is_header_done() && !parser_->isDelimited()) {
            finish(HttpResultKind::Broken);
            return false;
        }
        if (parser_->is_done()) {
            isReusable_ =
                consumed == bytes.size() && sent_ == request_.size() && parser_->keep_alive();
            finish(HttpResultKind::Answered);
            return false;
        }
        unparsed_ = std::string {bytes.substr(consumed)};
        if (unparsed_.size() > maxUnparsedBytes) {
            finish(HttpResultKind::TooLarge);
            return false;
        }
        return true;
    }

    void finish(HttpResultKind kind, const boost::system::error_code &connectError = {})
    {
        CallClient *client = *owner_;
        if (client == nullptr) {
            return;
        }
        const ConnectionPtr self = shared_from_this();
        HttpOutcome outcome;
        outcome.kind = kind;
        outcome.connectError = connectError;
        if (kind == HttpResultKind::Answered) {
            outcome.response.result(parser_->status());
            outcome.response.body() = parser_->takeBody();
        }
        const Done done = std::exchange(done_, nullptr);
        client->removeBusy(*this);
        unparsed_.clear();
        if (kind == HttpResultKind::Answered && isReusable_) {
            idleSince_ = std::chrono::steady_clock::now();
            readMore();
            client->keepIdle(self);
        } else {
            close();
        }
        if (kind == HttpResultKind::TimedOut) {
            client->closeIdle(to_); // the other connections may be dead too
        }
        done(outcome);
    }

    std::shared_ptr<CallClient *> owner_;
    NodeAddress to_;
    CallSocket socket_;
    std::array<char, readBytes> input_ {};
    std::string unparsed_; // partial input that the parser has not consumed
    std::string request_;
    std::size_t sent_ = 0; // bytes of the request written so far
    std::optional<AnswerParser> parser_;
    Done done_; // empty if the connection is idle or closed
    MonotonicTime deadline_; // of the current operation
    MonotonicTime callDeadline_; // of the call; deadline_ is that of connecting until connected
    MonotonicTime idleSince_;
    std::size_t busyIndex_ = 0;
    bool isConnected_ = false;
    bool isReusable_ = false; // complete response without trailing bytes, keep-alive allowed
};

std::size_t CallClient::AddressHash::operator()(const NodeAddress &address) const
{
    return std::hash<std::string> {}(address.ip) ^ std::hash<std::uint16_t> {}(address.port);
}

CallClient::CallClient(asio::io_context &context, HttpClientLimits limits)
    : context_(context)
    , limits_(limits)
    , timer_(context)
    , self_(std::make_shared<CallClient *>(this))
{
}

CallClient::~CallClient()
{
    *self_ = nullptr;
    for (const ConnectionPtr &connection : busy_) {
        connection->close();
    }
    for (const auto &entry : idle_) {
        for (const ConnectionPtr &connection : entry.second) {
            connection->close();
        }
    }
}

void CallClient::send(const NodeAddress &to, std::string request, MonotonicTime deadline, Done done)
{
    const MonotonicTime now = std::chrono::steady_clock::now();
    if (now >= deadline) {
        asio::post(context_, [done = std::move(done)]() {
            done(HttpOutcome {HttpResultKind::NotSent, {}});
        });
        return;
    }
    while (const ConnectionPtr connection = takeIdle(to)) {
        if (!connection->isUsable(now)) {
            connection->close();
            continue;
        }
        connection->begin(std::move(request), deadline, std::move(done), limits_.maxAnswerBytes);
        if (connection->write()) {
            addBusy(connection);
            return;
        }
        request = connection->takeRequest();
        done = connection->takeDone();
        connection->close();
    }
    const ConnectionPtr connection = std::make_shared<Connection>(*this, to);
    connection->begin(std::move(request), deadline, std::move(done), limits_.maxAnswerBytes);
    connection->connect(now + limits_.connectTimeout);
    addBusy(connection);
}

void CallClient::closeIdle(const NodeAddress &address)
{
    const auto entry = idle_.find(address);
    if (entry == idle_.end()) {
        return;
    }
    for (const ConnectionPtr &connection : entry->second) {
        connection->close();
    }
    idle_.erase(entry);
}

CallClient::ConnectionPtr CallClient::takeIdle(const NodeAddress &to)
{
    const auto entry = idle_.find(to);
    if (entry == idle_.end() || entry->second.empty()) {
        return nullptr;
    }
    ConnectionPtr connection = std::move(entry->second.back());
    entry->second.pop_back();
    return connection;
}

void CallClient::keepIdle(const ConnectionPtr &connection)
{
    std::vector<ConnectionPtr> &idle = idle_[connection->to()];
    idle.push_back(connection);
    if (idle.size() > limits_.maxIdlePerAddress) {
        idle.front()->close();
        idle.erase(idle.begin());
    }
}

void CallClient::dropIdle(const ConnectionPtr &connection)
{
    const auto entry = idle_.find(connection->to());
    if (entry != idle_.end()) {
        std::erase(entry->second, connection);
    }
}

void CallClient::addBusy(const ConnectionPtr &connection)
{
    connection->setBusyIndex(busy_.size());
    busy_.push_back(connection);
    armTimer(connection->deadline());
}

void CallClient::removeBusy(Connection &connection)
{
    const std::size_t busyIndex = connection.busyIndex();
    std::swap(busy_[busyIndex], busy_.back());
    busy_[busyIndex]->setBusyIndex(busyIndex);
    busy_.pop_back();
}

void CallClient::armTimer(MonotonicTime deadline)
{
    if (deadline >= timerDeadline_) {
        return;
    }
    timerDeadline_ = deadline;
    timer_.expires_at(deadline);
    timer_.async_wait([self = self_](const boost::system::error_code &error) {
        if (!error && *self != nullptr) {
            (*self)->expireCalls();
        }
    });
}

void CallClient::expireCalls()
{
    timerDeadline_ = MonotonicTime::max();
    const MonotonicTime now = std::chrono::steady_clock::now();
    MonotonicTime next = MonotonicTime::max();
    std::vector<ConnectionPtr> expired;
    for (const ConnectionPtr &connection : busy_) {
        if (connection->deadline() <= now) {
            expired.push_back(connection);
        } else {
            next = std::min(next, connection->deadline());
        }
    }
    if (next != MonotonicTime::max()) {
        armTimer(next);
    }
    for (const ConnectionPtr &connection : expired) {
        connection->expire();
    }
}

std::string postText(
    const NodeAddress &to, std::string_view target, std::string_view header, std::string_view body)
{
    constexpr std::size_t fixedBytes = 128;
    std::string text;
    text.reserve(fixedBytes + to.ip.size() + target.size() + header.size() + body.size());
    text += "POST ";
    text += target;
    text += " HTTP/1.1\r\nHost: ";
    text += to.ip;
    text += ':';
    text += std::to_string(to.port);
    text += "\r\nContent-Type: application/json\r\n";
    text += header;
    text += "Content-Length: ";
    text += std::to_string(body.size());
    text += "\r\n\r\n";
    text += body;
    return text;
}

} // namespace crocusmill
