/// Commands and snapshots of the state machine as JSON.

#include "src/wire/commandjson.h"

#include <crocusmill/statemachine.h>

namespace crocusmill
{

namespace
{

/// The whole state as it stands in a snapshot.
struct StateImage
{
    LogIndex configurationIndex;
    std::vector<EnvironmentState> environments;
    std::vector<Work> work;
    std::vector<WorkId> ended;
    std::vector<Job> jobs;
    std::vector<JobId> endedJobs;
    std::vector<WorkerId> quarantined;
    std::vector<UpstreamId> drainedUpstreams;
    std::vector<WorkerId> drainedWorkers;
};

BOOST_DESCRIBE_STRUCT(StateImage, (),
    (configurationIndex, environments, work, ended, jobs, endedJobs, quarantined, drainedUpstreams,
        drainedWorkers))

template <typename Map> std::vector<typename Map::mapped_type> valuesOf(const Map &map)
{
    std::vector<typename Map::mapped_type> values;
    values.reserve(map.size());
    for (const typename Map::value_type &pair : map) {
        values.push_back(pair.second);
    }
    return values;
}

} // namespace

std::string encodeCommand(const Command &command)
{
    return encodeVariant(command);
}

Result<Command> decodeCommand(std::string_view payload)
{
    return decodeVariant<Command>(payload);
}

ApplyReply StateMachine::applyEncoded(std::string_view payload, LogIndex index)
{
    const Result<Command> command = decodeCommand(payload);
    if (!command) {
        return {.error = StateError::Undecodable, .work = {}, .repeated = false, .conflict = {}};
    }
    return apply(command.value(), index);
}

std::string StateMachine::snapshot() const
{
    StateImage image;
    image.configurationIndex = configurationIndex_;
    image.environments = valuesOf(environments_);
    image.work = valuesOf(work_);
    image.ended.assign(ended_.begin(), ended_.end());
    image.jobs = valuesOf(jobs_);
    image.endedJobs.assign(endedJobs_.begin(), endedJobs_.end());
    image.quarantined.assign(quarantined_.begin(), quarantined_.end());
    image.drainedUpstreams.assign(drainedUpstreams_.begin(), drainedUpstreams_.end());
    image.drainedWorkers.assign(drainedWorkers_.begin(), drainedWorkers_.end());
    return encodeStruct(image);
}

Result<void> StateMachine::restore(std::string_view snapshot)
{
    BOOST_OUTCOME_TRY(StateImage image, decodeStruct<StateImage>(snapshot));
    StateMachine fresh;
    fresh.configurationIndex_ = image.configurationIndex;
    for (EnvironmentState &environment : image.environments) {
        const EnvironmentName name = environment.name;
        fresh.environments_[name] = std::move(environment);
    }
    for (Work &work : image.work) {
        const WorkId id = work.id;
        fresh.work_[id] = std::move(work);
    }
    fresh.ended_.assign(image.ended.begin(), image.ended.end());
    for (Job &job : image.jobs) {
        const JobId id = job.spec.job;
        fresh.jobs_[id] = std::move(job);
    }
    fresh.endedJobs_.assign(image.endedJobs.begin(), image.endedJobs.end());
    fresh.quarantined_.insert(image.quarantined.begin(), image.quarantined.end());
    fresh.drainedUpstreams_.insert(image.drainedUpstreams.begin(), image.drainedUpstreams.end());
    fresh.drainedWorkers_.insert(image.drainedWorkers.begin(), image.drainedWorkers.end());
    fresh.rebuildIndices();
    *this = std::move(fresh);
    return success();
}

void StateMachine::rebuildIndices()
{
    documents_.clear();
    for (const std::pair<const EnvironmentName, EnvironmentState> &known : environments_) {
        cacheDocument(known.second);
    }
    rebuildJobs();
    rebuildWork();
}

void StateMachine::rebuildWork()
{
    keys_.clear();
    attempts_.clear();
    open_.clear();
    for (const std::pair<const WorkId, Work> &known : work_) {
        const Work &work = known.second;
        if (work.key
            && !(work.state == WorkState::Revoked && findKey(work.environment, *work.key))) {
            keys_[{work.environment, *work.key}] = work.id;
        }
        if (work.state == WorkState::Admitted || work.state == WorkState::Started) {
            open_.insert(work.id);
        }
        for (const Attempt &attempt : work.attempts) {
            if (attempt.state == AttemptState::Started) {
                attempts_[attempt.id] = work.id;
            }
        }
    }
}

} // namespace crocusmill
