/// State transitions of graph jobs: submission, placement, runs and end.

#include "test/fakes/graphs.h"

#include <crocusmill/statemachine.h>

#include <catch2/catch.hpp>

#include <random>

namespace crocusmill
{

namespace
{

using fakes::graphOf;
using fakes::stepOf;

const WallTime now {Milliseconds {1'000'000}};

TaskRef task(std::uint32_t step, std::uint32_t number)
{
    return {GraphId {"g"}, 0, step, number};
}

RunPlacement placed(const TaskRef &ref, std::uint32_t run, const std::string &worker = "w")
{
    return {ref, RunNumber {run}, WorkerId {worker}, Incarnation {"1"}};
}

EndedRun ended(const TaskRef &ref, std::uint32_t run, RunEnd end, const std::string &saved = {})
{
    return {ref, RunNumber {run}, end, Checkpoint {saved}};
}

TaskPhase phaseOf(const GraphRegistry &registry, const TaskRef &ref)
{
    return registry.find(ref.graph)->find(ref)->phase;
}

GraphState stateOf(const GraphRegistry &registry)
{
    return registry.find(GraphId {"g"})->state;
}

} // namespace

TEST_CASE("a job that is submitted twice is accepted once")
{
    GraphRegistry registry;
    CHECK(registry.submit({graphOf("g", {stepOf(1)}), now}));
    CHECK_FALSE(registry.submit({graphOf("g", {stepOf(9)}), now}));
    CHECK(registry.find(GraphId {"g"})->occurrences[0].steps[0].tasks.size() == 1);
}

TEST_CASE("a step is placed only after all tasks of the steps it depends on have succeeded")
{
    StepSpec second = stepOf(1);
    second.after = {0};
    GraphRegistry registry;
    registry.submit({graphOf("g", {stepOf(2), second}), now});
    registry.place({{placed(task(0, 0), 1), placed(task(0, 1), 1), placed(task(1, 0), 1)}});
    CHECK(phaseOf(registry, task(1, 0)) == TaskPhase::Waiting);
    registry.end({{ended(task(0, 0), 1, RunEnd::Succeeded)}, now});
    registry.place({{placed(task(1, 0), 1)}});
    CHECK(phaseOf(registry, task(1, 0)) == TaskPhase::Waiting);
    registry.end({{ended(task(0, 1), 1, RunEnd::Succeeded)}, now});
    registry.place({{placed(task(1, 0), 1)}});
    CHECK(phaseOf(registry, task(1, 0)) == TaskPhase::Placed);
    registry.end({{ended(task(1, 0), 1, RunEnd::Succeeded)}, now});
    CHECK(stateOf(registry) == GraphState::Succeeded);
    CHECK(registry.openGraphs().empty());
}

TEST_CASE("a placed task is not placed again, and the end of an old run changes nothing")
{
    GraphRegistry registry;
    registry.submit({graphOf("g", {stepOf(1)}), now});
    registry.place({{placed(task(0, 0), 1, "a")}});
    registry.place({{placed(task(0, 0), 2, "b")}});
    CHECK(registry.find(GraphId {"g"})->find(task(0, 0))->worker == WorkerId {"a"});
    registry.end({{ended(task(0, 0), 1, RunEnd::Lost)}, now});
    registry.place({{placed(task(0, 0), 1, "b")}}); // a run number is used once
    CHECK(phaseOf(registry, task(0, 0)) == TaskPhase::Waiting);
    registry.place({{placed(task(0, 0), 2, "b")}});
    registry.end({{ended(task(0, 0), 1, RunEnd::Stopped)}, now});
    CHECK(phaseOf(registry, task(0, 0)) == TaskPhase::Placed);
}

TEST_CASE("a lost run that is then reported as succeeded counts if no run replaced it")
{
    GraphRegistry registry;
    registry.submit({graphOf("g", {stepOf(1)}), now});
    registry.place({{placed(task(0, 0), 1)}});
    registry.end({{ended(task(0, 0), 1, RunEnd::Lost)}, now});
    registry.end({{ended(task(0, 0), 1, RunEnd::Succeeded)}, now});
    CHECK(stateOf(registry) == GraphState::Succeeded);
}

TEST_CASE("the success of a run that was recorded as lost counts although a newer run exists")
{
    const bool isGang = GENERATE(false, true);
    StepSpec step = stepOf(2);
    step.gang = isGang;
    GraphRegistry registry;
    registry.submit({graphOf("g", {step}), now});
    registry.place({{placed(task(0, 0), 1), placed(task(0, 1), 1)}});
    registry.end({{ended(task(0, 0), 1, RunEnd::Lost), ended(task(0, 1), 1, RunEnd::Lost)}, now});
    registry.place({{placed(task(0, 0), 2), placed(task(0, 1), 2)}});
    registry.end({{ended(task(0, 0), 1, RunEnd::Succeeded)}, now});
    CHECK(phaseOf(registry, task(0, 0)) == TaskPhase::Succeeded);
    CHECK(registry.find(GraphId {"g"})->find(task(0, 0))->run
        == RunNumber {1}); // run 2 is not needed
    CHECK((phaseOf(registry, task(0, 1)) == TaskPhase::Succeeded) == isGang);
    registry.end(
        {{ended(task(0, 0), 2, RunEnd::Stopped), ended(task(0, 1), 1, RunEnd::Succeeded)}, now});
    CHECK(stateOf(registry) == GraphState::Succeeded);
}

TEST_CASE("each failed run counts once, also one that was recorded as lost")
{
    GraphRegistry registry;
    registry.submit({graphOf("g", {stepOf(1)}), now}); // two attempts
    registry.place({{placed(task(0, 0), 1)}});
    registry.end({{ended(task(0, 0), 1, RunEnd::Lost)}, now});
    registry.place({{placed(task(0, 0), 2)}});
    registry.end({{ended(task(0, 0), 1, RunEnd::Failed)}, now});
    registry.end({{ended(task(0, 0), 1, RunEnd::Failed)}, now}); // reported again to a new leader
    CHECK(stateOf(registry) == GraphState::Open);
    CHECK(phaseOf(registry, task(0, 0)) == TaskPhase::Placed);
    registry.end({{ended(task(0, 0), 2, RunEnd::Failed)}, now});
    CHECK(stateOf(registry) == GraphState::Failed);
    registry.place({{placed(task(0, 0), 3)}});
    CHECK(phaseOf(registry, task(0, 0)) == TaskPhase::GivenUp);
}

TEST_CASE("the worker on which the newest run of a task failed is known")
{
    GraphRegistry registry;
    registry.submit({graphOf("g", {stepOf(2)}), now});
    registry.place({{placed(task(0, 0), 1, "bad"), placed(task(0, 1), 1, "good")}});
    registry.end(
        {{ended(task(0, 0), 1, RunEnd::Failed), ended(task(0, 1), 1, RunEnd::Stopped)}, now});
    const Graph &graph = *registry.find(GraphId {"g"});
    CHECK(graph.failedWorkers(0, 0) == std::set<WorkerId> {WorkerId {"bad"}});
}

TEST_CASE("stopped and lost runs do not count as failures, and the checkpoint is kept")
{
    GraphRegistry registry;
    registry.submit({graphOf("g", {stepOf(1)}), now});
    for (std::uint32_t run = 1; run < 9; ++run) {
        registry.place({{placed(task(0, 0), run)}});
        const RunEnd end = run % 2 == 0 ? RunEnd::Stopped : RunEnd::Lost;
        registry.end({{ended(task(0, 0), run, end, run == 2 ? "half" : "")}, now});
    }
    CHECK(stateOf(registry) == GraphState::Open);
    CHECK(registry.find(GraphId {"g"})->find(task(0, 0))->saved == Checkpoint {"half"});
}

TEST_CASE("the members of a gang are placed and end together")
{
    StepSpec gang = stepOf(3);
    gang.gang = true;
    GraphRegistry registry;
    registry.submit({graphOf("g", {gang}), now});
    registry.place({{placed(task(0, 0), 1), placed(task(0, 1), 1)}});
    CHECK(phaseOf(registry, task(0, 0)) == TaskPhase::Waiting);
    registry.place({{placed(task(0, 0), 1), placed(task(0, 1), 1), placed(task(0, 2), 2)}});
    CHECK(phaseOf(registry, task(0, 0)) == TaskPhase::Waiting);
    registry.place({{placed(task(0, 0), 1), placed(task(0, 1), 1), placed(task(0, 2), 1)}});
    CHECK(phaseOf(registry, task(0, 2)) == TaskPhase::Placed);

    SECTION("the success of one member is the success of all")
    {
        registry.end({{ended(task(0, 1), 1, RunEnd::Succeeded)}, now});
        CHECK(stateOf(registry) == GraphState::Succeeded);
    }
    SECTION("several failed members in one run count as one failure")
    {
        registry.end({{ended(task(0, 0), 1, RunEnd::Failed), ended(task(0, 1), 1, RunEnd::Failed),
                          ended(task(0, 2), 1, RunEnd::Stopped)},
            now});
        CHECK(stateOf(registry) == GraphState::Open);
        CHECK(registry.find(GraphId {"g"})->nextRun(task(0, 0)) == RunNumber {2});
        registry.place({{placed(task(0, 0), 2), placed(task(0, 1), 2), placed(task(0, 2), 2)}});
        registry.end({{ended(task(0, 2), 2, RunEnd::Failed)}, now});
        CHECK(stateOf(registry) == GraphState::Failed);
    }
}

TEST_CASE("a service does not end until it is cancelled")
{
    StepSpec lasting = stepOf(1);
    lasting.lasting = true;
    GraphRegistry registry;
    registry.submit({graphOf("g", {lasting}), now});
    const std::vector<RunEnd> ends {
        RunEnd::Succeeded, RunEnd::Failed, RunEnd::Failed, RunEnd::Failed};
    std::uint32_t run = 0;
    for (const RunEnd end : ends) {
        registry.place({{placed(task(0, 0), ++run)}});
        registry.end({{ended(task(0, 0), run, end)}, now});
        CHECK(phaseOf(registry, task(0, 0)) == TaskPhase::Waiting);
    }
    CHECK(registry.cancel({GraphId {"g"}, now}));
    CHECK(stateOf(registry) == GraphState::Cancelled);
}

TEST_CASE("a cancelled job gets no more runs and is removed once no task is placed")
{
    GraphRegistry registry;
    registry.submit({graphOf("g", {stepOf(2)}), now});
    registry.place({{placed(task(0, 0), 1)}});
    CHECK(registry.cancel({GraphId {"g"}, now}));
    CHECK_FALSE(registry.cancel({GraphId {"other"}, now}));
    registry.place({{placed(task(0, 1), 1)}});
    CHECK(phaseOf(registry, task(0, 1)) == TaskPhase::GivenUp);
    const WallTime later = now + Milliseconds {1};
    registry.forget(later);
    REQUIRE(registry.find(GraphId {"g"}) != nullptr);
    registry.end({{ended(task(0, 0), 1, RunEnd::Stopped)}, now});
    CHECK(stateOf(registry) == GraphState::Cancelled);
    registry.forget(later);
    CHECK(registry.find(GraphId {"g"}) == nullptr);
}

TEST_CASE("each occurrence has its own tasks and due time")
{
    GraphSpec spec = graphOf("g", {stepOf(1)});
    spec.recurrence = {3, now, Milliseconds {500}};
    GraphRegistry registry;
    registry.submit({spec, now});
    const Graph &graph = *registry.find(GraphId {"g"});
    REQUIRE(graph.occurrences.size() == 3);
    CHECK(graph.dueAt(2) == now + Milliseconds {1'000});
}

TEST_CASE("a late notice of an earlier incarnation does not replace that of the current one")
{
    StateMachine machine;
    const WorkerId worker {"w"};
    machine.apply(NoteLeaving {worker, Incarnation {"2000"}, now}, LogIndex {2});
    machine.apply(NoteLeaving {worker, Incarnation {"1000"}, now}, LogIndex {3});
    CHECK(machine.isLeaving(worker, Incarnation {"2000"}));
    StateMachine other;
    REQUIRE(other.restore(machine.snapshot()).has_value());
    CHECK(other.isLeaving(worker, Incarnation {"2000"}));
}

TEST_CASE("the index of waiting jobs matches a search of all jobs")
{
    std::mt19937_64 random {20261204};
    GraphRegistry registry;
    constexpr int jobs = 8;
    for (int job = 0; job < jobs; ++job) {
        StepSpec second = stepOf(2);
        second.after = {0};
        second.gang = job % 2 == 0;
        registry.submit({graphOf("g" + std::to_string(job), {stepOf(2), second}), now});
    }
    constexpr int changes = 2'000;
    for (int change = 0; change < changes; ++change) {
        TaskRef ref {GraphId {"g" + std::to_string(random() % jobs)}, 0,
            static_cast<std::uint32_t>(random() % 2), static_cast<std::uint32_t>(random() % 2)};
        const RunNumber run = registry.find(ref.graph)->nextRun(ref);
        const RunEnd end = static_cast<RunEnd>(random() % 5);
        switch (random() % 20) {
        case 0:
            registry.cancel({ref.graph, now});
            break;
        case 1:
            registry.restore([&registry]() {
                std::vector<Graph> graphs;
                for (const std::shared_ptr<const Graph> &graph : registry.image()) {
                    graphs.push_back(*graph);
                }
                return graphs;
            }());
            break;
        default:
            registry.place({{placed(ref, run.value())}});
            registry.end({{ended(ref, run.value(), end)}, now});
        }
        std::set<GraphId> waiting;
        for (const GraphId &id : registry.openGraphs()) {
            for (const GraphStep &step : registry.find(id)->occurrences[0].steps) {
                for (const GraphTask &candidate : step.tasks) {
                    if (candidate.phase == TaskPhase::Waiting) {
                        waiting.insert(id);
                    }
                }
            }
        }
        REQUIRE(registry.waitingGraphs() == waiting);
    }
}

TEST_CASE("changed jobs are listed once, oldest change first, until they are removed")
{
    GraphRegistry registry;
    registry.submit({graphOf("a", {stepOf(1)}), now});
    registry.submit({graphOf("b", {stepOf(1)}), now});
    const std::vector<GraphId> both {GraphId {"a"}, GraphId {"b"}};
    CHECK(registry.changedSince(GraphRevision {}) == both);
    CHECK(registry.changedSince(registry.revision()).empty());
    const GraphRevision before = registry.revision();
    const TaskRef ref {GraphId {"b"}, 0, 0, 0};
    registry.place({{placed(ref, 1)}});
    registry.end({{ended(ref, 1, RunEnd::Lost)}, now});
    CHECK(registry.changedSince(before) == std::vector<GraphId> {GraphId {"b"}});
    registry.cancel({GraphId {"a"}, now});
    CHECK(registry.changedSince(before) == std::vector<GraphId> {GraphId {"b"}, GraphId {"a"}});
    registry.forget(now + Milliseconds {1});
    CHECK(registry.changedSince(GraphRevision {}) == std::vector<GraphId> {GraphId {"b"}});
}

TEST_CASE("queues and jobs survive a snapshot")
{
    StateMachine machine;
    Catalog catalog;
    catalog.version = DocumentVersion {4};
    catalog.source = "{\"version\":4}";
    Queue queue;
    queue.name = QueueName {"quotes"};
    queue.tickets = TicketTiming {Milliseconds {9}, Microseconds {130}, Milliseconds {1'500}};
    catalog.queues.push_back(queue);
    std::uint64_t index = 1;
    const auto apply = [&](const Command &command) {
        return machine.applyEncoded(encodeCommand(command), LogIndex {++index});
    };
    CHECK_FALSE(apply(InstallCatalog {catalog}).repeated);
    catalog.version = DocumentVersion {3};
    catalog.source = "older";
    CHECK(apply(InstallCatalog {catalog}).repeated);
    apply(SubmitGraph {graphOf("g", {stepOf(2)}), now});
    apply(SubmitGraph {graphOf("h", {stepOf(1)}), now});
    apply(PlaceRuns {{placed(task(0, 0), 1)}});
    apply(CancelGraph {GraphId {"h"}, now});
    StateMachine other;
    REQUIRE(other.restore(machine.snapshot()).has_value());
    CHECK(other.catalog().version == DocumentVersion {4});
    CHECK(other.catalog().source == "{\"version\":4}");
    REQUIRE(other.catalog().find(QueueName {"quotes"}) != nullptr);
    CHECK(other.catalog().find(QueueName {"quotes"})->tickets->perWorker == Microseconds {130});
    CHECK(phaseOf(other.graphs(), task(0, 0)) == TaskPhase::Placed);
    CHECK(other.graphs().openGraphs().size() == 1);
    CHECK(other.snapshot() == machine.snapshot());
}

} // namespace crocusmill
