/// Tests of binary records: round trips, JSON records of earlier versions and malformed input.

#include "src/wire/binary.h"

#include "src/wire/calljson.h"

#include <catch2/catch.hpp>

#include <random>

namespace crocusmill
{

namespace
{

struct OldPair
{
    std::uint32_t first = 0;
};

struct NewPair
{
    std::uint32_t first = 0;
    std::string second = "default";
};

BOOST_DESCRIBE_STRUCT(OldPair, (), (first))
BOOST_DESCRIBE_STRUCT(NewPair, (), (first, second))

template <typename T> std::string bytesOf(const T &value)
{
    std::string out;
    BinaryWriter {out}.put(value);
    return out;
}

template <typename T> std::optional<T> valueOf(std::string_view bytes)
{
    T value {};
    BinaryReader reader {bytes};
    reader.take(value);
    return reader.atEnd() ? std::optional<T> {std::move(value)} : std::nullopt;
}

template <typename T> void checkNumbers(const std::vector<T> &values)
{
    for (const T value : values) {
        CHECK(valueOf<T>(bytesOf(value)) == value);
    }
}

std::string allByteValues()
{
    std::string bytes;
    for (int value = 0; value < 256; ++value) {
        bytes.push_back(static_cast<char>(value));
    }
    return bytes;
}

GraphSpec sampleSpec()
{
    GraphSpec spec;
    spec.id = GraphId {"481a31d2707681df"};
    spec.payload = allByteValues();
    StepSpec step;
    step.tasks = 7;
    step.size = {2'000, ByteCount {1ULL << 40U}, 3};
    step.after = {0, 1, 300};
    step.gang = true;
    step.label = WorkerLabel {"gpu"};
    spec.steps = {step, {}};
    spec.recurrence = {3, WallTime {Milliseconds {-5}}, Milliseconds {1'000}};
    spec.slackFactor = 1.75;
    return spec;
}

std::vector<Command> sampleCommands()
{
    const TaskRef task {GraphId {"g"}, 1, 2, 3};
    const Incarnation incarnation {"1771522272375"};
    AdmitWork admit;
    admit.work = WorkId {"w"};
    admit.workClass = WorkClass::Heavy;
    admit.request = StoredRequest {"POST", "/", {{"a", "b"}}, allByteValues()};
    return {admit, SubmitGraph {sampleSpec(), WallTime {Milliseconds {1'771'522'272'375}}},
        PlaceRuns {{{task, RunNumber {1}, WorkerId {"w"}, incarnation}}}, PlaceRuns {},
        EndRuns {{{task, RunNumber {2}, RunEnd::Lost, Checkpoint {allByteValues()}}}, WallTime {}},
        NoteLeaving {WorkerId {"w"}, incarnation, WallTime {}}, CancelGraph {}, ForgetEnded {},
        NoteStarts {{GraphId {"g"}, GraphId {allByteValues()}}}};
}

std::vector<Call> sampleCalls()
{
    WorkerHeartbeat heartbeat;
    heartbeat.id = WorkerId {"w"};
    heartbeat.labels = {WorkerLabel {"a"}, WorkerLabel {allByteValues()}};
    heartbeat.address = {"10.0.3.17", 65'535};
    BeatCall beat;
    beat.held = {{UpstreamId {"u"}, SlotCount {3}}};
    return {GraphCall {GraphAction::Show, "host", "/jobs/1", {}},
        GraphCall {GraphAction::Submit, "host", "/jobs", sampleSpec()},
        HeartbeatCall {heartbeat, true}, PresenceCall {VmId {"vm"}, {}, ReplicaId {7}, true, true},
        beat, ProposeCall {allByteValues()}, FormCall {}, OperatorCall {}};
}

/// Returns the JSON of a value, for comparing values without an operator==.
template <typename Variant> std::string jsonOrErrorOf(const Result<Variant> &value)
{
    return value ? encodeVariant(value.value()) : value.error().message();
}

template <typename Variant> void checkRoundTrip(const std::vector<Variant> &records)
{
    for (const Variant &record : records) {
        const std::string text = encodeVariant(record);
        CHECK(jsonOrErrorOf(decodeRecord<Variant>(encodeRecord(record))) == text);
        CHECK(jsonOrErrorOf(decodeRecord<Variant>(text))
            == text); // JSON record of an earlier version
        CHECK(encodeRecord(record).size() < text.size());
    }
}

/// Checks that truncated records are refused, and that records with changed bytes are refused or
/// decoded to a value that can be encoded again.
template <typename Variant> void checkMalformed(const std::vector<Variant> &records)
{
    std::mt19937_64 random {1};
    for (const Variant &record : records) {
        const std::string bytes = encodeRecord(record);
        for (std::size_t size = 0; size < bytes.size(); ++size) {
            CHECK(decodeRecord<Variant>(std::string_view {bytes}.substr(0, size)).has_error());
        }
        CHECK(decodeRecord<Variant>(bytes + '\0').has_error());
        constexpr int iterations = 3'000;
        for (int trial = 0; trial < iterations; ++trial) {
            std::string changed = bytes;
            for (std::uint64_t change = 0; change <= random() % 3; ++change) {
                changed[random() % changed.size()] = static_cast<char>(random());
            }
            const Result<Variant> decoded = decodeRecord<Variant>(changed);
            if (decoded) {
                const std::string again = encodeRecord(decoded.value());
                CHECK(decodeRecord<Variant>(again).has_value());
            }
        }
    }
}

} // namespace

TEST_CASE("numbers at the limits of their types survive a round trip")
{
    checkNumbers<std::uint64_t>({0, 1, 127, 128, 16'383, 16'384, UINT64_MAX, UINT64_MAX - 1});
    checkNumbers<std::int64_t>({0, -1, 1, 63, -64, 64, -65, INT64_MIN, INT64_MAX});
    checkNumbers<std::uint16_t>({0, 255, 256, UINT16_MAX});
    checkNumbers<std::int32_t>({INT32_MIN, -1, INT32_MAX});
    checkNumbers<double>({0, -0.5, 1e300, std::numeric_limits<double>::infinity()});
    CHECK(bytesOf(std::uint64_t {127}).size() == 1);
}

TEST_CASE("a number out of range of its type is refused")
{
    CHECK_FALSE(valueOf<std::uint16_t>(bytesOf(std::uint64_t {65'536})));
    CHECK_FALSE(valueOf<std::int32_t>(bytesOf(std::int64_t {INT32_MAX} + 1)));
    CHECK_FALSE(valueOf<bool>(bytesOf(std::uint64_t {2})));
    CHECK_FALSE(valueOf<RunEnd>(bytesOf(std::uint64_t {5})));
    CHECK_FALSE(valueOf<std::uint64_t>(std::string(9, '\xff') + '\x02'));
    CHECK_FALSE(valueOf<std::uint64_t>(std::string(11, '\xff')));
    CHECK(valueOf<std::uint64_t>(std::string(9, '\xff') + '\x01') == UINT64_MAX);
}

TEST_CASE("a count larger than the remaining bytes is refused before allocation")
{
    CHECK_FALSE(valueOf<std::vector<std::string>>(bytesOf(std::uint64_t {1} << 40U)));
    CHECK_FALSE(valueOf<std::string>(bytesOf(std::uint64_t {1} << 40U)));
    CHECK_FALSE(valueOf<std::string>(bytesOf(UINT64_MAX)));
}

TEST_CASE("commands and calls survive a round trip in both encodings")
{
    checkRoundTrip(sampleCommands());
    checkRoundTrip(sampleCalls());
}

TEST_CASE("truncated records are refused, changed records are refused or decoded")
{
    checkMalformed(sampleCommands());
    checkMalformed(sampleCalls());
}

TEST_CASE("records of an unknown kind or format version are refused with their own errors")
{
    std::string unknown {binaryVersion};
    BinaryWriter {unknown}.put(std::string_view {"from_the_future"});
    CHECK(decodeRecord<Command>(unknown).error() == CodecError::UnknownKind);
    std::string later = encodeRecord(Command {CancelGraph {}});
    later.front() = binaryVersion + 1;
    CHECK(decodeRecord<Command>(later).error() == CodecError::Malformed);
    CHECK(decodeRecord<Command>("").error() == CodecError::Malformed);
}

TEST_CASE("a member missing in an older record gets its default")
{
    const std::optional<NewPair> read = valueOf<NewPair>(bytesOf(OldPair {3}));
    REQUIRE(read);
    CHECK(read->first == 3);
    CHECK(read->second == "default");
    CHECK_FALSE(valueOf<OldPair>(bytesOf(NewPair {3, "x"})));
}

} // namespace crocusmill
