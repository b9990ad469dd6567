/// Runs on workers that answer late, twice, wrongly or not at all.

#include "src/services/runsupervisor.h"

#include "src/net/clock.h"
#include "test/fakes/graphs.h"
#include "test/fakes/workerlink.h"

#include <catch2/catch.hpp>

#include <thread>

namespace crocusmill
{

namespace
{

using fakes::FakeWorkerLink;
using fakes::graphOf;
using fakes::stepOf;

const WallTime wall {Milliseconds {1'000'000}};
const WorkerId worker {"w"};
const Incarnation first {"1000"};
const Incarnation second {"2000"};
const TaskRef task {GraphId {"g"}, 0, 0, 0};

/// A supervisor whose journal applies at once.
struct Bench
{
    explicit Bench(bool takesOver = false, SupervisorTimes times = {})
    {
        times.sweep = Milliseconds {0}; // each round looks at everything
        state.apply(SubmitGraph {graphOf("g", {stepOf(1)}), wall}, LogIndex {1});
        if (takesOver) {
            record();
        }
        supervisor = std::make_shared<RunSupervisor>(
            RunSupervisor::Parts {state, link,
                [this](const Command &command, const ProposeHandler &done) {
                    if (std::exchange(failsNext, false)) {
                        done(ConsensusError::NotLeader);
                        return;
                    }
                    done(state.apply(command, LogIndex {++index}));
                },
                [this]() { return mayOrder; }, FencingToken {7}, times,
                [this]() {
                    tick(Milliseconds {0});
                }},
            start);
        supervisor->takeOver(start);
    }

    void record(std::uint32_t run = 1)
    {
        state.apply(PlaceRuns {{{task, RunNumber {run}, worker, first}}}, LogIndex {++index});
    }

    void hear(const Incarnation &incarnation = first, std::uint64_t sequence = 1)
    {
        WorkerHeartbeat heartbeat;
        heartbeat.id = worker;
        heartbeat.incarnation = incarnation;
        heartbeat.sequence = sequence;
        heartbeat.capacity.milliCores = 4'000;
        heartbeat.clock = WorkerTime {1'000};
        heartbeat.service = ServiceName {"matching"};
        supervisor->heard(heartbeat, monotonicNow());
    }

    /// Places and starts run 1 on a worker that has answered.
    void begin()
    {
        hear();
        link.answerHold({});
        supervisor->reserve({task, RunNumber {1}, worker, first}, stepOf(1));
        record();
        supervisor->start(task, std::nullopt, monotonicNow());
    }

    /// Time as far as rounds are concerned; answers are stamped with the real one.
    void tick(Milliseconds later)
    {
        if (supervisor) {
            supervisor->tick(monotonicNow() + later, wall);
        }
    }

    /// Rounds all the while: nobody stands still.
    void tickUntil(Milliseconds later)
    {
        for (; passed <= later; passed += Milliseconds {100}) {
            tick(passed);
        }
    }

    TaskPhase phase() const
    {
        return state.graphs().find(task.graph)->find(task)->phase;
    }

    static HoldReport running(std::uint32_t run = 1, std::uint32_t percent = 100)
    {
        HoldReport report;
        report.running.push_back({task, RunNumber {run}, {}, percent});
        return report;
    }

    static HoldReport ended(RunEnd end, std::uint64_t number = 1)
    {
        HoldReport report;
        report.ended.push_back({EndNumber {number}, task, RunNumber {1}, end, {}});
        return report;
    }

    StateMachine state;
    FakeWorkerLink link;
    std::uint64_t index = 1;
    bool mayOrder = true;
    bool failsNext = false; // the next proposal
    MonotonicTime start = monotonicNow();
    Milliseconds passed {0};
    std::shared_ptr<RunSupervisor> supervisor;
};

void pause()
{
    std::this_thread::sleep_for(Milliseconds {3}); // so that the next hold is sent later
}

/// The run is stopped, and over once a list that was asked for after that lacks it.
void expectSettledByStop(Bench &bench)
{
    bench.tick(Milliseconds {100});
    REQUIRE(bench.link.stops.size() == 1);
    CHECK(bench.phase() == TaskPhase::Placed);
    bench.link.stops[0].done(StopOutcome::Answered);
    pause();
    bench.link.answerHold({});
    pause();
    bench.link.answerHold({});
    CHECK(bench.phase() == TaskPhase::Waiting);
}

} // namespace

TEST_CASE("a run that stands still is stopped; one that has outlived its estimate is not")
{
    SupervisorTimes times;
    times.stall = Milliseconds {1};
    times.stallShare = 0;
    Bench bench {false, times};
    bench.begin();
    bench.link.answerStart(StartOutcome::Started);
    const std::uint32_t percent = GENERATE(40U, 100U);
    bench.link.answerHold(Bench::running(1, percent));
    pause();
    bench.link.answerHold(Bench::running(1, percent));
    bench.tick(Milliseconds {10});
    CHECK(bench.link.stops.size() == (percent < 100 ? 1 : 0));
}

TEST_CASE("an end that was listed once is recorded, though its worker has left meanwhile")
{
    Bench bench;
    bench.begin();
    bench.link.answerStart(StartOutcome::Started);
    bench.failsNext = true; // the lease lapses for a moment
    bench.link.answerHold(Bench::ended(RunEnd::Succeeded));
    bench.supervisor->left(worker, first, monotonicNow());
    bench.tick(Milliseconds {5'000});
    CHECK(bench.phase() == TaskPhase::Succeeded);
    CHECK_FALSE(bench.supervisor->hasRun(task));
}

TEST_CASE("a supervisor that is retired gives no orders and records nothing")
{
    Bench bench;
    bench.begin();
    const std::size_t holds = bench.link.holds.size();
    bench.supervisor->retire();
    HoldReport report = Bench::ended(RunEnd::Succeeded);
    report.running.push_back({TaskRef {GraphId {"other"}, 0, 0, 0}, RunNumber {1}, {}, 100});
    bench.link.answerHold(report);
    bench.link.answerStart(StartOutcome::Unanswered);
    bench.tick(Milliseconds {10'000});
    // What runs beside the next supervisor's knowledge is that one's to judge.
    CHECK(bench.link.stops.empty());
    CHECK(bench.link.holds.size() == holds);
    CHECK(bench.link.starts.size() == 1);
    CHECK(bench.phase() == TaskPhase::Placed);
}

TEST_CASE("an end is acknowledged to the worker only after it is recorded")
{
    Bench bench;
    bench.begin();
    bench.link.answerStart(StartOutcome::Started);
    CHECK(bench.link.holds.back().order.acknowledged == EndNumber {0});
    bench.link.answerHold(Bench::ended(RunEnd::Succeeded, 5));
    CHECK(bench.phase() == TaskPhase::Succeeded);
    CHECK(bench.link.holds.back().order.acknowledged == EndNumber {5});
    CHECK_FALSE(bench.supervisor->hasRun(task));
}

TEST_CASE("an unanswered start is sent again as it was, and nothing else replaces it")
{
    Bench bench;
    bench.begin();
    REQUIRE(bench.link.starts.size() == 1);
    const StartOrder order = bench.link.starts[0].order;
    bench.link.answerStart(StartOutcome::Unanswered);
    bench.tick(Milliseconds {200});
    REQUIRE(bench.link.starts.size() == 2);
    CHECK(bench.link.starts[1].order.run == order.run);
    CHECK(bench.link.starts[1].order.deadline == order.deadline);
    CHECK(bench.phase() == TaskPhase::Placed);
    CHECK(bench.supervisor->hasRun(task));
}

TEST_CASE("a refused start is free at once, unless an earlier order may still be carried out")
{
    Bench bench;
    bench.begin();
    SECTION("the only order")
    {
        bench.link.answerStart(StartOutcome::Refused);
        CHECK(bench.phase() == TaskPhase::Waiting);
        CHECK_FALSE(bench.supervisor->hasRun(task));
    }
    SECTION("after one without an answer")
    {
        bench.link.answerStart(StartOutcome::Unanswered);
        bench.tick(Milliseconds {200});
        bench.link.answerStart(StartOutcome::Refused);
        CHECK(bench.phase() == TaskPhase::Placed);
        bench.tick(Milliseconds {300});
        REQUIRE(bench.link.stops.size() == 1);
        bench.link.answerHold({}); // this list was asked for before the stop was answered
        CHECK(bench.phase() == TaskPhase::Placed);
        bench.link.stops[0].done(StopOutcome::Answered);
        bench.link.answerHold({}); // so was this one
        CHECK(bench.phase() == TaskPhase::Placed);
        pause();
        bench.link.answerHold({});
        pause();
        bench.link.answerHold({});
        CHECK(bench.phase() == TaskPhase::Waiting);
    }
}

TEST_CASE("a list that was asked for before the start was answered proves nothing")
{
    Bench bench;
    bench.begin();
    pause();
    bench.link.answerStart(StartOutcome::Started);
    bench.link.answerHold({});
    CHECK(bench.phase() == TaskPhase::Placed);
    pause();
    bench.link.answerHold({}); // this one was asked for afterwards
    CHECK(bench.phase() == TaskPhase::Waiting);
}

TEST_CASE("a list that is full proves nothing of runs that it lacks")
{
    Bench bench;
    bench.begin();
    bench.link.answerStart(StartOutcome::Started);
    pause();
    HoldReport report;
    for (std::uint64_t number = 1; number <= mostEndsListed; ++number) {
        const TaskRef other {GraphId {"other"}, 0, 0, static_cast<std::uint32_t>(number)};
        report.ended.push_back({EndNumber {number}, other, RunNumber {1}, RunEnd::Stopped, {}});
    }
    bench.link.answerHold(Bench::running()); // so that the next list is asked for after its start
    pause();
    bench.link.answerHold(report);
    CHECK(bench.phase() == TaskPhase::Placed);
}

TEST_CASE("a silent worker's runs are over only with its longest lease")
{
    Bench bench;
    bench.begin();
    bench.link.answerStart(StartOutcome::Started);
    for (int i = 0; i < 4; ++i) { // from some point on it is given no more leases
        bench.link.failHold(HoldError::Unanswered);
        bench.tick(Milliseconds {300});
    }
    CHECK_FALSE(bench.link.holds.back().order.deadline.has_value());
    bench.tickUntil(Milliseconds {5'900});
    CHECK(bench.phase() == TaskPhase::Placed);
    bench.tickUntil(Milliseconds {6'900});
    CHECK(bench.phase() == TaskPhase::Waiting);
}

TEST_CASE("a later process of the same id is asked for the earlier one's runs before they are over")
{
    Bench bench;
    bench.begin();
    bench.link.answerStart(StartOutcome::Started);
    bench.hear(second);
    CHECK(bench.phase() == TaskPhase::Placed); // the order may have reached the later process
    SECTION("it did")
    {
        bench.link.answerHold(Bench::running());
        bench.tick(Milliseconds {100});
        CHECK(bench.link.stops.empty());
        CHECK(bench.phase() == TaskPhase::Placed);
    }
    SECTION("it did not")
    {
        bench.link.answerHold({});
        expectSettledByStop(bench);
    }
}

TEST_CASE("a late word of an earlier process changes nothing")
{
    Bench bench;
    bench.begin();
    bench.hear(second);
    const std::size_t holds = bench.link.holds.size();
    bench.hear(first, 9);
    CHECK(bench.link.holds.size() == holds);
    CHECK(bench.link.holds.back().worker.incarnation == second);
}

TEST_CASE("a new leader adopts what runs and settles what it does not find")
{
    Bench bench {true};
    CHECK(bench.supervisor->hasRun(task));
    bench.hear();
    SECTION("it runs")
    {
        bench.link.answerHold(Bench::running());
        bench.tick(Milliseconds {100});
        CHECK(bench.link.stops.empty());
        CHECK(bench.link.starts.empty());
        CHECK(bench.phase() == TaskPhase::Placed);
    }
    SECTION("it is not there: the earlier leader's order may still arrive")
    {
        bench.link.answerHold({});
        CHECK(bench.phase() == TaskPhase::Placed);
        expectSettledByStop(bench);
    }
    SECTION("its worker is never heard")
    {
        Bench silent {true};
        silent.tickUntil(Milliseconds {5'900});
        CHECK(silent.phase() == TaskPhase::Placed);
        silent.tickUntil(Milliseconds {6'500});
        CHECK(silent.phase() == TaskPhase::Waiting);
    }
}

TEST_CASE("a list of another process than the one known is that process's first word")
{
    Bench bench;
    bench.hear();
    HoldOutcome outcome;
    outcome.clock = WorkerTime {5};
    outcome.report.incarnation = second;
    const WorkerLink::Held done = bench.link.holds.back().done;
    done(outcome);
    CHECK(bench.link.holds.back().worker.incarnation == second);
}

TEST_CASE("a worker that said that it leaves is closed for whoever leads")
{
    Bench bench;
    bench.state.apply(NoteLeaving {worker, first, wall}, LogIndex {++bench.index});
    bench.hear(); // an older word of it, which says nothing of leaving
    bench.link.answerHold({});
    CHECK_FALSE(bench.supervisor->fleet().find(worker)->isOpen);
    bench.hear(second);
    bench.link.answerHold({});
    CHECK(bench.supervisor->fleet().find(worker)->isOpen);
}

TEST_CASE("a late answer of an earlier process says nothing of the later one's clock")
{
    Bench bench;
    bench.begin();
    bench.hear(second); // its clock shows 1 s
    bench.link.starts.back().done(StartOutcome::Started, WorkerTime {1'000'000});
    bench.link.answerHold({});
    REQUIRE(bench.link.holds.back().order.deadline.has_value());
    CHECK(*bench.link.holds.back().order.deadline < WorkerTime {10'000});
}

TEST_CASE("what runs without a record is stopped")
{
    Bench bench;
    bench.hear();
    bench.link.answerHold(Bench::running(3));
    REQUIRE(bench.link.stops.size() == 1);
    CHECK(bench.link.stops[0].run == RunNumber {3});
}

TEST_CASE("a cancelled job's run is stopped until its end is listed, and holds its room so long")
{
    Bench bench;
    bench.begin();
    bench.link.answerStart(StartOutcome::Started);
    bench.state.apply(CancelGraph {task.graph, wall}, LogIndex {++bench.index});
    bench.tick(Milliseconds {200});
    REQUIRE(bench.link.stops.size() == 1);
    bench.link.stops[0].done(StopOutcome::Unanswered);
    bench.tick(Milliseconds {400});
    REQUIRE(bench.link.stops.size() == 2);
    CHECK(bench.supervisor->hasRun(task));
    bench.link.answerHold(Bench::ended(RunEnd::Stopped));
    CHECK_FALSE(bench.supervisor->hasRun(task));
}

TEST_CASE("a run whose task has succeeded in an earlier one is not started, or is stopped")
{
    Bench bench;
    bench.state.apply(EndRuns {{{task, RunNumber {1}, RunEnd::Lost, {}}}, wall}, LogIndex {3});
    bench.record(1);
    bench.state.apply(EndRuns {{{task, RunNumber {1}, RunEnd::Lost, {}}}, wall}, LogIndex {4});
    bench.hear();
    bench.link.answerHold({});
    bench.supervisor->reserve({task, RunNumber {2}, worker, first}, stepOf(1));
    bench.record(2);
    const Command late = EndRuns {{{task, RunNumber {1}, RunEnd::Succeeded, {}}}, wall};
    SECTION("before its start")
    {
        bench.state.apply(late, LogIndex {++bench.index});
        bench.supervisor->start(task, std::nullopt, monotonicNow());
        CHECK(bench.link.starts.empty());
        CHECK_FALSE(bench.supervisor->hasRun(task));
    }
    SECTION("while it runs")
    {
        bench.supervisor->start(task, std::nullopt, monotonicNow());
        bench.link.answerStart(StartOutcome::Started);
        bench.state.apply(late, LogIndex {++bench.index});
        bench.tick(Milliseconds {100});
        CHECK(bench.link.stops.size() == 1);
    }
}

TEST_CASE("a VM that leads no more gives no orders and renews no leases")
{
    Bench bench;
    bench.begin();
    bench.mayOrder = false;
    const std::size_t holds = bench.link.holds.size();
    bench.link.answerHold({});
    bench.link.answerStart(StartOutcome::Unanswered);
    bench.tick(Milliseconds {500});
    CHECK(bench.link.holds.size() == holds);
    CHECK(bench.link.starts.size() == 1);
}

} // namespace crocusmill
