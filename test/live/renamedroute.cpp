/// Jobs of a route that is removed and comes back under another name, with daemons as processes.

#include "test/live/platformcell.h"
#include "test/live/platformworkers.h"

#include <catch2/catch.hpp>

namespace crocusmill::live
{

namespace
{

constexpr std::uint32_t replicaCount = 3;
constexpr std::uint32_t entryCount = 1;

PlatformOptions optionsFor(std::uint8_t network)
{
    PlatformOptions options;
    options.control = PlatformCell::control(network, replicaCount);
    return options;
}

/// Two steps of two tasks each, the second after the first.
const std::string twoSteps =
    R"({"spec":"x","steps":[{"count":2,"cpu":1000,"mem_mb":16,"estimate_ms":1500},)"
    R"({"count":2,"cpu":1000,"mem_mb":16,"estimate_ms":1500,"depends_on":[0]}]})";

} // namespace

// Guards against accepted jobs that are answered 410, and whose steps never start, once their route
// has another name; here also for leaders that know the jobs from the journal alone.
TEST_CASE("jobs of a renamed route are known and end after all VMs were killed")
{
    constexpr std::uint8_t network = 54;
    constexpr std::size_t jobCount = 5;
    PlatformWorkers workers {network, optionsFor(network)};
    PlatformCell cell {network, {replicaCount, entryCount, workers.office()}};
    cell.startAll();
    REQUIRE(cell.installQueue());
    std::vector<std::string> jobs;
    for (std::size_t number = 0; number < jobCount; ++number) {
        const std::string target = "/jobs/4e0000000000000" + std::to_string(number);
        REQUIRE(eventually(
            [&cell, &target]() { return cell.call(0, "POST", target, twoSteps).status == 200; }));
        jobs.push_back(target);
    }
    REQUIRE(cell.installQueue(5, ""));
    CHECK(cell.call(0, "GET", jobs.front()).status == 200);
    CHECK(eventually([&cell, &jobs]() {
        return cell.call(0, "GET", jobs.front()).body.find("running") != std::string::npos;
    }));
    CHECK(cell.call(0, "GET", "/jobs/4e000000000000ff").status == 404);
    CHECK(cell.call(0, "GET", "/jobs/").status == 404);
    CHECK(cell.call(0, "POST", "/jobs/4e000000000000ff", twoSteps).status == 404);
    const bool isKilledBefore = GENERATE(false, true);
    if (isKilledBefore) {
        cell.killAll();
        cell.startAll();
    }
    REQUIRE(cell.installQueue(9, "renamed"));
    if (!isKilledBefore) {
        cell.killAll();
        cell.startAll();
    }
    for (const std::string &job : jobs) {
        INFO(job);
        bool wasUnknown = false;
        CHECK(eventually([&cell, &job, &wasUnknown]() {
            const HttpReply reply = cell.call(0, "GET", job);
            wasUnknown = wasUnknown || reply.status == 410;
            return reply.status == 200 && reply.body.find("done") != std::string::npos;
        }));
        CHECK_FALSE(wasUnknown);
    }
    CHECK(workers.repeatedCount() == 0);
}

} // namespace crocusmill::live
