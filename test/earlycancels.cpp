/// Cancels that arrive before the submission of their job.

#include "test/fakes/callingleader.h"
#include "test/fakes/graphs.h"

#include <crocusmill/statemachine.h>

#include <catch2/catch.hpp>

#include <string>

namespace crocusmill
{

namespace
{

using fakes::CallingLeader;
using fakes::graphOf;
using fakes::quotesQueue;
using fakes::stepOf;

constexpr Milliseconds someRounds {200};
const std::string job = "00000000000000aa";
const std::string otherJob = "00000000000000bb";
const WallTime now {Milliseconds {1'000'000}};

GraphCall callAbout(GraphAction action, const std::string &id, const std::string &prefix)
{
    GraphCall call;
    call.action = action;
    call.host = quotesQueue().host;
    call.path = prefix + id;
    if (action == GraphAction::Submit) {
        call.spec = GraphSpec {};
        call.spec->steps = {stepOf(1)};
    }
    return call;
}

GraphReply call(CallingLeader &leader, GraphAction action, const std::string &id,
    const std::string &prefix = quotesQueue().prefix)
{
    return std::get<GraphReply>(leader.peers.ask(callAbout(action, id, prefix)));
}

} // namespace

// Guards against jobs that run although their cancel was answered: an entry that stood still hands
// the submission in after it.
TEST_CASE("a job whose cancel came before its submission was accepted and ran")
{
    CallingLeader leader;
    leader.installQueue(quotesQueue());
    leader.addWorker("w", 8'000);
    CHECK(call(leader, GraphAction::Cancel, job).outcome == GraphOutcome::NoJob);
    CHECK(call(leader, GraphAction::Cancel, job).outcome == GraphOutcome::NoJob); // sent again
    CHECK(call(leader, GraphAction::Submit, job).outcome == GraphOutcome::NoJob);
    CHECK(call(leader, GraphAction::Show, job).outcome == GraphOutcome::NoJob);
    CHECK(call(leader, GraphAction::Show, "").pending == 0);
    leader.control.run_for(someRounds);
    CHECK(leader.link.starts.empty());
    CHECK(call(leader, GraphAction::Submit, otherJob).outcome == GraphOutcome::Done);
    leader.control.run_for(someRounds);
    CHECK(leader.link.starts.size() == 1);
}

// Guards against a cancel without effect that arrives while its job's submission is being recorded,
// and against a job that is accepted while its cancel is being recorded.
TEST_CASE("a cancel and a submission that were recorded at the same time left the job running")
{
    CallingLeader leader;
    leader.installQueue(quotesQueue());
    leader.addWorker("w", 8'000);
    const bool isSubmissionFirst = GENERATE(true, false);
    const GraphAction first = isSubmissionFirst ? GraphAction::Submit : GraphAction::Cancel;
    const GraphAction second = isSubmissionFirst ? GraphAction::Cancel : GraphAction::Submit;
    std::vector<GraphOutcome> outcomes;
    leader.journal.holdProposals();
    for (const GraphAction action : {first, second}) {
        leader.peers.ask(
            callAbout(action, job, quotesQueue().prefix), [&outcomes](const Result<Reply> &reply) {
                outcomes.push_back(std::get<GraphReply>(reply.value()).outcome);
            });
    }
    REQUIRE(outcomes.empty());
    leader.journal.applyHeldProposals();
    const GraphOutcome expected = isSubmissionFirst ? GraphOutcome::Done : GraphOutcome::NoJob;
    CHECK(outcomes == std::vector {expected, expected});
    leader.control.run_for(someRounds);
    CHECK(leader.link.starts.empty());
}

TEST_CASE("a cancel at another queue does not concern a job of the same id")
{
    CallingLeader leader;
    Queue other = quotesQueue();
    other.name = QueueName {"other"};
    other.prefix = "/other/";
    Catalog catalog;
    catalog.version = DocumentVersion {1};
    catalog.queues = {quotesQueue(), other};
    static_cast<void>(leader.peers.ask(CatalogCall {catalog}));
    CHECK(call(leader, GraphAction::Submit, job).outcome == GraphOutcome::Done);
    CHECK(call(leader, GraphAction::Cancel, job, other.prefix).outcome == GraphOutcome::NoJob);
    CHECK(call(leader, GraphAction::Show, job).state == GraphState::Open);
}

// Guards against clients that fill the memory of all replicas with cancels of jobs that never come.
TEST_CASE("cancels of unknown jobs were recorded without a limit")
{
    CallingLeader leader {3};
    leader.installQueue(quotesQueue());
    for (const char last : {'1', '2', '3'}) {
        CHECK(call(leader, GraphAction::Cancel, job + last).outcome == GraphOutcome::NoJob);
    }
    const GraphReply refused = call(leader, GraphAction::Cancel, job);
    CHECK(refused.outcome == GraphOutcome::Refused);
    CHECK(refused.retryAfter > Milliseconds {0});
    CHECK(leader.journal.state().graphs().earlyCancelCount() == 3);
    CHECK(call(leader, GraphAction::Cancel, job + "1").outcome == GraphOutcome::NoJob); // recorded
    CHECK(call(leader, GraphAction::Submit, job).outcome == GraphOutcome::Done);
    CHECK(call(leader, GraphAction::Cancel, job).outcome == GraphOutcome::Done);
}

TEST_CASE("a cancel without a submission is kept in snapshots, and as long as ended jobs")
{
    StateMachine machine;
    machine.apply(CancelGraph {GraphId {job}, now}, LogIndex {1});
    StateMachine restored;
    REQUIRE(restored.restore(machine.snapshot()).has_value());
    CHECK(restored.snapshot() == machine.snapshot());
    CHECK(restored.graphs().earlyCancelCount() == 1);
    restored.apply(SubmitGraph {graphOf(job, {stepOf(1)}), now}, LogIndex {2});
    CHECK(restored.graphs().openGraphs().empty());
    CHECK(restored.graphs().openTaskCount() == 0);
    restored.apply(ForgetEnded {now}, LogIndex {3});
    CHECK(restored.graphs().earlyCancelCount() == 1);
    restored.apply(ForgetEnded {now + Milliseconds {1}}, LogIndex {4});
    CHECK(restored.graphs().earlyCancelCount() == 0);
    restored.apply(SubmitGraph {graphOf(job, {stepOf(1)}), now}, LogIndex {5});
    CHECK(restored.graphs().openGraphs().size() == 1);
}

} // namespace crocusmill
