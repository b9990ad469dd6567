/// Encodes commands as tagged records and snapshots as JSON.

#include "src/wire/binary.h"
#include "src/wire/commandjson.h"

#include <crocusmill/statemachine.h>

#include <algorithm>

namespace crocusmill
{

namespace
{

/// Head of a snapshot: everything except the lists of records.
struct SnapshotHeader
{
    LogIndex configurationIndex;
    std::vector<EnvironmentState> environments;
    std::vector<WorkerId> quarantined;
    std::vector<UpstreamId> drainedUpstreams;
    std::vector<WorkerId> drainedWorkers;
    Catalog catalog;
    std::vector<NoteLeaving> leaving;
};

struct SnapshotContents
{
    SnapshotHeader head;
    std::vector<Work> work;
    std::vector<Job> jobs;
    std::vector<Graph> graphs;
};

BOOST_DESCRIBE_STRUCT(SnapshotHeader, (),
    (configurationIndex, environments, quarantined, drainedUpstreams, drainedWorkers, catalog,
        leaving))
BOOST_DESCRIBE_STRUCT(SnapshotContents, (), (head, work, jobs, graphs))

/// Marks a removed queue among the queues of a snapshot. No path begins with it, so versions that
/// do not know removed queues find such a queue by its name only.
constexpr std::string_view removedMark = "removed:";

/// Returns the catalog with its removed queues among the others, as snapshots have them.
Catalog withMarkedQueues(const Catalog &catalog)
{
    Catalog marked = catalog;
    for (Queue &queue : marked.removedQueues) {
        queue.prefix.insert(0, removedMark);
        marked.queues.push_back(std::move(queue));
    }
    marked.removedQueues.clear();
    return marked;
}

/// Reverses withMarkedQueues().
Catalog withoutMarkedQueues(Catalog marked)
{
    Catalog catalog = std::move(marked);
    const auto firstMarked = std::stable_partition(catalog.queues.begin(), catalog.queues.end(),
        [](const Queue &queue) { return !queue.prefix.starts_with(removedMark); });
    for (auto queue = firstMarked; queue != catalog.queues.end(); ++queue) {
        queue->prefix.erase(0, removedMark.size());
        catalog.removedQueues.push_back(std::move(*queue));
    }
    catalog.queues.erase(firstMarked, catalog.queues.end());
    return catalog;
}

/// Encodes record by record, as a JSON tree of all records would take many times the text's size.
template <typename T>
void appendRecords(std::string &text, const std::vector<std::shared_ptr<const T>> &records)
{
    text += '[';
    for (const std::shared_ptr<const T> &record : records) {
        text += &record == &records.front() ? "" : ",";
        text += encodeStruct(*record);
    }
    text += ']';
}

template <typename Id, typename T>
std::vector<std::shared_ptr<const T>> shareValues(const std::map<Id, CopyOnWrite<T>> &map)
{
    std::vector<std::shared_ptr<const T>> values;
    values.reserve(map.size());
    for (const std::pair<const Id, CopyOnWrite<T>> &pair : map) {
        values.push_back(pair.second.share());
    }
    return values;
}

} // namespace

std::string encodeCommand(const Command &command)
{
    return encodeRecord(command);
}

Result<Command> decodeCommand(std::string_view payload)
{
    return decodeRecord<Command>(payload);
}

ApplyReply StateMachine::applyEncoded(std::string_view payload, LogIndex index)
{
    const Result<Command> command = decodeCommand(payload);
    if (!command) {
        return {.error = StateError::Undecodable, .work = {}, .repeated = false, .conflict = {}};
    }
    return apply(command.value(), index);
}

std::string encodeImage(const StateImage &image)
{
    const SnapshotHeader head {image.configurationIndex, image.environments, image.quarantined,
        image.drainedUpstreams, image.drainedWorkers, withMarkedQueues(image.catalog),
        image.leaving};
    std::string text = "{\"head\":" + encodeStruct(head) + ",\"work\":";
    appendRecords(text, image.work);
    text += ",\"jobs\":";
    appendRecords(text, image.jobs);
    text += ",\"graphs\":";
    appendRecords(text, image.graphs);
    text += '}';
    return text;
}

StateImage StateMachine::image() const
{
    StateImage image;
    image.configurationIndex = configurationIndex_;
    for (const std::pair<const EnvironmentName, EnvironmentState> &entry : environments_) {
        image.environments.push_back(entry.second);
    }
    image.work = shareValues(work_);
    image.jobs = shareValues(jobs_);
    image.quarantined.assign(quarantinedWorkers_.begin(), quarantinedWorkers_.end());
    image.drainedUpstreams.assign(drainedUpstreams_.begin(), drainedUpstreams_.end());
    image.drainedWorkers.assign(drainedWorkers_.begin(), drainedWorkers_.end());
    image.catalog = catalog_;
    for (const std::pair<const WorkerId, NoteLeaving> &entry : leavingWorkers_) {
        image.leaving.push_back(entry.second);
    }
    image.graphs = graphs_.image();
    return image;
}

std::string StateMachine::snapshot() const
{
    return encodeImage(image());
}

Result<void> StateMachine::restore(std::string_view snapshot)
{
    BOOST_OUTCOME_TRY(SnapshotContents contents, decodeStruct<SnapshotContents>(snapshot));
    StateMachine restored;
    SnapshotHeader &head = contents.head;
    restored.configurationIndex_ = head.configurationIndex;
    for (EnvironmentState &environment : head.environments) {
        const EnvironmentName name = environment.name;
        restored.environments_[name] = std::move(environment);
    }
    for (Work &work : contents.work) {
        const WorkId id = work.id;
        restored.work_.emplace(id, CopyOnWrite<Work> {std::move(work)});
    }
    for (Job &job : contents.jobs) {
        const JobId id = job.spec.job;
        restored.jobs_.emplace(id, CopyOnWrite<Job> {std::move(job)});
    }
    restored.quarantinedWorkers_.insert(head.quarantined.begin(), head.quarantined.end());
    restored.drainedUpstreams_.insert(head.drainedUpstreams.begin(), head.drainedUpstreams.end());
    restored.drainedWorkers_.insert(head.drainedWorkers.begin(), head.drainedWorkers.end());
    restored.catalog_ = withoutMarkedQueues(std::move(head.catalog));
    for (const NoteLeaving &entry : head.leaving) {
        restored.leavingWorkers_[entry.worker] = entry;
    }
    restored.graphs_.restore(std::move(contents.graphs));
    restored.rebuildIndices();
    *this = std::move(restored);
    return success();
}

void StateMachine::rebuildIndices()
{
    for (const std::pair<const EnvironmentName, EnvironmentState> &entry : environments_) {
        cacheDocument(entry.second);
    }
    rebuildJobIndices();
    rebuildWorkIndices();
}

void StateMachine::rebuildWorkIndices()
{
    std::map<LogIndex, WorkId> ended;
    for (const std::pair<const WorkId, CopyOnWrite<Work>> &entry : work_) {
        const Work &work = *entry.second;
        indexWork(work);
        if (!openWork_.contains(work.id)) {
            ended[work.endedIndex] = work.id;
        }
    }
    // A key belongs to the work admitted last under it: the open work, else the work that ended
    // last.
    for (const std::pair<const LogIndex, WorkId> &entry : ended) {
        endedWork_.push_back(entry.second);
        indexKey(*findWork(entry.second));
    }
    for (const WorkId &id : openWork_) {
        indexKey(*findWork(id));
    }
}

void StateMachine::indexKey(const Work &work)
{
    if (work.key) {
        workByKey_[{work.environment, *work.key}] = work.id;
    }
}

void StateMachine::indexWork(const Work &work)
{
    if (work.state == WorkState::Admitted || work.state == WorkState::Started) {
        openWork_.insert(work.id);
    }
    for (const Attempt &attempt : work.attempts) {
        if (attempt.state == AttemptState::Started) {
            workByAttempt_[attempt.id] = work.id;
        }
    }
}

} // namespace crocusmill
