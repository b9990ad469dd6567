/// Tests of faults of VMs, disks, networks, upstreams and clients.

#include "test/live/cluster.h"

#include <boost/json.hpp>
#include <catch2/catch.hpp>

#include <fstream>
#include <future>

namespace crocusmill::live
{

namespace
{

using standin::Fault;
using standin::StandIn;

struct Fixture
{
    explicit Fixture(std::uint16_t port, ClusterOptions options = {}, std::uint32_t upstreams = 2)
        : cluster(port, options)
        , standIn(cluster.standInOptions(upstreams))
    {
        REQUIRE(standIn.start().has_value());
        cluster.startAll();
        REQUIRE(cluster.promote(1, rocolaDocument(1), 1).status == 200);
        REQUIRE(
            eventually([&]() { return cluster.call(1, "POST", "/quotes", "warm").status == 200; }));
    }

    bool canRecord(std::uint32_t vm, const std::string &key)
    {
        return cluster.call(vm, "POST", "/once", "x", {{"Idempotency-Key", key}}).status == 200;
    }

    std::size_t voterCount(std::uint32_t vm)
    {
        const HttpReply reply = cluster.operate(vm, "GET", "/v1/members");
        if (reply.status != 200) {
            return 0;
        }
        std::size_t count = 0;
        const boost::json::value members = boost::json::parse(reply.body);
        for (const boost::json::value &member : members.as_array()) {
            count += member.at("role").as_string() == "voter" ? 1 : 0;
        }
        return count;
    }

    /// Returns the state and grants of an upstream as operators see them, or an empty string.
    std::string upstreamState(std::uint32_t vm, const std::string &id)
    {
        const HttpReply reply = cluster.operate(vm, "GET", "/v1/upstreams");
        if (reply.status != 200) {
            return {};
        }
        const boost::json::value upstreams = boost::json::parse(reply.body);
        for (const boost::json::value &listedUpstream : upstreams.as_array()) {
            if (listedUpstream.at("id").as_string() == std::string_view {id}) {
                return std::string {listedUpstream.at("state").as_string()} + ", granted "
                    + std::to_string(listedUpstream.at("granted").to_number<std::uint32_t>());
            }
        }
        return {};
    }

    Cluster cluster;
    StandIn standIn;
};

std::uint32_t otherVm(std::uint32_t vm, std::uint32_t step = 1)
{
    return 1 + (vm - 1 + step) % 3;
}

} // namespace

TEST_CASE("a lost data folder is replaced under a new identity, and a second loss is survived")
{
    Fixture fixture {23000};
    REQUIRE(fixture.canRecord(1, "before"));
    const std::uint32_t first = otherVm(fixture.cluster.leader());
    fixture.cluster.kill(first);
    fixture.cluster.deleteFolder(first);
    fixture.cluster.start(first);
    REQUIRE(eventually([&]() {
        return fixture.cluster.readLog(otherVm(first)).find("journal.voter_added")
            != std::string::npos
            || fixture.cluster.readLog(otherVm(first, 2)).find("journal.voter_added")
            != std::string::npos;
    }));
    REQUIRE(eventually([&]() { return fixture.voterCount(otherVm(first)) == 3; }));

    const std::uint32_t second = otherVm(first);
    fixture.cluster.kill(second);
    fixture.cluster.deleteFolder(second);
    const std::uint32_t third = otherVm(first, 2);
    CHECK(eventually([&]() { return fixture.canRecord(third, "after"); }));
    // The response recorded before both losses is still returned.
    CHECK(fixture.cluster.call(third, "POST", "/once", "x", {{"Idempotency-Key", "before"}}).status
        == 200);
    CHECK(fixture.standIn.observations().startsByKey.at("before") == 1);
}

TEST_CASE("a spare VM replaces a lost VM, and a second loss is survived")
{
    Fixture fixture {24700, {4, 3, 20'000, true}};
    constexpr std::uint32_t spare = 4;
    REQUIRE(fixture.canRecord(1, "before"));
    const std::uint32_t first = otherVm(fixture.cluster.leader());
    fixture.cluster.kill(first);
    REQUIRE(eventually([&]() {
        const std::string members = fixture.cluster.operate(spare, "GET", "/v1/members").body;
        return members.find("\"vm-4\"") != std::string::npos
            && members.find("\"vm-" + std::to_string(first) + "\"") == std::string::npos
            && fixture.voterCount(spare) == 3;
    }));
    const std::uint32_t second = otherVm(first);
    fixture.cluster.kill(second);
    CHECK(eventually([&]() { return fixture.canRecord(spare, "after"); }));
    CHECK(fixture.canRecord(spare, "before"));
    CHECK(fixture.standIn.observations().startsByKey.at("before") == 1);
}

TEST_CASE("a partitioned entry refuses requests as not run and starts no work")
{
    Fixture fixture {23100};
    const std::uint32_t victim = otherVm(fixture.cluster.leader());
    fixture.cluster.cut(victim, true);
    REQUIRE(eventually([&]() { return !fixture.cluster.isReady(victim); }));
    const HttpReply refused =
        fixture.cluster.call(victim, "POST", "/quotes", "x", {{"Idempotency-Key", "cut"}});
    CHECK(refused.status == 503);
    CHECK(refused.execution() == "not_run");
    CHECK_FALSE(fixture.standIn.observations().startsByKey.contains("cut"));
    CHECK(fixture.canRecord(otherVm(victim), "meanwhile"));
    fixture.cluster.cut(victim, false);
    CHECK(eventually([&]() { return fixture.cluster.isReady(victim); }));
    CHECK(eventually([&]() { return fixture.canRecord(victim, "healed"); }));
}

TEST_CASE("a partitioned leader is replaced and makes no decisions meanwhile")
{
    Fixture fixture {23200};
    const std::uint32_t old = fixture.cluster.leader();
    fixture.cluster.cut(old, true);
    REQUIRE(eventually([&]() { return fixture.canRecord(otherVm(old), "new leader"); }));
    const HttpReply reply = fixture.cluster.promote(old, rocolaDocument(9), 9);
    CHECK(reply.status != 200);
    REQUIRE(eventually([&]() {
        return fixture.cluster.promote(otherVm(old), rocolaDocument(3, R"(, "three.test")"), 3)
                   .status
            == 200;
    }));
    fixture.cluster.cut(old, false);
    CHECK(eventually([&]() {
        return fixture.cluster.call(old, "POST", "/quotes", "x", {{"Host", "three.test"}}).status
            == 200;
    }));
}

TEST_CASE("a frozen leader makes no decisions after it is thawed")
{
    Fixture fixture {23300};
    const std::uint32_t old = fixture.cluster.leader();
    fixture.cluster.freeze(old);
    REQUIRE(eventually([&]() {
        return fixture.cluster.promote(otherVm(old), rocolaDocument(2, R"(, "two.test")"), 2).status
            == 200;
    }));
    fixture.cluster.thaw(old);
    CHECK(fixture.cluster.promote(old, rocolaDocument(2, R"(, "stale.test")"), 2).status == 409);
    CHECK(eventually([&]() {
        return fixture.cluster.call(old, "POST", "/quotes", "x", {{"Host", "two.test"}}).status
            == 200;
    }));
}

TEST_CASE("a VM that returns after 500 changes serves only the newest configuration")
{
    Fixture fixture {23400, {3, 3, 100}};
    const std::uint32_t absentVm = otherVm(fixture.cluster.leader());
    fixture.cluster.kill(absentVm);
    constexpr std::uint64_t changes = 500;
    for (std::uint64_t version = 2; version <= changes; ++version) {
        REQUIRE(fixture.cluster.promote(otherVm(absentVm), rocolaDocument(version), version).status
            == 200);
    }
    REQUIRE(fixture.cluster
                .promote(otherVm(absentVm), rocolaDocument(changes + 1, R"(, "newest.test")"),
                    changes + 1)
                .status
        == 200);
    fixture.cluster.start(absentVm);
    REQUIRE(eventually([&]() { return fixture.cluster.isReady(absentVm); }));
    CHECK(fixture.cluster.call(absentVm, "POST", "/quotes", "x", {{"Host", "newest.test"}}).status
        != 404);
}

TEST_CASE("without a quorum requests are refused and no work starts")
{
    Fixture fixture {23500};
    fixture.cluster.kill(2);
    fixture.cluster.kill(3);
    REQUIRE(eventually([&]() { return !fixture.cluster.isReady(1); }));
    const HttpReply reply =
        fixture.cluster.call(1, "POST", "/once", "x", {{"Idempotency-Key", "minority"}});
    CHECK(reply.status == 503);
    CHECK_FALSE(fixture.standIn.observations().startsByKey.contains("minority"));
    fixture.cluster.start(2);
    CHECK(eventually([&]() { return fixture.canRecord(1, "majority again"); }));
}

TEST_CASE("an upstream that fails every request does not stop the others from answering")
{
    Fixture fixture {23600, {}, 4};
    fixture.standIn.setFault(0, Fault::FailEverything);
    int failures = 0;
    for (int i = 0; i < 100; ++i) {
        failures += fixture.cluster.call(1, "POST", "/quotes", "x").status == 500 ? 1 : 0;
    }
    CHECK(failures <= 20);
}

TEST_CASE("cancelled work that has not started never reaches an upstream")
{
    Fixture fixture {23700, {}, 1};
    // Slow work takes all slots of this entry, so later requests wait.
    constexpr int slowCount = 12;
    std::vector<std::future<HttpReply>> slow;
    slow.reserve(slowCount);
    for (int i = 0; i < slowCount; ++i) {
        slow.push_back(std::async(std::launch::async, [&]() {
            return fixture.cluster.call(
                1, "POST", "/quotes", "slow", {{std::string {standin::serviceHeader}, "2500000"}});
        }));
    }
    REQUIRE(eventually([&]() { return fixture.standIn.runningNow() >= 4; }));
    std::vector<std::string> locations;
    for (int i = 0; i < 20; ++i) {
        const HttpReply reply = fixture.cluster.call(1, "POST", "/once", "x",
            {{"Prefer", "respond-async"}, {"Idempotency-Key", "wave-" + std::to_string(i)}});
        REQUIRE(reply.status == 202);
        locations.push_back(reply.header("Location"));
    }
    std::vector<bool> claimedNotRun;
    claimedNotRun.reserve(locations.size());
    for (const std::string &location : locations) {
        const HttpReply reply = fixture.cluster.call(2, "DELETE", location);
        claimedNotRun.push_back(reply.execution() == "not_run");
    }
    for (std::future<HttpReply> &reply : slow) {
        reply.wait();
    }
    const standin::Observations observations = fixture.standIn.observations();
    int provedCount = 0;
    for (std::size_t i = 0; i < locations.size(); ++i) {
        if (claimedNotRun[i]) {
            ++provedCount;
            CHECK_FALSE(observations.startsByKey.contains("wave-" + std::to_string(i)));
        }
    }
    CHECK(provedCount >= 10);
}

TEST_CASE("asynchronous work is continued by another entry when its entry dies")
{
    Fixture fixture {23800, {}, 2};
    const std::uint32_t victim = otherVm(fixture.cluster.leader());
    const HttpReply accepted = fixture.cluster.call(victim, "POST", "/appraisals", "crate",
        {{"Prefer", "respond-async"}, {"Idempotency-Key", "later"},
            {std::string {standin::serviceHeader}, "1500000"}});
    REQUIRE(accepted.status == 202);
    fixture.cluster.kill(victim);
    const std::string location = accepted.header("Location");
    CHECK(eventually([&]() {
        const HttpReply reply = fixture.cluster.call(otherVm(victim), "GET", location);
        return reply.status == 200 && reply.execution() == "ran";
    }));
    CHECK(fixture.standIn.observations().overlaps == 0);
}

TEST_CASE("bad input gets a typed error")
{
    Fixture fixture {23900};
    CHECK(fixture.cluster.operate(1, "POST", "/v1/environments/trial", "{").status == 400);
    CHECK(fixture.cluster.call(1, "POST", "/quotes", "x", {{"Host", "nobody.test"}}).status == 404);
    CHECK(fixture.cluster.call(1, "GET", "/quotes").status == 404);
    CHECK(fixture.cluster.call(1, "POST", "/quotes", std::string(2'000'000, 'x')).status == 413);
    CHECK(fixture.cluster.call(1, "POST", "/quotes", "x", {{"X-Large", std::string(40'000, 'x')}})
              .status
        == 431);
    CHECK(fixture.cluster.call(1, "PUT", "/v1/upstreams/u", R"({"slots": "many"})").status == 400);
    const NodeAddress operators {"127.0.0.1", 23961};
    CHECK(
        httpRequest(operators, "GET", "/v1/status", {}, {{"Authorization", "Bearer wrong"}}).status
        == 401);
    CHECK(fixture.cluster.call(1, "GET", "/v1/status").status == 404);
}

TEST_CASE("all entries together open no more connections than an upstream accepts")
{
    Cluster cluster {20900};
    constexpr std::uint32_t connectionLimit = 23;
    standin::Options options = cluster.standInOptions(1);
    options.connections = connectionLimit;
    StandIn standIn {options};
    REQUIRE(standIn.start().has_value());
    cluster.startAll();
    REQUIRE(cluster.promote(1, rocolaDocument(1), 1).status == 200);
    REQUIRE(eventually([&]() { return cluster.call(1, "POST", "/quotes", "x").status == 200; }));
    // The slots move with the demand from one entry to the next, and each entry keeps the
    // connections of its former slots idle.
    for (int turn = 0; turn < 6; ++turn) {
        const std::uint32_t vm = 1 + static_cast<std::uint32_t>(turn) % 3;
        constexpr std::size_t burst = 48;
        std::vector<std::future<HttpReply>> replies;
        replies.reserve(burst);
        for (std::size_t i = 0; i < burst; ++i) {
            replies.push_back(std::async(std::launch::async, [&cluster, vm]() {
                return cluster.call(
                    vm, "POST", "/quotes", "x", {{std::string {standin::serviceHeader}, "100000"}});
            }));
        }
        for (std::future<HttpReply> &reply : replies) {
            CHECK(reply.get().status == 200);
        }
    }
    CHECK(standIn.observations().maxOpenConnections <= connectionLimit);
}

TEST_CASE("an operator's drain of an idle upstream takes effect and survives a leader change")
{
    Fixture fixture {24800};
    const std::string drained = fixture.standIn.idOf(0).value();
    REQUIRE(
        fixture.cluster.operate(1, "POST", "/v1/upstreams/" + drained + "/drain").status == 200);
    REQUIRE(
        eventually([&]() { return fixture.upstreamState(2, drained) == "draining, granted 0"; }));

    const std::uint32_t leader = fixture.cluster.leader();
    fixture.cluster.kill(leader);
    REQUIRE(eventually([&]() { return fixture.canRecord(otherVm(leader), "new leader"); }));
    // Longer than the time for which a new leader grants nothing.
    const MonotonicTime until = std::chrono::steady_clock::now() + std::chrono::seconds {6};
    while (std::chrono::steady_clock::now() < until) {
        const std::string seen = fixture.upstreamState(otherVm(leader), drained);
        CHECK((seen.empty() || seen == "draining, granted 0"));
        std::this_thread::sleep_for(Milliseconds {200});
    }
    // The leader may change again, so resend until the outcome is known.
    REQUIRE(eventually([&]() {
        return fixture.cluster
                   .operate(otherVm(leader), "POST", "/v1/upstreams/" + drained + "/resume")
                   .status
            == 200;
    }));
    CHECK(eventually([&]() {
        return fixture.upstreamState(otherVm(leader), drained).starts_with("serving, granted")
            && fixture.upstreamState(otherVm(leader), drained) != "serving, granted 0";
    }));
}

TEST_CASE("a damaged data folder stops the replica with a typed error")
{
    Fixture fixture {24000};
    const std::uint32_t victim = otherVm(fixture.cluster.leader());
    REQUIRE(fixture.cluster.terminate(victim) == 0);
    for (const std::filesystem::directory_entry &file :
        std::filesystem::directory_iterator {fixture.cluster.folderOf(victim)}) {
        if (file.path().filename().string().starts_with("journal-")) {
            std::fstream journal {file.path(), std::ios::in | std::ios::out | std::ios::binary};
            journal.seekp(20);
            journal.put('\x55');
        }
    }
    fixture.cluster.start(victim);
    CHECK(fixture.cluster.waitExit(victim) == 1);
    CHECK(fixture.cluster.readLog(victim).find("damaged") != std::string::npos);
}

} // namespace crocusmill::live
