/// The queue attempts the steps that a scan of all jobs would place, and only after changes.

#include "test/fakes/graphs.h"

#include <crocusmill/fleet.h>
#include <crocusmill/stepqueue.h>

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <algorithm>

namespace crocusmill
{

namespace
{

using fakes::graphOf;
using fakes::stepOf;

const WallTime start {Milliseconds {1'000'000}};
const TicketQueueMask quotes {1};
const TicketQueueMask orders {2};

std::vector<TaskRef> eligibleSteps(const StepQueue &queue, const RetryConditions &conditions = {})
{
    std::vector<TaskRef> steps;
    for (std::optional<Urgency> at = queue.next(std::nullopt, conditions); at;
         at = queue.next(at, conditions)) {
        steps.push_back(at->step);
    }
    return steps;
}

TaskRef firstStepOf(const std::string &graph)
{
    return {GraphId {graph}, 0, 0, 0};
}

RetryConditions conditionsWithRoom(std::uint32_t cores)
{
    RetryConditions conditions;
    conditions.room = TaskSize {cores * 1'000, ByteCount {}, 0};
    return conditions;
}

/// Jobs, workers and the placement loop. naiveRound() is the reference: it attempts every ready
/// step.
struct Scheduler
{
    GraphRegistry book;
    Fleet fleet;
    StepQueue queue;
    GraphRevision lastRevision;
    std::set<WorkerId> gained;
    std::map<TaskRef, RunPlacement> placed;
    WallTime now = start;

    [[nodiscard]] StepDemand demandOf(const TaskRef &step) const
    {
        const Graph &graph = *book.find(step.graph);
        StepDemand demand;
        demand.step = step;
        demand.service = graph.spec.service;
        demand.spec = &graph.spec.steps[step.step];
        demand.excludedWorkers = graph.failedWorkers(step.occurrence, step.step);
        const GraphStep &graphStep = graph.occurrences[step.occurrence].steps[step.step];
        for (std::uint32_t task = 0; task < graphStep.tasks.size(); ++task) {
            if (graphStep.tasks[task].phase == TaskPhase::Waiting) {
                demand.waiting.push_back(task);
            } else if (demand.spec->gang) {
                demand.waiting.clear(); // members of its last run are still placed
                return demand;
            }
        }
        return demand;
    }

    std::size_t place(const TaskRef &step, std::vector<RunPlacement> &placements)
    {
        const StepDemand demand = demandOf(step);
        std::vector<FleetChoice> chosen = fleet.choose(demand);
        if (chosen.empty() && !demand.excludedWorkers.empty()) {
            StepDemand anywhere = demand;
            anywhere.excludedWorkers.clear();
            chosen = fleet.choose(anywhere);
        }
        for (const FleetChoice &choice : chosen) {
            TaskRef task = step;
            task.task = choice.task;
            const RunNumber run = book.find(step.graph)->nextRun(task);
            placements.push_back({task, run, choice.worker, choice.incarnation});
            fleet.take(choice.worker, task, *demand.spec);
        }
        return chosen.size();
    }

    [[nodiscard]] std::vector<TaskRef> ready() const
    {
        std::vector<ReadyStep> steps;
        for (const GraphId &id : book.waitingGraphs()) {
            const Graph &graph = *book.find(id);
            TaskRef ref {id, 0, 0, 0};
            for (ref.occurrence = 0; ref.occurrence < graph.occurrences.size(); ++ref.occurrence) {
                const bool due = graph.dueAt(ref.occurrence) <= now;
                for (ref.step = 0; due && ref.step < graph.spec.steps.size(); ++ref.step) {
                    if (graph.isReady(ref.occurrence, ref.step) && !demandOf(ref).waiting.empty()) {
                        steps.push_back({ref, graph.spec.priority, graph.dueAt(ref.occurrence),
                            objectiveOf(graph.spec), remainingTimeOf(graph.spec, ref.step)});
                    }
                }
            }
        }
        sortByUrgency(steps, now);
        std::vector<TaskRef> refs;
        refs.reserve(steps.size());
        for (const ReadyStep &step : steps) {
            refs.push_back(step.step);
        }
        return refs;
    }

    std::vector<RunPlacement> naiveRound()
    {
        std::vector<RunPlacement> placements;
        for (const TaskRef &step : ready()) {
            place(step, placements);
        }
        record(placements);
        return placements;
    }

    std::vector<RunPlacement> round()
    {
        for (const GraphId &id : book.changedSince(lastRevision)) {
            queue.update(*book.find(id), TicketQueueMask {}, now);
        }
        lastRevision = book.revision();
        for (const GraphId &id : queue.advance(now)) {
            queue.update(*book.find(id), TicketQueueMask {}, now);
        }
        const FleetGains gains = fleet.takeGains();
        for (const TaskRef &step : gains.steps) {
            queue.retry(step);
        }
        RetryConditions conditions;
        for (const WorkerId &worker : gains.workers) {
            const TaskSize room = fleet.freeCapacityOn(worker);
            const TaskSize maxRoom = conditions.room.value_or(TaskSize {});
            conditions.room = {std::max(maxRoom.milliCores, room.milliCores),
                std::max(maxRoom.memory, room.memory),
                std::max(maxRoom.accelerators, room.accelerators)};
        }
        std::vector<RunPlacement> placements;
        for (std::optional<Urgency> at = queue.next(std::nullopt, conditions); at;
             at = queue.next(at, conditions)) {
            queue.markAttempted(at->step);
            place(at->step, placements);
        }
        record(placements);
        return placements;
    }

    void record(const std::vector<RunPlacement> &placements)
    {
        book.place({placements});
        for (const RunPlacement &placement : placements) {
            placed[placement.task] = placement;
        }
    }

    void end(const TaskRef &task, RunEnd outcome)
    {
        const RunPlacement run = placed.at(task);
        placed.erase(task);
        const StepSpec spec = book.find(task.graph)->spec.steps[task.step];
        book.end({{{task, run.run, outcome, {}}}, now});
        fleet.release(run.worker, task, spec);
    }
};

FleetWorker workerOf(int number, std::uint32_t cores, bool open)
{
    FleetWorker worker;
    worker.id = WorkerId {"w" + std::to_string(number)};
    worker.incarnation = Incarnation {"1"};
    worker.service = ServiceName {"matching"};
    worker.capacity.milliCores = cores * 1'000;
    worker.capacity.memory = ByteCount {8};
    worker.isOpen = open;
    return worker;
}

GraphSpec randomGraph(int number)
{
    std::vector<StepSpec> steps;
    const std::uint32_t count = *rc::gen::inRange(1U, 4U);
    for (std::uint32_t step = 0; step < count; ++step) {
        steps.push_back(stepOf(*rc::gen::inRange(1U, 5U), *rc::gen::inRange(1U, 5U)));
        steps.back().size.memory = ByteCount {*rc::gen::inRange<std::uint64_t>(0, 5)};
        steps.back().estimate = Milliseconds {*rc::gen::inRange(1, 30)};
        steps.back().gang = *rc::gen::inRange(0, 4) == 0;
        steps.back().mostPerWorker = *rc::gen::inRange(0, 4) == 0 ? 1 : 0;
        steps.back().fills = *rc::gen::inRange(0, 8) == 0;
        if (step > 0 && *rc::gen::arbitrary<bool>()) {
            steps.back().after = {step - 1};
        }
    }
    GraphSpec spec = graphOf("g" + std::to_string(number), steps);
    spec.priority = *rc::gen::inRange(0U, 3U);
    spec.attempts = 3;
    if (*rc::gen::inRange(0, 5) == 0) {
        spec.recurrence = {2, start + Milliseconds {*rc::gen::inRange(0, 40)}, Milliseconds {20}};
    }
    return spec;
}

} // namespace

TEST_CASE("a step without room is attempted again when enough room for it is gained")
{
    GraphRegistry book;
    book.submit({graphOf("a", {stepOf(1, 4)}), start});
    book.submit({graphOf("b", {stepOf(1, 2)}), start});
    StepQueue queue;
    queue.update(*book.find(GraphId {"a"}), {}, start);
    queue.update(*book.find(GraphId {"b"}), {}, start);
    CHECK(eligibleSteps(queue) == std::vector<TaskRef> {firstStepOf("a"), firstStepOf("b")});
    queue.markAttempted(firstStepOf("a"));
    queue.markAttempted(firstStepOf("b"));
    CHECK(eligibleSteps(queue).empty());
    CHECK(eligibleSteps(queue, conditionsWithRoom(1)).empty());
    CHECK(eligibleSteps(queue, conditionsWithRoom(2)) == std::vector<TaskRef> {firstStepOf("b")});
    CHECK(eligibleSteps(queue, conditionsWithRoom(4)).size() == 2);
    queue.retry(firstStepOf("a"));
    CHECK(eligibleSteps(queue) == std::vector<TaskRef> {firstStepOf("a")});
    queue.markAttempted(firstStepOf("a"));
    queue.carryOver(*queue.next(std::nullopt, conditionsWithRoom(4)), conditionsWithRoom(2));
    CHECK(eligibleSteps(queue) == std::vector<TaskRef> {firstStepOf("b")});
}

TEST_CASE("a job accepted by a VM with a clock that is ahead is attempted at once")
{
    GraphRegistry book;
    const WallTime ahead = start + Milliseconds {5'000};
    GraphSpec scheduled = graphOf("b", {stepOf(1)});
    scheduled.recurrence = {1, ahead, Milliseconds {0}};
    book.submit({graphOf("a", {stepOf(1)}), ahead});
    book.submit({scheduled, start});
    StepQueue queue;
    queue.update(*book.find(GraphId {"a"}), {}, start);
    queue.update(*book.find(GraphId {"b"}), {}, start);
    CHECK(eligibleSteps(queue) == std::vector<TaskRef> {firstStepOf("a")});
    CHECK(queue.advance(start).empty());
    CHECK(queue.advance(ahead) == std::vector<GraphId> {GraphId {"b"}});
}

TEST_CASE(
    "a step with tickets waits for room on its own workers, or for its queue to request tickets")
{
    GraphRegistry book;
    book.submit({graphOf("a", {stepOf(1, 4)}), start});
    StepQueue queue;
    queue.update(*book.find(GraphId {"a"}), quotes, start);
    queue.markAttempted(firstStepOf("a"));
    CHECK(eligibleSteps(queue, conditionsWithRoom(64)).empty());
    queue.retryIfFits(firstStepOf("a"), *conditionsWithRoom(3).room);
    CHECK(eligibleSteps(queue).empty());
    queue.retryIfFits(firstStepOf("a"), *conditionsWithRoom(4).room);
    CHECK(eligibleSteps(queue).size() == 1);
    queue.markAttempted(firstStepOf("a"));
    queue.markWaitingToAsk(firstStepOf("a"));
    CHECK(eligibleSteps(queue, {std::nullopt, orders}).empty());
    CHECK(eligibleSteps(queue, {std::nullopt, quotes}).size() == 1);
    queue.markAttempted(firstStepOf("a"));
    CHECK(eligibleSteps(queue, {std::nullopt, quotes}).empty());
    queue.markAllWaitingToAsk();
    CHECK(eligibleSteps(queue, {std::nullopt, quotes}).size() == 1);
}

TEST_CASE("a step may request tickets early while all its predecessors are placed")
{
    GraphRegistry book;
    StepSpec second = stepOf(1);
    second.after = {0};
    book.submit({graphOf("a", {stepOf(1), second}), start});
    StepQueue queue;
    queue.update(*book.find(GraphId {"a"}), quotes, start);
    CHECK(queue.prefetchCandidates().empty());
    book.place({{{firstStepOf("a"), RunNumber {1}, WorkerId {"w"}, Incarnation {"1"}}}});
    queue.update(*book.find(GraphId {"a"}), quotes, start);
    const TaskRef next {GraphId {"a"}, 0, 1, 0};
    CHECK(queue.prefetchCandidates() == std::set<TaskRef> {next});
    queue.removePrefetchCandidate(next);
    CHECK(queue.prefetchCandidates().empty());
    book.end({{{firstStepOf("a"), RunNumber {1}, RunEnd::Lost, {}}}, start});
    queue.update(*book.find(GraphId {"a"}), quotes, start);
    CHECK(queue.prefetchCandidates().empty());
}

TEST_CASE("steps are attempted in the order of a full sort, after any sequence of changes")
{
    CHECK(rc::check("order of the queue", []() {
        StepQueue queue;
        GraphRegistry book;
        WallTime now = start;
        const int jobs = *rc::gen::inRange(1, 400);
        for (int job = 0; job < jobs; ++job) {
            GraphSpec spec = graphOf("g" + std::to_string(job), {stepOf(1)});
            spec.priority = *rc::gen::inRange(0U, 3U);
            spec.steps[0].estimate = Milliseconds {*rc::gen::inRange(1, 100)};
            book.submit({spec, now});
            queue.update(*book.find(spec.id), {}, now);
            now += Milliseconds {*rc::gen::inRange(0, 3)};
            if (*rc::gen::inRange(0, 3) == 0) {
                const GraphId other {"g" + std::to_string(*rc::gen::inRange(0, job + 1))};
                book.cancel({other, now});
                queue.update(*book.find(other), {}, now);
            }
        }
        CHECK(queue.advance(now).empty());
        std::vector<ReadyStep> sorted;
        for (const GraphId &id : book.waitingGraphs()) {
            const Graph &graph = *book.find(id);
            sorted.push_back({{id, 0, 0, 0}, graph.spec.priority, graph.acceptedAt,
                objectiveOf(graph.spec), remainingTimeOf(graph.spec, 0)});
        }
        sortByUrgency(sorted, now);
        std::vector<TaskRef> steps;
        steps.reserve(sorted.size());
        for (const ReadyStep &step : sorted) {
            steps.push_back(step.step);
        }
        RC_ASSERT(eligibleSteps(queue) == steps);
        RC_ASSERT(queue.size() == steps.size());
    }));
}

TEST_CASE("rounds place the same tasks as rounds that attempt every step")
{
    CHECK(rc::check("matches the naive rounds", []() {
        Scheduler scheduler;
        Scheduler naive;
        const int events = *rc::gen::inRange(1, 60);
        int jobs = 0;
        for (int event = 0; event < events; ++event) {
            const int kind = *rc::gen::inRange(0, 10);
            if (kind < 3) {
                const FleetWorker worker = workerOf(*rc::gen::inRange(0, 6),
                    *rc::gen::inRange(1U, 9U), *rc::gen::inRange(0, 4) > 0);
                scheduler.fleet.setWorker(worker);
                naive.fleet.setWorker(worker);
            } else if (kind < 6) {
                const SubmitGraph job {randomGraph(jobs++), scheduler.now};
                scheduler.book.submit(job);
                naive.book.submit(job);
            } else if (kind < 9 && !scheduler.placed.empty()) {
                const std::size_t which =
                    *rc::gen::inRange<std::size_t>(0, scheduler.placed.size());
                const TaskRef task =
                    std::next(scheduler.placed.begin(), static_cast<std::ptrdiff_t>(which))->first;
                const RunEnd outcome =
                    *rc::gen::element(RunEnd::Succeeded, RunEnd::Failed, RunEnd::Lost);
                scheduler.end(task, outcome);
                naive.end(task, outcome);
            } else {
                const Milliseconds passed {*rc::gen::inRange(1, 30)};
                scheduler.now += passed;
                naive.now += passed;
            }
            const std::vector<RunPlacement> placed = scheduler.round();
            const std::vector<RunPlacement> expected = naive.naiveRound();
            RC_ASSERT(placed.size() == expected.size());
            for (std::size_t i = 0; i < placed.size(); ++i) {
                RC_ASSERT(placed[i].task == expected[i].task);
                RC_ASSERT(placed[i].worker == expected[i].worker);
            }
        }
    }));
}

} // namespace crocusmill
