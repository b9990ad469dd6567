/// Cell scheduling: workers' announcements, the replies to them and the detection of lost workers.

#include "src/net/log.h"
#include "src/services/cell.h"

#include <boost/json.hpp>

#include <algorithm>

namespace crocusmill
{

namespace
{

/// A worker that fails this many tasks in a row is quarantined.
constexpr std::uint32_t quarantineThreshold = 5;
/// How long a lost worker stays in the operators' worker list.
constexpr std::chrono::minutes lostWorkerRetention {10};

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
    worker.isOpen = !record.isLost && !announcement.draining
        && !state_.drainedWorkers().contains(announcement.id)
        && !state_.quarantinedWorkers().contains(announcement.id);
    placement_.setWorker(worker);
}

TaskOrder Cell::orderFor(const Job &job, std::uint32_t task) const
{
    return {job.spec.job, task, job.tasks[task].attempt, job.spec.size, job.spec.command,
        times_.exclusiveLease};
}

void Cell::countFailures(WorkerRecord &record, TaskReportState state)
{
    if (state == TaskReportState::Succeeded) {
        record.consecutiveFailures = 0;
        return;
    }
    if (++record.consecutiveFailures != quarantineThreshold) {
        return;
    }
    logWarning("cell.worker_quarantined", {{"worker", record.announcement.id.value()}});
    propose_(QuarantineWorker {record.announcement.id, true},
        [this, id = record.announcement.id](
            const Result<ApplyReply> & /*reply*/) { updateWorker(workers_[id]); });
}

WorkerReply Cell::onAnnouncement(
    const WorkerAnnouncement &announcement, MonotonicTime now, WallTime wall)
{
    wall_ = wall;
    WorkerRecord &record = workers_[announcement.id];
    if (record.announcement.incarnation != announcement.incarnation) {
        record.incarnationSince = now;
        record.hasEndedStaleTasks = false;
        record.consecutiveFailures = 0;
    }
    record.announcement = announcement;
    record.heardAt = now;
    record.isLost = false;
    updateWorker(record);
    WorkerReply reply;
    std::set<TaskKey> reported;
    for (const TaskReport &report : announcement.tasks) {
        reported.insert({report.job, report.task});
        handleReport(record, report, reply);
    }
    handleUnreported(announcement, reported, reply);
    return reply;
}

bool Cell::isCurrentAttempt(const WorkerId &worker, const TaskReport &report) const
{
    const auto found = state_.jobs().find(report.job);
    if (found == state_.jobs().end() || report.task >= found->second->tasks.size()) {
        return false;
    }
    const TaskRecord &task = found->second->tasks[report.task];
    return task.state == TaskState::Placed && task.attempt == report.attempt
        && task.worker == worker;
}

void Cell::handleReport(WorkerRecord &record, const TaskReport &report, WorkerReply &reply)
{
    const TaskKey key {report.job, report.task};
    const bool isCurrent = isCurrentAttempt(record.announcement.id, report);
    if (isCurrent && endingTasks_.contains(key)) {
        return; // its end is decided; a renewed lease would let it run beside its next attempt
    }
    if (isCurrent && report.state != TaskReportState::Running) {
        countFailures(record, report.state);
        const bool succeeded = report.state == TaskReportState::Succeeded;
        endTask(report.job, report.task, report.attempt,
            succeeded ? TaskEnd::Succeeded : TaskEnd::Failed);
        return;
    }
    const bool mustStop =
        !isCurrent || preemptedTasks_.contains(key) || state_.jobs().at(report.job)->cancelled;
    if (mustStop) {
        TaskOrder stop;
        stop.job = report.job;
        stop.task = report.task;
        stop.attempt = report.attempt;
        reply.stop.push_back(stop);
        return;
    }
    reply.renew.push_back(orderFor(*state_.jobs().at(report.job), report.task));
}

void Cell::handleUnreported(
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
        if (job->second->cancelled || preemptedTasks_.contains(key)) {
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
    if (endingTasks_.insert({job, task}).second) {
        proposeEnd({job, task, attempt, end, wall_});
    }
}

void Cell::proposeEnd(const EndTask &command)
{
    propose_(command, [this, command](const Result<ApplyReply> &reply) {
        if (!reply) {
            unconfirmedEnds_.push_back(command);
            return;
        }
        const TaskKey key {command.job, command.task};
        endingTasks_.erase(key);
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
    const auto workerTasks = tasksOn_.find(held.worker);
    workerTasks->second.erase(key);
    if (workerTasks->second.empty()) {
        tasksOn_.erase(workerTasks);
    }
    reservations_.erase(found);
    preemptedTasks_.erase(key);
}

bool Cell::isGone(const WorkerRecord &record, const TaskKey &key) const
{
    return record.isLost || !isPlacedOn(record.announcement, key);
}

void Cell::endGoneTasks(WorkerRecord &record, MonotonicTime now)
{
    // A late announcement of an earlier process may arrive, so another incarnation alone does not
    // prove that the tasks are gone. The expiry of their leases, which are not renewed, does.
    const bool haveLeasesExpired =
        record.isLost || now - record.incarnationSince > maxLeaseDuration();
    if (record.hasEndedStaleTasks || !haveLeasesExpired) {
        return;
    }
    record.hasEndedStaleTasks = !record.isLost;
    const auto held = tasksOn_.find(record.announcement.id);
    if (held == tasksOn_.end()) {
        return;
    }
    const std::set<TaskKey> tasks = held->second;
    for (const TaskKey &key : tasks) {
        if (placingJobs_.contains(key.first)) {
            record.hasEndedStaleTasks = false; // the outcome of the placement is unknown
        } else if (isGone(record, key)) {
            record.hasEndedStaleTasks = false; // until the end is recorded
            endTask(key.first, key.second, reservations_.at(key).attempt, TaskEnd::Lost);
        }
    }
}

/// The worker counts a lease from its announcement, the leader counts it from the reply.
Milliseconds Cell::maxLeaseDuration() const
{
    return times_.exclusiveLease + times_.slots.driftMargin;
}

void Cell::sweepWorkers(MonotonicTime now)
{
    for (std::pair<const WorkerId, WorkerRecord> &entry : workers_) {
        WorkerRecord &record = entry.second;
        if (now - record.heardAt > maxLeaseDuration() && !record.isLost) {
            record.isLost = true;
            record.hasEndedStaleTasks = false;
            placement_.removeWorker(entry.first);
            logWarning("cell.worker_lost", {{"worker", entry.first.value()}});
        }
        endGoneTasks(record, now);
    }
    std::erase_if(workers_, [this, now](const std::pair<const WorkerId, WorkerRecord> &entry) {
        return entry.second.isLost && now - entry.second.heardAt > lostWorkerRetention
            && !tasksOn_.contains(entry.first);
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
    for (const std::pair<const WorkerId, WorkerRecord> &entry : workers_) {
        const WorkerAnnouncement &announcement = entry.second.announcement;
        const TaskSize free = placement_.freeOn(entry.first);
        list.push_back(boost::json::object {{"id", entry.first.value()},
            {"availability_zone", announcement.zone.value()}, {"rack", announcement.rack.value()},
            {"state",
                entry.second.isLost ? "lost"
                    : announcement.draining || state_.drainedWorkers().contains(entry.first)
                    ? "draining"
                    : "serving"},
            {"quarantined", state_.quarantinedWorkers().contains(entry.first)},
            {"tasks", announcement.tasks.size()}, {"free_millicores", free.milliCores},
            {"free_memory_bytes", free.memory.value()}});
    }
    return boost::json::serialize(list);
}

} // namespace crocusmill
