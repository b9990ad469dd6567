/// Graph jobs from submission to the start order.

#include "test/fakes/callingleader.h"
#include "test/fakes/graphs.h"

#include <catch2/catch.hpp>

namespace crocusmill
{

namespace
{

using fakes::CallingLeader;
using fakes::quotesQueue;
using fakes::stepOf;

constexpr Milliseconds someRounds {200};

} // namespace

TEST_CASE("a job is recorded, placed and started; the next step follows the end of the first")
{
    CallingLeader leader;
    REQUIRE(leader.started);
    leader.installQueue(quotesQueue());
    leader.addWorker("w", 8'000);
    StepSpec second = stepOf(1);
    second.after = {0};
    CHECK(leader.submit("00000000000000aa", {stepOf(2), second}).outcome == GraphOutcome::Done);
    leader.control.run_for(someRounds);
    REQUIRE(leader.link.starts.size() == 2);
    HoldReport report;
    for (std::uint64_t i = 0; i < 2; ++i) {
        const StartOrder &order = leader.link.starts[i].order;
        leader.link.starts[i].done(StartOutcome::Started, WorkerTime {1'000});
        report.ended.push_back(
            {EndNumber {i + 1}, order.task, order.run, RunEnd::Succeeded, Checkpoint {}});
    }
    leader.link.answerHold(report);
    leader.control.run_for(someRounds);
    REQUIRE(leader.link.starts.size() == 3);
    CHECK(leader.link.starts.back().order.task.step == 1);
    // The ends are acknowledged to the worker only after they are recorded.
    CHECK(leader.link.holds.back().order.acknowledged == EndNumber {2});
}

TEST_CASE("a ticket request that fails at once is repeated")
{
    CallingLeader leader;
    Queue queue = quotesQueue();
    queue.tickets = TicketTiming {};
    leader.installQueue(queue);
    leader.addWorker("w", 8'000);
    leader.office.unansweredCount = 2;
    CHECK(leader.submit("00000000000000bb", {stepOf(1)}).outcome == GraphOutcome::Done);
    leader.control.run_for(someRounds);
    CHECK(leader.office.requestCount == 3);
    REQUIRE(leader.link.starts.size() == 1);
    CHECK(leader.link.starts.back().order.ticket == Ticket {"ticket"});
}

TEST_CASE("a gang found its room taken each time its tickets were renewed")
{
    CallingLeader leader;
    Queue asking = quotesQueue();
    asking.tickets = TicketTiming {};
    Queue direct = quotesQueue();
    direct.name = QueueName {"direct"};
    direct.prefix = "/direct/";
    Catalog catalog;
    catalog.version = DocumentVersion {1};
    catalog.queues = {asking, direct};
    static_cast<void>(leader.peers.ask(CatalogCall {catalog}));
    leader.addWorker("w", 4'000);
    leader.office.validity = Milliseconds {1}; // the first tickets expire before they can be used
    leader.office.answeredAtOnce = 1;
    StepSpec gang = stepOf(4);
    gang.gang = true;
    CHECK(leader.submit("00000000000000ee", {gang}).outcome == GraphOutcome::Done);
    leader.control.run_for(someRounds);
    REQUIRE(leader.office.heldAnswers.size() == 1);
    GraphCall other;
    other.action = GraphAction::Submit;
    other.host = direct.host;
    other.path = direct.prefix + "00000000000000ff";
    other.spec = GraphSpec {};
    other.spec->steps = {stepOf(1)};
    static_cast<void>(leader.peers.ask(other));
    leader.control.run_for(someRounds);
    CHECK(leader.link.starts.empty());
    SECTION("the answer places the gang in the room that it kept")
    {
        leader.office.heldAnswers.front()();
        leader.control.run_for(someRounds);
        CHECK(leader.office.requestCount == 2);
        CHECK(leader.link.starts.size() == 4);
    }
    SECTION("a job that is cancelled gives its room back")
    {
        GraphCall cancel;
        cancel.action = GraphAction::Cancel;
        cancel.host = asking.host;
        cancel.path = asking.prefix + "00000000000000ee";
        static_cast<void>(leader.peers.ask(cancel));
        leader.control.run_for(someRounds);
        CHECK(leader.link.starts.size() == 1);
    }
}

TEST_CASE("a gang does not start in part while there is no room for all of its tasks")
{
    CallingLeader leader;
    leader.installQueue(quotesQueue());
    leader.addWorker("w", 3'000);
    StepSpec gang = stepOf(4);
    gang.gang = true;
    CHECK(leader.submit("00000000000000cc", {gang}).outcome == GraphOutcome::Done);
    leader.control.run_for(someRounds);
    CHECK(leader.link.starts.empty());
    leader.addWorker("v", 1'000);
    leader.control.run_for(someRounds);
    CHECK(leader.link.starts.size() == 4);
}

} // namespace crocusmill
