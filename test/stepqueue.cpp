/// Which steps are tried: the same that a look at every job finds, and no more than what changed.

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
const TicketQueues quotes {1};
const TicketQueues orders {2};

std::vector<TaskRef> worthTrying(const StepQueue &queue, const StepChances &chances = {})
{
    std::vector<TaskRef> steps;
    for (std::optional<Urgency> at = queue.next(std::nullopt, chances); at;
         at = queue.next(at, chances)) {
        steps.push_back(at->step);
    }
    return steps;
}

TaskRef firstOf(const std::string &graph)
{
    return {GraphId {graph}, 0, 0, 0};
}

StepChances roomOf(std::uint32_t cores)
{
    StepChances chances;
    chances.room = TaskSize {cores * 1'000, ByteCount {}, 0};
    return chances;
}

/// Jobs, workers and the loop that places; `naive` looks at every step in each round.
struct Site
{
    GraphRegistry book;
    Fleet fleet;
    StepQueue queue;
    GraphRevision taken;
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
        demand.avoided = graph.failedWorkers(step.occurrence, step.step);
        const GraphStep &known = graph.occurrences[step.occurrence].steps[step.step];
        for (std::uint32_t task = 0; task < known.tasks.size(); ++task) {
            if (known.tasks[task].phase == TaskPhase::Waiting) {
                demand.waiting.push_back(task);
            } else if (demand.spec->gang) {
                demand.waiting.clear(); // some of it is still there
                return demand;
            }
        }
        return demand;
    }

    std::size_t place(const TaskRef &step, std::vector<RunPlacement> &placements)
    {
        const StepDemand demand = demandOf(step);
        std::vector<FleetChoice> chosen = fleet.choose(demand);
        if (chosen.empty() && !demand.avoided.empty()) {
            StepDemand anywhere = demand;
            anywhere.avoided.clear();
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
                            objectiveOf(graph.spec)});
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
        for (const GraphId &id : book.changedSince(taken)) {
            queue.update(*book.find(id), TicketQueues {}, now);
        }
        taken = book.revision();
        for (const GraphId &id : queue.advance(now)) {
            queue.update(*book.find(id), TicketQueues {}, now);
        }
        const FleetGains gains = fleet.takeGains();
        for (const TaskRef &step : gains.steps) {
            queue.retry(step);
        }
        StepChances chances;
        for (const WorkerId &worker : gains.workers) {
            const TaskSize room = fleet.roomOn(worker);
            const TaskSize most = chances.room.value_or(TaskSize {});
            chances.room = {std::max(most.milliCores, room.milliCores),
                std::max(most.memory, room.memory), std::max(most.accelerators, room.accelerators)};
        }
        std::vector<RunPlacement> placements;
        for (std::optional<Urgency> at = queue.next(std::nullopt, chances); at;
             at = queue.next(at, chances)) {
            queue.tried(at->step);
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

    void end(const TaskRef &task, RunEnd how)
    {
        const RunPlacement run = placed.at(task);
        placed.erase(task);
        const StepSpec spec = book.find(task.graph)->spec.steps[task.step];
        book.end({{{task, run.run, how, {}}}, now});
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
    worker.open = open;
    return worker;
}

GraphSpec anyGraph(int number)
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

TEST_CASE("a step that found no room is tried again when room of its size is gained")
{
    GraphRegistry book;
    book.submit({graphOf("a", {stepOf(1, 4)}), start});
    book.submit({graphOf("b", {stepOf(1, 2)}), start});
    StepQueue queue;
    queue.update(*book.find(GraphId {"a"}), {}, start);
    queue.update(*book.find(GraphId {"b"}), {}, start);
    CHECK(worthTrying(queue) == std::vector<TaskRef> {firstOf("a"), firstOf("b")});
    queue.tried(firstOf("a"));
    queue.tried(firstOf("b"));
    CHECK(worthTrying(queue).empty());
    CHECK(worthTrying(queue, roomOf(1)).empty());
    CHECK(worthTrying(queue, roomOf(2)) == std::vector<TaskRef> {firstOf("b")});
    CHECK(worthTrying(queue, roomOf(4)).size() == 2);
    queue.retry(firstOf("a"));
    CHECK(worthTrying(queue) == std::vector<TaskRef> {firstOf("a")});
    queue.tried(firstOf("a"));
    queue.carryOver(*queue.next(std::nullopt, roomOf(4)), roomOf(2));
    CHECK(worthTrying(queue) == std::vector<TaskRef> {firstOf("b")});
}

TEST_CASE("a step that needs tickets waits for its own room, or for its queue to ask")
{
    GraphRegistry book;
    book.submit({graphOf("a", {stepOf(1, 4)}), start});
    StepQueue queue;
    queue.update(*book.find(GraphId {"a"}), quotes, start);
    queue.tried(firstOf("a"));
    CHECK(worthTrying(queue, roomOf(64)).empty());
    queue.retryWithin(firstOf("a"), *roomOf(3).room);
    CHECK(worthTrying(queue).empty());
    queue.retryWithin(firstOf("a"), *roomOf(4).room);
    CHECK(worthTrying(queue).size() == 1);
    queue.tried(firstOf("a"));
    queue.asks(firstOf("a"));
    CHECK(worthTrying(queue, {std::nullopt, orders}).empty());
    CHECK(worthTrying(queue, {std::nullopt, quotes}).size() == 1);
    queue.tried(firstOf("a"));
    CHECK(worthTrying(queue, {std::nullopt, quotes}).empty());
    queue.askAgain();
    CHECK(worthTrying(queue, {std::nullopt, quotes}).size() == 1);
}

TEST_CASE("a step may ask ahead while all that it waits for is placed")
{
    GraphRegistry book;
    StepSpec second = stepOf(1);
    second.after = {0};
    book.submit({graphOf("a", {stepOf(1), second}), start});
    StepQueue queue;
    queue.update(*book.find(GraphId {"a"}), quotes, start);
    CHECK(queue.ahead().empty());
    book.place({{{firstOf("a"), RunNumber {1}, WorkerId {"w"}, Incarnation {"1"}}}});
    queue.update(*book.find(GraphId {"a"}), quotes, start);
    const TaskRef next {GraphId {"a"}, 0, 1, 0};
    CHECK(queue.ahead() == std::set<TaskRef> {next});
    queue.askedAhead(next);
    CHECK(queue.ahead().empty());
    book.end({{{firstOf("a"), RunNumber {1}, RunEnd::Lost, {}}}, start});
    queue.update(*book.find(GraphId {"a"}), quotes, start);
    CHECK(queue.ahead().empty());
}

TEST_CASE("steps are tried in the order of a sort of all, whatever comes, ages and goes")
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
            sorted.push_back(
                {{id, 0, 0, 0}, graph.spec.priority, graph.acceptedAt, objectiveOf(graph.spec)});
        }
        sortByUrgency(sorted, now);
        std::vector<TaskRef> steps;
        steps.reserve(sorted.size());
        for (const ReadyStep &step : sorted) {
            steps.push_back(step.step);
        }
        RC_ASSERT(worthTrying(queue) == steps);
        RC_ASSERT(queue.size() == steps.size());
    }));
}

TEST_CASE("rounds place what rounds that look at everything place")
{
    CHECK(rc::check("as the naive rounds", []() {
        Site site;
        Site naive;
        const int events = *rc::gen::inRange(1, 60);
        int jobs = 0;
        for (int event = 0; event < events; ++event) {
            const int kind = *rc::gen::inRange(0, 10);
            if (kind < 3) {
                const FleetWorker worker = workerOf(*rc::gen::inRange(0, 6),
                    *rc::gen::inRange(1U, 9U), *rc::gen::inRange(0, 4) > 0);
                site.fleet.setWorker(worker);
                naive.fleet.setWorker(worker);
            } else if (kind < 6) {
                const SubmitGraph job {anyGraph(jobs++), site.now};
                site.book.submit(job);
                naive.book.submit(job);
            } else if (kind < 9 && !site.placed.empty()) {
                const std::size_t which = *rc::gen::inRange<std::size_t>(0, site.placed.size());
                const TaskRef task =
                    std::next(site.placed.begin(), static_cast<std::ptrdiff_t>(which))->first;
                const RunEnd how =
                    *rc::gen::element(RunEnd::Succeeded, RunEnd::Failed, RunEnd::Lost);
                site.end(task, how);
                naive.end(task, how);
            } else {
                const Milliseconds passed {*rc::gen::inRange(1, 30)};
                site.now += passed;
                naive.now += passed;
            }
            const std::vector<RunPlacement> placed = site.round();
            const std::vector<RunPlacement> wanted = naive.naiveRound();
            RC_ASSERT(placed.size() == wanted.size());
            for (std::size_t i = 0; i < placed.size(); ++i) {
                RC_ASSERT(placed[i].task == wanted[i].task);
                RC_ASSERT(placed[i].worker == wanted[i].worker);
            }
        }
    }));
}

} // namespace crocusmill
