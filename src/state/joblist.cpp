/// Commands on jobs and their tasks, quarantine and drains.

#include <crocusmill/statemachine.h>

#include <algorithm>

namespace crocusmill
{

namespace
{

/// After this many failures the task itself is taken to be at fault.
constexpr std::uint32_t maxTaskFailures = 5;
constexpr std::uint64_t milliPerCore = 1000;

ApplyReply errorReply(StateError error)
{
    ApplyReply reply;
    reply.error = error;
    return reply;
}

bool isPlaceable(const Job &job, const TaskPlacement &placement)
{
    if (placement.task >= job.tasks.size()) {
        return false;
    }
    const TaskRecord &task = job.tasks[placement.task];
    return task.state == TaskState::Waiting && placement.attempt == task.attempt + 1;
}

template <typename Id> void insertOrErase(std::set<Id> &ids, const Id &id, bool shouldInsert)
{
    if (shouldInsert) {
        ids.insert(id);
    } else {
        ids.erase(id);
    }
}

std::uint64_t quotaOf(const Document &document, const TeamName &name)
{
    for (const Team &team : document.teams) {
        if (team.name == name) {
            return team.coreQuota;
        }
    }
    return 0;
}

} // namespace

ApplyReply StateMachine::applyCommand(const SubmitJob &command)
{
    if (jobs_.contains(command.job)) {
        ApplyReply reply;
        reply.repeated = true;
        return reply;
    }
    Job job;
    job.spec = command;
    job.tasks.resize(command.tasks);
    job.waiting = command.tasks;
    jobs_.emplace(command.job, CopyOnWrite<Job> {std::move(job)});
    waitingJobs_.insert(command.job);
    return {};
}

ApplyReply StateMachine::applyCommand(const PlaceTasks &command)
{
    const auto it = jobs_.find(command.job);
    if (it == jobs_.end()) {
        return errorReply(StateError::NoSuchJob);
    }
    const Job &current = *it->second;
    const bool areAllPlaceable = std::all_of(command.placements.begin(), command.placements.end(),
        [&current](const TaskPlacement &placement) { return isPlaceable(current, placement); });
    if (current.cancelled || !areAllPlaceable) {
        return errorReply(StateError::WrongPlacement);
    }
    Job &job = it->second.edit();
    std::uint64_t &reserved = reservedMilliCores_[{job.spec.environment, job.spec.team}];
    const std::uint64_t requested = command.placements.size() * job.spec.size.milliCores;
    const Document *document = productionDocument(job.spec.environment);
    const std::uint64_t quota =
        document == nullptr ? 0 : quotaOf(*document, job.spec.team) * milliPerCore;
    if (quota > 0 && reserved + requested > quota) {
        return errorReply(StateError::OverQuota);
    }
    reserved += requested;
    for (const TaskPlacement &placement : command.placements) {
        TaskRecord &task = job.tasks[placement.task];
        setTaskState(job, task, TaskState::Placed);
        task.attempt = placement.attempt;
        task.worker = placement.worker;
        task.incarnation = placement.incarnation;
    }
    return {};
}

ApplyReply StateMachine::applyCommand(const EndTask &command)
{
    const auto it = jobs_.find(command.job);
    if (it == jobs_.end()) {
        return errorReply(StateError::NoSuchJob);
    }
    Job &job = it->second.edit();
    if (command.task >= job.tasks.size()) {
        return errorReply(StateError::NoSuchAttempt);
    }
    TaskRecord &task = job.tasks[command.task];
    if (task.state != TaskState::Placed || task.attempt != command.attempt) {
        ApplyReply reply;
        reply.repeated = true;
        return reply;
    }
    reservedMilliCores_[{job.spec.environment, job.spec.team}] -= job.spec.size.milliCores;
    if (command.end == TaskEnd::Failed) {
        ++task.failures;
    }
    const bool isService = job.spec.jobClass == JobClass::Service;
    if (command.end == TaskEnd::Succeeded && !isService) {
        setTaskState(job, task, TaskState::Done);
    } else if (job.cancelled || task.failures >= maxTaskFailures) {
        setTaskState(job, task, TaskState::GivenUp);
    } else {
        setTaskState(job, task, TaskState::Waiting);
    }
    if (job.hasEnded()) {
        endJob(job, command.at);
    }
    return {};
}

ApplyReply StateMachine::applyCommand(const CancelJob &command)
{
    const auto it = jobs_.find(command.job);
    if (it == jobs_.end()) {
        return errorReply(StateError::NoSuchJob);
    }
    Job &job = it->second.edit();
    job.cancelled = true;
    if (job.hasEnded()) {
        return {};
    }
    for (TaskRecord &task : job.tasks) {
        if (task.state == TaskState::Waiting) {
            setTaskState(job, task, TaskState::GivenUp);
        }
    }
    if (job.hasEnded()) {
        endJob(job, command.at);
    }
    return {};
}

ApplyReply StateMachine::applyCommand(const QuarantineWorker &command)
{
    insertOrErase(quarantinedWorkers_, command.worker, command.quarantined);
    return {};
}

ApplyReply StateMachine::applyCommand(const DrainUpstream &command)
{
    insertOrErase(drainedUpstreams_, command.upstream, command.drained);
    return {};
}

ApplyReply StateMachine::applyCommand(const DrainWorker &command)
{
    insertOrErase(drainedWorkers_, command.worker, command.drained);
    return {};
}

bool Job::hasEnded() const
{
    return waiting == 0 && placed == 0;
}

void StateMachine::setTaskState(Job &job, TaskRecord &task, TaskState state)
{
    job.waiting -= task.state == TaskState::Waiting ? 1 : 0;
    job.placed -= task.state == TaskState::Placed ? 1 : 0;
    task.state = state;
    job.waiting += state == TaskState::Waiting ? 1 : 0;
    job.placed += state == TaskState::Placed ? 1 : 0;
    if (job.waiting > 0) {
        waitingJobs_.insert(job.spec.job);
    } else {
        waitingJobs_.erase(job.spec.job);
    }
}

void StateMachine::endJob(Job &job, WallTime at)
{
    job.endedAt = at;
    job.endedIndex = applyingIndex_;
    endedJobs_.push_back(job.spec.job);
}

void StateMachine::forgetJobs(WallTime before)
{
    while (!endedJobs_.empty()) {
        const auto it = jobs_.find(endedJobs_.front());
        if (it->second->endedAt >= before) {
            return;
        }
        jobs_.erase(it);
        endedJobs_.pop_front();
    }
}

void StateMachine::forgetJobsUpTo(const JobId &last)
{
    const auto lastJob = std::find(endedJobs_.begin(), endedJobs_.end(), last);
    if (lastJob == endedJobs_.end()) {
        return;
    }
    for (auto it = endedJobs_.begin(); it != std::next(lastJob); ++it) {
        jobs_.erase(*it);
    }
    endedJobs_.erase(endedJobs_.begin(), std::next(lastJob));
}

void StateMachine::rebuildJobIndices()
{
    std::map<LogIndex, JobId> ended;
    for (std::pair<const JobId, CopyOnWrite<Job>> &entry : jobs_) {
        Job &job = entry.second.edit();
        for (const TaskRecord &task : job.tasks) {
            job.waiting += task.state == TaskState::Waiting ? 1 : 0;
            job.placed += task.state == TaskState::Placed ? 1 : 0;
        }
        reservedMilliCores_[{job.spec.environment, job.spec.team}] +=
            std::uint64_t {job.placed} * job.spec.size.milliCores;
        if (job.waiting > 0) {
            waitingJobs_.insert(entry.first);
        }
        if (job.hasEnded()) {
            ended[job.endedIndex] = entry.first;
        }
    }
    for (const std::pair<const LogIndex, JobId> &entry : ended) {
        endedJobs_.push_back(entry.second);
    }
}

const std::set<JobId> &StateMachine::waitingJobs() const
{
    return waitingJobs_;
}

const std::set<UpstreamId> &StateMachine::drainedUpstreams() const
{
    return drainedUpstreams_;
}

const std::set<WorkerId> &StateMachine::drainedWorkers() const
{
    return drainedWorkers_;
}

const std::map<JobId, CopyOnWrite<Job>> &StateMachine::jobs() const
{
    return jobs_;
}

const std::set<WorkerId> &StateMachine::quarantinedWorkers() const
{
    return quarantinedWorkers_;
}

std::uint64_t StateMachine::reservedCores(
    const EnvironmentName &environment, const TeamName &team) const
{
    const auto it = reservedMilliCores_.find({environment, team});
    return it == reservedMilliCores_.end() ? 0 : it->second / milliPerCore;
}

} // namespace crocusmill
