/// Scheduling of the cell.

#include "src/services/cell.h"

#include "src/net/log.h"

#include <boost/json.hpp>

#include <algorithm>

namespace crocusmill
{

namespace
{

/// Tasks placed by one record of the journal.
constexpr std::size_t placementsPerRecord = 256;
/// A worker that fails this many tasks in a row gets no more.
constexpr std::uint32_t failuresToQuarantine = 5;

PlacementJob asPlacementJob(const JobId &id, const Job &job)
{
    PlacementJob wanted;
    wanted.id = id;
    wanted.jobClass = job.spec.jobClass;
    wanted.urgent = job.spec.urgent;
    wanted.size = job.spec.size;
    for (std::uint32_t task = 0; task < job.tasks.size(); ++task) {
        if (job.tasks[task].state == TaskState::Waiting) {
            wanted.waiting.push_back(task);
        }
    }
    return wanted;
}

} // namespace

Cell::Cell(const TimeSettings &times, const StateMachine &state, Propose propose, MonotonicTime now)
    : times_(times)
    , state_(state)
    , propose_(std::move(propose))
    , graceEnds_(now + times.exclusiveLease + times.slots.driftMargin)
{
}

void Cell::updateWorker(const WorkerRecord &record)
{
    const WorkerAnnouncement &announcement = record.announcement;
    PlacementWorker worker;
    worker.id = announcement.id;
    worker.zone = announcement.zone;
    worker.rack = announcement.rack;
    worker.incarnation = announcement.incarnation;
    worker.capacity = announcement.capacity;
    worker.open = !record.lost && !announcement.draining && !draining_.contains(announcement.id)
        && !state_.quarantined().contains(announcement.id);
    placement_.setWorker(worker);
}

void Cell::takeOver()
{
    for (const std::pair<const JobId, Job> &known : state_.jobs()) {
        const Job &job = known.second;
        for (std::uint32_t task = 0; task < job.tasks.size(); ++task) {
            const TaskRecord &record = job.tasks[task];
            const TaskKey key {known.first, task};
            if (record.state != TaskState::Placed || reservations_.contains(key)) {
                continue;
            }
            reservations_[key] = {record.worker, record.attempt, job.spec.jobClass, job.spec.size};
            placement_.reserve(record.worker, known.first, job.spec.jobClass, job.spec.size);
            if (!workers_.contains(record.worker)) {
                workers_[record.worker].heard = graceEnds_;
                workers_[record.worker].announcement.id = record.worker;
            }
        }
    }
}

TaskOrder Cell::orderFor(const Job &job, std::uint32_t task) const
{
    return {job.spec.job, task, job.tasks[task].attempt, job.spec.size, job.spec.command,
        times_.exclusiveLease};
}

void Cell::judge(WorkerRecord &record, TaskReportState state)
{
    if (state == TaskReportState::Succeeded) {
        record.failuresInRow = 0;
        return;
    }
    if (++record.failuresInRow != failuresToQuarantine) {
        return;
    }
    logWarning("cell.worker_quarantined", {{"worker", record.announcement.id.value()}});
    propose_(QuarantineWorker {record.announcement.id, true},
        [this, id = record.announcement.id](
            const Result<ApplyReply> & /*reply*/) { updateWorker(workers_[id]); });
}

WorkerReply Cell::announced(const WorkerAnnouncement &announcement, MonotonicTime now)
{
    WorkerRecord &record = workers_[announcement.id];
    const bool restarted = record.announcement.incarnation != Incarnation {}
        && record.announcement.incarnation != announcement.incarnation;
    record.announcement = announcement;
    record.heard = now;
    record.lost = false;
    updateWorker(record);
    if (restarted) {
        record.failuresInRow = 0;
        loseWorker(announcement.id);
    }
    WorkerReply reply;
    std::set<TaskKey> reported;
    for (const TaskReport &report : announcement.tasks) {
        reported.insert({report.job, report.task});
        const auto found = state_.jobs().find(report.job);
        const bool current = found != state_.jobs().end()
            && report.task < found->second.tasks.size()
            && found->second.tasks[report.task].state == TaskState::Placed
            && found->second.tasks[report.task].attempt == report.attempt
            && found->second.tasks[report.task].worker == announcement.id;
        if (!current || found->second.cancelled) {
            TaskOrder stop;
            stop.job = report.job;
            stop.task = report.task;
            stop.attempt = report.attempt;
            reply.stop.push_back(stop);
            if (current && report.state != TaskReportState::Running) {
                endTask(report.job, report.task, report.attempt, TaskEnd::Failed);
            }
        } else if (report.state == TaskReportState::Running) {
            reply.renew.push_back(orderFor(found->second, report.task));
        } else if (!ending_.contains({report.job, report.task})) {
            judge(record, report.state);
            const bool succeeded = report.state == TaskReportState::Succeeded;
            endTask(report.job, report.task, report.attempt,
                succeeded ? TaskEnd::Succeeded : TaskEnd::Failed);
        }
    }
    for (const std::pair<const TaskKey, Reservation> &known : reservations_) {
        if (known.second.worker != announcement.id || reported.contains(known.first)) {
            continue;
        }
        const auto job = state_.jobs().find(known.first.first);
        if (job == state_.jobs().end()) {
            continue;
        }
        const TaskRecord &task = job->second.tasks[known.first.second];
        if (task.state == TaskState::Placed && task.incarnation == announcement.incarnation) {
            reply.start.push_back(orderFor(job->second, known.first.second));
        }
    }
    return reply;
}

void Cell::endTask(const JobId &job, std::uint32_t task, std::uint32_t attempt, TaskEnd end)
{
    const TaskKey key {job, task};
    if (!ending_.insert(key).second) {
        return;
    }
    propose_(
        EndTask {job, task, attempt, end}, [this, key, attempt](const Result<ApplyReply> &reply) {
            ending_.erase(key);
            if (reply) {
                releaseReservation(key, attempt);
            }
        });
}

void Cell::releaseReservation(const TaskKey &key, std::uint32_t attempt)
{
    const auto found = reservations_.find(key);
    if (found == reservations_.end() || found->second.attempt != attempt) {
        return;
    }
    const Reservation &held = found->second;
    placement_.release(held.worker, key.first, held.jobClass, held.size);
    reservations_.erase(found);
}

void Cell::loseWorker(const WorkerId &worker)
{
    std::vector<std::pair<TaskKey, std::uint32_t>> lost;
    for (const std::pair<const TaskKey, Reservation> &known : reservations_) {
        if (known.second.worker == worker) {
            lost.emplace_back(known.first, known.second.attempt);
        }
    }
    for (const std::pair<TaskKey, std::uint32_t> &task : lost) {
        endTask(task.first.first, task.first.second, task.second, TaskEnd::Lost);
    }
}

void Cell::sweep(MonotonicTime now)
{
    if (now < graceEnds_) {
        return;
    }
    takeOver();
    // Leases are counted by the worker from its announcement, by this side from the reply.
    const Milliseconds life = times_.exclusiveLease + times_.slots.driftMargin;
    for (std::pair<const WorkerId, WorkerRecord> &known : workers_) {
        if (now - known.second.heard > life && !known.second.lost) {
            known.second.lost = true;
            placement_.removeWorker(known.first);
            logWarning("cell.worker_lost", {{"worker", known.first.value()}});
        }
        if (known.second.lost) {
            loseWorker(known.first);
        }
    }
    for (const bool urgent : {true, false}) {
        for (const std::pair<const JobId, Job> &known : state_.jobs()) {
            if (known.second.spec.urgent == urgent && !known.second.cancelled
                && !placing_.contains(known.first)) {
                placeJob(known.first, known.second);
            }
        }
    }
}

void Cell::placeJob(const JobId &id, const Job &job)
{
    PlacementJob wanted = asPlacementJob(id, job);
    if (wanted.waiting.empty()) {
        return;
    }
    const PlacementResult result = placement_.place(wanted, placementsPerRecord);
    if (result.chosen.empty()) {
        if (job.spec.urgent && result.obstacle == PlacementObstacle::NoRoom) {
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
        reservations_[{id, chosen.task}] = {
            chosen.worker, attempt, job.spec.jobClass, job.spec.size};
    }
    placing_.insert(id);
    propose_(command, [this, id, command](const Result<ApplyReply> &reply) {
        placing_.erase(id);
        const bool refused = reply && reply.value().error != StateError::None;
        if (!refused) {
            return; // unknown outcomes are settled by takeOver() of the next leader
        }
        for (const TaskPlacement &placement : command.placements) {
            releaseReservation({id, placement.task}, placement.attempt);
        }
    });
}

bool Cell::preemptFor(const Job &urgent)
{
    // The worker where the least has to stop, among tasks that are neither urgent nor services.
    std::map<WorkerId, TaskSize> freeable;
    for (const std::pair<const TaskKey, Reservation> &known : reservations_) {
        const auto job = state_.jobs().find(known.first.first);
        const bool victim = job != state_.jobs().end() && !job->second.spec.urgent
            && known.second.jobClass == JobClass::Batch && !ending_.contains(known.first);
        if (!victim) {
            continue;
        }
        TaskSize &room = freeable[known.second.worker];
        room.milliCores += known.second.size.milliCores;
        room.memory = ByteCount {room.memory.value() + known.second.size.memory.value()};
    }
    for (const std::pair<const WorkerId, TaskSize> &worker : freeable) {
        TaskSize room = placement_.freeOn(worker.first);
        const TaskSize &needed = urgent.spec.size;
        const bool enough = room.milliCores + worker.second.milliCores >= needed.milliCores
            && room.memory.value() + worker.second.memory.value() >= needed.memory.value();
        if (!enough) {
            continue;
        }
        std::vector<TaskKey> victims;
        for (const std::pair<const TaskKey, Reservation> &known : reservations_) {
            const bool here = known.second.worker == worker.first
                && known.second.jobClass == JobClass::Batch && !ending_.contains(known.first);
            const bool covered = room.milliCores >= needed.milliCores
                && room.memory.value() >= needed.memory.value();
            const auto job = state_.jobs().find(known.first.first);
            if (!here || covered || job == state_.jobs().end() || job->second.spec.urgent) {
                continue;
            }
            victims.push_back(known.first);
            room.milliCores += known.second.size.milliCores;
            room.memory = ByteCount {room.memory.value() + known.second.size.memory.value()};
        }
        for (const TaskKey &key : victims) {
            endTask(key.first, key.second, reservations_.at(key).attempt, TaskEnd::Preempted);
        }
        return true;
    }
    return false;
}

PlacementObstacle Cell::feasible(const SubmitJob &job) const
{
    PlacementJob wanted;
    wanted.id = job.job;
    wanted.jobClass = job.jobClass;
    wanted.size = job.size;
    wanted.waiting.resize(job.tasks);
    return placement_.feasible(wanted);
}

void Cell::drain(const WorkerId &worker)
{
    draining_.insert(worker);
    const auto found = workers_.find(worker);
    if (found != workers_.end()) {
        updateWorker(found->second);
    }
}

std::string Cell::describeWorkers() const
{
    boost::json::array list;
    for (const std::pair<const WorkerId, WorkerRecord> &known : workers_) {
        const WorkerAnnouncement &announcement = known.second.announcement;
        const TaskSize free = placement_.freeOn(known.first);
        list.push_back(boost::json::object {{"id", known.first.value()},
            {"availability_zone", announcement.zone.value()}, {"rack", announcement.rack.value()},
            {"state",
                known.second.lost           ? "lost"
                    : announcement.draining ? "draining"
                                            : "serving"},
            {"quarantined", state_.quarantined().contains(known.first)},
            {"tasks", announcement.tasks.size()}, {"free_millicores", free.milliCores},
            {"free_memory_bytes", free.memory.value()}});
    }
    return boost::json::serialize(list);
}

} // namespace crocusmill
