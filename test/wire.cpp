/// Tests of messages and calls between VMs with changed or missing bytes.

#include "src/net/consensuswire.h"
#include "src/wire/calls.h"

#include <capnp/serialize.h>
#include <catch2/catch.hpp>
#include <kj/exception.h>

#include <cstring>
#include <random>

namespace crocusmill
{

namespace
{

using Words = std::vector<std::uint64_t>;

Words encode(const Message &message)
{
    capnp::MallocMessageBuilder builder;
    writeMessage(message, builder.initRoot<rpc::ConsensusMessage>());
    const kj::Array<capnp::word> flat = capnp::messageToFlatArray(builder);
    Words words(flat.size());
    std::memcpy(words.data(), flat.begin(), flat.asBytes().size());
    return words;
}

enum class ReadOutcome { Read, Refused, NotFramed };

/// Reads a message like the connection does. The library refuses bad framing with kj::Exception.
ReadOutcome read(const Words &words, Message &message)
{
    try {
        const capnp::word *first = reinterpret_cast<const capnp::word *>(words.data());
        capnp::FlatArrayMessageReader reader {
            kj::ArrayPtr<const capnp::word> {first, words.size()}};
        Result<Message> decoded = readMessage(reader.getRoot<rpc::ConsensusMessage>());
        if (!decoded) {
            return ReadOutcome::Refused;
        }
        message = std::move(decoded.value());
        return ReadOutcome::Read;
    } catch (const kj::Exception &) {
        return ReadOutcome::NotFramed;
    }
}

std::vector<Message> sampleMessages()
{
    const Membership membership {
        {{ReplicaId {1}, VmId {"vm-1"}, {"127.0.0.1", 1}, MemberRole::Voter}}};
    const SnapshotPtr snapshot =
        std::make_shared<const Snapshot>(Snapshot {LogIndex {5}, Term {2}, membership, "state"});
    AppendRequest append;
    append.previousIndex = LogIndex {5};
    append.previousTerm = Term {2};
    append.entries = {{LogIndex {6}, Term {2}, EntryKind::Command, "payload"},
        {LogIndex {7}, Term {2}, EntryKind::Noop, {}}};
    const std::vector<MessageBody> bodies {VoteRequest {true, LogIndex {7}, Term {2}},
        VoteReply {false, true}, append, AppendReply {true, LogIndex {7}, LogIndex {5}, 1},
        InstallRequest {snapshot, 1}};
    std::vector<Message> messages;
    messages.reserve(bodies.size());
    for (const MessageBody &body : bodies) {
        messages.push_back({ReplicaId {1}, ReplicaId {2}, Term {2}, body});
    }
    return messages;
}

/// Returns whether the indices of decoded entries are consecutive.
bool isInOrder(const Message &message)
{
    const AppendRequest *append = std::get_if<AppendRequest>(&message.body);
    LogIndex expected = append == nullptr ? LogIndex {} : next(append->previousIndex);
    for (std::size_t i = 0; append != nullptr && i < append->entries.size(); ++i) {
        if (append->entries[i].index != expected) {
            return false;
        }
        expected = next(expected);
    }
    return true;
}

} // namespace

TEST_CASE("a message survives a round trip")
{
    for (const Message &message : sampleMessages()) {
        Message read;
        REQUIRE(crocusmill::read(encode(message), read) == ReadOutcome::Read);
        CHECK(read.body.index() == message.body.index());
        CHECK(read.term == message.term);
    }
}

TEST_CASE("truncated messages are refused, bit flips are refused or give ordered entries")
{
    for (const Message &message : sampleMessages()) {
        const Words whole = encode(message);
        for (std::size_t length = 0; length < whole.size(); ++length) {
            Message decoded;
            const Words cut {whole.begin(), whole.begin() + static_cast<std::ptrdiff_t>(length)};
            CHECK(read(cut, decoded) != ReadOutcome::Read);
        }
        const std::size_t bits = whole.size() * sizeof(std::uint64_t) * 8;
        for (std::size_t bit = 0; bit < bits; ++bit) {
            Words flipped = whole;
            unsigned char *bytes = reinterpret_cast<unsigned char *>(flipped.data());
            bytes[bit / 8] = static_cast<unsigned char>(bytes[bit / 8] ^ (1U << (bit % 8)));
            Message decoded;
            if (read(flipped, decoded) == ReadOutcome::Read) {
                CHECK(isInOrder(decoded));
            }
        }
    }
}

TEST_CASE("every operator action survives encoding")
{
    // A leader handles the operator's call locally, so only calls from other VMs are encoded.
    constexpr int lastAction = static_cast<int>(OperatorAction::Explain);
    for (int number = 0; number <= lastAction; ++number) {
        const OperatorAction action = static_cast<OperatorAction>(number);
        const Result<Call> decoded = decodeCall(encodeCall(Call {OperatorCall {action, "u1"}}));
        INFO(number);
        REQUIRE(decoded.has_value());
        CHECK(std::get<OperatorCall>(decoded.value()).action == action);
    }
}

TEST_CASE("calls and replies with changed bytes are decoded or refused with a codec error")
{
    BeatCall beat;
    beat.vm = VmId {"vm-1"};
    beat.held.push_back({UpstreamId {"u"}, SlotCount {3}});
    const std::string call = encodeCall(Call {beat});
    const std::string reply = encodeReply(Reply {BeatReply {}});
    REQUIRE(decodeCall(call).has_value());
    REQUIRE(decodeReply(reply).has_value());
    std::mt19937_64 random {1};
    constexpr int iterations = 20'000;
    for (int trial = 0; trial < iterations; ++trial) {
        std::string changed = trial % 2 == 0 ? call : reply;
        for (std::uint64_t change = 0; change <= random() % 3; ++change) {
            changed[random() % changed.size()] = static_cast<char>(random());
        }
        changed.resize(random() % 4 == 0 ? random() % changed.size() : changed.size());
        const Result<Call> asCall = decodeCall(changed);
        const Result<Reply> asReply = decodeReply(changed);
        if (!asCall) {
            CHECK(std::string {asCall.error().category().name()} == "codec");
        }
        if (!asReply) {
            CHECK(std::string {asReply.error().category().name()} == "codec");
        }
    }
}

} // namespace crocusmill
