/// Workers: heard, trusted, gone.

#include "src/net/log.h"
#include "src/services/runsupervisor.h"

#include <algorithm>

namespace crocusmill
{

namespace
{

/// A worker that was not heard this long, and has no runs, is dropped from the list.
constexpr Milliseconds silentWorkerKept {60'000};

} // namespace

RunSupervisor::Worker &RunSupervisor::workerOf(const WorkerId &id)
{
    const auto [place, isNew] = workers_.try_emplace(id);
    if (isNew) {
        place->second.heartbeat.id = id;
        place->second.leaseOver = inheritedLeases_;
    }
    return place->second;
}

WorkerEndpoint RunSupervisor::endpointOf(const Worker &worker)
{
    return {worker.heartbeat.id, worker.heartbeat.incarnation, worker.heartbeat.address};
}

void RunSupervisor::heard(const WorkerHeartbeat &heartbeat, MonotonicTime now)
{
    Worker &worker = workerOf(heartbeat.id);
    if (worker.known) {
        const Incarnation &current = worker.heartbeat.incarnation;
        const bool late = isNewer(current, heartbeat.incarnation)
            || (current == heartbeat.incarnation
                && heartbeat.sequence <= worker.heartbeat.sequence);
        if (late) {
            logInfo("worker.late_heartbeat",
                {{"worker", heartbeat.id.value()}, {"incarnation", heartbeat.incarnation.value()},
                    {"current", current.value()}, {"sequence", heartbeat.sequence}});
            return;
        }
    }
    if (!worker.known || worker.heartbeat.incarnation != heartbeat.incarnation) {
        replaceIncarnation(worker, heartbeat, now);
    }
    if (worker.heartbeat.draining != heartbeat.draining) {
        logInfo("worker.draining",
            {{"worker", heartbeat.id.value()}, {"draining", heartbeat.draining},
                {"remaining_ms", static_cast<std::uint64_t>(heartbeat.remaining.count())}});
    }
    worker.heartbeat = heartbeat;
    worker.heard = now;
    if (heartbeat.clock) {
        worker.clock.recordReading(*heartbeat.clock, now);
    }
    updateFleet(worker, now);
    hold(heartbeat.id, worker, now);
}

std::vector<WorkerHeartbeat> RunSupervisor::heardLately() const
{
    std::vector<WorkerHeartbeat> heartbeats;
    for (const std::pair<const WorkerId, Worker> &known : workers_) {
        if (known.second.known && !known.second.leavesAt) {
            heartbeats.push_back(known.second.heartbeat);
            // Its clock's reading is of no use later, and its next heartbeat is a newer one.
            heartbeats.back().clock.reset();
        }
    }
    return heartbeats;
}

/// The earlier process is gone. An order that was on its way to it may have reached the new one,
/// so its runs count until the new one is asked.
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
            run.settledAt.reset();
            run.deadline.reset();
            run.ordering = false;
        }
    }
    if (worker.known) {
        parts_.link.forget(endpointOf(worker));
    }
    worker.clock = {};
    worker.leaseOver = worker.known ? now + longestLease() : inheritedLeases_;
    worker.answered = {};
    worker.unanswered = 0;
    worker.answers = false;
    worker.recorded = {};
    worker.holding = false;
    worker.nextHold = now;
    worker.leavesAt.reset();
    worker.gone = false;
    worker.refusals = 0;
    worker.refusedUntil = {};
    health_.forget(heartbeat.id);
    worker.heartbeat = heartbeat;
    worker.known = true;
}

/// The process that answers at the worker's address is another one.
void RunSupervisor::incarnationGone(const WorkerId &id, const Incarnation &incarnation)
{
    const auto found = workers_.find(id);
    if (found == workers_.end()) {
        return;
    }
    std::vector<EndedRun> lost;
    for (const TaskRef &task : found->second.runs) {
        const Run &run = runs_.at(task);
        if (run.stage != Stage::Reserved && run.placement.incarnation == incarnation) {
            lost.push_back(overAs(run, RunEnd::Lost));
        }
    }
    if (found->second.known && found->second.heartbeat.incarnation == incarnation
        && !found->second.leavesAt) {
        logWarning("worker.gone", {{"worker", id.value()}, {"incarnation", incarnation.value()}});
        found->second.leavesAt = now_;
        updateFleet(found->second, now_);
    }
    endRuns(lost, OverBy::IncarnationGone);
}

void RunSupervisor::left(const WorkerId &worker, const Incarnation &incarnation, MonotonicTime now)
{
    const auto found = workers_.find(worker);
    const bool current = found != workers_.end()
        && (incarnation.value().empty() || found->second.heartbeat.incarnation == incarnation);
    if (!current) {
        return;
    }
    logInfo("worker.leaves",
        {{"worker", worker.value()}, {"runs", std::uint64_t {found->second.runs.size()}}});
    found->second.leavesAt = now + parts_.times.departure;
    updateFleet(found->second, now);
}

/// It was looked for since this VM can hear it. A lease that has passed proves that a run is over,
/// and not how it ended: a worker that can be reached still lists that.
bool RunSupervisor::isSilent(const Worker &worker, MonotonicTime now) const
{
    if (!worker.known) {
        return now - inStepSince_ >= parts_.times.trust;
    }
    return worker.unanswered > 0 && worker.askedInVain >= inStepSince_;
}

bool RunSupervisor::isTrusted(const Worker &worker, MonotonicTime now) const
{
    return worker.known && !worker.leavesAt && worker.unanswered == 0
        && worker.answered != MonotonicTime {} && now - worker.answered <= parts_.times.trust
        && now >= worker.refusedUntil;
}

bool RunSupervisor::isOpen(const Worker &worker, MonotonicTime now) const
{
    const WorkerHeartbeat &heartbeat = worker.heartbeat;
    return isTrusted(worker, now) && !heartbeat.draining
        && !parts_.state.isLeaving(heartbeat.id, heartbeat.incarnation)
        && health_.isUsable(heartbeat.id, workers_.size(), now);
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

/// A deadline for the worker, remembered as the longest that it may have been given.
std::optional<WorkerTime> RunSupervisor::lease(Worker &worker, MonotonicTime now)
{
    const std::optional<WorkerTime> deadline = worker.clock.deadlineAfter(parts_.times.lease, now);
    if (deadline) {
        worker.leaseOver = std::max(
            worker.leaseOver, worker.clock.latestExpiry(*deadline) + parts_.times.leaseMargin);
    }
    return deadline;
}

void RunSupervisor::tickWorker(const WorkerId &id, Worker &worker, MonotonicTime now)
{
    fleet_.setOpen(id, isOpen(worker, now));
    if (worker.known && !worker.holding && now >= worker.nextHold) {
        hold(id, worker, now);
    }
    // Its word that it leaves is no proof: without an acknowledgement it goes on for a while.
    const bool leaseOver = now >= worker.leaseOver && isSilent(worker, now);
    if (worker.gone || leaseOver) {
        std::vector<EndedRun> lost;
        for (const TaskRef &task : worker.runs) {
            const Run &run = runs_.at(task);
            if (run.stage != Stage::Reserved) {
                lost.push_back(overAs(run, RunEnd::Lost));
            }
        }
        endRuns(lost, worker.gone ? OverBy::WorkerLeft : OverBy::LeasePassed);
    }
    const bool departed = worker.leavesAt && now >= *worker.leavesAt;
    const bool forgotten = worker.known && worker.runs.empty() && !worker.holding
        && (departed || now - worker.heard > silentWorkerKept);
    if (forgotten) {
        parts_.link.forget(endpointOf(worker));
        fleet_.remove(id);
        workers_.erase(id);
    }
}

} // namespace crocusmill
