/// Tests how the runs of leaving workers end and when their farewells are answered.

#include "test/fakes/supervised.h"

#include <catch2/catch.hpp>

namespace crocusmill
{

namespace
{

using fakes::supervised::firstIncarnation;
using fakes::supervised::Fixture;
using fakes::supervised::secondIncarnation;

} // namespace

// Guards against tasks that run twice: a leaving worker runs on until its farewell is acknowledged,
// and a cut that refuses connections looks like the end of its process.
TEST_CASE("the runs of a leaving worker were lost as soon as connections to it were refused")
{
    Fixture fixture;
    fixture.startListedRun();
    fixture.receiveFarewell(GENERATE(Incarnation {}, firstIncarnation));
    const HoldError error = GENERATE(HoldError::Refused, HoldError::Unanswered);
    const std::size_t earlierHolds = fixture.link.holds.size();
    for (Milliseconds offset {0}; offset < Milliseconds {6'000}; offset += Milliseconds {100}) {
        fixture.link.failHold(error);
        fixture.tickUntil(offset);
    }
    CHECK(fixture.phase() == TaskPhase::Placed);
    REQUIRE(fixture.link.holds.size() > earlierHolds);
    for (std::size_t i = earlierHolds; i < fixture.link.holds.size(); ++i) {
        CHECK_FALSE(fixture.link.holds[i].order.deadline.has_value());
    }
    fixture.tickUntil(Milliseconds {6'500}); // its leases have expired
    CHECK(fixture.phase() == TaskPhase::Waiting);
}

// Guards against a wait for the leases at each clean departure: once the farewell is acknowledged,
// the process may be gone at any time and nothing but its leases proves that its runs have ended.
TEST_CASE("a farewell was acknowledged before the runs of the worker had ended")
{
    Fixture fixture;
    fixture.startListedRun();
    const bool isNamed = GENERATE(true, false);
    if (!isNamed) {
        fixture.receiveHeartbeat(firstIncarnation, 2, true); // so it is this process that leaves
    }
    fixture.receiveFarewell(isNamed ? firstIncarnation : Incarnation {});
    REQUIRE(fixture.link.stops.size() == 1);
    CHECK(fixture.link.stops[0].run == RunNumber {1});
    fixture.link.stops[0].done(StopOutcome::Answered);
    CHECK(fixture.phase() == TaskPhase::Placed);
    const RunEnd end = GENERATE(RunEnd::Stopped, RunEnd::Succeeded);
    fixture.link.answerHold(Fixture::endedReport(end));
    CHECK(
        fixture.phase() == (end == RunEnd::Succeeded ? TaskPhase::Succeeded : TaskPhase::Waiting));
    CHECK(fixture.farewells.empty()); // the worker does not know that its end is recorded
    CHECK(fixture.link.holds.back().order.acknowledged == EndNumber {1});
    CHECK(fixture.link.holds.back().order.wait == Milliseconds {0});
    fixture.link.answerHold({});
    REQUIRE(fixture.farewells.size() == 1);
    CHECK(fixture.farewells[0] == FarewellOutcome::RunsEnded);
    const std::size_t holds = fixture.link.holds.size();
    fixture.tickUntil(Milliseconds {1'200});
    CHECK(fixture.link.holds.size() == holds);
}

// Guards against a wait for the leases after each drain: many workers end as they say farewell, and
// answer no stop after that.
TEST_CASE("the runs of a draining worker went on until its process ended")
{
    Fixture fixture;
    fixture.startListedRun();
    fixture.receiveHeartbeat(firstIncarnation, 2, true, Milliseconds {2'000});
    fixture.tickUntil(Milliseconds {1'400});
    CHECK(fixture.link.stops.empty());
    const bool staysLonger = GENERATE(true, false);
    if (staysLonger) {
        fixture.receiveHeartbeat(firstIncarnation, 3, true, Milliseconds {3'000});
    }
    fixture.tickUntil(Milliseconds {1'700});
    CHECK(fixture.link.stops.size() == (staysLonger ? 0 : 1));
}

TEST_CASE("a draining worker keeps its runs if it does not say for how long it stays, or stays")
{
    Fixture fixture;
    fixture.startListedRun();
    const bool stays = GENERATE(true, false);
    fixture.receiveHeartbeat(
        firstIncarnation, 2, true, stays ? Milliseconds {2'000} : Milliseconds {0});
    if (stays) {
        fixture.receiveHeartbeat(firstIncarnation, 3, false);
    }
    fixture.tickUntil(Milliseconds {4'000});
    CHECK(fixture.link.stops.empty());
}

// Guards against a worker that is never told that it may leave, as its runs do not end in time.
TEST_CASE("a farewell stayed without an answer while the worker could not be called")
{
    Fixture fixture;
    fixture.startListedRun();
    fixture.receiveFarewell();
    fixture.tickUntil(Milliseconds {1'000});
    fixture.receiveFarewell(); // the worker has given up the first call
    CHECK(fixture.farewells.empty());
    fixture.tickUntil(Milliseconds {1'700});
    const std::vector<FarewellOutcome> expected(2, FarewellOutcome::RunsLeft);
    CHECK(fixture.farewells == expected);
    CHECK(fixture.phase() == TaskPhase::Placed);
    CHECK(fixture.link.stops.size() == 1);
}

// Guards against an acknowledgement that waits in vain, and a connection for each stop meanwhile.
TEST_CASE("a farewell stayed without an answer although the worker refused connections")
{
    Fixture fixture;
    fixture.startListedRun();
    const bool isRefusedBefore = GENERATE(true, false);
    if (isRefusedBefore) {
        fixture.link.failHold(HoldError::Refused);
    }
    fixture.receiveFarewell();
    if (!isRefusedBefore) {
        fixture.link.stops.back().done(StopOutcome::Unanswered);
        fixture.link.failHold(HoldError::Refused);
    }
    CHECK(fixture.farewells == std::vector {FarewellOutcome::RunsLeft});
    const std::size_t stops = fixture.link.stops.size();
    fixture.tickUntil(Milliseconds {1'000});
    CHECK(fixture.link.stops.size() == stops);
    fixture.link.answerHold(Fixture::runningReport()); // the path works again
    fixture.tickUntil(Milliseconds {1'200});
    CHECK(fixture.link.stops.size() == stops + 1);
}

TEST_CASE("a farewell is answered at once if there is nothing to wait for, or nobody to wait")
{
    Fixture fixture;
    SECTION("a worker without runs")
    {
        fixture.receiveHeartbeat();
        fixture.link.answerHold({});
        fixture.receiveFarewell();
        CHECK(fixture.farewells == std::vector {FarewellOutcome::RunsEnded});
    }
    SECTION("an unknown process")
    {
        fixture.startRun();
        fixture.receiveFarewell(secondIncarnation);
        CHECK(fixture.farewells == std::vector {FarewellOutcome::RunsLeft});
        CHECK(fixture.link.stops.empty());
    }
    SECTION("a farewell that may be that of an earlier process stops no run")
    {
        fixture.startRun();
        fixture.link.answerStart(StartOutcome::Started);
        fixture.receiveFarewell(Incarnation {});
        fixture.tickUntil(Milliseconds {1'700});
        CHECK(fixture.farewells == std::vector {FarewellOutcome::RunsLeft});
        CHECK(fixture.link.stops.empty());
    }
    SECTION("this VM stops leading")
    {
        fixture.startRun();
        fixture.link.answerStart(StartOutcome::Started);
        fixture.receiveFarewell();
        CHECK(fixture.farewells.empty());
        fixture.supervisor->retire();
        CHECK(fixture.farewells == std::vector {FarewellOutcome::Retired});
    }
    SECTION("a later process of the worker was heard")
    {
        fixture.startRun();
        fixture.link.answerStart(StartOutcome::Started);
        fixture.receiveFarewell();
        fixture.receiveHeartbeat(secondIncarnation);
        CHECK(fixture.farewells == std::vector {FarewellOutcome::RunsLeft});
    }
}

// Guards against runs that a new leader learns of after the farewell and lets end with the process.
TEST_CASE("a run that is listed after the farewell of its worker was not stopped")
{
    Fixture fixture {true};
    fixture.receiveHeartbeat();
    fixture.receiveFarewell();
    CHECK(fixture.link.stops.empty()); // whether it runs is not known yet
    fixture.link.answerHold(Fixture::runningReport());
    fixture.tick(Milliseconds {100});
    REQUIRE(fixture.link.stops.size() == 1);
    CHECK(fixture.farewells.empty());
    fixture.link.stops[0].done(StopOutcome::Answered);
    fixture.link.answerHold(Fixture::endedReport(RunEnd::Stopped));
    fixture.link.answerHold({});
    CHECK(fixture.phase() == TaskPhase::Waiting);
    CHECK(fixture.farewells == std::vector {FarewellOutcome::RunsEnded});
}

} // namespace crocusmill
