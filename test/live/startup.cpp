/// Tests of VMs that have just started or cannot join the cell: they refuse requests.

#include "test/live/cluster.h"

#include <catch2/catch.hpp>

namespace crocusmill::live
{

TEST_CASE("a VM with another peer key is refused, and both sides log it")
{
    Cluster cluster {24600, {4, 3, 20'000}};
    cluster.useOtherKey(4);
    for (std::uint32_t vm = 1; vm <= 4; ++vm) {
        cluster.start(vm);
    }
    REQUIRE(eventually([&]() { return cluster.isReady(1) && cluster.isReady(2); }));
    CHECK(eventually(
        [&]() { return cluster.readLog(4).find("peer.handshake_refused") != std::string::npos; }));
    const bool rejected = eventually([&]() {
        for (std::uint32_t vm = 1; vm <= 3; ++vm) {
            if (cluster.readLog(vm).find("peer.handshake_rejected") != std::string::npos) {
                return true;
            }
        }
        return false;
    });
    CHECK(rejected);
    CHECK_FALSE(cluster.isReady(4));
    const HttpReply reply = cluster.call(4, "POST", "/quotes", "x");
    CHECK(reply.status == 503); // without a configuration the VM does not know the routes
    CHECK(reply.execution() == "not_run");
}

TEST_CASE("an entry without a confirmed configuration answers 503 and not 404")
{
    Cluster cluster {25200};
    cluster.startAll();
    REQUIRE(cluster.promote(1, rocolaDocument(1), 1).status == 200);
    cluster.kill(2);
    cluster.kill(3);
    cluster.kill(1);
    cluster.start(1); // without a quorum there is no leader and no confirmed configuration
    HttpReply reply;
    REQUIRE(eventually([&]() {
        reply = cluster.call(1, "POST", "/quotes", "x");
        return reply.status != 0;
    }));
    CHECK(reply.status == 503);
    CHECK(reply.execution() == "not_run");
}

} // namespace crocusmill::live
