/// Tests which events the run supervisor takes as evidence about workers and their runs.

#include "test/fakes/supervised.h"

#include <catch2/catch.hpp>

#include <thread>

namespace crocusmill
{

namespace
{

using fakes::stepOf;
using fakes::supervised::firstIncarnation;
using fakes::supervised::Fixture;
using fakes::supervised::secondIncarnation;
using fakes::supervised::task;
using fakes::supervised::wall;
using fakes::supervised::worker;

void pause()
{
    std::this_thread::sleep_for(Milliseconds {3}); // the next hold gets a later send time
}

} // namespace

TEST_CASE("a start is ordered only while this VM holds its lease as leader")
{
    Fixture fixture;
    fixture.receiveHeartbeat();
    fixture.link.answerHold({});
    fixture.supervisor->reserve({task, RunNumber {1}, worker, firstIncarnation}, stepOf(1));
    fixture.recordPlacement();
    fixture.canSendOrders = false; // its lease has lapsed while the placement was recorded
    fixture.supervisor->start(task, std::nullopt, monotonicNow());
    CHECK(fixture.link.starts.empty());
    fixture.canSendOrders = true;
    fixture.tick(Milliseconds {100});
    REQUIRE(fixture.link.starts.size() == 1);
    CHECK(fixture.link.starts[0].order.run == RunNumber {1});
}

TEST_CASE("a late heartbeat of an earlier process does not replace the one that got the run")
{
    Fixture fixture {true};
    fixture.receiveHeartbeat(Incarnation {"500"}, 9);
    CHECK(fixture.link.holds.empty());
    fixture.receiveHeartbeat(firstIncarnation);
    REQUIRE(fixture.link.holds.size() == 1);
    CHECK(fixture.link.holds[0].worker.incarnation == firstIncarnation);
    fixture.link.answerHold(Fixture::runningReport());
    CHECK(fixture.phase() == TaskPhase::Placed);
}

TEST_CASE("the answer of an earlier process to a stop proves nothing about the present one")
{
    Fixture fixture;
    fixture.startRun();
    fixture.link.answerStart(StartOutcome::Started);
    fixture.state.apply(CancelGraph {task.graph, wall}, LogIndex {++fixture.index});
    fixture.tick(Milliseconds {100});
    REQUIRE(fixture.link.stops.size() == 1);
    fixture.receiveHeartbeat(secondIncarnation); // the start may reach this process, too
    fixture.link.stops[0].done(GENERATE(StopOutcome::Answered, StopOutcome::OtherIncarnation));
    pause();
    fixture.link.answerHold({});
    pause();
    fixture.link.answerHold({});
    CHECK(fixture.phase() == TaskPhase::Placed);
    fixture.tick(Milliseconds {200});
    REQUIRE(fixture.link.stops.size() == 2);
    CHECK(fixture.link.stops[1].worker.incarnation == secondIncarnation);
    CHECK(fixture.supervisor->hasRun(task));
}

TEST_CASE("a list with rows that cannot be read does not show that a run is over")
{
    Fixture fixture;
    fixture.startRun();
    fixture.link.answerStart(StartOutcome::Started);
    fixture.link.answerHold(Fixture::runningReport());
    pause();
    HoldReport unreadable;
    unreadable.unreadableRuns = 1;
    fixture.link.answerHold(unreadable);
    CHECK(fixture.phase() == TaskPhase::Placed);
    pause();
    HoldReport foreign;
    foreign.foreignRows = 1;
    fixture.link.answerHold(foreign);
    CHECK(fixture.phase() == TaskPhase::Waiting);
}

TEST_CASE("a list of an earlier process, or of none, does not replace the present one")
{
    Fixture fixture;
    fixture.startRun();
    fixture.link.answerStart(StartOutcome::Started);
    fixture.link.answerHold(Fixture::runningReport());
    const fakes::FakeWorkerLink::HoldHandler done = fixture.link.holds.back().done;
    HoldOutcome outdated;
    outdated.report.incarnation = GENERATE(Incarnation {"0"}, Incarnation {"500"});
    done(outdated);
    fixture.tickUntil(Milliseconds {500});
    CHECK(fixture.phase() == TaskPhase::Placed);
    REQUIRE_FALSE(fixture.link.holds.empty());
    CHECK(fixture.link.holds.back().worker.incarnation == firstIncarnation);
}

// Guards against tasks that start on a process that lacks their label, since the leader knows the
// process only from its list and takes it for one of the kind that its predecessor had.
TEST_CASE("a process known only from its list got tasks by the labels of its predecessor")
{
    Fixture fixture;
    fixture.receiveHeartbeat();
    fixture.link.answerHold({});
    REQUIRE(fixture.supervisor->fleet().find(worker)->isOpen);
    const WorkerLink::HoldHandler done = fixture.link.holds.back().done;
    HoldOutcome outcome;
    outcome.clock = WorkerTime {5};
    outcome.report.incarnation = secondIncarnation;
    done(outcome);
    fixture.link.answerHold({}); // it answers the next hold as well
    fixture.tick(Milliseconds {100});
    CHECK(fixture.link.holds.back().worker.incarnation == secondIncarnation);
    CHECK_FALSE(fixture.supervisor->fleet().find(worker)->isOpen);
    SECTION("until its first heartbeat, whatever its number")
    {
        fixture.receiveHeartbeat(secondIncarnation, GENERATE(0U, 1U));
        CHECK(fixture.supervisor->fleet().find(worker)->isOpen);
    }
    SECTION("a late heartbeat of its predecessor does not open it")
    {
        fixture.receiveHeartbeat(firstIncarnation, 9);
        CHECK_FALSE(fixture.supervisor->fleet().find(worker)->isOpen);
    }
    SECTION("the next leader does not learn its kind from this one")
    {
        for (const WorkerHeartbeat &heartbeat : fixture.supervisor->callableWorkers()) {
            CHECK(heartbeat.incarnation != secondIncarnation);
        }
    }
}

// Guards against tasks that start on a worker seconds after its draining was acknowledged, since a
// start that had no answer is sent again without a look at the worker.
TEST_CASE("a start was sent again after the draining of its worker was acknowledged")
{
    Fixture fixture;
    fixture.startRun();
    const bool isSent = GENERATE(true, false);
    fixture.link.answerStart(isSent ? StartOutcome::Unanswered : StartOutcome::NotSent);
    const bool isOwnHeartbeat = GENERATE(true, false);
    if (isOwnHeartbeat) {
        fixture.receiveHeartbeat(firstIncarnation, 2, true);
    }
    fixture.state.apply(NoteLeaving {worker, firstIncarnation, wall}, LogIndex {++fixture.index});
    fixture.tickUntil(Milliseconds {2'000});
    CHECK(fixture.link.starts.size() == 1);
    if (isSent) {
        CHECK_FALSE(fixture.link.stops.empty());
        CHECK(fixture.phase() == TaskPhase::Placed); // it may have been carried out
    } else {
        CHECK(fixture.link.stops.empty());
        CHECK(fixture.phase() == TaskPhase::Waiting);
        CHECK_FALSE(fixture.supervisor->hasRun(task));
    }
}

TEST_CASE("a start was sent although its worker began to leave while the placement was recorded")
{
    Fixture fixture;
    fixture.receiveHeartbeat();
    fixture.link.answerHold({});
    fixture.supervisor->reserve({task, RunNumber {1}, worker, firstIncarnation}, stepOf(1));
    fixture.recordPlacement();
    fixture.state.apply(NoteLeaving {worker, firstIncarnation, wall}, LogIndex {++fixture.index});
    fixture.supervisor->start(task, std::nullopt, monotonicNow());
    CHECK(fixture.link.starts.empty());
    CHECK(fixture.phase() == TaskPhase::Waiting);
}

TEST_CASE("another process at the address of a worker ends the runs of the worker")
{
    Fixture fixture;
    fixture.startRun();
    if (GENERATE(true, false)) {
        fixture.link.answerStart(StartOutcome::OtherIncarnation);
    } else {
        fixture.link.answerStart(StartOutcome::Started);
        fixture.link.failHold(HoldError::OtherIncarnation);
    }
    CHECK(fixture.phase() == TaskPhase::Waiting);
    const FleetWorker *known = fixture.supervisor->fleet().find(worker);
    CHECK((known == nullptr || !known->isOpen));
}

// Guards against tasks that run twice: that another process has the earlier address of a worker
// says nothing about the runs of a worker that was heard at a new one.
TEST_CASE("a worker lost its runs since another process answered at its earlier address")
{
    Fixture fixture;
    fixture.startRun();
    const int call = GENERATE(0, 1, 2); // a start, a hold or a stop
    if (call > 0) {
        fixture.link.answerStart(StartOutcome::Started);
        fixture.link.answerHold(Fixture::runningReport());
    }
    if (call == 2) {
        fixture.state.apply(CancelGraph {task.graph, wall}, LogIndex {++fixture.index});
        fixture.tick(Milliseconds {0});
        REQUIRE(fixture.link.stops.size() == 1);
    }
    fixture.address.ip = "10.0.0.2";
    fixture.receiveHeartbeat(firstIncarnation, 2);
    if (call == 0) {
        fixture.link.answerStart(StartOutcome::OtherIncarnation);
    } else if (call == 1) {
        fixture.link.failHold(HoldError::OtherIncarnation);
    } else {
        fixture.link.stops[0].done(StopOutcome::OtherIncarnation);
    }
    CHECK(fixture.supervisor->hasRun(task));
    fixture.tickUntil(Milliseconds {300});
    const WorkerEndpoint called = call == 0 ? fixture.link.starts.back().worker
        : call == 1                         ? fixture.link.holds.back().worker
                                            : fixture.link.stops.back().worker;
    CHECK(called.address == fixture.address);
}

TEST_CASE("holds that this VM could not send do not end the runs of their worker")
{
    Fixture fixture;
    fixture.startRun();
    fixture.link.answerStart(StartOutcome::Started);
    const HoldError error = GENERATE(HoldError::NotSent, HoldError::Unanswered);
    for (Milliseconds offset {0}; offset < Milliseconds {9'000}; offset += Milliseconds {400}) {
        fixture.link.failHold(error);
        fixture.tickUntil(offset);
    }
    CHECK(
        fixture.phase() == (error == HoldError::NotSent ? TaskPhase::Placed : TaskPhase::Waiting));
}

TEST_CASE("a single unanswered hold does not show that a worker is unreachable")
{
    Fixture fixture {true};
    fixture.receiveHeartbeat();
    fixture.link.failHold(HoldError::Unanswered);
    fixture.tickUntil(Milliseconds {7'000}); // the next hold has no outcome yet
    REQUIRE(fixture.link.holds.size() == 2);
    CHECK(fixture.phase() == TaskPhase::Placed);
    fixture.link.failHold(HoldError::Unanswered);
    fixture.tickUntil(Milliseconds {14'000});
    CHECK(fixture.phase() == TaskPhase::Waiting);
}

TEST_CASE("a worker stays if its process is heard after a farewell that names none")
{
    Fixture fixture;
    fixture.startRun();
    fixture.link.answerStart(StartOutcome::Started);
    fixture.link.answerHold(Fixture::runningReport());
    const Incarnation named = GENERATE(Incarnation {}, firstIncarnation);
    fixture.receiveFarewell(named);
    CHECK_FALSE(fixture.supervisor->fleet().find(worker)->isOpen);
    fixture.receiveHeartbeat(firstIncarnation, 2);
    fixture.link.answerHold(Fixture::runningReport());
    const bool hasLeft = !named.value().empty();
    CHECK(fixture.supervisor->fleet().find(worker)->isOpen != hasLeft);
    CHECK(fixture.link.holds.back().order.deadline.has_value() != hasLeft);
}

TEST_CASE("a worker that answers gets leases however long ago its last answer was")
{
    Fixture fixture;
    fixture.startRun();
    fixture.link.answerStart(StartOutcome::Started);
    fixture.link.answerHold(Fixture::runningReport()); // the next hold waits for its answer
    fixture.link.answerHold(Fixture::runningReport());
    fixture.tick(Milliseconds {0});
    const std::size_t holds = fixture.link.holds.size();
    fixture.link.answerHold(Fixture::endedReport(RunEnd::Succeeded));
    fixture.tickUntil(Milliseconds {3'000}); // records the end late
    REQUIRE(fixture.link.holds.size() > holds);
    CHECK(fixture.link.holds.back().order.deadline.has_value());
    fixture.link.answerHold({});
    fixture.tickUntil(Milliseconds {6'000});
    CHECK(fixture.link.holds.back().order.deadline.has_value());
}

} // namespace crocusmill
