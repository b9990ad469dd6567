/// The leader's recovery of work, on a journal that applies at once.

#include "src/services/leaderservice.h"

#include "src/net/peerstream.h"
#include "test/fakes/callingleader.h"

#include <catch2/catch.hpp>

namespace crocusmill
{

namespace
{

using fakes::FakeJournal;
using fakes::FakePeers;

WallTime wallIn(Milliseconds time)
{
    return std::chrono::time_point_cast<Milliseconds>(std::chrono::system_clock::now()) + time;
}

AdmitWork admission(const std::string &id, Milliseconds deadline)
{
    AdmitWork admit;
    admit.work = WorkId {id};
    admit.environment = EnvironmentName {"rocola"};
    admit.owner = EntryEpoch {"vm-1.a"};
    admit.deadline = wallIn(deadline);
    return admit;
}

} // namespace

TEST_CASE("work that its live entry never carries is given up after its deadline")
{
    asio::io_context control;
    Settings settings;
    Metrics metrics;
    settings.state = StateSettings {};
    settings.times.slots.grantLife = Milliseconds {400};
    settings.times.slots.driftMargin = Milliseconds {10};
    Kernel kernel;
    std::unique_ptr<FakeJournal> ownJournal = std::make_unique<FakeJournal>(settings.times);
    std::unique_ptr<FakePeers> ownPeers = std::make_unique<FakePeers>();
    FakeJournal &journal = *ownJournal;
    FakePeers &peers = *ownPeers;
    kernel.add(std::move(ownJournal));
    kernel.add(std::move(ownPeers));
    kernel.add(makeLeaderService(control, settings, metrics));
    REQUIRE(kernel.start().has_value());

    const AdmitWork orphan = admission("orphan", Milliseconds {-2'500});
    const AdmitWork carried = admission("carried", Milliseconds {60'000});
    for (const AdmitWork &admit : {orphan, carried}) {
        static_cast<void>(peers.ask(ProposeCall {encodeCommand(Command {admit})}));
    }
    BeatCall beat;
    beat.epoch = orphan.owner;
    beat.full = true;
    const MonotonicTime until = std::chrono::steady_clock::now() + std::chrono::seconds {2};
    while (std::chrono::steady_clock::now() < until
        && journal.state().openWork().contains(orphan.work)) {
        ++beat.number;
        static_cast<void>(peers.ask(beat));
        control.run_for(Milliseconds {50});
    }
    kernel.stop();
    CHECK(journal.state().findWork(orphan.work)->execution() == Execution::NotRun);
    CHECK(journal.state().openWork().contains(carried.work));
}

TEST_CASE("a lease that lapses for a moment brings no second supervisor into the term")
{
    fakes::CallingLeader leader;
    REQUIRE(leader.started);
    HeartbeatCall call;
    call.heartbeat.id = WorkerId {"w"};
    call.heartbeat.incarnation = Incarnation {"1000"};
    call.heartbeat.sequence = 1;
    static_cast<void>(leader.peers.ask(call));
    REQUIRE(leader.link.holds.size() == 1);
    leader.journal.setLeads(false);
    leader.control.run_for(Milliseconds {500}); // longer than between two sweeps
    leader.journal.setLeads(true);
    call.heartbeat.sequence = 2;
    static_cast<void>(leader.peers.ask(call));
    leader.control.run_for(Milliseconds {300});
    // Two supervisors with one fence would stop what the other has started.
    CHECK(leader.link.holds.size() == 1);
}

} // namespace crocusmill
