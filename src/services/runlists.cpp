/// Holds: renews leases of workers and applies the lists of runs that they answer.

#include "src/net/log.h"
#include "src/services/runsupervisor.h"

#include <algorithm>
#include <utility>

namespace crocusmill
{

namespace
{

/// Pause after an unanswered hold. The next sweep after it sends the next hold.
constexpr Milliseconds holdRetryInterval {80};

} // namespace

/// Returns how long the worker may delay its answer. A run that never began takes up room until a
/// list that was requested after the answer to its stop lacks it, and no end cuts such a wait
/// short.
Milliseconds RunSupervisor::holdWaitOf(const Worker &worker) const
{
    // The answer of a leaving worker without runs shows that it knows its ends to be recorded.
    if (worker.leavesAt && worker.runs.empty()) {
        return Milliseconds {0};
    }
    // The first answer must not be delayed: it shows which adopted runs are running, and it makes
    // the worker available for placement.
    if (worker.answeredHoldSentAt == MonotonicTime {} || worker.unansweredHoldCount > 0) {
        return Milliseconds {0};
    }
    Milliseconds wait = parts_.times.holdWaitTimeout;
    for (const TaskRef &task : worker.runs) {
        const Run &run = runs_.at(task);
        if (run.stage != Stage::Stopping || run.wasListed || run.isEnding) {
            continue;
        }
        if (run.confirmedAt && *run.confirmedAt >= worker.answeredHoldSentAt) {
            return Milliseconds {0};
        }
        wait = run.confirmedAt ? wait : parts_.times.settlingHoldWaitTimeout;
    }
    return wait;
}

void RunSupervisor::hold(const WorkerId &id, Worker &worker, MonotonicTime now)
{
    const bool hasDeparted =
        worker.leavesAt && worker.runs.empty() && (hasEndedRuns(worker) || now >= *worker.leavesAt);
    if (!worker.hasIncarnation || worker.isHoldPending || now < worker.nextHoldAt || hasDeparted
        || !canSendOrders()) {
        return;
    }
    HoldOrder order;
    order.fence = parts_.fence;
    // A later process under the same id would discard its own ends. So ends are acknowledged only
    // to a process that has just answered.
    const Milliseconds freshAnswerAge =
        parts_.times.holdWaitTimeout + parts_.times.answerTimeout.maxTimeout * 2;
    if (worker.isAnswering && now - worker.answeredHoldSentAt <= freshAnswerAge) {
        order.acknowledged = worker.lastRecordedEnd;
    }
    if (canGetLease(worker, now)) {
        order.deadline = grantLease(worker, now);
    }
    order.wait = holdWaitOf(worker);
    worker.isHoldPending = true;
    // A hold that waits is repeated by quicker ones, so a worker that is slow to answer is not
    // suspected at once. Lists take longer to answer than orders.
    const Milliseconds timeout = order.wait > Milliseconds {0}
        ? order.wait + parts_.times.answerTimeout.maxTimeout
        : answerTimeout_.timeout(worker.unansweredHoldCount / 2) * 2;
    const WorkerEndpoint called = endpointOf(worker);
    parts_.link.hold(called, order, timeout,
        [self = shared_from_this(), called, acknowledged = order.acknowledged, now, timeout](
            const HoldOutcome &outcome) {
            self->onHoldAnswered(called, outcome, acknowledged, now, timeout);
        });
}

void RunSupervisor::onHoldFailed(
    const WorkerId &id, Worker &worker, HoldError error, MonotonicTime sent, Milliseconds timeout)
{
    const MonotonicTime now = parts_.clock();
    worker.isAnswering = false;
    if (now - sent > timeout + parts_.times.maxCallbackDelay) {
        worker.nextHoldAt = now; // this VM was stalled: the answer may have been in time
        return;
    }
    if (error == HoldError::NotSent) {
        worker.nextHoldAt = now + holdRetryInterval;
        return;
    }
    worker.failsFast =
        error == HoldError::Unanswered && now - sent < parts_.times.fastFailureTimeout;
    ++worker.unansweredHoldCount;
    worker.earlierUnansweredHoldSentAt = std::exchange(worker.unansweredHoldSentAt, sent);
    if (worker.unansweredHoldCount == 1) {
        worker.unansweredSince = sent;
    }
    worker.nextHoldAt = now + holdRetryInterval;
    if (worker.unansweredHoldCount == 1) {
        logWarning("worker.unanswered",
            {{"worker", id.value()}, {"fenced", error == HoldError::Fenced},
                {"refused", error == HoldError::Refused},
                {"leaving", worker.leavesAt.has_value()}});
    }
    fleet_.setOpen(id, isOpen(worker, now));
    answerFarewells(worker, FarewellOutcome::RunsLeft); // the worker cannot be asked for its runs
}

void RunSupervisor::onHoldAnswered(const WorkerEndpoint &called, const HoldOutcome &outcome,
    EndNumber acknowledged, MonotonicTime sent, Milliseconds timeout)
{
    const WorkerId &id = called.id;
    const Incarnation &incarnation = called.incarnation;
    const auto it = workers_.find(id);
    if (isRetired_ || it == workers_.end() || it->second.heartbeat.incarnation != incarnation) {
        return;
    }
    Worker &worker = it->second;
    const MonotonicTime now = parts_.clock();
    worker.isHoldPending = false;
    if (outcome.clock) {
        worker.clock.recordReading(*outcome.clock, now);
    }
    const Incarnation &answering = outcome.report.incarnation;
    if (!outcome.error && isNewer(incarnation, answering)) {
        // The list names no process, or one from before.
        logWarning("worker.list_outdated",
            {{"worker", id.value()}, {"incarnation", answering.value()},
                {"current", incarnation.value()}});
        onHoldFailed(id, worker, HoldError::Unanswered, sent, timeout);
        return;
    }
    if (!outcome.error && answering != incarnation) {
        // A new process answered before its first heartbeat arrived. Its kind is unknown until
        // then, so it gets no tasks.
        logInfo("worker.undescribed",
            {{"worker", id.value()}, {"incarnation", answering.value()},
                {"previous", incarnation.value()}});
        WorkerHeartbeat other = worker.heartbeat;
        other.incarnation = answering;
        other.sequence = 0;
        other.clock = outcome.clock;
        replaceIncarnation(worker, other, now);
        updateFleet(worker, now);
        hold(id, worker, now);
        return;
    }
    if (outcome.error == HoldError::OtherIncarnation) {
        worker.nextHoldAt = now + holdRetryInterval;
        onIncarnationGone(called);
        return;
    }
    if (outcome.error) {
        onHoldFailed(id, worker, *outcome.error, sent, timeout);
        return;
    }
    if (worker.unansweredHoldCount > 0) {
        logInfo("worker.answers_again",
            {{"worker", id.value()}, {"missed", std::uint64_t {worker.unansweredHoldCount}}});
    }
    recoverySteps_.reach(RecoveryStep::HoldAnswered, now);
    worker.unansweredHoldCount = 0;
    worker.isAnswering = now - sent <= timeout;
    worker.answeredHoldSentAt = sent;
    worker.acknowledgedEnd = std::max(worker.acknowledgedEnd, acknowledged);
    worker.nextHoldAt = now;
    fleet_.setOpen(id, isOpen(worker, now));
    applyReport(id, worker, outcome.report, sent);
}

void RunSupervisor::applyReport(
    const WorkerId &id, Worker &worker, const HoldReport &report, MonotonicTime sent)
{
    std::set<TaskRef> listed;
    std::vector<EndedRun> ended;
    EndNumber last = worker.lastRecordedEnd;
    for (const ListedEnd &end : report.ended) {
        last = std::max(last, end.number);
        listed.insert(end.task);
        if (end.number <= worker.lastRecordedEnd) {
            continue; // recorded, but not acknowledged yet
        }
        Run *run = findRun(end.task, end.run);
        if (run != nullptr && run->placement.worker == id) {
            run->isEnding = true;
            updateHealth(id, end);
            observer_.onEnded(end.task, end.end, parts_.clock());
        }
        begunJobs_.insert(end.task.graph);
        logLateSuccess(id, end);
        ended.push_back({end.task, end.run, end.end, end.saved});
    }
    for (const ListedRun &running : report.running) {
        listed.insert(running.task);
        applyListedRun(id, worker, running);
    }
    std::vector<EndedRun> missing;
    const bool isComplete = report.ended.size() < maxListedEnds && report.unreadableRuns == 0;
    for (const TaskRef &task : worker.runs) {
        Run &run = runs_.at(task);
        const bool isSameIncarnation = run.placement.incarnation == report.incarnation;
        if (!isComplete || !isSameIncarnation || listed.contains(task) || run.isEnding) {
            continue;
        }
        if (run.confirmedAt && *run.confirmedAt < sent) {
            missing.push_back(makeEnd(run, RunEnd::Lost));
        } else if (run.stage == Stage::Adopted) {
            setStage(run, Stage::Stopping); // an earlier start order may still arrive
        }
    }
    recordInferredEnds(missing, EndReason::NotListed);
    if (ended.empty()) {
        if (hasEndedRuns(worker)) {
            answerFarewells(worker, FarewellOutcome::RunsEnded);
        }
        hold(id, worker, parts_.clock());
    } else {
        // The next hold acknowledges these ends, so it waits until they are recorded.
        worker.isHoldPending = true;
        unproposedEnds_.push_back({id, worker.heartbeat.incarnation, std::move(ended), last});
        parts_.onChange();
    }
}

void RunSupervisor::applyListedRun(const WorkerId &id, Worker &worker, const ListedRun &listed)
{
    begunJobs_.insert(listed.task.graph);
    Run *run = findRun(listed.task, listed.run);
    if (run == nullptr || run->stage != Stage::Running) {
        noteStart(listed.task.graph);
    }
    if (run == nullptr || run->placement.worker != id) {
        stopUnknownRun(id, worker, listed);
        return;
    }
    run->wasListed = true;
    if (run->stage == Stage::Adopted || run->stage == Stage::Starting) {
        run->stage = Stage::Running;
        run->confirmedAt = parts_.clock();
        observer_.onListed(listed.task, *run->confirmedAt);
    }
    if (run->stage == Stage::Running) {
        recoverySteps_.reach(RecoveryStep::RunListed, parts_.clock());
        checkProgress(id, *run, listed);
    } else if (run->stage == Stage::Stopping && run->confirmedAt
        && parts_.clock() - *run->confirmedAt > parts_.times.answerTimeout.maxTimeout * 2) {
        run->confirmedAt.reset(); // the stop had no effect: send it again
    }
}

/// Logs the jobs that were open before and have ended.
void RunSupervisor::logEndedGraphs(const std::set<GraphId> &wereOpen) const
{
    for (const GraphId &id : wereOpen) {
        const Graph *graph = parts_.state.graphs().find(id);
        if (graph == nullptr || graph->state == GraphState::Open) {
            continue;
        }
        const Milliseconds took = std::max(graph->endedAt - graph->acceptedAt, Milliseconds {0});
        logInfo("job.ended",
            {{"job", id.value()}, {"succeeded", graph->state == GraphState::Succeeded},
                {"took_ms", static_cast<std::uint64_t>(took.count())}});
    }
}

std::set<GraphId> RunSupervisor::findOpenGraphs(const std::vector<EndedRun> &ended) const
{
    std::set<GraphId> open;
    for (const EndedRun &end : ended) {
        if (parts_.state.graphs().openGraphs().contains(end.task.graph)) {
            open.insert(end.task.graph);
        }
    }
    return open;
}

/// Stops a stalled run, so that its task can be placed elsewhere.
void RunSupervisor::checkProgress(const WorkerId &id, Run &run, const ListedRun &listed)
{
    const MonotonicTime now = parts_.clock();
    if (run.lastProgressAt == MonotonicTime {} || listed.percent != run.percent) {
        run.percent = listed.percent;
        run.lastProgressAt = now;
        return;
    }
    constexpr std::uint32_t fullEstimatePercent = 100;
    const SupervisorTimes &times = parts_.times;
    const bool hasReachedEstimate = listed.percent >= fullEstimatePercent;
    const Milliseconds noProgressTimeout =
        std::max(hasReachedEstimate ? times.overrunTimeout : times.stallTimeout,
            std::chrono::duration_cast<Milliseconds>(run.spec.estimate
                * (hasReachedEstimate ? times.overrunEstimateFactor : times.stallEstimateShare)));
    if (run.spec.lasting || now - run.lastProgressAt <= noProgressTimeout) {
        return;
    }
    logWarning("run.stalled",
        {{"job", listed.task.graph.value()}, {"worker", id.value()},
            {"percent", std::uint64_t {listed.percent}}});
    health_.recordStall(id, now);
    requestStop(run, now);
}

/// Updates the health of the worker: only successes and failures of tasks say something about it.
void RunSupervisor::updateHealth(const WorkerId &id, const ListedEnd &end)
{
    if (end.end == RunEnd::Failed) {
        logInfo("run.failed",
            {{"job", end.task.graph.value()}, {"step", std::uint64_t {end.task.step}},
                {"task", std::uint64_t {end.task.task}}, {"run", std::uint64_t {end.run.value()}},
                {"worker", id.value()}});
    }
    if (end.end == RunEnd::Succeeded) {
        health_.recordSuccess(id);
    } else if (end.end == RunEnd::Failed) {
        health_.recordFailure(id, end.task.graph, parts_.clock());
    }
}

/// Proposes all ends that were listed since the last tick as one command.
void RunSupervisor::proposeListedEnds()
{
    if (unproposedEnds_.empty() || isRetired_) {
        return;
    }
    const std::vector<EndList> lists = std::exchange(unproposedEnds_, {});
    std::vector<EndedRun> ended;
    for (const EndList &list : lists) {
        ended.insert(ended.end(), list.ended.begin(), list.ended.end());
    }
    parts_.propose(EndRuns {ended, wall_},
        [self = shared_from_this(), lists, open = findOpenGraphs(ended)](
            const Result<ApplyReply> &reply) {
            if (!reply) {
                // The worker may be gone by now and cannot list the ends again: try again.
                logWarning("run.ends_unrecorded",
                    {{"lists", std::uint64_t {lists.size()}}, {"error", reply.error().message()}});
                self->unproposedEnds_.insert(
                    self->unproposedEnds_.begin(), lists.begin(), lists.end());
                return;
            }
            for (const EndList &list : lists) {
                self->onEndsRecorded(list);
            }
            self->logEndedGraphs(open);
            self->parts_.onChange();
        });
}

void RunSupervisor::onEndsRecorded(const EndList &list)
{
    recoverySteps_.reach(RecoveryStep::EndRecorded, parts_.clock());
    for (const EndedRun &end : list.ended) {
        const Run *run = findRun(end.task, end.run);
        if (run != nullptr && run->placement.worker == list.worker) {
            release(end);
        }
    }
    const auto it = workers_.find(list.worker);
    if (it == workers_.end() || it->second.heartbeat.incarnation != list.incarnation) {
        return;
    }
    it->second.isHoldPending = false;
    it->second.lastRecordedEnd = std::max(it->second.lastRecordedEnd, list.last);
    hold(list.worker, it->second, parts_.clock());
}

} // namespace crocusmill
