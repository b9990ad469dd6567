/// What the supervisor sees of runs is measured, and interfering tasks rank workers last.

#include "src/services/runobserver.h"

#include "src/services/runsupervisor.h"
#include "test/fakes/graphs.h"
#include "test/fakes/workerlink.h"

#include <catch2/catch.hpp>

namespace crocusmill
{

namespace
{

using fakes::FakeWorkerLink;
using fakes::graphOf;
using fakes::stepOf;

const QueueName queue {"quotes"};
const MonotonicTime start {std::chrono::hours {1}};
const ImageName slowed {"slowed"};
const ImageName cause {"cause"};

StepSpec stepWith(const ImageName &image)
{
    StepSpec step = stepOf(1);
    step.image = image;
    return step;
}

TaskRef taskOf(int number)
{
    return {GraphId {"g" + std::to_string(number)}, 0, 0, 0};
}

WorkerId workerNumber(int number)
{
    return WorkerId {"w" + std::to_string(number)};
}

/// Runs on eight workers as an observer sees them.
struct Watched
{
    void reserve(int number, const StepSpec &step)
    {
        observer.onReserved(
            {taskOf(number), RunNumber {1}, workerNumber(number % 8), Incarnation {"1"}}, step,
            queue);
    }

    void end(int number, RunEnd how = RunEnd::Succeeded)
    {
        observer.onEnded(taskOf(number), how, now);
        observer.onReleased(taskOf(number), now);
    }

    /// Runs a task for a time, alone or within a longer run of the cause on the same worker.
    void runOnce(const StepSpec &step, Milliseconds time, bool isBeside)
    {
        const int number = 8 * ++jobs + jobs % 8;
        const int other = number + 8'000'000;
        if (isBeside) {
            reserve(other, stepWith(cause));
            observer.onStarted(taskOf(other), now);
        }
        reserve(number, step);
        if (isListedOnly) {
            observer.onListed(taskOf(number), now);
        } else {
            observer.onStarted(taskOf(number), now);
        }
        now += time;
        end(number, howItEnds);
        if (isBeside) {
            end(other);
        }
    }

    void learn(const StepSpec &step)
    {
        for (int i = 0; i < 40; ++i) {
            runOnce(step, Milliseconds {1'000 + i % 5 * 40}, false);
            runOnce(step, Milliseconds {2'000 + i % 5 * 80}, true);
        }
    }

    RunObserver observer;
    MonotonicTime now = start;
    int jobs = 0;
    bool isListedOnly = false;
    RunEnd howItEnds = RunEnd::Succeeded;
};

} // namespace

// Fails if overlaps are not measured, or workers are ranked although nothing is known.
TEST_CASE("a worker with a task that slows the step down ranks last while the task holds room")
{
    Watched watched;
    const StepSpec step = stepWith(slowed);
    CHECK(watched.observer.rankingFor(step, queue, 0, Prospect::InTime) == nullptr);
    watched.learn(step);
    CHECK(watched.observer.interferingPairCount() == 1);
    watched.reserve(3, stepWith(cause)); // not started yet
    watched.reserve(4, step);
    const std::unique_ptr<WorkerRanking> ranking =
        watched.observer.rankingFor(step, queue, 0, Prospect::InTime);
    REQUIRE(ranking != nullptr);
    CHECK(ranking->rankOf(workerNumber(3)) == 2);
    CHECK(ranking->rankOf(workerNumber(4)) == 0);
    CHECK(ranking->rankOf(workerNumber(5)) == 0);
    // The tasks that would be slowed down count too.
    const std::unique_ptr<WorkerRanking> reverse =
        watched.observer.rankingFor(stepWith(cause), queue, 0, Prospect::InTime);
    REQUIRE(reverse != nullptr);
    CHECK(reverse->rankOf(workerNumber(4)) == 2);
    CHECK(watched.observer.rankingFor(stepWith(ImageName {"other"}), queue, 0, Prospect::InTime)
        == nullptr);
    watched.end(3);
    CHECK(ranking->rankOf(workerNumber(3)) == 0);
}

// Fails if runs whose time depends on something else count.
TEST_CASE("only successful runs that were seen from start to end are measured")
{
    Watched watched;
    StepSpec step = stepWith(slowed);
    SECTION("failed")
    {
        watched.howItEnds = RunEnd::Failed;
    }
    SECTION("the start was not confirmed")
    {
        watched.isListedOnly = true;
    }
    SECTION("gang")
    {
        step.gang = true;
    }
    SECTION("service")
    {
        step.lasting = true;
    }
    SECTION("fills idle cores")
    {
        step.fills = true;
    }
    SECTION("its time depends on the rack")
    {
        step.dataRack = RackId {"r"};
    }
    SECTION("no estimate")
    {
        step.estimate = Milliseconds {0};
    }
    watched.learn(step);
    CHECK(watched.observer.interferingPairCount() == 0);
}

// Fails if a run beside which a task ran only for a short while counts as beside it.
TEST_CASE("a short overlap does not count")
{
    Watched watched;
    const StepSpec step = stepWith(slowed);
    for (int i = 0; i < 40; ++i) {
        watched.runOnce(step, Milliseconds {1'000 + i % 5 * 40}, false);
        const int number = 8 * ++watched.jobs + i % 8;
        const int other = number + 8'000'000;
        watched.reserve(number, step);
        watched.observer.onStarted(taskOf(number), watched.now);
        watched.now += Milliseconds {1'500};
        watched.reserve(other, stepWith(cause));
        watched.observer.onStarted(taskOf(other), watched.now);
        watched.now += Milliseconds {500};
        watched.end(number);
        watched.end(other);
    }
    CHECK(watched.observer.interferingPairCount() == 0);
}

// Fails if the time of a run goes on over a restart of its worker's process, or if the books of a
// worker are not closed after it.
TEST_CASE("a run on a replaced process is not measured")
{
    Watched watched;
    const StepSpec step = stepWith(slowed);
    watched.learn(step);
    REQUIRE(watched.observer.interferingPairCount() == 1);
    watched.reserve(3, stepWith(cause));
    watched.observer.onStarted(taskOf(3), watched.now);
    watched.observer.onWorkerReplaced(workerNumber(3), {taskOf(3)});
    watched.now += Milliseconds {60'000};
    watched.observer.onListed(taskOf(3), watched.now);
    watched.end(3);
    watched.end(3); // again: no effect
    const std::unique_ptr<WorkerRanking> ranking =
        watched.observer.rankingFor(step, queue, 0, Prospect::InTime);
    REQUIRE(ranking != nullptr);
    CHECK(ranking->rankOf(workerNumber(3)) == 0);
}

// Fails if slow workers are not preferred by the steps that can wait and left by the others, or if
// a new process inherits the class.
TEST_CASE("steps in time and gangs prefer workers that are not slow, others the slow ones")
{
    Watched watched;
    const StepSpec step = stepWith(slowed);
    for (int i = 0; i < 8 * 40; ++i) {
        // The number of the worker is that of the job, see runOnce().
        const bool isOnSlowWorker = (watched.jobs + 1) % 8 == 2;
        watched.runOnce(step, Milliseconds {isOnSlowWorker ? 2'200 : 1'000}, false);
    }
    const RunObserver &observer = watched.observer;
    REQUIRE(observer.speeds().slowCount() == 1);
    REQUIRE(observer.speeds().isSlow(workerNumber(2)));
    CHECK(observer.interferingPairCount() == 0);
    StepSpec gang = step;
    gang.gang = true;
    CHECK(observer.rankingFor(step, queue, 0, Prospect::InTime)->rankOf(workerNumber(2)) == 1);
    CHECK(observer.rankingFor(step, queue, 0, Prospect::InTime)->rankOf(workerNumber(1)) == 0);
    CHECK(observer.rankingFor(step, queue, 0, Prospect::Late)->rankOf(workerNumber(2)) == 0);
    CHECK(observer.rankingFor(step, queue, 0, Prospect::Late)->rankOf(workerNumber(1)) == 1);
    CHECK(observer.rankingFor(gang, queue, 0, Prospect::Late)->rankOf(workerNumber(2)) == 1);
    watched.observer.onWorkerReplaced(workerNumber(2), {});
    CHECK(observer.rankingFor(step, queue, 0, Prospect::InTime) == nullptr);
}

// Fails if the supervisor does not pass on starts, ends and releases.
TEST_CASE("the supervisor records the runs that workers confirm and list")
{
    StateMachine state;
    FakeWorkerLink link;
    std::uint64_t index = 0;
    MonotonicTime now = start;
    const WallTime wall {Milliseconds {1'000'000}};
    std::shared_ptr<RunSupervisor> supervisor;
    RunSupervisor::Parts parts {state, link,
        [&](const Command &command, const ProposeHandler &done) {
            done(state.apply(command, LogIndex {++index}));
        },
        []() { return true; }, FencingToken {7}, SupervisorTimes {},
        [&]() {
            if (supervisor) {
                supervisor->tick(now, wall);
            }
        },
        [&]() {
            return now;
        }};
    supervisor = std::make_shared<RunSupervisor>(parts, now);
    constexpr int workerCount = 4;
    std::map<int, std::uint64_t> ends;
    for (int number = 0; number < workerCount; ++number) {
        WorkerHeartbeat heartbeat;
        heartbeat.id = workerNumber(number);
        heartbeat.incarnation = Incarnation {"1000"};
        heartbeat.sequence = 1;
        heartbeat.capacity.milliCores = 4'000;
        heartbeat.clock = WorkerTime {1'000};
        heartbeat.service = ServiceName {"matching"};
        supervisor->onHeartbeat(heartbeat, now);
        link.answerHold({});
    }
    const auto begin = [&](const std::string &id, const ImageName &image, int worker) {
        const TaskRef task {GraphId {id}, 0, 0, 0};
        state.apply(SubmitGraph {graphOf(id, {stepWith(image)}), wall}, LogIndex {++index});
        const RunPlacement placement {
            task, RunNumber {1}, workerNumber(worker), Incarnation {"1000"}};
        supervisor->reserve(placement, stepWith(image));
        state.apply(PlaceRuns {{placement}}, LogIndex {++index});
        supervisor->start(task, std::nullopt, now);
        link.answerStart(StartOutcome::Started);
    };
    const auto end = [&](const std::string &id, int worker) {
        HoldReport report;
        report.incarnation = Incarnation {"1000"};
        report.ended.push_back({EndNumber {++ends[worker]}, TaskRef {GraphId {id}, 0, 0, 0},
            RunNumber {1}, RunEnd::Succeeded, {}});
        for (std::size_t i = link.holds.size(); i-- > 0;) {
            if (link.holds[i].worker.id == workerNumber(worker)) {
                const WorkerLink::HoldHandler done = link.holds[i].done;
                done({std::nullopt, WorkerTime {1'000}, report});
                return;
            }
        }
        FAIL("no hold to answer");
    };
    for (int i = 0; i < 40; ++i) {
        const std::string number = std::to_string(i);
        const int worker = i % workerCount;
        begin("alone" + number, slowed, worker);
        now += Milliseconds {1'000 + i % 5 * 40};
        end("alone" + number, worker);
        begin("cause" + number, cause, worker);
        begin("beside" + number, slowed, worker);
        now += Milliseconds {2'000 + i % 5 * 80};
        end("beside" + number, worker);
        end("cause" + number, worker);
        supervisor->tick(now, wall);
    }
    CHECK(supervisor->observer().interferingPairCount() == 1);
    CHECK(supervisor->fleet().usedMilliCores(ServiceName {"matching"}) == 0);
    begin("last", cause, 2);
    const std::unique_ptr<WorkerRanking> ranking =
        supervisor->observer().rankingFor(stepWith(slowed), queue, 0, Prospect::InTime);
    REQUIRE(ranking != nullptr);
    CHECK(ranking->rankOf(workerNumber(2)) == 2);
    CHECK(ranking->rankOf(workerNumber(1)) == 0);
    supervisor->retire();
}

} // namespace crocusmill
