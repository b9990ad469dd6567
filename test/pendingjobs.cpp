/// The number of waiting jobs that clients read, after placements that led to no run.
///
/// A job waits until a worker has begun one of its tasks. Random days are in pendingjobsdays.cpp.

#include "test/fakes/stepwiseleader.h"

#include <catch2/catch.hpp>

namespace crocusmill
{

namespace
{

using fakes::StepwiseLeader;

/// Longer than any lease and the wait for a worker that does not answer.
constexpr Milliseconds leaseIsOver {9'000};
constexpr Milliseconds someTicks {300};

void expectWaiting(const StepwiseLeader &leader)
{
    CHECK(leader.pendingCount() == 1);
    CHECK_FALSE(leader.isShownAsStarted());
}

void expectBegun(const StepwiseLeader &leader)
{
    CHECK(leader.pendingCount() == 0);
    CHECK(leader.isShownAsStarted());
}

} // namespace

TEST_CASE("a job whose start was refused waits")
{
    StepwiseLeader leader;
    leader.place(1);
    leader.order(1);
    leader.link.answerStart(StartOutcome::Refused);
    leader.runFor(someTicks);
    CHECK(leader.phase() == TaskPhase::Waiting);
    expectWaiting(leader);
}

TEST_CASE("a job whose start has no answer waits, also once its lease has passed")
{
    StepwiseLeader leader;
    leader.place(1);
    leader.order(1);
    leader.runForWithoutAnswers(someTicks);
    CHECK(leader.phase() == TaskPhase::Placed);
    expectWaiting(leader);
    leader.runForWithoutAnswers(leaseIsOver);
    CHECK(leader.phase() == TaskPhase::Waiting);
    expectWaiting(leader);
}

TEST_CASE("a job that was placed by a leader that lost power before it ordered waits")
{
    StepwiseLeader leader;
    leader.place(1);
    leader.takeOver();
    leader.link.answerHold({});
    leader.runFor(someTicks);
    expectWaiting(leader);
    leader.restoreFromSnapshot();
    expectWaiting(leader);
}

TEST_CASE("a job whose placement was revoked waits")
{
    StepwiseLeader leader;
    leader.place(1);
    leader.revokePlacement(0);
    CHECK(leader.phase() == TaskPhase::Waiting);
    expectWaiting(leader);
}

TEST_CASE("a job with all tasks placed and none begun waits")
{
    constexpr std::uint32_t tasks = 3;
    StepwiseLeader leader {tasks};
    leader.place(tasks);
    leader.order(tasks);
    CHECK(leader.state.graphs().waitingGraphs().empty());
    expectWaiting(leader);
    leader.link.answerStart(StartOutcome::Started); // one of them
    leader.runFor(someTicks);
    expectBegun(leader);
}

TEST_CASE("a job that has begun does not wait again after its run, its leader or its state is lost")
{
    StepwiseLeader leader;
    leader.place(1);
    leader.order(1);
    leader.link.answerStart(StartOutcome::Started);
    leader.runFor(someTicks);
    expectBegun(leader);
    leader.runForWithoutAnswers(leaseIsOver);
    CHECK(leader.phase() == TaskPhase::Waiting);
    expectBegun(leader);
    leader.takeOver();
    leader.runFor(someTicks);
    expectBegun(leader);
    leader.restoreFromSnapshot();
    expectBegun(leader);
    leader.place(1, 2);
    leader.order(1);
    leader.link.answerStart(StartOutcome::Refused);
    leader.runFor(someTicks);
    expectBegun(leader);
}

TEST_CASE("a job begins with the end of a run that its worker lists")
{
    const RunEnd end = GENERATE(RunEnd::Failed, RunEnd::Stopped);
    StepwiseLeader leader;
    leader.place(1);
    leader.order(1);
    HoldReport report;
    report.ended.push_back({EndNumber {1}, StepwiseLeader::taskOf(0), RunNumber {1}, end, {}});
    leader.link.answerHold(report);
    leader.runFor(someTicks);
    CHECK(leader.phase() == TaskPhase::Waiting);
    expectBegun(leader);
}

TEST_CASE("a job leaves the waiting ones when it is cancelled")
{
    StepwiseLeader leader;
    leader.place(1);
    leader.state.apply(CancelGraph {StepwiseLeader::job, WallTime {}}, LogIndex {100});
    CHECK(leader.pendingCount() == 0);
}

} // namespace crocusmill
