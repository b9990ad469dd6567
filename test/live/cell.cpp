/// Tests of jobs on workers with leases, on a cluster of real daemons.

#include "test/fakes/worker.h"
#include "test/live/cluster.h"

#include <catch2/catch.hpp>

namespace crocusmill::live
{

namespace
{

using fakes::Worker;

struct Fixture
{
    explicit Fixture(std::uint16_t port)
        : cluster(port)
    {
        cluster.startAll();
        REQUIRE(cluster.promote(1, rocolaDocument(1), 1).status == 200);
    }

    /// Returns the id of the job, or an empty string if the job was refused.
    std::string submit(const std::string &job)
    {
        const HttpReply reply = cluster.call(1, "POST", "/v1/environments/rocola/jobs", job);
        if (reply.status != 202) {
            return {};
        }
        return std::string {boost::json::parse(reply.body).at("job").as_string()};
    }

    bool announceUntil(const std::vector<Worker *> &workers, const std::function<bool()> &condition)
    {
        std::uint32_t turn = 0;
        return eventually([&]() {
            for (Worker *worker : workers) {
                static_cast<void>(worker->announce(1 + turn++ % 3));
            }
            return condition();
        });
    }

    Cluster cluster;
};

} // namespace

TEST_CASE("all tasks of a gang start together, and jobs that can never fit are refused at once")
{
    Fixture fixture {24100};
    Worker one {fixture.cluster, "one", 4};
    Worker two {fixture.cluster, "two", 4};
    REQUIRE(fixture.announceUntil({&one, &two}, [&]() { return one.announce(1); }));
    CHECK(fixture.submit(R"({"class": "batch", "size": {"cores": 5}})").empty());
    CHECK(fixture.submit(R"({"class": "gang", "tasks": 3, "size": {"cores": 4}})").empty());
    const std::string gang =
        fixture.submit(R"({"class": "gang", "tasks": 2, "size": {"cores": 4}})");
    REQUIRE_FALSE(gang.empty());
    CHECK(fixture.announceUntil(
        {&one, &two}, [&]() { return one.runningCount() == 1 && two.runningCount() == 1; }));
    // A second gang waits without reserving capacity, so a task that fits is still placed.
    REQUIRE_FALSE(fixture.submit(R"({"class": "gang", "tasks": 2, "size": {"cores": 3}})").empty());
    one.finishAll("succeeded");
    CHECK(fixture.announceUntil({&one, &two}, [&]() { return one.tasks.empty(); }));
    const std::string filler = fixture.submit(R"({"class": "batch", "size": {"cores": 4}})");
    REQUIRE_FALSE(filler.empty());
    CHECK(fixture.announceUntil({&one, &two}, [&]() { return one.runningCount() == 1; }));
}

TEST_CASE("a lost worker's task starts elsewhere only after its lease has expired")
{
    Fixture fixture {24200};
    Worker one {fixture.cluster, "one", 4};
    Worker two {fixture.cluster, "two", 4};
    REQUIRE(fixture.announceUntil({&one, &two}, [&]() { return one.announce(1); }));
    REQUIRE_FALSE(fixture.submit(R"({"class": "batch", "size": {"cores": 4}})").empty());
    REQUIRE(fixture.announceUntil(
        {&one, &two}, [&]() { return one.runningCount() + two.runningCount() == 1; }));
    Worker &lost = one.runningCount() == 1 ? one : two;
    Worker &other = one.runningCount() == 1 ? two : one;
    const MonotonicTime silentSince = std::chrono::steady_clock::now();
    REQUIRE(fixture.announceUntil({&other}, [&]() { return other.runningCount() == 1; }));
    constexpr Milliseconds lease {1'200};
    CHECK(std::chrono::steady_clock::now() - silentSince >= lease);
    // When the lost worker announces itself again, it is told to stop its task.
    CHECK(fixture.announceUntil({&lost}, [&]() { return lost.tasks.empty(); }));
}

TEST_CASE("a worker that fails everything is quarantined and its tasks finish elsewhere")
{
    Fixture fixture {24300};
    Worker bad {fixture.cluster, "bad", 4};
    REQUIRE(fixture.announceUntil({&bad}, [&]() { return bad.announce(1); }));
    REQUIRE_FALSE(
        fixture.submit(R"({"class": "batch", "tasks": 8, "size": {"cores": 1}})").empty());
    const std::function<bool()> quarantined = [&]() {
        bad.finishAll("failed");
        const HttpReply reply = fixture.cluster.operate(1, "GET", "/v1/workers");
        return reply.body.find("\"quarantined\":true") != std::string::npos;
    };
    REQUIRE(fixture.announceUntil({&bad}, quarantined));
    Worker good {fixture.cluster, "good", 8};
    CHECK(fixture.announceUntil({&bad, &good}, [&]() {
        bad.finishAll("failed");
        return good.runningCount() >= 1;
    }));
}

TEST_CASE("urgent work preempts batch work")
{
    Fixture fixture {24400};
    Worker one {fixture.cluster, "one", 4};
    REQUIRE(fixture.announceUntil({&one}, [&]() { return one.announce(1); }));
    REQUIRE_FALSE(
        fixture.submit(R"({"class": "batch", "tasks": 4, "size": {"cores": 1}})").empty());
    REQUIRE(fixture.announceUntil({&one}, [&]() { return one.runningCount() == 4; }));
    const std::string urgent =
        fixture.submit(R"({"class": "batch", "urgent": true, "size": {"cores": 2}})");
    REQUIRE_FALSE(urgent.empty());
    CHECK(fixture.announceUntil(
        {&one}, [&]() { return one.started[urgent + "/0"] == 1 && one.runningCount() <= 3; }));
    CHECK(one.overCapacityStarts == 0);
}

TEST_CASE("cancelled tasks are stopped, not restarted, and their capacity becomes free")
{
    Fixture fixture {24500};
    Worker one {fixture.cluster, "one", 4};
    REQUIRE(fixture.announceUntil({&one}, [&]() { return one.announce(1); }));
    const std::string job = fixture.submit(R"({"class": "service", "size": {"cores": 4}})");
    REQUIRE(fixture.announceUntil({&one}, [&]() { return one.runningCount() == 1; }));
    REQUIRE(fixture.cluster.call(2, "DELETE", "/v1/jobs/" + job).status == 200);
    const std::string next = fixture.submit(R"({"class": "batch", "size": {"cores": 4}})");
    CHECK(fixture.announceUntil({&one}, [&]() { return one.started[next + "/0"] == 1; }));
    CHECK(one.started[job + "/0"] == 1);
    CHECK(one.overCapacityStarts == 0);
}

} // namespace crocusmill::live
