/// Tests of messages between two VMs over TLS: framing, sizes, order and reconnection.

#include "src/net/controlloop.h"
#include "src/net/framebuffer.h"
#include "src/services/peerservice.h"

#include <capnp/serialize.h>
#include <catch2/catch.hpp>
#include <kj/exception.h>

#include <cstring>
#include <future>
#include <numeric>
#include <random>
#include <thread>

namespace crocusmill
{

namespace
{

constexpr std::uint64_t maxWords = 1'000'000;

std::string randomBytes(std::mt19937_64 &random, std::size_t size)
{
    std::string bytes(size, '\0');
    for (char &byte : bytes) {
        byte = static_cast<char>(random());
    }
    return bytes;
}

std::string frameMessage(const std::string &data)
{
    capnp::MallocMessageBuilder builder {8}; // several segments
    builder.initRoot<capnp::AnyPointer>().setAs<capnp::Data>(
        capnp::Data::Reader {reinterpret_cast<const kj::byte *>(data.data()), data.size()});
    const kj::Array<capnp::word> flat = capnp::messageToFlatArray(builder);
    return {reinterpret_cast<const char *>(flat.begin()), flat.asBytes().size()};
}

std::string payloadOf(const kj::Array<capnp::word> &message)
{
    capnp::FlatArrayMessageReader reader {message.asPtr()};
    const capnp::Data::Reader data = reader.getRoot<capnp::AnyPointer>().getAs<capnp::Data>();
    return {reinterpret_cast<const char *>(data.begin()), data.size()};
}

std::string prefix(std::uint32_t segments, std::uint32_t words)
{
    std::string bytes(sizeof(std::uint64_t), '\0');
    std::memcpy(bytes.data(), &segments, sizeof(segments));
    std::memcpy(bytes.data() + sizeof(segments), &words, sizeof(words));
    return bytes;
}

/// Control thread of a VM with its peer service. onLoop() runs a function on it.
class Vm
{
public:
    explicit Vm(std::uint16_t port)
        : address_ {"127.0.0.1", port}
    {
        PeerSettings settings;
        settings.listen = address_;
        settings.advertise = address_;
        service_ = makePeerService(
            loop_, settings, std::make_unique<PeerKey>("a key of at least thirty-two bytes"));
        peers_ = dynamic_cast<Peers *>(service_.get());
        thread_ = std::thread {[this]() {
            loop_.run([this]() {
                service_->stop();
                service_.reset();
            });
        }};
        onLoop([this]() {
            static_cast<void>(service_->start(kernel_));
            started_.set_value();
        });
        started_.get_future().wait();
    }

    ~Vm()
    {
        loop_.stop();
        thread_.join();
    }

    Vm(const Vm &) = delete;
    Vm &operator=(const Vm &) = delete;

    void onLoop(std::function<void()> work)
    {
        asio::post(loop_.context(), std::move(work));
    }

    [[nodiscard]] Peers &peers()
    {
        return *peers_;
    }

    [[nodiscard]] const NodeAddress &address() const
    {
        return address_;
    }

    [[nodiscard]] std::future<Result<Reply>> call(Vm &to, const Call &call)
    {
        const std::shared_ptr<std::promise<Result<Reply>>> reply =
            std::make_shared<std::promise<Result<Reply>>>();
        onLoop([this, &to, call, reply]() {
            constexpr Milliseconds limit {20'000};
            peers_->call(to.address(), call, limit,
                [reply](const Result<Reply> &result) { reply->set_value(result); });
        });
        return reply->get_future();
    }

private:
    NodeAddress address_;
    ControlLoop loop_;
    Kernel kernel_;
    std::unique_ptr<Service> service_;
    Peers *peers_ = nullptr;
    std::promise<void> started_;
    std::thread thread_;
};

/// Answers a proposal with its command.
void echo(const Call &call, const ReplyHandler &done)
{
    done(OperatorReply {true, std::get<ProposeCall>(call).command});
}

std::string bodyOf(std::future<Result<Reply>> reply)
{
    const Result<Reply> result = reply.get();
    return result ? std::get<OperatorReply>(result.value()).body : result.error().message();
}

} // namespace

TEST_CASE("messages are extracted however the byte stream is split")
{
    std::mt19937_64 random {1};
    constexpr int trials = 200;
    for (int trial = 0; trial < trials; ++trial) {
        std::vector<std::string> sent;
        std::string bytes;
        for (int i = 0; i < 20; ++i) {
            const std::size_t size = random() % 4 == 0 ? random() % 20'000 : random() % 100;
            sent.push_back(randomBytes(random, size));
            bytes += frameMessage(sent.back());
        }
        FrameBuffer buffer;
        std::vector<std::string> received;
        kj::Array<capnp::word> message;
        for (std::size_t offset = 0; offset < bytes.size();) {
            const std::size_t maxChunkBytes = random() % 2 == 0 ? 10 : 10'000;
            const std::size_t size = std::min(bytes.size() - offset, 1 + random() % maxChunkBytes);
            buffer.append(std::string_view {bytes}.substr(offset, size));
            offset += size;
            while (random() % 3 != 0 && buffer.takeMessage(message, maxWords)) {
                received.push_back(payloadOf(message));
            }
        }
        while (buffer.takeMessage(message, maxWords)) {
            received.push_back(payloadOf(message));
        }
        REQUIRE(received == sent);
    }
}

TEST_CASE("a message with a too large stated size is refused before it arrives")
{
    kj::Array<capnp::word> message;
    FrameBuffer longSegment;
    longSegment.append(prefix(0, maxWords + 1));
    CHECK_THROWS_AS(longSegment.takeMessage(message, maxWords), kj::Exception);
    FrameBuffer manySegments;
    manySegments.append(prefix(0xffff'fffe, 1));
    CHECK_THROWS_AS(manySegments.takeMessage(message, maxWords), kj::Exception);
}

TEST_CASE("concurrent calls of all sizes return what was sent")
{
    Vm client {18'481};
    Vm server {18'482};
    server.peers().onCall(echo);
    std::mt19937_64 random {2};
    std::vector<std::string> sent;
    std::vector<std::future<Result<Reply>>> replies;
    // Some are larger than the socket buffers: the writer has to wait for the reader.
    for (const std::size_t size : {0, 1, 100, 16'384, 100'000, 9'000'000, 5, 12'000'000, 70}) {
        for (int i = 0; i < 3; ++i) {
            sent.push_back(randomBytes(random, size));
            replies.push_back(client.call(server, ProposeCall {sent.back()}));
        }
    }
    for (std::size_t i = 0; i < sent.size(); ++i) {
        const std::string body = bodyOf(std::move(replies[i]));
        INFO("call " << i << " of " << sent[i].size() << " bytes");
        CHECK((body == sent[i]));
    }
}

TEST_CASE("one-way messages all arrive in order")
{
    Vm from {18'483};
    Vm to {18'484};
    to.peers().onCall(echo);
    constexpr std::uint64_t count = 1'000;
    std::vector<std::uint64_t> seen; // on the receiver's control thread
    std::promise<void> all;
    to.onLoop([&]() {
        to.peers().onMessage([&](const Message &message) {
            seen.push_back(message.term.value());
            if (seen.size() == count) {
                all.set_value();
            }
        });
    });
    REQUIRE(bodyOf(from.call(to, ProposeCall {"connect"})) == "connect");
    // Batches are smaller than the number of messages that a link sends without an answer.
    constexpr std::uint64_t batchSize = 100;
    for (std::uint64_t first = 0; first < count; first += batchSize) {
        from.onLoop([&, first]() {
            for (std::uint64_t term = first; term < first + batchSize; ++term) {
                from.peers().deliver(to.address(),
                    {ReplicaId {1}, ReplicaId {2}, Term {term}, VoteReply {false, true}});
            }
        });
        REQUIRE(bodyOf(from.call(to, ProposeCall {"next"})) == "next");
        std::this_thread::sleep_for(Milliseconds {40}); // the answers to a batch may be deferred
    }
    REQUIRE(all.get_future().wait_for(Milliseconds {10'000}) == std::future_status::ready);
    std::vector<std::uint64_t> expected(count);
    std::iota(expected.begin(), expected.end(), std::uint64_t {0});
    CHECK(seen == expected);
}

TEST_CASE("a call fails if the VM stops, and a later call reconnects to the restarted VM")
{
    Vm client {18'485};
    std::unique_ptr<Vm> server = std::make_unique<Vm>(18'486);
    server->peers().onCall(echo);
    REQUIRE(bodyOf(client.call(*server, ProposeCall {"1"})) == "1");
    std::promise<void> callReceived;
    server->onLoop([&]() {
        server->peers().onCall(
            [&](const Call &, const ReplyHandler &) { callReceived.set_value(); });
    });
    std::future<Result<Reply>> unanswered = client.call(*server, ProposeCall {"2"});
    callReceived.get_future().wait();
    server.reset();
    CHECK(unanswered.get().has_error());
    server = std::make_unique<Vm>(18'486);
    server->peers().onCall(echo);
    std::string body;
    for (int attempt = 0; attempt < 100 && body != "3"; ++attempt) {
        std::this_thread::sleep_for(Milliseconds {50});
        body = bodyOf(client.call(*server, ProposeCall {"3"}));
    }
    CHECK(body == "3");
}

} // namespace crocusmill
