/// Tests the run supervisor with workers that answer late, twice, wrongly or not at all.

#include "test/fakes/logcapture.h"
#include "test/fakes/supervised.h"

#include <catch2/catch.hpp>

#include <algorithm>
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

/// Expects that the run is stopped and ends once a list that was requested after that lacks it.
void expectEndedByStop(Fixture &fixture)
{
    fixture.tick(Milliseconds {100});
    REQUIRE(fixture.link.stops.size() == 1);
    CHECK(fixture.phase() == TaskPhase::Placed);
    fixture.link.stops[0].done(StopOutcome::Answered);
    pause();
    fixture.link.answerHold({});
    pause();
    fixture.link.answerHold({});
    CHECK(fixture.phase() == TaskPhase::Waiting);
}

} // namespace

TEST_CASE("a stalled run is stopped, but not one that has exceeded its estimate")
{
    SupervisorTimes times;
    times.stallTimeout = Milliseconds {1};
    times.stallEstimateShare = 0;
    Fixture fixture {false, times};
    fixture.startRun();
    fixture.link.answerStart(StartOutcome::Started);
    const std::uint32_t percent = GENERATE(40U, 100U);
    fixture.link.answerHold(Fixture::runningReport(1, percent));
    pause();
    fixture.link.answerHold(Fixture::runningReport(1, percent));
    fixture.tick(Milliseconds {10});
    CHECK(fixture.link.stops.size() == (percent < 100 ? 1 : 0));
}

TEST_CASE("a listed end is recorded even if its worker has left meanwhile")
{
    Fixture fixture;
    fixture.startRun();
    fixture.link.answerStart(StartOutcome::Started);
    fixture.shouldFailNextProposal = true; // as if the leader's lease had lapsed for a moment
    fixture.link.answerHold(Fixture::endedReport(RunEnd::Succeeded));
    fixture.receiveFarewell();
    fixture.tick(Milliseconds {5'000});
    CHECK(fixture.phase() == TaskPhase::Succeeded);
    CHECK_FALSE(fixture.supervisor->hasRun(task));
}

TEST_CASE("a retired supervisor sends no orders and records nothing")
{
    Fixture fixture;
    fixture.startRun();
    const std::size_t holds = fixture.link.holds.size();
    fixture.supervisor->retire();
    HoldReport report = Fixture::endedReport(RunEnd::Succeeded);
    report.running.push_back({TaskRef {GraphId {"other"}, 0, 0, 0}, RunNumber {1}, {}, 100});
    fixture.link.answerHold(report);
    fixture.link.answerStart(StartOutcome::Unanswered);
    fixture.tick(Milliseconds {10'000});
    // The next supervisor decides about unknown runs.
    CHECK(fixture.link.stops.empty());
    CHECK(fixture.link.holds.size() == holds);
    CHECK(fixture.link.starts.size() == 1);
    CHECK(fixture.phase() == TaskPhase::Placed);
}

TEST_CASE("an end is acknowledged to its worker only after it is recorded")
{
    Fixture fixture;
    fixture.startRun();
    fixture.link.answerStart(StartOutcome::Started);
    CHECK(fixture.link.holds.back().order.acknowledged == EndNumber {0});
    fixture.link.answerHold(Fixture::endedReport(RunEnd::Succeeded, 5));
    CHECK(fixture.phase() == TaskPhase::Succeeded);
    CHECK(fixture.link.holds.back().order.acknowledged == EndNumber {5});
    CHECK_FALSE(fixture.supervisor->hasRun(task));
}

TEST_CASE("an unanswered start is sent again unchanged, and the run is not replaced")
{
    Fixture fixture;
    fixture.startRun();
    REQUIRE(fixture.link.starts.size() == 1);
    const StartOrder order = fixture.link.starts[0].order;
    fixture.link.answerStart(StartOutcome::Unanswered);
    fixture.tick(Milliseconds {200});
    REQUIRE(fixture.link.starts.size() == 2);
    CHECK(fixture.link.starts[1].order.run == order.run);
    CHECK(fixture.link.starts[1].order.deadline == order.deadline);
    CHECK(fixture.phase() == TaskPhase::Placed);
    CHECK(fixture.supervisor->hasRun(task));
}

TEST_CASE(
    "a refused start frees its task at once, unless an earlier order may still be carried out")
{
    Fixture fixture;
    fixture.startRun();
    SECTION("the only order")
    {
        fixture.link.answerStart(StartOutcome::Refused);
        CHECK(fixture.phase() == TaskPhase::Waiting);
        CHECK_FALSE(fixture.supervisor->hasRun(task));
    }
    SECTION("after an unanswered order")
    {
        fixture.link.answerStart(StartOutcome::Unanswered);
        fixture.tick(Milliseconds {200});
        fixture.link.answerStart(StartOutcome::Refused);
        CHECK(fixture.phase() == TaskPhase::Placed);
        fixture.tick(Milliseconds {300});
        REQUIRE(fixture.link.stops.size() == 1);
        fixture.link.answerHold({}); // requested before the stop was answered
        CHECK(fixture.phase() == TaskPhase::Placed);
        fixture.link.stops[0].done(StopOutcome::Answered);
        fixture.link.answerHold({}); // this one too
        CHECK(fixture.phase() == TaskPhase::Placed);
        pause();
        fixture.link.answerHold({});
        pause();
        fixture.link.answerHold({});
        CHECK(fixture.phase() == TaskPhase::Waiting);
    }
}

TEST_CASE("a list that was requested before the start was answered proves nothing")
{
    Fixture fixture;
    fixture.startRun();
    pause();
    fixture.link.answerStart(StartOutcome::Started);
    fixture.link.answerHold({});
    CHECK(fixture.phase() == TaskPhase::Placed);
    pause();
    fixture.link.answerHold({}); // requested after the answer
    CHECK(fixture.phase() == TaskPhase::Waiting);
}

TEST_CASE("a full list proves nothing about runs that it lacks")
{
    Fixture fixture;
    fixture.startRun();
    fixture.link.answerStart(StartOutcome::Started);
    pause();
    HoldReport report;
    for (std::uint64_t number = 1; number <= maxListedEnds; ++number) {
        const TaskRef other {GraphId {"other"}, 0, 0, static_cast<std::uint32_t>(number)};
        report.ended.push_back({EndNumber {number}, other, RunNumber {1}, RunEnd::Stopped, {}});
    }
    fixture.link.answerHold(Fixture::runningReport()); // the next list is requested after the start
    pause();
    fixture.link.answerHold(report);
    CHECK(fixture.phase() == TaskPhase::Placed);
}

TEST_CASE("the runs of a silent worker end only when its longest lease has expired")
{
    Fixture fixture;
    fixture.startRun();
    fixture.link.answerStart(StartOutcome::Started);
    // It gets leases until it has not answered for two seconds.
    for (Milliseconds offset {0}; offset <= Milliseconds {2'200}; offset += Milliseconds {100}) {
        fixture.link.failHold(HoldError::Unanswered);
        fixture.tickUntil(offset);
        CHECK(fixture.link.holds.back().order.deadline.has_value()
            == (offset < Milliseconds {2'000}));
    }
    fixture.tickUntil(Milliseconds {7'900});
    CHECK(fixture.phase() == TaskPhase::Placed);
    fixture.tickUntil(Milliseconds {8'900});
    CHECK(fixture.phase() == TaskPhase::Waiting);
}

TEST_CASE("runs of a replaced process end only after the new process was asked for them")
{
    Fixture fixture;
    fixture.startRun();
    fixture.link.answerStart(StartOutcome::Started);
    fixture.receiveHeartbeat(secondIncarnation);
    CHECK(fixture.phase() == TaskPhase::Placed); // the order may have reached the new process
    SECTION("it did")
    {
        fixture.link.answerHold(Fixture::runningReport());
        fixture.tick(Milliseconds {100});
        CHECK(fixture.link.stops.empty());
        CHECK(fixture.phase() == TaskPhase::Placed);
    }
    SECTION("it did not")
    {
        fixture.link.answerHold({});
        expectEndedByStop(fixture);
    }
}

TEST_CASE("a late heartbeat of an earlier process changes nothing")
{
    Fixture fixture;
    fixture.startRun();
    fixture.receiveHeartbeat(secondIncarnation);
    const std::size_t holds = fixture.link.holds.size();
    fixture.receiveHeartbeat(firstIncarnation, 9);
    CHECK(fixture.link.holds.size() == holds);
    CHECK(fixture.link.holds.back().worker.incarnation == secondIncarnation);
}

TEST_CASE("a new leader adopts runs that still run and settles missing ones")
{
    Fixture fixture {true};
    CHECK(fixture.supervisor->hasRun(task));
    fixture.receiveHeartbeat();
    SECTION("it runs")
    {
        fixture.link.answerHold(Fixture::runningReport());
        fixture.tick(Milliseconds {100});
        CHECK(fixture.link.stops.empty());
        CHECK(fixture.link.starts.empty());
        CHECK(fixture.phase() == TaskPhase::Placed);
    }
    SECTION("it does not run, but the earlier leader's order may still arrive")
    {
        fixture.link.answerHold({});
        CHECK(fixture.phase() == TaskPhase::Placed);
        expectEndedByStop(fixture);
    }
    SECTION("its worker is never heard")
    {
        Fixture silent {true};
        silent.tickUntil(Milliseconds {5'900});
        CHECK(silent.phase() == TaskPhase::Placed);
        silent.tickUntil(Milliseconds {6'500});
        CHECK(silent.phase() == TaskPhase::Waiting);
    }
}

TEST_CASE("an answer from an unknown process replaces the known one")
{
    Fixture fixture;
    fixture.receiveHeartbeat();
    HoldOutcome outcome;
    outcome.clock = WorkerTime {5};
    outcome.report.incarnation = secondIncarnation;
    const WorkerLink::HoldHandler done = fixture.link.holds.back().done;
    done(outcome);
    CHECK(fixture.link.holds.back().worker.incarnation == secondIncarnation);
}

TEST_CASE("a worker that announced its departure gets no tasks from any leader")
{
    Fixture fixture;
    fixture.state.apply(NoteLeaving {worker, firstIncarnation, wall}, LogIndex {++fixture.index});
    fixture.receiveHeartbeat(); // an older heartbeat without the departure
    fixture.link.answerHold({});
    CHECK_FALSE(fixture.supervisor->fleet().find(worker)->isOpen);
    fixture.receiveHeartbeat(secondIncarnation);
    fixture.link.answerHold({});
    CHECK(fixture.supervisor->fleet().find(worker)->isOpen);
}

TEST_CASE("a late answer of an earlier process does not set the clock of the new one")
{
    Fixture fixture;
    fixture.startRun();
    fixture.receiveHeartbeat(secondIncarnation); // its clock shows 1 s
    fixture.link.starts.back().done(StartOutcome::Started, WorkerTime {1'000'000});
    fixture.link.answerHold({});
    REQUIRE(fixture.link.holds.back().order.deadline.has_value());
    CHECK(*fixture.link.holds.back().order.deadline < WorkerTime {10'000});
}

TEST_CASE("a run without a record is stopped")
{
    Fixture fixture;
    fixture.receiveHeartbeat();
    fixture.link.answerHold(Fixture::runningReport(3));
    REQUIRE(fixture.link.stops.size() == 1);
    CHECK(fixture.link.stops[0].run == RunNumber {3});
}

TEST_CASE("a cancelled job's run is stopped again and keeps its room until its end is listed")
{
    Fixture fixture;
    fixture.startRun();
    fixture.link.answerStart(StartOutcome::Started);
    fixture.state.apply(CancelGraph {task.graph, wall}, LogIndex {++fixture.index});
    fixture.tick(Milliseconds {200});
    REQUIRE(fixture.link.stops.size() == 1);
    fixture.link.stops[0].done(StopOutcome::Unanswered);
    fixture.tick(Milliseconds {400});
    REQUIRE(fixture.link.stops.size() == 2);
    CHECK(fixture.supervisor->hasRun(task));
    fixture.link.answerHold(Fixture::endedReport(RunEnd::Stopped));
    CHECK_FALSE(fixture.supervisor->hasRun(task));
}

TEST_CASE("a run is not started, or is stopped, if an earlier run of its task has succeeded")
{
    Fixture fixture;
    fixture.state.apply(EndRuns {{{task, RunNumber {1}, RunEnd::Lost, {}}}, wall}, LogIndex {3});
    fixture.recordPlacement(1);
    fixture.state.apply(EndRuns {{{task, RunNumber {1}, RunEnd::Lost, {}}}, wall}, LogIndex {4});
    fixture.receiveHeartbeat();
    fixture.link.answerHold({});
    fixture.supervisor->reserve({task, RunNumber {2}, worker, firstIncarnation}, stepOf(1));
    fixture.recordPlacement(2);
    const Command late = EndRuns {{{task, RunNumber {1}, RunEnd::Succeeded, {}}}, wall};
    SECTION("before its start")
    {
        fixture.state.apply(late, LogIndex {++fixture.index});
        fixture.supervisor->start(task, std::nullopt, monotonicNow());
        CHECK(fixture.link.starts.empty());
        CHECK_FALSE(fixture.supervisor->hasRun(task));
    }
    SECTION("while it runs")
    {
        fixture.supervisor->start(task, std::nullopt, monotonicNow());
        fixture.link.answerStart(StartOutcome::Started);
        fixture.state.apply(late, LogIndex {++fixture.index});
        fixture.tick(Milliseconds {100});
        CHECK(fixture.link.stops.size() == 1);
    }
}

TEST_CASE("a VM that no longer leads sends no orders and renews no leases")
{
    Fixture fixture;
    fixture.startRun();
    fixture.canSendOrders = false;
    const std::size_t holds = fixture.link.holds.size();
    fixture.link.answerHold({});
    fixture.link.answerStart(StartOutcome::Unanswered);
    fixture.tick(Milliseconds {500});
    CHECK(fixture.link.holds.size() == holds);
    CHECK(fixture.link.starts.size() == 1);
}

TEST_CASE("a worker that refuses each start gets one log record a second")
{
    const fakes::LogCapture log;
    Fixture fixture;
    fixture.receiveHeartbeat();
    fixture.link.answerHold({});
    const MonotonicTime startedAt = monotonicNow();
    constexpr std::uint32_t startCount = 20;
    for (std::uint32_t run = 1; run <= startCount; ++run) {
        fixture.supervisor->reserve({task, RunNumber {run}, worker, firstIncarnation}, stepOf(1));
        fixture.recordPlacement(run);
        fixture.supervisor->start(task, std::nullopt, monotonicNow());
        fixture.link.answerStart(StartOutcome::Refused);
        REQUIRE(fixture.phase() == TaskPhase::Waiting);
    }
    const std::chrono::seconds elapsed =
        std::chrono::ceil<std::chrono::seconds>(monotonicNow() - startedAt);
    CHECK(fixture.link.starts.size() == startCount);
    CHECK(log.records("run.over").size() == startCount);
    const std::vector<std::string> records = log.records("run.refused");
    REQUIRE(!records.empty());
    CHECK(records.size() <= static_cast<std::size_t>(elapsed.count()));
    CHECK(fakes::valueIn(records.front(), "left_out") == "0");
}

} // namespace crocusmill
