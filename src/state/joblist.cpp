/// Jobs and their tasks: submitted, placed, ended.

#include <crocusmill/statemachine.h>

#include <algorithm>

namespace crocusmill
{

namespace
{

/// After this many failures a task is taken to be at fault itself.
constexpr std::uint32_t mostFailures = 5;
constexpr std::uint64_t milliPerCore = 1000;

ApplyReply replyWith(StateError error)
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

std::uint64_t quotaOf(const Document &document, const TeamName &name)
{
    for (const Team &team : document.teams) {
        if (team.name == name) {
            return team.cores;
        }
    }
    return 0;
}

} // namespace

ApplyReply StateMachine::on(const SubmitJob &command)
{
    if (jobs_.contains(command.job)) {
        ApplyReply reply;
        reply.repeated = true;
        return reply;
    }
    Job job;
    job.spec = command;
    job.tasks.resize(command.tasks);
    jobs_.emplace(command.job, std::move(job));
    return {};
}

ApplyReply StateMachine::on(const PlaceTasks &command)
{
    const auto found = jobs_.find(command.job);
    if (found == jobs_.end()) {
        return replyWith(StateError::NoSuchJob);
    }
    Job &job = found->second;
    const bool placeable = std::all_of(command.placements.begin(), command.placements.end(),
        [&job](const TaskPlacement &placement) { return isPlaceable(job, placement); });
    if (job.cancelled || !placeable) {
        return replyWith(StateError::WrongPlacement);
    }
    std::uint64_t &reserved = reservedMilliCores_[{job.spec.environment, job.spec.team}];
    const std::uint64_t wanted = command.placements.size() * job.spec.size.milliCores;
    const Document *document = production(job.spec.environment);
    const std::uint64_t quota =
        document == nullptr ? 0 : quotaOf(*document, job.spec.team) * milliPerCore;
    if (quota > 0 && reserved + wanted > quota) {
        return replyWith(StateError::OverQuota);
    }
    reserved += wanted;
    for (const TaskPlacement &placement : command.placements) {
        TaskRecord &task = job.tasks[placement.task];
        task.state = TaskState::Placed;
        task.attempt = placement.attempt;
        task.worker = placement.worker;
        task.incarnation = placement.incarnation;
    }
    return {};
}

ApplyReply StateMachine::on(const EndTask &command)
{
    const auto found = jobs_.find(command.job);
    if (found == jobs_.end()) {
        return replyWith(StateError::NoSuchJob);
    }
    Job &job = found->second;
    if (command.task >= job.tasks.size()) {
        return replyWith(StateError::NoSuchAttempt);
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
    const bool service = job.spec.jobClass == JobClass::Service;
    if (command.end == TaskEnd::Succeeded && !service) {
        task.state = TaskState::Done;
    } else if (job.cancelled || task.failures >= mostFailures) {
        task.state = TaskState::GivenUp;
    } else {
        task.state = TaskState::Waiting;
    }
    return {};
}

ApplyReply StateMachine::on(const CancelJob &command)
{
    const auto found = jobs_.find(command.job);
    if (found == jobs_.end()) {
        return replyWith(StateError::NoSuchJob);
    }
    found->second.cancelled = true;
    for (TaskRecord &task : found->second.tasks) {
        if (task.state == TaskState::Waiting) {
            task.state = TaskState::GivenUp;
        }
    }
    return {};
}

ApplyReply StateMachine::on(const QuarantineWorker &command)
{
    if (command.quarantined) {
        quarantined_.insert(command.worker);
    } else {
        quarantined_.erase(command.worker);
    }
    return {};
}

const std::map<JobId, Job> &StateMachine::jobs() const
{
    return jobs_;
}

const std::set<WorkerId> &StateMachine::quarantined() const
{
    return quarantined_;
}

std::uint64_t StateMachine::reservedCores(
    const EnvironmentName &environment, const TeamName &team) const
{
    const auto found = reservedMilliCores_.find({environment, team});
    return found == reservedMilliCores_.end() ? 0 : found->second / milliPerCore;
}

} // namespace crocusmill
