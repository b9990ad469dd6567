/// Odd entries of other writers: each is skipped, its neighbours hold, and no reader throws.
///
/// The readers of the platform's messages get mutations of valid messages. WIRE_FUZZ_SEED and
/// WIRE_FUZZ_ROUNDS select other mutations and more of them.

#include "platform/settings.h"
#include "platform/wire.h"

#include <catch2/catch.hpp>

#include <cstdlib>
#include <random>

namespace crocusmill::platform
{

namespace
{

HttpResponse okResponse(const std::string &body)
{
    HttpResponse response {http::status::ok, 11};
    response.body() = body;
    return response;
}

std::string nested(std::size_t levels)
{
    return std::string(levels, '[') + std::string(levels, ']');
}

const std::string validHeartbeat =
    R"({"service":"s1","addr":"10.1.0.9:8080","zone":"z","version":"v1","slots":8,)"
    R"("state":"ready","cold_left_ms":0,"remaining_ms":0,"seq":4,"born":1781102616921,)"
    R"("clock_ms":482113,"labels":["a","r1-3"],"capacity":{"cpu":16000,"mem_mb":32768,"gpu":0}})";
const std::string validList =
    R"({"clock_ms":482113,"born":9,"running":[["a.0.1.17",2,"0b",41,3],["a.0.1.18",1,"",0,0]],)"
    R"("finished":[[58,"a.0.1.9",1,"done",""],[59,"a.0.1.8",1,"failed",""]]})";
const std::string validJob =
    R"({"spec":"text","repeat_count":2,"start_at_ms":1781102616921,"interval_ms":500,)"
    R"("steps":[{"count":4,"cpu":500,"mem_mb":256,"estimate_ms":900,"affinity":"r1-3"},)"
    R"({"count":20,"cpu":2000,"depends_on":[0],"gang":true,"anti_affinity":2}]})";
const std::string validCatalog =
    R"({"version":7,"routes":[{"name":"r","host":"a.example","prefix":"/q/","kind":"unsafe",)"
    R"("timeout_ms":3000,"slo_ms":1000,"prio":1,"service":"s1","attempts":3,"slack_factor":2.2,)"
    R"("hint":{"decision_ms":520.0,"period_ms":7.4,"validity_ms":1500}}],)"
    R"("services":[{"name":"s1"}],"limits":{"max_body_bytes":262144}})";
const std::string validTickets = R"({"allowed":[["i-1","t1"],["i-2","t2"]],"validity_ms":1500})";
const std::string validStart = R"({"clock_ms":5,"reason":"fence"})";

std::string replaced(std::string text, const std::string &from, const std::string &to)
{
    return text.replace(text.find(from), from.size(), to);
}

/// Reads the message as each kind of message. Fails the test by an exception only.
void readAll(const std::string &text)
{
    std::optional<WorkerTime> clock;
    static_cast<void>(readHeartbeat(WorkerId {"i-1"}, text));
    static_cast<void>(readIncarnation(text));
    static_cast<void>(readHoldResponse(okResponse(text)));
    static_cast<void>(readStartResponse(okResponse(text), clock));
    static_cast<void>(readCatalog(text));
    static_cast<void>(readTicketResponse(text));
    static_cast<void>(parseAddress(text));
    if (const Result<GraphSpec> job = readJob(text)) {
        std::uint64_t tasks = 0;
        for (const StepSpec &step : job.value().steps) {
            tasks += step.tasks;
        }
        CHECK(tasks * std::max(job.value().recurrence.times, 1U) <= 50'000);
    }
}

/// Start and end of each value of a valid JSON text that is not an object or array.
std::vector<std::pair<std::size_t, std::size_t>> scalarsOf(const std::string &text)
{
    std::vector<std::pair<std::size_t, std::size_t>> scalars;
    const std::string delimiters = "[]{},:";
    for (std::size_t begin = 0; begin < text.size();) {
        std::size_t end = begin;
        if (text[begin] == '"') {
            end = text.find('"', begin + 1) + 1;
        } else {
            while (end < text.size() && delimiters.find(text[end]) == std::string::npos) {
                ++end;
            }
        }
        if (end > begin) {
            scalars.emplace_back(begin, end - begin);
        }
        begin = std::max(end, begin + 1);
    }
    return scalars;
}

std::string mutated(std::string text, std::mt19937_64 &random)
{
    static const std::vector<std::string> oddValues {"-1", "65536", "1e308", "-1e308", "1e400",
        "0.5", "-0", "18446744073709551616", "9223372036854775807", "4294967296",
        "123456789012345678901234567890", "NaN", "null", "true", "{}", "[]", R"("")", R"("\u0000")",
        "\"\xff\xfe\"", R"("10.1.0.9:65536")", R"("10.1.0.9:-1")", R"("[::1]:0")", nested(10'000),
        nested(31), "[[],[null],[1,2,3,4,5]]"};
    const auto below = [&random](std::size_t limit) {
        return random() % limit;
    };
    const std::vector<std::pair<std::size_t, std::size_t>> scalars = scalarsOf(text);
    const auto [begin, size] = scalars[below(scalars.size())];
    switch (below(4)) {
    case 0:
        return text.substr(0, below(text.size()));
    case 1:
        text[below(text.size())] = static_cast<char>(below(256));
        return text;
    case 2:
        return text.insert(begin, text.substr(begin, size) + ","); // a field or element twice
    default:
        return text.replace(begin, size, oddValues[below(oddValues.size())]);
    }
}

std::uint64_t fromEnvironment(const char *name, std::uint64_t fallback)
{
    const char *text = std::getenv(name);
    return text == nullptr ? fallback : std::strtoull(text, nullptr, 10);
}

} // namespace

TEST_CASE("a progress that is no whole percentage ended the process that read the list")
{
    for (const char *percent : {"-1", "41.5", "1e300", "4294967296", R"("x")", "null"}) {
        INFO(percent);
        const Result<HoldOutcome> read = readHoldResponse(
            okResponse(replaced(validList, ",41,3]", "," + std::string {percent} + ",3]")));
        REQUIRE(read.has_value());
        CHECK(read.value().report.running.size() == 2);
        CHECK(read.value().report.running[0].percent <= 100);
    }
}

TEST_CASE("one odd row made the whole list of a worker unreadable")
{
    for (const char *row :
        {"null", "[]", "{}", "[1,2,3,4]", R"(["x",2,"",41])", R"([["a"],1,"",4])"}) {
        INFO(row);
        const Result<HoldOutcome> read = readHoldResponse(okResponse(
            replaced(validList, R"("running":[)", R"("running":[)" + std::string {row} + ",")));
        REQUIRE(read.has_value());
        const HoldReport &report = read.value().report;
        CHECK(report.running.size() == 2);
        CHECK(report.ended.size() == 2);
        CHECK(report.foreignRows == 1);
        CHECK(report.unreadableRuns == 0);
    }
}

TEST_CASE("a run of ours that cannot be read is known to be missing in the list")
{
    const Result<HoldOutcome> running =
        readHoldResponse(okResponse(replaced(validList, R"(17",2,"0b")", R"(17",-2,"0b")")));
    REQUIRE(running.has_value());
    CHECK(running.value().report.running.size() == 1);
    CHECK(running.value().report.unreadableRuns == 1);
    // An acknowledgement of the second end would discard the first.
    const Result<HoldOutcome> ended =
        readHoldResponse(okResponse(replaced(validList, R"(9",1,"done")", R"(9",1.5,"done")")));
    REQUIRE(ended.has_value());
    CHECK(ended.value().report.ended.empty());
    CHECK(ended.value().report.unreadableRuns == 1);
}

TEST_CASE("a heartbeat with an address that nobody can listen at names no worker")
{
    const WorkerId id {"i-1"};
    REQUIRE(readHeartbeat(id, validHeartbeat).has_value());
    for (const char *address : {"10.1.0.9:65536", "10.1.0.9:-1", "10.1.0.9:0", "10.1.0.9:",
             "10.1.0.999:80", "host:80", "0.0.0.0:80", "224.0.0.1:80", "10.1.0.9:80 "}) {
        INFO(address);
        CHECK_FALSE(
            readHeartbeat(id, replaced(validHeartbeat, "10.1.0.9:8080", address)).has_value());
    }
    for (const char *startedAt : {"0", "-5", "null", "1.5", "1e300"}) {
        INFO(startedAt);
        CHECK_FALSE(
            readHeartbeat(id, replaced(validHeartbeat, "1781102616921", startedAt)).has_value());
    }
    CHECK_FALSE(
        readHeartbeat(id, replaced(validHeartbeat, R"(["a","r1-3"])", nested(10'000))).has_value());
}

TEST_CASE("a job with more tasks than the replicas can hold is refused before it is recorded")
{
    CHECK(readJob(validJob).has_value());
    CHECK_FALSE(readJob(replaced(validJob, R"("repeat_count":2)", R"("repeat_count":4000000000)"))
                    .has_value());
    std::string steps = R"({"count":10000})";
    for (int i = 0; i < 5; ++i) {
        steps += R"(,{"count":10000})";
    }
    CHECK_FALSE(readJob(R"({"spec":"","steps":[)" + steps + "]}").has_value());
}

TEST_CASE("a document whose ticket times are out of range is invalid")
{
    CHECK(readCatalog(validCatalog).has_value());
    for (const char *time : {"-1", "1e300", "60001"}) {
        CHECK_FALSE(readCatalog(replaced(validCatalog, "520.0", time)).has_value());
        CHECK_FALSE(readCatalog(replaced(validCatalog, "7.4", time)).has_value());
    }
}

TEST_CASE("an odd ticket does not hide the others")
{
    const Result<TicketAnswer> read =
        readTicketResponse(replaced(validTickets, R"(["i-1","t1"])", R"(["i-1",-1],null)"));
    REQUIRE(read.has_value());
    REQUIRE(read.value().allowed.size() == 1);
    CHECK(read.value().allowed[0].worker == WorkerId {"i-2"});
}

TEST_CASE("no reader of the platform's messages throws on mutations of valid ones")
{
    const std::uint64_t seed = fromEnvironment("WIRE_FUZZ_SEED", 1);
    const std::uint64_t rounds = fromEnvironment("WIRE_FUZZ_ROUNDS", 20'000);
    std::mt19937_64 random {seed};
    const std::vector<std::string> valid {
        validHeartbeat, validList, validJob, validCatalog, validTickets, validStart};
    for (std::uint64_t round = 0; round < rounds; ++round) {
        std::string text = mutated(valid[random() % valid.size()], random);
        if (random() % 3 == 0 && !text.empty() && !scalarsOf(text).empty()) {
            text = mutated(text, random);
        }
        INFO("seed " << seed << ", round " << round << ": " << text.substr(0, 400));
        CHECK_NOTHROW(readAll(text));
    }
}

} // namespace crocusmill::platform
