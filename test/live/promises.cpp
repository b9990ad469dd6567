/// Tests of the guarantees to clients and upstreams under the faults that could break them.

#include "test/live/cluster.h"

#include <boost/json.hpp>
#include <catch2/catch.hpp>

#include <csignal>
#include <future>
#include <random>

namespace crocusmill::live
{

namespace
{

using standin::Fault;
using standin::Observations;
using standin::StandIn;

std::string toMicrosecondText(Milliseconds time)
{
    return std::to_string(Microseconds {time}.count());
}

HeaderList serviceTimeHeaders(Milliseconds time, const std::string &key = {})
{
    HeaderList headers {{std::string {standin::serviceHeader}, toMicrosecondText(time)}};
    if (!key.empty()) {
        headers.emplace_back("Idempotency-Key", key);
    }
    return headers;
}

/// A cell with a promoted document and upstreams whose slots are granted.
struct Fixture
{
    explicit Fixture(std::uint16_t port, std::uint32_t upstreams = 2, ClusterOptions options = {})
        : cluster(port, options)
        , standIn(cluster.standInOptions(upstreams))
    {
        REQUIRE(standIn.start().has_value());
        cluster.startAll();
        REQUIRE(cluster.promote(1, rocolaDocument(1), 1).status == 200);
        for (std::uint32_t vm = 1; vm <= options.vms; ++vm) {
            REQUIRE(eventually(
                [&]() { return cluster.call(vm, "POST", "/quotes", "warm").status == 200; }));
        }
    }

    Cluster cluster;
    StandIn standIn;
};

using Replies = std::vector<std::future<HttpReply>>;

Replies sendMany(const Cluster &cluster, std::uint32_t vms, int count, const std::string &target,
    Milliseconds time, const std::string &keyPrefix = {})
{
    Replies replies;
    for (int i = 0; i < count; ++i) {
        const std::uint32_t vm = 1 + static_cast<std::uint32_t>(i) % vms;
        const std::string key = keyPrefix.empty() ? "" : keyPrefix + std::to_string(i);
        replies.push_back(std::async(std::launch::async, [&cluster, vm, target, time, key, i]() {
            return cluster.call(
                vm, "POST", target, "body " + std::to_string(i), serviceTimeHeaders(time, key));
        }));
    }
    return replies;
}

/// Checks a reply against the starts that the stand-in counted for its key.
void checkReplyAgainstStarts(
    const HttpReply &reply, const std::string &key, const Observations &observations)
{
    const auto found = observations.startsByKey.find(key);
    const std::uint32_t starts = found == observations.startsByKey.end() ? 0 : found->second;
    INFO(key << " status " << reply.status << " " << reply.body << " starts " << starts);
    CHECK(starts <= 1);
    if (reply.execution() == "not_run") {
        CHECK(starts == 0);
    }
    if (reply.status == 200) {
        CHECK(starts == 1);
    }
}

} // namespace

TEST_CASE("no upstream gets more than its slots while an entry dies and comes back")
{
    Fixture fixture {21000, 2};
    Replies replies = sendMany(fixture.cluster, 3, 90, "/quotes", Milliseconds {150});
    std::this_thread::sleep_for(Milliseconds {300});
    fixture.cluster.kill(3);
    std::this_thread::sleep_for(Milliseconds {500});
    fixture.cluster.start(3);
    for (std::future<HttpReply> &reply : replies) {
        reply.wait();
    }
    const Observations observations = fixture.standIn.observations();
    CHECK(observations.maxRunning <= 8);
    CHECK(observations.startsOverSlots == 0);
}

TEST_CASE("no upstream gets more than its slots when its entry is frozen past its grant")
{
    Fixture fixture {21100, 1};
    Replies replies = sendMany(fixture.cluster, 3, 60, "/quotes", Milliseconds {200});
    std::this_thread::sleep_for(Milliseconds {300});
    const std::uint32_t leader = fixture.cluster.leader();
    const std::uint32_t victim = leader == 2 ? 3 : 2;
    fixture.cluster.freeze(victim);
    std::this_thread::sleep_for(Milliseconds {3'000});
    fixture.cluster.thaw(victim);
    for (std::future<HttpReply> &reply : replies) {
        reply.wait();
    }
    CHECK(fixture.standIn.observations().startsOverSlots == 0);
}

TEST_CASE("an appraisal never runs in two places while its entry is killed or frozen")
{
    Fixture fixture {21200, 3};
    const std::string key = "crate-7";
    std::future<HttpReply> first = std::async(std::launch::async, [&]() {
        return fixture.cluster.call(
            2, "POST", "/appraisals", "crate", serviceTimeHeaders(Milliseconds {2'500}, key));
    });
    REQUIRE(eventually([&]() { return fixture.standIn.observations().startsByKey.contains(key); }));
    fixture.cluster.freeze(2);
    const HttpReply second = fixture.cluster.call(
        3, "POST", "/appraisals", "crate", serviceTimeHeaders(Milliseconds {2'500}, key));
    fixture.cluster.thaw(2);
    first.wait();
    CHECK(fixture.standIn.observations().overlaps == 0);
    CHECK(second.status != 0);
}

TEST_CASE("an appraisal with a partitioned upstream starts elsewhere only after its lease expires")
{
    Fixture fixture {21300, 2};
    const std::string key = "crate-8";
    std::future<HttpReply> reply = std::async(std::launch::async, [&]() {
        return fixture.cluster.call(
            1, "POST", "/appraisals", "crate", serviceTimeHeaders(Milliseconds {6'000}, key));
    });
    REQUIRE(eventually([&]() { return fixture.standIn.observations().startsByKey.contains(key); }));
    // The upstreams keep working but send no announcements, so their leases expire.
    fixture.standIn.silence(0, true);
    fixture.standIn.silence(1, true);
    std::this_thread::sleep_for(Milliseconds {4'000});
    fixture.standIn.silence(0, false);
    fixture.standIn.silence(1, false);
    reply.wait();
    CHECK(fixture.standIn.observations().overlaps == 0);
}

TEST_CASE("a caller gets the whole answer to their own request or a typed error")
{
    Fixture fixture {21400, 2};
    const HttpReply whole = fixture.cluster.call(1, "POST", "/quotes", "mine");
    CHECK(whole.status == 200);
    CHECK(whole.body.find("\"echo\":\"mine\"") != std::string::npos);
    for (const Fault fault : {Fault::CrossAnswers, Fault::ShortAnswers, Fault::DropAfterRead}) {
        fixture.standIn.setFaultForAll(fault);
        const HttpReply reply = fixture.cluster.call(1, "POST", "/quotes", "mine");
        CHECK(reply.status == 502);
        CHECK(reply.execution() == "unknown");
    }
    fixture.standIn.setFaultForAll(Fault::None);
    // A response that arrives after its client has disconnected reaches no other client.
    for (int i = 0; i < 10; ++i) {
        static_cast<void>(fixture.cluster.call(1, "POST", "/quotes", "late",
            serviceTimeHeaders(Milliseconds {300}), Milliseconds {50}));
        const std::string mine = "mine " + std::to_string(i);
        const HttpReply reply = fixture.cluster.call(1, "POST", "/quotes", mine);
        CHECK(reply.body.find("\"echo\":\"" + mine + "\"") != std::string::npos);
    }
}

TEST_CASE("work reported as not run did not run, and none runs twice, while the leader dies")
{
    Fixture fixture {21500, 2};
    const std::uint32_t leader = fixture.cluster.leader();
    Replies replies = sendMany(fixture.cluster, 3, 60, "/once", Milliseconds {60}, "once-");
    std::this_thread::sleep_for(Milliseconds {150});
    fixture.cluster.kill(leader);
    std::vector<HttpReply> received;
    for (std::future<HttpReply> &reply : replies) {
        received.push_back(reply.get());
    }
    const Observations observations = fixture.standIn.observations();
    for (std::size_t i = 0; i < received.size(); ++i) {
        checkReplyAgainstStarts(received[i], "once-" + std::to_string(i), observations);
    }
}

TEST_CASE("a refusal by the upstream is proof that it did not run")
{
    Fixture fixture {21600, 1};
    fixture.standIn.setFaultForAll(Fault::Refuse);
    const HttpReply reply = fixture.cluster.call(
        1, "POST", "/once", "x", serviceTimeHeaders(Milliseconds {1}, "refused"));
    CHECK(reply.execution() == "not_run");
    CHECK_FALSE(fixture.standIn.observations().startsByKey.contains("refused"));
    fixture.standIn.setFaultForAll(Fault::None);
    REQUIRE(reply.header("Retry-After") == "1");
    std::this_thread::sleep_for(std::chrono::seconds {1});
    const HttpReply again = fixture.cluster.call(
        2, "POST", "/once", "x", serviceTimeHeaders(Milliseconds {1}, "refused"));
    CHECK(again.status == 200);
}

TEST_CASE("a clerk who resubmits to another entry gets the same answer and runs it once")
{
    Fixture fixture {21700, 2};
    const std::string key = "colour-1";
    std::future<HttpReply> first = std::async(std::launch::async, [&]() {
        return fixture.cluster.call(
            1, "POST", "/once", "x", serviceTimeHeaders(Milliseconds {600}, key));
    });
    REQUIRE(eventually([&]() { return fixture.standIn.observations().startsByKey.contains(key); }));
    const HttpReply joined =
        fixture.cluster.call(2, "POST", "/once", "x", serviceTimeHeaders(Milliseconds {600}, key));
    const HttpReply original = first.get();
    CHECK(original.status == 200);
    CHECK(joined.status == 200);
    CHECK(joined.body == original.body);
    CHECK(
        fixture.cluster.call(3, "POST", "/once", "other", serviceTimeHeaders(Milliseconds {1}, key))
            .status
        == 422);
    CHECK(fixture.standIn.observations().startsByKey.at(key) == 1);
}

TEST_CASE("the outcome of work whose entry was killed comes from its upstream's report")
{
    Fixture fixture {21800, 2};
    const std::string key = "colour-2";
    std::future<HttpReply> lost = std::async(std::launch::async, [&]() {
        return fixture.cluster.call(
            3, "POST", "/once", "x", serviceTimeHeaders(Milliseconds {800}, key));
    });
    REQUIRE(eventually([&]() { return fixture.standIn.observations().startsByKey.contains(key); }));
    fixture.cluster.kill(3);
    lost.wait();
    const HttpReply again =
        fixture.cluster.call(1, "POST", "/once", "x", serviceTimeHeaders(Milliseconds {800}, key));
    CHECK(again.execution() == "ran");
    CHECK(fixture.standIn.observations().startsByKey.at(key) == 1);
}

TEST_CASE("an upstream that leaves gets no new work after two seconds")
{
    Fixture fixture {21900, 2};
    fixture.standIn.drain(0);
    const MonotonicTime until = std::chrono::steady_clock::now() + std::chrono::seconds {4};
    while (std::chrono::steady_clock::now() < until) {
        for (std::uint32_t vm = 1; vm <= 3; ++vm) {
            static_cast<void>(fixture.cluster.call(
                vm, "POST", "/quotes", "x", serviceTimeHeaders(Milliseconds {5})));
        }
    }
    CHECK(fixture.standIn.observations().startsAfterDrain == 0);
    CHECK(fixture.cluster.call(1, "POST", "/quotes", "x").status == 200);
}

TEST_CASE("a graceful shutdown finishes every request in progress and exits 0")
{
    Fixture fixture {22000, 2};
    Replies replies = sendMany(fixture.cluster, 1, 10, "/quotes", Milliseconds {1'500});
    REQUIRE(eventually([&]() { return fixture.standIn.runningNow() >= 3; }));
    fixture.cluster.sendSignal(1, SIGTERM);
    REQUIRE(eventually([&]() { return !fixture.cluster.isReady(1); }));
    for (std::future<HttpReply> &reply : replies) {
        CHECK(reply.get().status == 200);
    }
    CHECK(fixture.cluster.waitExit(1) == 0);
}

TEST_CASE("a promoted configuration is in force everywhere and survives restarts")
{
    Fixture fixture {22100, 1};
    REQUIRE(fixture.cluster.promote(2, rocolaDocument(2, R"(, "two.test")"), 2).status == 200);
    for (std::uint32_t vm = 1; vm <= 3; ++vm) {
        CHECK(eventually([&]() {
            return fixture.cluster.call(vm, "POST", "/quotes", "x", {{"Host", "two.test"}}).status
                == 200;
        }));
    }
    for (std::uint32_t vm = 1; vm <= 3; ++vm) {
        fixture.cluster.kill(vm);
    }
    fixture.cluster.startAll();
    for (std::uint32_t vm = 1; vm <= 3; ++vm) {
        // A ready VM serves no older configuration.
        const HttpReply reply =
            fixture.cluster.call(vm, "POST", "/quotes", "x", {{"Host", "two.test"}});
        CHECK(reply.status != 404);
    }
    CHECK(fixture.cluster.promote(1, rocolaDocument(1), 1).status == 409);
}

TEST_CASE("operators who race with equal versions: one wins, the other is told who")
{
    Fixture fixture {22200, 1};
    const std::string mine = rocolaDocument(5, R"(, "ana.test")");
    const std::string rival = rocolaDocument(5, R"(, "luis.test")");
    std::future<HttpReply> first = std::async(
        std::launch::async, [&]() { return fixture.cluster.promote(1, mine, 5, "ana"); });
    std::future<HttpReply> second = std::async(
        std::launch::async, [&]() { return fixture.cluster.promote(2, rival, 5, "luis"); });
    const HttpReply ana = first.get();
    const HttpReply luis = second.get();
    CHECK(((ana.status == 200) != (luis.status == 200)));
    const HttpReply &loser = ana.status == 200 ? luis : ana;
    CHECK(loser.status == 409);
    const boost::json::value received = boost::json::parse(loser.body);
    const std::string winner = ana.status == 200 ? "ana" : "luis";
    CHECK(received.at("in_force").at("by").as_string() == std::string_view {winner});
    // A repeated promotion after a lost response succeeds.
    const bool anaWon = ana.status == 200;
    CHECK(fixture.cluster.promote(3, anaWon ? mine : rival, 5, winner).status == 200);
}

} // namespace crocusmill::live
