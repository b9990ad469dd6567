/// Orders to workers: starts and stops, and what their answers prove.

#include "src/net/log.h"
#include "src/services/runsupervisor.h"

#include <algorithm>

namespace crocusmill
{

namespace
{

/// A worker that refuses orders is left alone this long, doubling with each refusal.
constexpr Milliseconds firstRefusalPause {250};
constexpr Milliseconds mostRefusalPause {4'000};

} // namespace

void RunSupervisor::sendStart(const TaskRef &task, Run &run, MonotonicTime now)
{
    Worker &worker = workerOf(run.placement.worker);
    const Graph *graph = parts_.state.graphs().find(task.graph);
    const bool sameProcess =
        worker.known && worker.heartbeat.incarnation == run.placement.incarnation;
    if (graph == nullptr || !sameProcess) {
        run.nextOrder = now + parts_.times.orderPause;
        return;
    }
    if (!run.deadline) {
        run.deadline = lease(worker, now);
    }
    StartOrder order;
    order.task = task;
    order.run = run.placement.run;
    order.payload = graph->spec.payload;
    order.deadline = run.deadline.value_or(WorkerTime {});
    order.fence = parts_.fence;
    order.resume = graph->find(task)->saved;
    order.ticket = run.ticket;
    run.ordering = true;
    ++run.orders;
    parts_.link.start(endpointOf(worker), order, parts_.times.orderLimit,
        [self = shared_from_this(), task, number = order.run, id = run.placement.worker,
            incarnation = run.placement.incarnation](
            StartOutcome outcome, std::optional<WorkerTime> clock) {
            const auto found = self->workers_.find(id);
            const bool same =
                found != self->workers_.end() && found->second.heartbeat.incarnation == incarnation;
            if (clock && same) {
                found->second.clock.recordReading(*clock, self->parts_.clock());
            }
            self->startAnswered(task, number, id, outcome);
        });
}

void RunSupervisor::startAnswered(
    const TaskRef &task, RunNumber number, const WorkerId &id, StartOutcome outcome)
{
    Run *run = findRun(task, number);
    if (retired_ || run == nullptr) {
        return;
    }
    const MonotonicTime now = parts_.clock();
    Worker &worker = workerOf(id);
    run->ordering = false;
    run->nextOrder = now + parts_.times.orderPause;
    if (run->stage != Stage::Starting) {
        return; // a list has shown more meanwhile
    }
    switch (outcome) {
    case StartOutcome::Started:
        run->stage = Stage::Running;
        run->settledAt = now;
        worker.refusals = 0;
        return;
    case StartOutcome::NotSent:
        --run->orders;
        return;
    case StartOutcome::Unanswered:
        return;
    case StartOutcome::OtherIncarnation:
        incarnationGone(id, run->placement.incarnation);
        return;
    case StartOutcome::Refused:
        ++worker.refusals;
        worker.refusedUntil = now
            + std::min(firstRefusalPause * (1U << std::min(worker.refusals, 5U)), mostRefusalPause);
        fleet_.setOpen(id, isOpen(worker, now));
        logInfo("run.refused",
            {{"task", asText(task)}, {"worker", id.value()},
                {"orders", std::uint64_t {run->orders}}});
        if (run->orders == 1) {
            endRuns({overAs(*run, RunEnd::NotStarted)}, OverBy::StartRefused);
            return;
        }
        break; // an earlier order may still be carried out
    case StartOutcome::Fenced:
    case StartOutcome::Superseded:
        logWarning("run.start_overtaken", {{"task", asText(task)}, {"worker", id.value()}});
        break;
    }
    setStage(*run, Stage::Stopping);
    run->nextOrder = now;
}

void RunSupervisor::sendStop(const TaskRef &task, Run &run, MonotonicTime now)
{
    Worker &worker = workerOf(run.placement.worker);
    if (!worker.known || worker.heartbeat.incarnation != run.placement.incarnation) {
        run.nextOrder = now + parts_.times.orderPause;
        return;
    }
    run.ordering = true;
    parts_.link.stop(endpointOf(worker), task, run.placement.run, parts_.fence,
        parts_.times.orderLimit,
        [self = shared_from_this(), task, number = run.placement.run](
            StopOutcome outcome) { self->stopAnswered(task, number, outcome); });
}

void RunSupervisor::stopAnswered(const TaskRef &task, RunNumber number, StopOutcome outcome)
{
    Run *run = findRun(task, number);
    if (retired_ || run == nullptr) {
        return;
    }
    const MonotonicTime now = parts_.clock();
    run->ordering = false;
    run->nextOrder = now + parts_.times.orderPause;
    if (outcome == StopOutcome::Answered) {
        run->settledAt = now;
    } else if (outcome == StopOutcome::OtherIncarnation) {
        incarnationGone(run->placement.worker, run->placement.incarnation);
    }
}

/// Something runs that the journal does not have there.
void RunSupervisor::stopUnknown(const WorkerId &id, const Worker &worker, const ListedRun &listed)
{
    logWarning("run.unknown_stopped",
        {{"task", asText(listed.task)}, {"run", std::uint64_t {listed.run.value()}},
            {"worker", id.value()}});
    parts_.link.stop(endpointOf(worker), listed.task, listed.run, parts_.fence,
        parts_.times.orderLimit, [](StopOutcome /*outcome*/) {});
}

} // namespace crocusmill
