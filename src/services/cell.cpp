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
        takeReport(record, report, reply);
    }
    takeAbsent(announcement, reported, reply);
    return reply;
}

bool Cell::mayRun(const WorkerId &worker, const TaskReport &report) const
{
    const auto found = state_.jobs().find(report.job);
    if (found == state_.jobs().end() || report.task >= found->second.tasks.size()) {
        return false;
    }
    const TaskRecord &task = found->second.tasks[report.task];
    return task.state == TaskState::Placed && task.attempt == report.attempt
        && task.worker == worker;
}

void Cell::takeReport(WorkerRecord &record, const TaskReport &report, WorkerReply &reply)
{
    const TaskKey key {report.job, report.task};
    const bool current = mayRun(record.announcement.id, report);
    if (current && report.state != TaskReportState::Running) {
        if (!ending_.contains(key)) {
            judge(record, report.state);
        }
        const bool succeeded = report.state == TaskReportState::Succeeded;
        endTask(report.job, report.task, report.attempt,
            succeeded ? TaskEnd::Succeeded : TaskEnd::Failed);
        return;
    }
    const bool stops =
        !current || preempted_.contains(key) || state_.jobs().at(report.job).cancelled;
    if (stops) {
        TaskOrder stop;
        stop.job = report.job;
        stop.task = report.task;
        stop.attempt = report.attempt;
        reply.stop.push_back(stop);
        return;
    }
    reply.renew.push_back(orderFor(state_.jobs().at(report.job), report.task));
}

void Cell::takeAbsent(
    const WorkerAnnouncement &announcement, const std::set<TaskKey> &reported, WorkerReply &reply)
{
    std::vector<std::pair<TaskKey, TaskEnd>> stopped;
    for (const std::pair<const TaskKey, Reservation> &known : reservations_) {
        const auto job = state_.jobs().find(known.first.first);
        if (known.second.worker != announcement.id || reported.contains(known.first)
            || job == state_.jobs().end()) {
            continue;
        }
        const TaskRecord &task = job->second.tasks[known.first.second];
        if (task.state != TaskState::Placed || task.incarnation != announcement.incarnation) {
            continue;
        }
        if (job->second.cancelled || preempted_.contains(known.first)) {
            const bool cancelled = job->second.cancelled;
            stopped.emplace_back(known.first, cancelled ? TaskEnd::Lost : TaskEnd::Preempted);
        } else {
            reply.start.push_back(orderFor(job->second, known.first.second));
        }
    }
    for (const std::pair<TaskKey, TaskEnd> &task : stopped) {
        endTask(
            task.first.first, task.first.second, reservations_.at(task.first).attempt, task.second);
    }
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
    preempted_.erase(key);
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
        if (job.spec.urgent && result.obstacle == PlacementObstacle::NoRoom && preempted_.empty()) {
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

bool Cell::isPreemptible(const TaskKey &key, const Reservation &held) const
{
    const auto job = state_.jobs().find(key.first);
    return job != state_.jobs().end() && !job->second.spec.urgent
        && held.jobClass == JobClass::Batch && !ending_.contains(key) && !preempted_.contains(key);
}

std::map<WorkerId, TaskSize> Cell::preemptible() const
{
    std::map<WorkerId, TaskSize> rooms;
    for (const std::pair<const TaskKey, Reservation> &known : reservations_) {
        if (isPreemptible(known.first, known.second)) {
            addSize(rooms[known.second.worker], known.second.size);
        }
    }
    return rooms;
}

void Cell::preemptFor(const Job &urgent)
{
    const TaskSize &needed = urgent.spec.size;
    for (const std::pair<const WorkerId, TaskSize> &worker : preemptible()) {
        TaskSize room = placement_.freeOn(worker.first);
        TaskSize most = room;
        addSize(most, worker.second);
        if (!covers(most, needed)) {
            continue;
        }
        for (const std::pair<const TaskKey, Reservation> &known : reservations_) {
            if (covers(room, needed)) {
                break;
            }
            if (known.second.worker == worker.first && isPreemptible(known.first, known.second)) {
                preempted_.insert(known.first);
                addSize(room, known.second.size);
            }
        }
        return;
    }
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
