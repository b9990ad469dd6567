/// Scheduling of the cell: what workers say, what they are told, and when they count as lost.

#include "src/net/log.h"
#include "src/services/cell.h"

#include <boost/json.hpp>

#include <algorithm>

namespace crocusmill
{

namespace
{

/// A worker that fails this many tasks in a row gets no more.
constexpr std::uint32_t failuresToQuarantine = 5;
/// How long a lost worker stays in the lists of operators.
constexpr std::chrono::minutes lostWorkerShown {10};

} // namespace

void Cell::updateWorker(const WorkerRecord &record)
{
    const WorkerAnnouncement &announcement = record.announcement;
    PlacementWorker worker;
    worker.id = announcement.id;
    worker.zone = announcement.zone;
    worker.rack = announcement.rack;
    worker.incarnation = announcement.incarnation;
    worker.capacity = announcement.capacity;
    worker.isOpen = !record.lost && !announcement.draining
        && !state_.drainedWorkers().contains(announcement.id)
        && !state_.quarantinedWorkers().contains(announcement.id);
    placement_.setWorker(worker);
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

WorkerReply Cell::announced(
    const WorkerAnnouncement &announcement, MonotonicTime now, WallTime wall)
{
    wall_ = wall;
    WorkerRecord &record = workers_[announcement.id];
    if (record.announcement.incarnation != announcement.incarnation) {
        record.incarnationSince = now;
        record.settled = false;
        record.failuresInRow = 0;
    }
    record.announcement = announcement;
    record.heard = now;
    record.lost = false;
    updateWorker(record);
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
    if (found == state_.jobs().end() || report.task >= found->second->tasks.size()) {
        return false;
    }
    const TaskRecord &task = found->second->tasks[report.task];
    return task.state == TaskState::Placed && task.attempt == report.attempt
        && task.worker == worker;
}

void Cell::takeReport(WorkerRecord &record, const TaskReport &report, WorkerReply &reply)
{
    const TaskKey key {report.job, report.task};
    const bool current = mayRun(record.announcement.id, report);
    if (current && ending_.contains(key)) {
        return; // its end is decided: another lease would let it run beside its successor
    }
    if (current && report.state != TaskReportState::Running) {
        judge(record, report.state);
        const bool succeeded = report.state == TaskReportState::Succeeded;
        endTask(report.job, report.task, report.attempt,
            succeeded ? TaskEnd::Succeeded : TaskEnd::Failed);
        return;
    }
    const bool stops =
        !current || preempted_.contains(key) || state_.jobs().at(report.job)->cancelled;
    if (stops) {
        TaskOrder stop;
        stop.job = report.job;
        stop.task = report.task;
        stop.attempt = report.attempt;
        reply.stop.push_back(stop);
        return;
    }
    reply.renew.push_back(orderFor(*state_.jobs().at(report.job), report.task));
}

void Cell::takeAbsent(
    const WorkerAnnouncement &announcement, const std::set<TaskKey> &reported, WorkerReply &reply)
{
    const auto held = tasksOn_.find(announcement.id);
    if (held == tasksOn_.end()) {
        return;
    }
    std::vector<std::pair<TaskKey, TaskEnd>> stopped;
    for (const TaskKey &key : held->second) {
        const auto job = state_.jobs().find(key.first);
        if (reported.contains(key) || job == state_.jobs().end()
            || !isPlacedOn(announcement, key)) {
            continue;
        }
        if (job->second->cancelled || preempted_.contains(key)) {
            const bool cancelled = job->second->cancelled;
            stopped.emplace_back(key, cancelled ? TaskEnd::Lost : TaskEnd::Preempted);
        } else {
            reply.start.push_back(orderFor(*job->second, key.second));
        }
    }
    for (const std::pair<TaskKey, TaskEnd> &task : stopped) {
        endTask(
            task.first.first, task.first.second, reservations_.at(task.first).attempt, task.second);
    }
}

bool Cell::isPlacedOn(const WorkerAnnouncement &process, const TaskKey &key) const
{
    const auto job = state_.jobs().find(key.first);
    if (job == state_.jobs().end()) {
        return false;
    }
    const TaskRecord &task = job->second->tasks[key.second];
    return task.state == TaskState::Placed && task.worker == process.id
        && task.incarnation == process.incarnation;
}

void Cell::endTask(const JobId &job, std::uint32_t task, std::uint32_t attempt, TaskEnd end)
{
    if (ending_.insert({job, task}).second) {
        proposeEnd({job, task, attempt, end, wall_});
    }
}

void Cell::proposeEnd(const EndTask &command)
{
    propose_(command, [this, command](const Result<ApplyReply> &reply) {
        if (!reply) {
            undecidedEnds_.push_back(command);
            return;
        }
        const TaskKey key {command.job, command.task};
        ending_.erase(key);
        releaseReservation(key, command.attempt);
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
    const auto neighbours = tasksOn_.find(held.worker);
    neighbours->second.erase(key);
    if (neighbours->second.empty()) {
        tasksOn_.erase(neighbours);
    }
    reservations_.erase(found);
    preempted_.erase(key);
}

bool Cell::hasGone(const WorkerRecord &record, const TaskKey &key) const
{
    return record.lost || !isPlacedOn(record.announcement, key);
}

void Cell::endGone(WorkerRecord &record, MonotonicTime now)
{
    // An announcement of an earlier process may arrive late, so that another incarnation alone
    // does not prove the tasks gone; their leases, which nobody renewed since, do.
    const bool leasesOver = record.lost || now - record.incarnationSince > leaseLife();
    if (record.settled || !leasesOver) {
        return;
    }
    record.settled = !record.lost;
    const auto held = tasksOn_.find(record.announcement.id);
    if (held == tasksOn_.end()) {
        return;
    }
    const std::set<TaskKey> tasks = held->second;
    for (const TaskKey &key : tasks) {
        if (placing_.contains(key.first)) {
            record.settled = false; // what becomes of its placement is not known yet
        } else if (hasGone(record, key)) {
            record.settled = false; // until the end is recorded
            endTask(key.first, key.second, reservations_.at(key).attempt, TaskEnd::Lost);
        }
    }
}

/// Leases are counted by the worker from its announcement, by this side from the reply.
Milliseconds Cell::leaseLife() const
{
    return times_.exclusiveLease + times_.slots.driftMargin;
}

void Cell::sweepWorkers(MonotonicTime now)
{
    for (std::pair<const WorkerId, WorkerRecord> &known : workers_) {
        WorkerRecord &record = known.second;
        if (now - record.heard > leaseLife() && !record.lost) {
            record.lost = true;
            record.settled = false;
            placement_.removeWorker(known.first);
            logWarning("cell.worker_lost", {{"worker", known.first.value()}});
        }
        endGone(record, now);
    }
    std::erase_if(workers_, [this, now](const std::pair<const WorkerId, WorkerRecord> &known) {
        return known.second.lost && now - known.second.heard > lostWorkerShown
            && !tasksOn_.contains(known.first);
    });
}

void Cell::refresh(const WorkerId &worker)
{
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
                known.second.lost ? "lost"
                    : announcement.draining || state_.drainedWorkers().contains(known.first)
                    ? "draining"
                    : "serving"},
            {"quarantined", state_.quarantinedWorkers().contains(known.first)},
            {"tasks", announcement.tasks.size()}, {"free_millicores", free.milliCores},
            {"free_memory_bytes", free.memory.value()}});
    }
    return boost::json::serialize(list);
}

} // namespace crocusmill
