/// Crowds of clients outside the limits: no process ends, memory and descriptors stay bounded, and
/// an ordinary client gets its answer while the crowd is still connected.

#include "test/live/platformcell.h"

#include <catch2/catch.hpp>

#include <arpa/inet.h>
#include <fcntl.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace crocusmill::live
{

namespace
{

constexpr std::uint32_t replicaCount = 3;
constexpr std::uint32_t entryVm = replicaCount + 1;
constexpr std::uint64_t mebibyte = 1024ULL * 1024;
/// The memory of the smallest VMs of each role.
const ByteCount entryMemory {120 * mebibyte};
const ByteCount replicaMemory {256 * mebibyte};
/// Descriptors of a process besides those of its clients.
constexpr std::size_t ownDescriptors = 64;

/// Connections of one client that sends what it likes and reads no answer.
class Crowd
{
public:
    Crowd(const NodeAddress &to, std::size_t count)
        : sockets_(count, -1)
    {
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_port = htons(to.port);
        ::inet_pton(AF_INET, to.ip.c_str(), &address.sin_addr);
        for (int &socket : sockets_) {
            socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
            static_cast<void>(
                ::connect(socket, reinterpret_cast<const sockaddr *>(&address), sizeof(address)));
            ::fcntl(socket, F_SETFL, O_NONBLOCK);
        }
    }

    ~Crowd()
    {
        for (const int socket : sockets_) {
            ::close(socket);
        }
    }

    Crowd(const Crowd &) = delete;
    Crowd &operator=(const Crowd &) = delete;

    /// Sends the text on each connection, as far as the peers take it.
    void send(const std::string &text)
    {
        send(std::vector<std::string>(sockets_.size(), text));
    }

    /// Sends one text on each connection, as far as the peers take it.
    void send(const std::vector<std::string> &texts)
    {
        constexpr int stallTimeoutMs = 1'500;
        std::vector<std::size_t> sent(sockets_.size(), 0);
        std::vector<pollfd> waiting;
        do {
            waiting.clear();
            for (std::size_t i = 0; i < sockets_.size(); ++i) {
                if (sendSome(i, texts[i], sent[i])) {
                    waiting.push_back({sockets_[i], POLLOUT, 0});
                }
            }
        } while (!waiting.empty() && ::poll(waiting.data(), waiting.size(), stallTimeoutMs) > 0);
    }

private:
    /// Returns whether there is more to send and the connection is not closed.
    [[nodiscard]] bool sendSome(std::size_t i, const std::string &text, std::size_t &sent) const
    {
        while (sent < text.size()) {
            const ssize_t size = ::send(
                sockets_[i], text.data() + sent, text.size() - sent, MSG_NOSIGNAL | MSG_DONTWAIT);
            if (size < 0) {
                return errno == EAGAIN || errno == EWOULDBLOCK;
            }
            sent += static_cast<std::size_t>(size);
        }
        return false;
    }

    std::vector<int> sockets_;
};

const std::string head = "POST /jobs/5c00000000000001 HTTP/1.1\r\nHost: rocola.test\r\n";

std::string announcing(std::uint64_t bytes)
{
    return head + "Content-Length: " + std::to_string(bytes) + "\r\n\r\n";
}

/// A chunked body in chunks of 4 KiB, without its end.
std::string chunks(std::uint64_t bytes)
{
    constexpr std::size_t chunkBytes = 4'096;
    std::string text = head + "Transfer-Encoding: chunked\r\n\r\n";
    for (std::uint64_t size = 0; size < bytes; size += chunkBytes) {
        text += "1000\r\n" + std::string(chunkBytes, ' ') + "\r\n";
    }
    return text;
}

/// Trailer fields behind a chunked body, without the last line.
std::string trailers(std::uint64_t bytes)
{
    const std::string field = "X-Field: " + std::string(200, 'x') + "\r\n";
    std::string text = head + "Transfer-Encoding: chunked\r\n\r\n0\r\n";
    while (text.size() < bytes) {
        text += field;
    }
    return text;
}

/// A chunk's extension, without the end of its line.
std::string extension(std::uint64_t bytes)
{
    return head + "Transfer-Encoding: chunked\r\n\r\n1;name=" + std::string(bytes, 'x');
}

struct Fixture
{
    explicit Fixture(std::uint8_t network, boost::json::object entrySettings = {})
        : cell(network,
            {replicaCount, 1, {"127.0." + std::to_string(network) + ".200", 8'165},
                withLongTimeouts(std::move(entrySettings))})
    {
        cell.startAll();
        REQUIRE(cell.installQueue());
        REQUIRE(eventually([this]() { return isServing(); }));
    }

    /// Slow clients are not cut off by time during the test.
    static boost::json::object withLongTimeouts(boost::json::object settings)
    {
        settings["receive_ms"] = 60'000;
        settings["idle_ms"] = 60'000;
        return settings;
    }

    /// Whether a client learns that there is no such job.
    [[nodiscard]] bool isServing() const
    {
        return cell.call(0, "GET", "/jobs/5c000000000000ff").status == 410;
    }

    /// Waits until the processes have read what was sent to them: their memory does not grow any
    /// more.
    void settle() const
    {
        constexpr int steadyPolls = 12;
        int steadyCount = 0;
        std::uint64_t before = 0;
        static_cast<void>(eventually([&]() {
            std::uint64_t total = 0;
            for (std::uint32_t vm = 1; vm <= cell.vmCount(); ++vm) {
                total += cell.process(vm).peakMemory().value();
            }
            steadyCount = total == before ? steadyCount + 1 : 0;
            before = total;
            return steadyCount >= steadyPolls;
        }));
    }

    void checkAllAlive() const
    {
        settle();
        for (std::uint32_t vm = 1; vm <= cell.vmCount(); ++vm) {
            INFO("VM " << vm);
            CHECK(cell.process(vm).isAlive());
            CHECK(cell.process(vm).peakMemory().value()
                <= (vm == entryVm ? entryMemory : replicaMemory).value());
        }
    }

    PlatformCell cell;
};

} // namespace

// Guards against an entry whose memory grows with trailers and chunk extensions that never end.
TEST_CASE("trailers without end took the memory of an entry")
{
    constexpr std::uint8_t network = 61;
    constexpr std::size_t clientCount = 16;
    constexpr std::uint64_t sentBytes = 12 * mebibyte;
    Fixture fixture {network};
    const bool isExtension = GENERATE(false, true);
    Crowd crowd {fixture.cell.front(0), clientCount};
    crowd.send(isExtension ? extension(sentBytes) : trailers(sentBytes));
    fixture.checkAllAlive();
    CHECK(fixture.isServing());
}

// Guards against an entry whose memory grows with the bodies that it receives at the same time:
// large ones that are announced, and ones that are just sent.
TEST_CASE("bodies over the limit took the memory of an entry")
{
    constexpr std::uint8_t network = 62;
    constexpr std::size_t clientCount = 240;
    constexpr std::uint64_t bodyBytes = 1'000'000;
    Fixture fixture {network};
    std::vector<std::string> texts;
    for (std::size_t client = 0; client < clientCount; ++client) {
        texts.push_back(client % 2 == 0 ? announcing(bodyBytes) + std::string(bodyBytes - 1, ' ')
                                        : chunks(bodyBytes));
    }
    Crowd crowd {fixture.cell.front(0), clientCount};
    crowd.send(texts);
    // Far over the limit, announced or just sent.
    Crowd farOver {fixture.cell.front(0), 2};
    farOver.send(
        {announcing(200 * mebibyte) + std::string(8 * mebibyte, ' '), chunks(8 * mebibyte)});
    fixture.checkAllAlive();
    CHECK(fixture.isServing());
}

// Guards against a replica whose memory grows with the documents that it receives at the same time.
TEST_CASE("bodies sent to the operators' address took the memory of a replica")
{
    constexpr std::uint8_t network = 63;
    constexpr std::size_t clientCount = 96;
    constexpr std::uint64_t bodyBytes = 4'000'000;
    Fixture fixture {network};
    Crowd crowd {PlatformCell::control(network, 1).front(), clientCount};
    crowd.send(announcing(bodyBytes) + std::string(bodyBytes - 1, ' '));
    fixture.checkAllAlive();
    CHECK(fixture.isServing());
    CHECK(fixture.cell.installQueue(2, "jobs"));
}

// Guards against silent and slow clients that take all connections, so that no other client gets an
// answer.
TEST_CASE("silent and slow clients took all connections of an entry")
{
    constexpr std::uint8_t network = 64;
    constexpr std::size_t connectionLimit = 48;
    constexpr std::size_t clientCount = 200;
    Fixture fixture {network, {{"connections", connectionLimit}}};
    Crowd silent {fixture.cell.front(0), clientCount};
    Crowd slow {fixture.cell.front(0), clientCount};
    for (const char byte : std::string {"POST /jobs"}) {
        slow.send(std::string {byte});
    }
    fixture.checkAllAlive();
    CHECK(fixture.cell.process(entryVm).openDescriptorCount() <= connectionLimit + ownDescriptors);
    CHECK(fixture.isServing());
}

} // namespace crocusmill::live
