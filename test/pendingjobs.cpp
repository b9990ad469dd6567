/// The number of waiting jobs that clients read, after placements that led to no run.
///
/// A job waits until a worker has begun one of its tasks. Random days are in pendingjobsdays.cpp.

#include "test/fakes/stepwiseleader.h"

#include <catch2/catch.hpp>

#include <random>

namespace crocusmill
{

namespace
{

using fakes::FakeWorkerLink;
using fakes::graphOf;
using fakes::stepOf;
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

TEST_CASE("starts within a short time share a record, and only a job's first one is recorded")
{
    constexpr std::uint32_t tasks = 2;
    constexpr std::uint32_t jobs = 50;
    StepwiseLeader leader;
    for (std::uint32_t number = 0; number < jobs; ++number) {
        const GraphId id {"more" + std::to_string(number)};
        leader.submit(id, tasks);
        leader.place(tasks, 1, id);
        leader.order(tasks, id);
    }
    const std::size_t before = leader.proposalCount;
    for (const FakeWorkerLink::StartCall &call : std::exchange(leader.link.starts, {})) {
        call.done(StartOutcome::Started, WorkerTime {1'000});
        leader.runFor(StepwiseLeader::tickInterval);
    }
    leader.runFor(someTicks);
    CHECK(leader.pendingCount() == 1); // the one that was not placed
    const std::size_t startIntervals = static_cast<std::size_t>(
        jobs * tasks * StepwiseLeader::tickInterval / SupervisorTimes {}.startRecordInterval);
    CHECK(leader.proposalCount - before <= startIntervals + 1);
}

TEST_CASE("a start whose record has an unknown outcome is proposed until it is recorded")
{
    StepwiseLeader leader;
    leader.place(1);
    leader.order(1);
    leader.unansweredProposals = 2;
    leader.link.answerStart(StartOutcome::Started);
    leader.runFor(someTicks * 2);
    CHECK(leader.unansweredProposals == 0);
    expectBegun(leader);
}

TEST_CASE("a new leader learns from a worker's list of a start that was not recorded")
{
    StepwiseLeader leader;
    leader.place(1);
    leader.order(1);
    leader.takeOver();
    expectWaiting(leader);
    HoldReport report;
    report.running.push_back({StepwiseLeader::taskOf(0), RunNumber {1}, {}, 10});
    leader.link.answerHold(report);
    leader.runFor(someTicks);
    expectBegun(leader);
}

TEST_CASE("a late answer that a run was started counts, also if the run was given up")
{
    StepwiseLeader leader;
    leader.place(1);
    leader.order(1);
    const FakeWorkerLink::StartCall call = leader.link.starts.back();
    leader.state.apply(
        EndRuns {{{StepwiseLeader::taskOf(0), RunNumber {1}, RunEnd::Lost, {}}}, WallTime {}},
        LogIndex {100});
    leader.runFor(someTicks);
    expectWaiting(leader);
    call.done(StartOutcome::Started, WorkerTime {1'000});
    leader.runFor(someTicks);
    expectBegun(leader);
}

TEST_CASE("the index of jobs that have not started matches a search, and no start is taken back")
{
    std::mt19937_64 random {20261204};
    GraphRegistry registry;
    constexpr int jobs = 8;
    const WallTime now {};
    for (int job = 0; job < jobs; ++job) {
        GraphSpec spec = graphOf("g" + std::to_string(job), {stepOf(2)});
        spec.queue = QueueName {job % 2 == 0 ? "quotes" : "orders"};
        registry.submit({spec, now});
    }
    std::set<GraphId> begun;
    constexpr int changes = 2'000;
    for (int change = 0; change < changes; ++change) {
        const TaskRef ref {GraphId {"g" + std::to_string(random() % jobs)}, 0, 0,
            static_cast<std::uint32_t>(random() % 2)};
        const RunNumber run = registry.find(ref.graph)->nextRun(ref);
        const RunEnd end = static_cast<RunEnd>(random() % 5);
        switch (random() % 100) {
        case 0:
            registry.cancel({ref.graph, now});
            break;
        case 1:
            registry.noteStarts({{ref.graph, GraphId {"unknown"}}});
            begun.insert(ref.graph);
            break;
        case 2:
        case 3:
            registry.end({{EndedRun {ref, RunNumber {run.value() - 1}, end, {}}}, now});
            if (end != RunEnd::Lost && end != RunEnd::NotStarted) {
                begun.insert(ref.graph);
            }
            break;
        case 4:
            registry.restore([&registry]() {
                std::vector<Graph> graphs;
                for (const std::shared_ptr<const Graph> &graph : registry.image()) {
                    graphs.push_back(*graph);
                }
                return graphs;
            }());
            break;
        default:
            registry.place({{RunPlacement {ref, run, WorkerId {"w"}, Incarnation {"1"}}}});
            registry.end({{EndedRun {ref, run, RunEnd::NotStarted, {}}}, now});
        }
        std::map<QueueName, std::set<GraphId>> unstarted;
        for (const GraphId &id : registry.openGraphs()) {
            const Graph &graph = *registry.find(id);
            REQUIRE(graph.started == begun.contains(id));
            if (!graph.started) {
                unstarted[graph.spec.queue].insert(id);
            }
        }
        REQUIRE(registry.unstartedGraphs() == unstarted);
    }
}

TEST_CASE("records of earlier versions show a start only by an end")
{
    StepwiseLeader leader;
    const auto replay = [&leader](std::string_view record) {
        return leader.state.applyEncoded(record, LogIndex {100}).error;
    };
    CHECK(
        replay(R"({"kind":"place_runs","body":{"placements":[{"task":{"graph":"g","occurrence":0,)"
               R"("step":0,"task":0},"run":1,"worker":"w","incarnation":"1000"}]}})")
        == StateError::None);
    CHECK(leader.phase() == TaskPhase::Placed);
    expectWaiting(leader);
    CHECK(replay(R"({"kind":"end_runs","body":{"ended":[{"task":{"graph":"g","occurrence":0,)"
                 R"("step":0,"task":0},"run":1,"end":"Failed","saved":""}],"at":1000}})")
        == StateError::None);
    expectBegun(leader);
}

// In a snapshot of an earlier version `started` means that a task was placed. It is kept: such a
// snapshot has the same members as a later one, so the two cannot be told apart.
TEST_CASE("a snapshot of an earlier version loads, and its starts are kept")
{
    const std::string text =
        R"({"head":{"configurationIndex":0,"environments":[],"quarantined":[],"drainedUpstreams":[],)"
        R"("drainedWorkers":[],"catalog":{"version":1,"queues":[{"name":"quotes","host":)"
        R"("desk.example","prefix":"/quotes/","service":"matching","priority":0,"attempts":1,)"
        R"("slackFactor":1E0,"aim":0,"timeout":0,"tickets":null}],"source":""},"leaving":[]},)"
        R"("work":[],"jobs":[],"graphs":[{"spec":{"id":"g","payload":"","steps":[{"tasks":1,"size":)"
        R"({"milliCores":1000,"memory":0,"accelerators":0},"estimate":1000,"after":[],"gang":false,)"
        R"("oneRack":false,"speculative":false,"lasting":false,"checkpoints":false,"fills":false,)"
        R"("label":"","dataRack":"","mostPerWorker":0,"image":"","goal":0,"mostUnavailable":0}],)"
        R"("recurrence":{"times":0,"first":0,"interval":0},"queue":"quotes","service":"matching",)"
        R"("priority":0,"attempts":2,"slackFactor":1E0,"aim":0},"acceptedAt":0,"endedAt":0,)"
        R"("state":"Open","started":STARTED,"occurrences":[{"steps":[{"tasks":[{"phase":"Placed",)"
        R"("run":1,"failed":[],"worker":"w","incarnation":"1000","saved":""}],"failed":[]}]}]}]})";
    const bool started = GENERATE(false, true);
    std::string snapshot = text;
    snapshot.replace(snapshot.find("STARTED"), 7, started ? "true" : "false");
    StepwiseLeader leader;
    REQUIRE(leader.state.restore(snapshot).has_value());
    CHECK(leader.isShownAsStarted() == started);
    CHECK(leader.pendingCount() == (started ? 0 : 1));
    CHECK(leader.state.snapshot() == snapshot); // earlier versions can read what this one writes
}

} // namespace crocusmill
