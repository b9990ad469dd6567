/// Tests the leader service with a journal that applies proposals at once.

#include "src/services/leaderservice.h"

#include "src/net/peerstream.h"
#include "test/fakes/callingleader.h"
#include "test/fakes/graphs.h"

#include <crocusmill/takeover.h>

#include <catch2/catch.hpp>

namespace crocusmill
{

namespace
{

using fakes::FakeJournal;
using fakes::FakePeers;

WallTime wallTimeAfter(Milliseconds time)
{
    return std::chrono::time_point_cast<Milliseconds>(std::chrono::system_clock::now()) + time;
}

AdmitWork admission(const std::string &id, Milliseconds deadline)
{
    AdmitWork admit;
    admit.work = WorkId {id};
    admit.environment = EnvironmentName {"rocola"};
    admit.owner = EntryEpoch {"vm-1.a"};
    admit.deadline = wallTimeAfter(deadline);
    return admit;
}

} // namespace

TEST_CASE("work that its live entry does not process is ended after its deadline")
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

TEST_CASE("a brief lease lapse creates no second supervisor in the term")
{
    fakes::CallingLeader leader;
    REQUIRE(leader.started);
    HeartbeatCall call;
    call.heartbeat.id = WorkerId {"w"};
    call.heartbeat.incarnation = Incarnation {"1000"};
    call.heartbeat.sequence = 1;
    static_cast<void>(leader.peers.ask(call));
    REQUIRE(leader.link.holds.size() == 1);
    leader.journal.setLeading(false);
    leader.control.run_for(Milliseconds {500}); // longer than the sweep interval
    leader.journal.setLeading(true);
    call.heartbeat.sequence = 2;
    static_cast<void>(leader.peers.ask(call));
    leader.control.run_for(Milliseconds {300});
    // Two supervisors with one fencing token would stop each other's runs.
    CHECK(leader.link.holds.size() == 1);
}

TEST_CASE("a new leader calls few workers at a time, and none that has left")
{
    fakes::CallingLeader leader;
    REQUIRE(leader.started);
    std::vector<WorkerHeartbeat> known;
    constexpr std::size_t workerCount = 350;
    for (std::size_t i = 0; i < workerCount; ++i) {
        WorkerHeartbeat worker;
        worker.id = WorkerId {"w" + std::to_string(i)};
        worker.incarnation = Incarnation {"1000"};
        worker.sequence = 1;
        known.push_back(worker);
    }
    leader.kernel.find<Leader>(names::leader)->learnWorkers(known);
    static_cast<void>(leader.peers.ask(PresenceCall {})); // first call of the term
    CHECK(!leader.link.holds.empty());
    CHECK(leader.link.holds.size() <= 20);
    HeartbeatCall farewell;
    farewell.heartbeat = known.back();
    farewell.leaves = true;
    static_cast<void>(leader.peers.ask(farewell));
    leader.control.run_for(Milliseconds {200});
    CHECK(leader.link.holds.size() == workerCount - 1);
}

TEST_CASE("a new leader calls the workers with the most placements first")
{
    GraphRegistry graphs;
    constexpr std::uint32_t tasks = 3;
    graphs.submit({fakes::graphOf("a", {fakes::stepOf(tasks)}), WallTime {}});
    PlaceRuns placed;
    for (std::uint32_t i = 0; i < tasks; ++i) {
        const WorkerId worker {i == 0 ? "one" : "two"};
        placed.placements.push_back(
            {TaskRef {GraphId {"a"}, 0, 0, i}, RunNumber {1}, worker, Incarnation {"1000"}});
    }
    graphs.place(placed);
    std::vector<WorkerHeartbeat> workers(3);
    workers[0].id = WorkerId {"none"};
    workers[1].id = WorkerId {"one"};
    workers[2].id = WorkerId {"two"};
    sortByPlacements(workers, graphs);
    CHECK(workers[0].id == WorkerId {"two"});
    CHECK(workers[1].id == WorkerId {"one"});
    CHECK(workers[2].id == WorkerId {"none"});
}

} // namespace crocusmill
