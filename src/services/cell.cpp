/// Cell scheduling: placement of tasks and preemption.

#include "src/services/cell.h"

#include <algorithm>

namespace crocusmill
{

namespace
{

/// Limit of tasks placed by one journal record.
constexpr std::size_t maxPlacementsPerRecord = 256;

PlacementJob asPlacementJob(const JobId &id, const Job &job)
{
    PlacementJob placementJob;
    placementJob.id = id;
    placementJob.jobClass = job.spec.jobClass;
    placementJob.urgent = job.spec.urgent;
    placementJob.size = job.spec.size;
    for (std::uint32_t task = 0; task < job.tasks.size(); ++task) {
        if (job.tasks[task].state == TaskState::Waiting) {
            placementJob.waiting.push_back(task);
        }
    }
    return placementJob;
}

void addSize(TaskSize &sum, const TaskSize &size)
{
    sum.milliCores += size.milliCores;
    sum.memory = ByteCount {sum.memory.value() + size.memory.value()};
    sum.accelerators += size.accelerators;
}

bool covers(const TaskSize &room, const TaskSize &size)
{
    return room.milliCores >= size.milliCores && room.memory.value() >= size.memory.value()
        && room.accelerators >= size.accelerators;
}

} // namespace

Cell::Cell(const TimeSettings &times, const StateMachine &state, Propose propose, MonotonicTime now)
    : times_(times)
    , state_(state)
    , propose_(std::move(propose))
    , graceEndsAt_(now + maxLeaseDuration())
{
}

void Cell::reserve(const TaskKey &key, const Reservation &reservation)
{
    reservations_[key] = reservation;
    tasksOn_[reservation.worker].insert(key);
}

/// Takes over recorded placements. Once is enough: a replica leads only after it has applied every
/// placement of earlier terms.
void Cell::takeOver()
{
    if (std::exchange(hasTakenOver_, true)) {
        return;
    }
    for (const std::pair<const JobId, CopyOnWrite<Job>> &entry : state_.jobs()) {
        const Job &job = *entry.second;
        for (std::uint32_t task = 0; task < job.tasks.size() && job.placed > 0; ++task) {
            const TaskRecord &record = job.tasks[task];
            if (record.state != TaskState::Placed) {
                continue;
            }
            reserve({entry.first, task},
                {record.worker, record.attempt, job.spec.jobClass, job.spec.size});
            placement_.reserve(record.worker, entry.first, job.spec.jobClass, job.spec.size);
            if (!workers_.contains(record.worker)) {
                workers_[record.worker].heardAt = graceEndsAt_;
                workers_[record.worker].announcement.id = record.worker;
            }
        }
    }
}

void Cell::sweep(MonotonicTime now, WallTime wall)
{
    if (now < graceEndsAt_) {
        return;
    }
    wall_ = wall;
    takeOver();
    retryProposals();
    sweepWorkers(now);
    // Copied, as a placement may be applied at once and change the set of waiting jobs.
    const std::set<JobId> waiting = state_.waitingJobs();
    for (const bool urgent : {true, false}) {
        for (const JobId &id : waiting) {
            const Job &job = *state_.jobs().at(id);
            if (job.spec.urgent == urgent && !job.cancelled && !placingJobs_.contains(id)) {
                placeJob(id, job);
            }
        }
    }
}

void Cell::placeJob(const JobId &id, const Job &job)
{
    PlacementJob placementJob = asPlacementJob(id, job);
    if (placementJob.waiting.empty()) {
        return;
    }
    const PlacementResult result = placement_.place(placementJob, maxPlacementsPerRecord);
    if (result.chosen.empty()) {
        if (job.spec.urgent && result.obstacle == PlacementObstacle::NoRoom
            && preemptedTasks_.empty()) {
            preemptFor(job);
        }
        return;
    }
    propose(id, job, result);
}

void Cell::propose(const JobId &id, const Job &job, const PlacementResult &result)
{
    PlaceTasks command;
    command.job = id;
    for (const ChosenWorker &chosen : result.chosen) {
        const std::uint32_t attempt = job.tasks[chosen.task].attempt + 1;
        command.placements.push_back({chosen.task, attempt, chosen.worker, chosen.incarnation});
        reserve({id, chosen.task}, {chosen.worker, attempt, job.spec.jobClass, job.spec.size});
    }
    placingJobs_.insert(id);
    proposePlacement(command);
}

void Cell::proposePlacement(const PlaceTasks &command)
{
    propose_(command, [this, command](const Result<ApplyReply> &reply) {
        if (!reply) {
            unconfirmedPlacements_.push_back(command);
            return;
        }
        placingJobs_.erase(command.job);
        for (const TaskPlacement &placement : command.placements) {
            if (!isRecorded(command.job, placement)) {
                releaseReservation({command.job, placement.task}, placement.attempt);
            }
        }
    });
}

bool Cell::isRecorded(const JobId &id, const TaskPlacement &placement) const
{
    const auto job = state_.jobs().find(id);
    if (job == state_.jobs().end()) {
        return false;
    }
    const TaskRecord &task = job->second->tasks[placement.task];
    return task.attempt == placement.attempt && task.worker == placement.worker;
}

/// The journal applies proposals in order, so the reply to the second proposal also reveals the
/// outcome of the first.
void Cell::retryProposals()
{
    for (const EndTask &command : std::exchange(unconfirmedEnds_, {})) {
        proposeEnd(command);
    }
    for (const PlaceTasks &command : std::exchange(unconfirmedPlacements_, {})) {
        proposePlacement(command);
    }
}

bool Cell::isPreemptible(const TaskKey &key, const Reservation &held) const
{
    const auto job = state_.jobs().find(key.first);
    return job != state_.jobs().end() && !job->second->spec.urgent
        && held.jobClass == JobClass::Batch && !endingTasks_.contains(key)
        && !preemptedTasks_.contains(key);
}

std::map<WorkerId, TaskSize> Cell::preemptible() const
{
    std::map<WorkerId, TaskSize> preemptibleSizes;
    for (const std::pair<const TaskKey, Reservation> &entry : reservations_) {
        if (isPreemptible(entry.first, entry.second)) {
            addSize(preemptibleSizes[entry.second.worker], entry.second.size);
        }
    }
    return preemptibleSizes;
}

void Cell::preemptFor(const Job &urgentJob)
{
    const TaskSize &needed = urgentJob.spec.size;
    for (const std::pair<const WorkerId, TaskSize> &worker : preemptible()) {
        TaskSize room = placement_.freeOn(worker.first);
        TaskSize attainable = room;
        addSize(attainable, worker.second);
        if (!covers(attainable, needed)) {
            continue;
        }
        for (const TaskKey &key : tasksOn_.at(worker.first)) {
            if (covers(room, needed)) {
                break;
            }
            const Reservation &held = reservations_.at(key);
            if (isPreemptible(key, held)) {
                preemptedTasks_.insert(key);
                addSize(room, held.size);
            }
        }
        return;
    }
}

PlacementObstacle Cell::feasible(const SubmitJob &job) const
{
    PlacementJob placementJob;
    placementJob.id = job.job;
    placementJob.jobClass = job.jobClass;
    placementJob.size = job.size;
    placementJob.waiting.resize(job.tasks);
    return placement_.feasible(placementJob);
}

} // namespace crocusmill
