/// Tests the replacement of lost voters by spares.

#include "src/services/replicarepair.h"

#include "test/fakes/network.h"

#include <catch2/catch.hpp>

namespace crocusmill
{

namespace
{

constexpr Milliseconds replaceAfter {2'000};
constexpr std::size_t voterCount = 3;

Member spareOf(std::uint64_t id, const std::string &vm)
{
    return {ReplicaId {id}, VmId {vm}, {}, MemberRole::Learner};
}

std::vector<VoterSettings> founders()
{
    std::vector<VoterSettings> voters;
    for (std::size_t i = 1; i <= voterCount; ++i) {
        voters.push_back({VmId {"vm-" + std::to_string(i)}, {}});
    }
    return voters;
}

/// Three voters, the leader's repair, and spare VMs that send heartbeats.
struct Cell
{
    Cell()
    {
        network.runFor(Milliseconds {2'000});
        REQUIRE(network.leader() != nullptr);
    }

    ReplicaId anyFollower()
    {
        const ReplicaId leader = network.leader()->self();
        return ReplicaId {leader == ReplicaId {1} ? 2U : 1U};
    }

    void run(Milliseconds time)
    {
        constexpr Milliseconds step {100};
        for (Milliseconds passed {0}; passed < time; passed += step) {
            network.runFor(step);
            Consensus *leader = network.leader();
            if (leader == nullptr) {
                repair.clearOffers();
                continue;
            }
            for (const Member &spare : spares) {
                repair.offer(spare, leader->membership(), network.now());
            }
            static_cast<void>(repair.step(*leader, network.now()));
            network.processReady();
        }
    }

    const Membership &membership()
    {
        return network.leader()->membership();
    }

    fakes::Network network {voterCount, 7};
    ReplicaRepair repair {founders().size(), replaceAfter};
    std::vector<Member> spares;
};

} // namespace

TEST_CASE("a spare replaces a silent voter, and the cell survives another loss")
{
    Cell cell;
    const Member spare = spareOf(10, "vm-10");
    cell.network.bootWithEmptyDisk(spare.id);
    cell.spares = {spare};
    const ReplicaId lostVoter = cell.anyFollower();
    cell.network.crash(lostVoter);
    cell.run(Milliseconds {1'500});
    CHECK(cell.membership().find(spare.id) == nullptr);
    cell.run(Milliseconds {3'000});
    CHECK(cell.membership().isVoter(spare.id));
    CHECK(cell.membership().find(lostVoter) == nullptr);
    CHECK(cell.membership().voterCount() == voterCount);

    const ReplicaId secondLostVoter =
        cell.anyFollower() == lostVoter ? ReplicaId {voterCount} : cell.anyFollower();
    cell.network.crash(secondLostVoter);
    cell.run(Milliseconds {4'000});
    REQUIRE(cell.network.leader() != nullptr);
    REQUIRE(cell.network.leader()->propose("after both losses").has_value());
    const LogIndex last = cell.network.leader()->lastIndex();
    cell.run(Milliseconds {500});
    CHECK(cell.network.leader()->commitIndex() >= last);
}

TEST_CASE("a replaced voter returns as a spare, and a voter that returns in time stays")
{
    Cell cell;
    const Member spare = spareOf(10, "vm-10");
    cell.network.bootWithEmptyDisk(spare.id);
    cell.spares = {spare};
    const ReplicaId returningVoter = cell.anyFollower();
    cell.network.crash(returningVoter);
    cell.run(Milliseconds {1'000});
    cell.network.boot(returningVoter);
    cell.run(Milliseconds {4'000});
    CHECK(cell.membership().isVoter(returningVoter));
    CHECK(cell.membership().find(spare.id) == nullptr);

    cell.network.crash(returningVoter);
    cell.run(Milliseconds {5'000});
    REQUIRE(cell.membership().isVoter(spare.id));
    cell.network.boot(returningVoter);
    cell.spares = {
        spare, spareOf(returningVoter.value(), "vm-" + std::to_string(returningVoter.value()))};
    cell.run(Milliseconds {3'000});
    CHECK(cell.membership().voterCount() == voterCount);
    CHECK_FALSE(cell.membership().isVoter(returningVoter));
}

} // namespace crocusmill
