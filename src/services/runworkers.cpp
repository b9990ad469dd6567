/// Tracks workers: heartbeats, incarnations, availability, leases and removal.

#include "src/net/log.h"
#include "src/services/runsupervisor.h"

#include <algorithm>

namespace crocusmill
{

namespace
{

/// If holds of more than one worker in this many fail at once, most workers do, and each that has
/// answered lately gets tasks: an order that is sent again may get through.
constexpr std::size_t minWorkersPerFastFailure = 4;
/// A worker without runs and without a heartbeat for this long is removed.
constexpr Milliseconds silentWorkerTimeout {60'000};
/// After this many unanswered holds in a row a worker gets leases only if it has answered lately.
constexpr std::uint32_t minHoldsToDenyLease = 2;
/// Unanswered holds in a row after which a worker gets no new tasks. They follow one another at
/// short intervals, and a few may be lost on their way.
constexpr std::uint32_t minHoldsToSuspect = 3;
/// Unanswered holds in a row that show that a worker is unreachable. One may be lost on its way.
constexpr std::uint32_t minUnansweredHolds = 2;

} // namespace

RunSupervisor::Worker &RunSupervisor::findOrAddWorker(const WorkerId &id)
{
    const auto [place, isNew] = workers_.try_emplace(id);
    if (isNew) {
        place->second.heartbeat.id = id;
        place->second.leasesExpireAt = inheritedLeasesExpireAt_;
    }
    return place->second;
}

WorkerEndpoint RunSupervisor::endpointOf(const Worker &worker)
{
    return {worker.heartbeat.id, worker.heartbeat.incarnation, worker.heartbeat.address};
}

/// Returns the process of the worker that was heard; before that, the newest process on which a run
/// was placed, if there is one.
std::optional<Incarnation> RunSupervisor::newestIncarnation(const Worker &worker) const
{
    if (worker.hasIncarnation) {
        return worker.heartbeat.incarnation;
    }
    std::optional<Incarnation> newest;
    for (const TaskRef &task : worker.runs) {
        const Incarnation &placed = runs_.at(task).placement.incarnation;
        if (!newest || isNewer(placed, *newest)) {
            newest = placed;
        }
    }
    return newest;
}

void RunSupervisor::onHeartbeat(const WorkerHeartbeat &heartbeat, MonotonicTime now)
{
    Worker &worker = findOrAddWorker(heartbeat.id);
    const std::optional<Incarnation> newest = newestIncarnation(worker);
    const bool isRepeated = worker.hasHeartbeat
        && worker.heartbeat.incarnation == heartbeat.incarnation
        && heartbeat.sequence <= worker.heartbeat.sequence;
    if (isRepeated || (newest && isNewer(*newest, heartbeat.incarnation))) {
        logInfo("worker.late_heartbeat",
            {{"worker", heartbeat.id.value()}, {"incarnation", heartbeat.incarnation.value()},
                {"current", newest->value()}, {"sequence", heartbeat.sequence}});
        return;
    }
    if (!worker.hasIncarnation || worker.heartbeat.incarnation != heartbeat.incarnation) {
        replaceIncarnation(worker, heartbeat, now);
    }
    if (worker.heartbeat.draining != heartbeat.draining) {
        logInfo("worker.draining",
            {{"worker", heartbeat.id.value()}, {"draining", heartbeat.draining},
                {"remaining_ms", static_cast<std::uint64_t>(heartbeat.remaining.count())}});
    }
    if (worker.leavesAt && !worker.isFarewellNamed) {
        // The farewell may have been that of an earlier process, and late.
        logInfo("worker.stays", {{"worker", heartbeat.id.value()}});
        worker.leavesAt.reset();
    }
    worker.heartbeat = heartbeat;
    worker.hasHeartbeat = true;
    worker.lastHeartbeatAt = now;
    if (!heartbeat.draining) {
        worker.drainEndsAt.reset();
    } else if (heartbeat.remaining > Milliseconds {0}) {
        worker.drainEndsAt = now + heartbeat.remaining;
    }
    if (heartbeat.clock) {
        worker.clock.recordReading(*heartbeat.clock, now);
    }
    updateFleet(worker, now);
    hold(heartbeat.id, worker, now);
}

std::vector<WorkerHeartbeat> RunSupervisor::callableWorkers() const
{
    std::vector<WorkerHeartbeat> heartbeats;
    for (const std::pair<const WorkerId, Worker> &entry : workers_) {
        if (entry.second.hasHeartbeat && !entry.second.leavesAt) {
            heartbeats.push_back(entry.second.heartbeat);
            // A clock reading is useless once it is old, and the next heartbeat brings a new one.
            heartbeats.back().clock.reset();
        }
    }
    return heartbeats;
}

/// Replaces the worker's process by a newer one. An order to the earlier process may have reached
/// the new one, so the runs take up room until the new process has reported.
void RunSupervisor::replaceIncarnation(
    Worker &worker, const WorkerHeartbeat &heartbeat, MonotonicTime now)
{
    logInfo("worker.heard",
        {{"worker", heartbeat.id.value()}, {"incarnation", heartbeat.incarnation.value()},
            {"ip", heartbeat.address.ip}, {"port", std::uint64_t {heartbeat.address.port}}});
    for (const TaskRef &task : worker.runs) {
        Run &run = runs_.at(task);
        if (run.stage != Stage::Reserved && run.placement.incarnation != heartbeat.incarnation) {
            run.placement.incarnation = heartbeat.incarnation;
            run.stage = Stage::Adopted;
            run.confirmedAt.reset();
            run.deadline.reset();
            run.firstOrderAt = {};
            run.isOrderPending = false;
            run.wasListed = false;
        }
    }
    if (worker.hasIncarnation) {
        parts_.link.forget(endpointOf(worker));
    }
    worker.clock = {};
    worker.leasesExpireAt =
        worker.hasIncarnation ? now + maxLeaseLifetime() : inheritedLeasesExpireAt_;
    worker.answeredHoldSentAt = {};
    worker.unansweredHoldCount = 0;
    worker.isAnswering = false;
    worker.failsFast = false;
    worker.lastRecordedEnd = {};
    worker.acknowledgedEnd = {};
    worker.isHoldPending = false;
    worker.nextHoldAt = now;
    worker.drainEndsAt.reset();
    worker.leavesAt.reset();
    answerFarewells(worker, FarewellOutcome::RunsLeft);
    worker.refusalCount = 0;
    worker.backoffUntil = {};
    health_.forget(heartbeat.id);
    observer_.onWorkerReplaced(heartbeat.id, worker.runs);
    worker.heartbeat = heartbeat;
    worker.hasHeartbeat = false;
    worker.hasIncarnation = true;
    recoverySteps_.reach(RecoveryStep::WorkerHeard, now);
}

/// Ends the runs of an incarnation: another process has answered at its address. That says nothing
/// about a worker that was heard at another address since.
void RunSupervisor::onIncarnationGone(const WorkerEndpoint &called)
{
    const WorkerId &id = called.id;
    const Incarnation &incarnation = called.incarnation;
    const auto it = workers_.find(id);
    if (it == workers_.end()) {
        return;
    }
    if (it->second.heartbeat.address != called.address) {
        logInfo("worker.moved",
            {{"worker", id.value()}, {"incarnation", incarnation.value()},
                {"called_ip", called.address.ip}, {"ip", it->second.heartbeat.address.ip}});
        return;
    }
    std::vector<EndedRun> lost;
    for (const TaskRef &task : it->second.runs) {
        const Run &run = runs_.at(task);
        if (run.stage != Stage::Reserved && run.placement.incarnation == incarnation) {
            lost.push_back(makeEnd(run, RunEnd::Lost));
        }
    }
    if (it->second.hasIncarnation && it->second.heartbeat.incarnation == incarnation
        && !it->second.leavesAt) {
        logWarning("worker.gone", {{"worker", id.value()}, {"incarnation", incarnation.value()}});
        it->second.leavesAt = now_;
        it->second.isFarewellNamed = true;
        updateFleet(it->second, now_);
    }
    recordInferredEnds(lost, EndReason::IncarnationGone);
}

/// Returns whether the worker did not answer although this VM has ticked without gaps. An expired
/// lease proves that a run has ended but not how: a reachable worker still lists its end.
bool RunSupervisor::isUnreachable(const Worker &worker, MonotonicTime now) const
{
    if (!worker.hasIncarnation) {
        return now - tickingSince_ >= parts_.times.unresponsiveTimeout;
    }
    const MonotonicTime since = std::max(worker.unansweredSince, tickingSince_);
    return worker.unansweredHoldCount >= minUnansweredHolds
        && worker.earlierUnansweredHoldSentAt >= tickingSince_
        && now - since >= parts_.times.unresponsiveTimeout;
}

bool RunSupervisor::isAvailable(const Worker &worker, MonotonicTime now) const
{
    const bool areFailuresCommon =
        fastFailureCount_ * minWorkersPerFastFailure > workers_.size() && worker.failsFast;
    return worker.hasIncarnation
        && (worker.unansweredHoldCount < minHoldsToSuspect || areFailuresCommon)
        && worker.answeredHoldSentAt != MonotonicTime {}
    && now - worker.answeredHoldSentAt <= parts_.times.unresponsiveTimeout
        && now >= worker.backoffUntil;
}

void RunSupervisor::countFailingWorkers()
{
    fastFailureCount_ = 0;
    refusingCount_ = 0;
    for (const std::pair<const WorkerId, Worker> &entry : workers_) {
        const Worker &worker = entry.second;
        fastFailureCount_ += worker.unansweredHoldCount > 0 && worker.failsFast ? 1 : 0;
        refusingCount_ += worker.refusalCount > 0 ? 1 : 0;
    }
}

bool RunSupervisor::mayBeginRuns(const Worker &worker) const
{
    const WorkerHeartbeat &heartbeat = worker.heartbeat;
    return worker.hasHeartbeat && !worker.leavesAt && !heartbeat.draining
        && !parts_.state.isLeaving(heartbeat.id, heartbeat.incarnation);
}

bool RunSupervisor::isOpen(const Worker &worker, MonotonicTime now) const
{
    return isAvailable(worker, now) && mayBeginRuns(worker)
        && health_.isUsable(worker.heartbeat.id, workers_.size(), now);
}

void RunSupervisor::updateFleet(const Worker &worker, MonotonicTime now)
{
    const WorkerHeartbeat &heartbeat = worker.heartbeat;
    FleetWorker entry;
    entry.id = heartbeat.id;
    entry.incarnation = heartbeat.incarnation;
    entry.service = heartbeat.service;
    entry.capacity = heartbeat.capacity;
    entry.rack = heartbeat.rack;
    entry.labels = heartbeat.labels;
    entry.isOpen = isOpen(worker, now);
    fleet_.setWorker(entry);
}

/// Returns whether the worker may get leases. One that does not answer or is leaving gets none, so
/// that the leases of its runs expire.
bool RunSupervisor::canGetLease(const Worker &worker, MonotonicTime now) const
{
    const bool hasAnsweredLately = worker.answeredHoldSentAt != MonotonicTime {}
        && now - worker.answeredHoldSentAt <= parts_.times.leaseGrantTimeout;
    return !worker.leavesAt
        && (worker.unansweredHoldCount < minHoldsToDenyLease || hasAnsweredLately);
}

/// Returns a lease deadline on the worker's clock and extends `leasesExpireAt`. Returns nothing
/// before the first clock reading.
std::optional<WorkerTime> RunSupervisor::grantLease(Worker &worker, MonotonicTime now)
{
    const std::optional<WorkerTime> deadline =
        worker.clock.deadlineAfter(parts_.times.leaseDuration, now);
    if (deadline) {
        worker.leasesExpireAt = std::max(
            worker.leasesExpireAt, worker.clock.latestExpiry(*deadline) + parts_.times.leaseMargin);
    }
    return deadline;
}

void RunSupervisor::tickWorker(const WorkerId &id, Worker &worker, MonotonicTime now)
{
    fleet_.setOpen(id, isOpen(worker, now));
    if (worker.hasIncarnation && !worker.isHoldPending && now >= worker.nextHoldAt) {
        hold(id, worker, now);
    }
    stopRuns(worker, now);
    if (now >= worker.leasesExpireAt && isUnreachable(worker, now)) {
        std::vector<EndedRun> lost;
        for (const TaskRef &task : worker.runs) {
            const Run &run = runs_.at(task);
            if (run.stage != Stage::Reserved) {
                lost.push_back(makeEnd(run, RunEnd::Lost));
            }
        }
        recordInferredEnds(lost, EndReason::LeasePassed);
    }
    const bool hasDeparted = worker.leavesAt && now >= *worker.leavesAt;
    const bool shouldForget = worker.hasIncarnation && worker.runs.empty() && !worker.isHoldPending
        && (hasDeparted || now - worker.lastHeartbeatAt > silentWorkerTimeout);
    if (hasEndedRuns(worker)) {
        answerFarewells(worker, FarewellOutcome::RunsEnded);
    } else if (shouldForget || now >= worker.farewellDeadline) {
        answerFarewells(worker, FarewellOutcome::RunsLeft);
    }
    if (shouldForget) {
        parts_.link.forget(endpointOf(worker));
        fleet_.remove(id);
        workers_.erase(id);
    }
}

} // namespace crocusmill
