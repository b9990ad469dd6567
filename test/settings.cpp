/// Tests of the settings parser.

#include <crocusmill/settings.h>

#include <catch2/catch.hpp>
#include <rapidcheck.h>

namespace crocusmill
{

namespace
{

const std::string validSettings = R"({"vm": "vm-1", "availability_zone": "a",
 "peers": {"listen": {"ip": "127.0.0.1", "port": 7001}, "key_file": "k",
  "voters": [{"vm": "vm-1", "ip": "127.0.0.1", "port": 7001}]},
 "state": {"folder": "/tmp/x"},
 "entry": {"listen": {"ip": "127.0.0.1", "port": 7101}},
 "operators": {"listen": {"ip": "127.0.0.1", "port": 7201}, "token_file": "t"}})";

std::vector<std::string> pointersOf(const std::string &json)
{
    const Checked<Settings> checked = parseSettings(json);
    REQUIRE(std::holds_alternative<Faults>(checked));
    std::vector<std::string> pointers;
    for (const Fault &fault : std::get<Faults>(checked)) {
        pointers.push_back(fault.pointer);
    }
    return pointers;
}

} // namespace

TEST_CASE("valid settings have the documented defaults")
{
    const Checked<Settings> checked = parseSettings(validSettings);
    REQUIRE(std::holds_alternative<Settings>(checked));
    const Settings &settings = std::get<Settings>(checked);
    CHECK(settings.times.beatInterval == Milliseconds {250});
    CHECK(settings.entry.maxBodyBytes == ByteCount {1024ULL * 1024});
    CHECK(settings.state->snapshotEntries == 20'000);
    CHECK(settings.state->maxEarlyCancels == 20'000);
}

TEST_CASE("all faults are reported in one pass")
{
    const std::vector<std::string> pointers = pointersOf(
        R"({"vm": "vm-1", "peers": {"listen": {"ip": "vm-1.example", "port": 70000},
        "key_file": 3}, "entry": {"listen": {"ip": "::1", "port": 1}, "threads": 0},
        "times": {"beat_ms": 1000}, "ghost": 1})");
    const std::vector<std::string> expected {"/availability_zone", "/operators", "/peers/listen/ip",
        "/peers/listen/port", "/peers/key_file", "/peers/voters", "/entry/threads",
        "/times/grant_life_ms", "/ghost"};
    CHECK(pointers == expected);
}

TEST_CASE("a voter needs a folder and its own address")
{
    std::string json = validSettings;
    json.replace(json.find(R"("state": {"folder": "/tmp/x"},)"), 30, "");
    CHECK(pointersOf(json) == std::vector<std::string> {"/state"});
}

TEST_CASE("a limit of early cancels of zero is a fault")
{
    std::string json = validSettings;
    json.replace(
        json.find(R"({"folder": "/tmp/x"})"), 20, R"({"folder": "/tmp/x", "early_cancels": 0})");
    CHECK(pointersOf(json) == std::vector<std::string> {"/state/early_cancels"});
}

TEST_CASE("arbitrary bytes do not crash the parser")
{
    CHECK(rc::check([](std::size_t at, char byte) {
        std::string mutated = validSettings;
        mutated[at % mutated.size()] = byte;
        static_cast<void>(parseSettings(mutated));
    }));
}

} // namespace crocusmill
