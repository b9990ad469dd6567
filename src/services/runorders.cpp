/// Sends start and stop orders to workers and evaluates the answers.

#include "src/net/log.h"
#include "src/services/runsupervisor.h"

#include <algorithm>

namespace crocusmill
{

namespace
{

/// A worker that refuses a start gets no new tasks for this long, doubled with each refusal.
constexpr Milliseconds initialRefusalBackoff {250};
constexpr Milliseconds maxRefusalBackoff {4'000};
/// If more than one worker in this many refused its last start, most workers refuse.
constexpr std::size_t minWorkersPerRefusing = 4;

} // namespace

/// Refusals of most workers do not show which one to avoid, so the backoff stays short then.
Milliseconds RunSupervisor::refusalBackoffOf(const Worker &worker) const
{
    if (refusingCount_ * minWorkersPerRefusing > workers_.size()) {
        return initialRefusalBackoff;
    }
    return std::min(
        initialRefusalBackoff * (1U << std::min(worker.refusalCount, 5U)), maxRefusalBackoff);
}

void RunSupervisor::sendStart(const TaskRef &task, Run &run, MonotonicTime now)
{
    Worker &worker = findOrAddWorker(run.placement.worker);
    const Graph *graph = parts_.state.graphs().find(task.graph);
    const bool sameProcess =
        worker.hasIncarnation && worker.heartbeat.incarnation == run.placement.incarnation;
    if (graph == nullptr || !sameProcess) {
        run.nextOrderAt = now + parts_.times.maxOrderPause;
        return;
    }
    if (!mayBeginRuns(worker)) {
        takeBackStart(task, run, now);
        return;
    }
    if (!run.deadline) {
        run.deadline = grantLease(worker, now);
    }
    StartOrder order;
    order.task = task;
    order.run = run.placement.run;
    order.payload = graph->spec.payload;
    order.deadline = run.deadline.value_or(WorkerTime {});
    order.fence = parts_.fence;
    order.resume = graph->find(task)->saved;
    order.ticket = run.ticket;
    run.isOrderPending = true;
    ++ordersSinceTick_;
    run.firstOrderAt = run.firstOrderAt == MonotonicTime {} ? now : run.firstOrderAt;
    const Milliseconds timeout = answerTimeout_.timeout(run.sentOrderCount);
    ++run.sentOrderCount;
    recoverySteps_.reach(RecoveryStep::OrderSent, now);
    const WorkerEndpoint called = endpointOf(worker);
    parts_.link.start(called, order, timeout,
        [self = shared_from_this(), task, number = order.run, called, sent = parts_.clock()](
            StartOutcome outcome, std::optional<WorkerTime> clock) {
            if (outcome != StartOutcome::Unanswered && outcome != StartOutcome::NotSent) {
                self->recordAnswerTime(sent);
            }
            const auto it = self->workers_.find(called.id);
            const bool isSameIncarnation = it != self->workers_.end()
                && it->second.heartbeat.incarnation == called.incarnation;
            if (clock && isSameIncarnation) {
                it->second.clock.recordReading(*clock, self->parts_.clock());
            }
            self->onStartAnswered(task, number, called, outcome);
        });
}

/// Ends a run whose worker began to leave before its start was answered. A start that may have been
/// carried out is stopped first.
void RunSupervisor::takeBackStart(const TaskRef &task, Run &run, MonotonicTime now)
{
    logInfo("run.taken_back",
        {{"task", asText(task)}, {"worker", run.placement.worker.value()},
            {"orders", std::uint64_t {run.sentOrderCount}}});
    if (run.sentOrderCount == 0) {
        recordInferredEnds({makeEnd(run, RunEnd::NotStarted)}, EndReason::WorkerLeaving);
        return;
    }
    setStage(run, Stage::Stopping);
    run.nextOrderAt = now;
}

void RunSupervisor::onStartAnswered(
    const TaskRef &task, RunNumber number, const WorkerEndpoint &called, StartOutcome outcome)
{
    const WorkerId &id = called.id;
    if (isRetired_) {
        return;
    }
    if (outcome == StartOutcome::Started) {
        noteStart(task.graph); // also if the run has been given up meanwhile
        begunJobs_.insert(task.graph);
        recoverySteps_.reach(RecoveryStep::StartAnswered, parts_.clock());
    }
    Run *run = findRun(task, number);
    if (run == nullptr) {
        return;
    }
    const MonotonicTime now = parts_.clock();
    Worker &worker = findOrAddWorker(id);
    run->isOrderPending = false;
    run->nextOrderAt = now + orderPauseOf(*run, now);
    if (run->stage != Stage::Starting) {
        return; // a list has reported the run meanwhile, or it is to be stopped
    }
    switch (outcome) {
    case StartOutcome::Started:
        run->stage = Stage::Running;
        run->confirmedAt = now;
        run->sentOrderCount == 1 ? observer_.onStarted(task, now) : observer_.onListed(task, now);
        worker.refusalCount = 0;
        return;
    case StartOutcome::NotSent:
        --run->sentOrderCount;
        return;
    case StartOutcome::Unanswered:
        return;
    case StartOutcome::OtherIncarnation:
        onIncarnationGone(called);
        return;
    case StartOutcome::Refused:
        ++worker.refusalCount;
        worker.backoffUntil = now + refusalBackoffOf(worker);
        fleet_.setOpen(id, isOpen(worker, now));
        logRefusedStart(task, *run, now);
        if (run->sentOrderCount == 1) {
            recordInferredEnds({makeEnd(*run, RunEnd::NotStarted)}, EndReason::StartRefused);
            return;
        }
        break; // an earlier order may still be carried out
    case StartOutcome::Fenced:
    case StartOutcome::Superseded:
        logWarning("run.start_overtaken", {{"task", asText(task)}, {"worker", id.value()}});
        break;
    }
    setStage(*run, Stage::Stopping);
    run->nextOrderAt = now;
}

void RunSupervisor::logRefusedStart(const TaskRef &task, const Run &run, MonotonicTime now)
{
    const WorkerId &worker = run.placement.worker;
    const std::optional<std::uint64_t> leftOut = refusedStarts_.admit(worker.value(), now);
    if (leftOut) {
        logInfo("run.refused",
            {{"task", asText(task)}, {"worker", worker.value()},
                {"orders", std::uint64_t {run.sentOrderCount}}, {"ticket", run.ticket.has_value()},
                {"left_out", *leftOut}});
    }
}

void RunSupervisor::sendStop(const TaskRef &task, Run &run, MonotonicTime now)
{
    Worker &worker = findOrAddWorker(run.placement.worker);
    const bool isSameProcess =
        worker.hasIncarnation && worker.heartbeat.incarnation == run.placement.incarnation;
    // The holds show whether a leaving worker is still there. Stops would only cost connections.
    const bool mayHaveLeft = worker.leavesAt && worker.unansweredHoldCount > 0;
    if (!isSameProcess || mayHaveLeft) {
        run.nextOrderAt = now + parts_.times.maxOrderPause;
        return;
    }
    run.isOrderPending = true;
    ++ordersSinceTick_;
    const WorkerEndpoint called = endpointOf(worker);
    parts_.link.stop(called, task, run.placement.run, parts_.fence,
        answerTimeout_.timeout(run.unansweredStopCount),
        [self = shared_from_this(), placement = run.placement, called, sent = parts_.clock()](
            StopOutcome outcome) {
            if (outcome != StopOutcome::Unanswered) {
                self->recordAnswerTime(sent);
            }
            self->onStopAnswered(placement, called, outcome);
        });
}

/// `placement`: that of the run when the stop was sent.
void RunSupervisor::onStopAnswered(
    const RunPlacement &placement, const WorkerEndpoint &called, StopOutcome outcome)
{
    Run *run = findRun(placement.task, placement.run);
    if (isRetired_ || run == nullptr || run->placement.incarnation != placement.incarnation) {
        return; // the answer of an earlier process says nothing about the present one
    }
    const MonotonicTime now = parts_.clock();
    run->isOrderPending = false;
    run->nextOrderAt = now + orderPauseOf(*run, now);
    run->unansweredStopCount =
        outcome == StopOutcome::Unanswered ? run->unansweredStopCount + 1 : 0;
    if (outcome == StopOutcome::Answered) {
        run->confirmedAt = now;
    } else if (outcome == StopOutcome::OtherIncarnation) {
        onIncarnationGone(called);
    }
}

/// Stops a run that the supervisor does not have on this worker.
void RunSupervisor::stopUnknownRun(
    const WorkerId &id, const Worker &worker, const ListedRun &listed)
{
    logWarning("run.unknown_stopped",
        {{"task", asText(listed.task)}, {"run", std::uint64_t {listed.run.value()}},
            {"worker", id.value()}});
    parts_.link.stop(endpointOf(worker), listed.task, listed.run, parts_.fence,
        answerTimeout_.timeout(), [](StopOutcome /*outcome*/) {});
}

Milliseconds RunSupervisor::orderPauseOf(const Run &run, MonotonicTime now) const
{
    constexpr int pausesPerOrderTime = 4;
    const Milliseconds sinceFirstOrder =
        std::chrono::duration_cast<Milliseconds>(now - run.firstOrderAt);
    return std::clamp(sinceFirstOrder / pausesPerOrderTime, parts_.times.minOrderPause,
        parts_.times.maxOrderPause);
}

void RunSupervisor::recordAnswerTime(MonotonicTime sent)
{
    answerTimeout_.recordAnswer(std::chrono::duration_cast<Microseconds>(parts_.clock() - sent));
}

} // namespace crocusmill
