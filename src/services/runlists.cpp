/// Holds: leases renewed, and what workers list taken in.

#include "src/net/log.h"
#include "src/services/runsupervisor.h"

#include <algorithm>

namespace crocusmill
{

namespace
{

constexpr Milliseconds holdRetryPause {150};
/// Holds in a row without an answer from which on no lease is given any more.
constexpr std::uint32_t unansweredToLapse = 2;

} // namespace

void RunSupervisor::hold(const WorkerId &id, Worker &worker, MonotonicTime now)
{
    const bool departed = worker.leavesAt && now >= *worker.leavesAt && worker.runs.empty();
    if (!worker.known || worker.holding || now < worker.nextHold || departed || worker.gone
        || !mayOrder()) {
        return;
    }
    HoldOrder order;
    order.fence = parts_.fence;
    // A later process under the same id would forget ends of its own: only one that has just
    // answered is told.
    const Milliseconds justNow = parts_.times.holdWait + parts_.times.answerLimit;
    if (worker.answers && now - worker.answered <= justNow) {
        order.acknowledged = worker.recorded;
    }
    // A worker that does not answer, or leaves, is given no more leases, so that its runs are over
    // some day.
    if (worker.unanswered < unansweredToLapse && !worker.leavesAt) {
        order.deadline = lease(worker, now);
    }
    // The first answer is needed at once: what a new leader adopts, and what has room.
    order.wait = worker.answered == MonotonicTime {} || worker.unanswered > 0
        ? Milliseconds {0}
        : parts_.times.holdWait;
    worker.holding = true;
    const Milliseconds limit = order.wait + parts_.times.answerLimit;
    parts_.link.hold(endpointOf(worker), order, limit,
        [self = shared_from_this(), id, incarnation = worker.heartbeat.incarnation, now, limit](
            const HoldOutcome &outcome) {
            self->holdAnswered(id, incarnation, outcome, now, limit);
        });
}

void RunSupervisor::holdFailed(
    const WorkerId &id, Worker &worker, HoldError error, MonotonicTime sent, Milliseconds limit)
{
    const MonotonicTime now = parts_.clock();
    worker.answers = false;
    if (now - sent > limit + parts_.times.lateness) {
        worker.nextHold = now; // this VM stood still: the answer may have been there in time
        return;
    }
    worker.gone = worker.gone
        || (worker.leavesAt && error == HoldError::NotConnected
            && now - sent < parts_.times.refusal);
    ++worker.unanswered;
    worker.askedInVain = sent;
    worker.nextHold = now + holdRetryPause;
    if (worker.unanswered == 1) {
        logWarning(
            "worker.unanswered", {{"worker", id.value()}, {"fenced", error == HoldError::Fenced}});
    }
    fleet_.setOpen(id, isOpen(worker, now));
}

void RunSupervisor::holdAnswered(const WorkerId &id, const Incarnation &incarnation,
    const HoldOutcome &outcome, MonotonicTime sent, Milliseconds limit)
{
    const auto found = workers_.find(id);
    if (retired_ || found == workers_.end() || found->second.heartbeat.incarnation != incarnation) {
        return;
    }
    Worker &worker = found->second;
    const MonotonicTime now = parts_.clock();
    worker.holding = false;
    if (outcome.clock) {
        worker.clock.recordReading(*outcome.clock, now);
    }
    const Incarnation &answering = outcome.report.incarnation;
    if (!outcome.error && answering != incarnation) {
        // Its heartbeat is still on its way.
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
        worker.nextHold = now + holdRetryPause;
        incarnationGone(id, incarnation);
        return;
    }
    if (outcome.error) {
        holdFailed(id, worker, *outcome.error, sent, limit);
        return;
    }
    if (worker.unanswered > 0) {
        logInfo("worker.answers_again",
            {{"worker", id.value()}, {"missed", std::uint64_t {worker.unanswered}}});
    }
    worker.unanswered = 0;
    worker.answers = now - sent <= limit;
    worker.answered = sent;
    worker.nextHold = now;
    fleet_.setOpen(id, isOpen(worker, now));
    takeReport(id, worker, outcome.report, sent);
}

void RunSupervisor::takeReport(
    const WorkerId &id, Worker &worker, const HoldReport &report, MonotonicTime sent)
{
    std::set<TaskRef> listed;
    std::vector<EndedRun> ended;
    EndNumber last = worker.recorded;
    for (const ListedEnd &end : report.ended) {
        last = std::max(last, end.number);
        listed.insert(end.task);
        if (end.number <= worker.recorded) {
            continue; // it was not acknowledged yet
        }
        Run *run = findRun(end.task, end.run);
        if (run != nullptr && run->placement.worker == id) {
            run->ending = true;
            judge(id, end);
        }
        logLateSuccess(id, end);
        ended.push_back({end.task, end.run, end.end, end.saved});
    }
    for (const ListedRun &running : report.running) {
        listed.insert(running.task);
        takeRunning(id, worker, running);
    }
    std::vector<EndedRun> absent;
    const bool whole = report.ended.size() < mostEndsListed;
    for (const TaskRef &task : worker.runs) {
        Run &run = runs_.at(task);
        const bool onThis = run.placement.incarnation == report.incarnation;
        if (!whole || !onThis || listed.contains(task) || run.ending) {
            continue;
        }
        if (run.settledAt && *run.settledAt < sent) {
            absent.push_back(overAs(run, RunEnd::Lost));
        } else if (run.stage == Stage::Adopted) {
            setStage(run, Stage::Stopping); // the earlier leader's order may still arrive
        }
    }
    endRuns(absent, OverBy::NotListed);
    if (ended.empty()) {
        hold(id, worker, parts_.clock());
    } else {
        // The next hold acknowledges these ends, so it waits for their record.
        worker.holding = true;
        listedEnds_.push_back({id, worker.heartbeat.incarnation, std::move(ended), last});
        parts_.changed();
    }
}

void RunSupervisor::takeRunning(const WorkerId &id, Worker &worker, const ListedRun &listed)
{
    Run *run = findRun(listed.task, listed.run);
    if (run == nullptr || run->placement.worker != id) {
        stopUnknown(id, worker, listed);
        return;
    }
    if (run->stage == Stage::Adopted || run->stage == Stage::Starting) {
        run->stage = Stage::Running;
        run->settledAt = parts_.clock();
    }
    if (run->stage == Stage::Running) {
        watchProgress(id, *run, listed);
    } else if (run->stage == Stage::Stopping && run->settledAt
        && parts_.clock() - *run->settledAt > parts_.times.orderLimit * 2) {
        run->settledAt.reset(); // the stop did not take: order it again
    }
}

/// Those of the jobs that were open before and are not any more.
void RunSupervisor::logEnded(const std::set<GraphId> &wereOpen) const
{
    for (const GraphId &id : wereOpen) {
        const Graph *graph = parts_.state.graphs().find(id);
        if (graph == nullptr || graph->state == GraphState::Open) {
            continue;
        }
        logInfo("job.ended",
            {{"job", id.value()}, {"succeeded", graph->state == GraphState::Succeeded},
                {"took_ms",
                    static_cast<std::uint64_t>((graph->endedAt - graph->acceptedAt).count())}});
    }
}

std::set<GraphId> RunSupervisor::openAmong(const std::vector<EndedRun> &ended) const
{
    std::set<GraphId> open;
    for (const EndedRun &end : ended) {
        if (parts_.state.graphs().openGraphs().contains(end.task.graph)) {
            open.insert(end.task.graph);
        }
    }
    return open;
}

/// Stops a run that stands still, so that it is started elsewhere.
void RunSupervisor::watchProgress(const WorkerId &id, Run &run, const ListedRun &listed)
{
    const MonotonicTime now = parts_.clock();
    if (run.progressed == MonotonicTime {} || listed.percent != run.percent) {
        run.percent = listed.percent;
        run.progressed = now;
        return;
    }
    constexpr std::uint32_t beyondEstimate = 100;
    const SupervisorTimes &times = parts_.times;
    const bool overruns = listed.percent >= beyondEstimate;
    const Milliseconds patience = std::max(overruns ? times.overrun : times.stall,
        std::chrono::duration_cast<Milliseconds>(
            run.spec.estimate * (overruns ? times.overrunEstimates : times.stallShare)));
    if (run.spec.lasting || now - run.progressed <= patience) {
        return;
    }
    logWarning("run.stalled",
        {{"job", listed.task.graph.value()}, {"worker", id.value()},
            {"percent", std::uint64_t {listed.percent}}});
    health_.recordStall(id, now);
    setStage(run, Stage::Stopping);
    run.settledAt.reset();
    run.nextOrder = now;
}

/// Only a task's own end says something about its worker.
void RunSupervisor::judge(const WorkerId &id, const ListedEnd &end)
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

/// One record for all ends that were listed since the last round.
void RunSupervisor::recordEnds()
{
    if (listedEnds_.empty() || retired_) {
        return;
    }
    const std::vector<EndList> lists = std::exchange(listedEnds_, {});
    std::vector<EndedRun> ended;
    for (const EndList &list : lists) {
        ended.insert(ended.end(), list.ended.begin(), list.ended.end());
    }
    parts_.propose(EndRuns {ended, wall_},
        [self = shared_from_this(), lists, open = openAmong(ended)](
            const Result<ApplyReply> &reply) {
            if (!reply) {
                // The worker may be gone by now and list them to nobody else.
                logWarning("run.ends_unrecorded",
                    {{"lists", std::uint64_t {lists.size()}}, {"error", reply.error().message()}});
                self->listedEnds_.insert(self->listedEnds_.begin(), lists.begin(), lists.end());
                return;
            }
            for (const EndList &list : lists) {
                self->endsRecorded(list);
            }
            self->logEnded(open);
            self->parts_.changed();
        });
}

void RunSupervisor::endsRecorded(const EndList &list)
{
    for (const EndedRun &end : list.ended) {
        const Run *run = findRun(end.task, end.run);
        if (run != nullptr && run->placement.worker == list.worker) {
            release(end);
        }
    }
    const auto found = workers_.find(list.worker);
    if (found == workers_.end() || found->second.heartbeat.incarnation != list.incarnation) {
        return;
    }
    found->second.holding = false;
    found->second.recorded = std::max(found->second.recorded, list.last);
    hold(list.worker, found->second, parts_.clock());
}

} // namespace crocusmill
