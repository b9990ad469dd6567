/// Tests the run supervisor with workers whose calls fail at once, and with runs that never began.

#include "test/fakes/supervised.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <thread>

namespace crocusmill
{

namespace
{

using fakes::FakeWorkerLink;
using fakes::stepOf;
using fakes::supervised::firstIncarnation;
using fakes::supervised::Fixture;
using fakes::supervised::task;
using fakes::supervised::wall;
using fakes::supervised::worker;

void pause()
{
    std::this_thread::sleep_for(Milliseconds {3}); // the next hold gets a later send time
}

} // namespace

TEST_CASE("a run that never began does not hold its room while holds wait for an end")
{
    constexpr Milliseconds brief {100};
    const Milliseconds regularWait = SupervisorTimes {}.holdWaitTimeout;
    Fixture fixture {true};
    const auto wait = [&fixture]() {
        return fixture.link.holds.back().order.wait;
    };
    fixture.receiveHeartbeat();
    SECTION("the list that proves its end is requested at once")
    {
        fixture.link.answerHold({});
        CHECK(wait() <= brief); // the stop is not confirmed yet
        fixture.tick(Milliseconds {100});
        REQUIRE(fixture.link.stops.size() == 1);
        fixture.link.stops[0].done(StopOutcome::Answered);
        pause();
        fixture.link.answerHold({});
        CHECK(wait() == Milliseconds {0});
        pause();
        fixture.link.answerHold({});
        CHECK(fixture.phase() == TaskPhase::Waiting);
        CHECK(wait() == regularWait);
    }
    SECTION("a run that is listed ends with a list that returns early by itself")
    {
        fixture.link.answerHold(Fixture::runningReport());
        CHECK(wait() == regularWait);
        fixture.state.apply(CancelGraph {GraphId {"g"}, wall}, LogIndex {++fixture.index});
        fixture.tick(Milliseconds {100});
        REQUIRE(fixture.link.stops.size() == 1);
        fixture.link.answerHold(Fixture::runningReport());
        CHECK(wait() == regularWait);
        fixture.link.stops[0].done(StopOutcome::Answered);
        pause();
        fixture.link.answerHold(Fixture::runningReport());
        CHECK(wait() == regularWait);
    }
}

TEST_CASE("workers stay open when the calls to most of them fail at once")
{
    static constexpr int holdCount = 4; // more than a single worker may leave unanswered
    static constexpr Milliseconds interval {200};
    Fixture fixture;
    const auto isOpen = [&fixture]() {
        return fixture.supervisor->load(monotonicNow()).openWorkers == 1;
    };
    const auto failHolds = [&fixture](HoldError error) {
        for (int i = 1; i <= holdCount; ++i) {
            const auto hold = std::find_if(fixture.link.holds.rbegin(), fixture.link.holds.rend(),
                [](const FakeWorkerLink::HoldCall &call) { return call.worker.id == worker; });
            HoldOutcome outcome;
            outcome.error = error;
            const WorkerLink::HoldHandler done = hold->done;
            done(outcome);
            fixture.tick(interval * i);
        }
    };
    fixture.receiveHeartbeat();
    fixture.link.answerHold({});
    fixture.tick(Milliseconds {0});
    REQUIRE(isOpen());
    SECTION("calls that fail at once show that the worker can be reached")
    {
        failHolds(HoldError::Unanswered);
        CHECK(isOpen());
    }
    SECTION("a worker that cannot be connected gets no tasks")
    {
        failHolds(HoldError::Refused);
        CHECK_FALSE(isOpen());
    }
    SECTION("few failing workers get no tasks")
    {
        for (const char *id : {"v1", "v2", "v3"}) {
            WorkerHeartbeat heartbeat;
            heartbeat.id = WorkerId {id};
            heartbeat.incarnation = firstIncarnation;
            heartbeat.sequence = 1;
            fixture.supervisor->onHeartbeat(heartbeat, monotonicNow());
        }
        failHolds(HoldError::Unanswered);
        CHECK_FALSE(isOpen());
    }
}

TEST_CASE("starts that fail at once are sent for as long as those that time out")
{
    constexpr std::size_t orderCount = 12;
    Fixture fixture;
    fixture.startRun();
    for (std::size_t sent = 1; sent < orderCount; ++sent) {
        fixture.link.answerStart(StartOutcome::Unanswered);
        fixture.tick(SupervisorTimes {}.maxOrderPause);
        REQUIRE(fixture.link.starts.size() == sent + 1);
    }
    CHECK(fixture.link.stops.empty());
    fixture.link.answerStart(StartOutcome::Unanswered);
    fixture.tick(SupervisorTimes {}.answerTimeout.maxTimeout * 6);
    CHECK(fixture.link.starts.size() == orderCount);
    CHECK(fixture.link.stops.size() == 1);
}

TEST_CASE("a worker that refuses is tried again soon if most workers refuse")
{
    static constexpr Milliseconds firstBackoff {250};
    Fixture fixture;
    const auto refuse = [&fixture](std::uint32_t run) {
        fixture.supervisor->reserve({task, RunNumber {run}, worker, firstIncarnation}, stepOf(1));
        fixture.recordPlacement(run);
        fixture.supervisor->start(task, std::nullopt, monotonicNow());
        fixture.link.answerStart(StartOutcome::Refused);
        fixture.tick(Milliseconds {0});
    };
    const auto isOpenLater = [&fixture]() {
        return fixture.supervisor->load(monotonicNow() + firstBackoff).openWorkers == 1;
    };
    fixture.receiveHeartbeat();
    fixture.link.answerHold({});
    SECTION("most refuse")
    {
        refuse(1);
        refuse(2);
        CHECK(isOpenLater());
    }
    SECTION("one of four refuses")
    {
        for (const char *id : {"v1", "v2", "v3"}) {
            WorkerHeartbeat heartbeat;
            heartbeat.id = WorkerId {id};
            heartbeat.incarnation = firstIncarnation;
            heartbeat.sequence = 1;
            fixture.supervisor->onHeartbeat(heartbeat, monotonicNow());
        }
        refuse(1);
        refuse(2);
        CHECK_FALSE(isOpenLater());
    }
}

} // namespace crocusmill
