/// Lists of VMs, members, upstreams, jobs and environments.

#include "src/services/reports.h"

#include <boost/json.hpp>

namespace crocusmill
{

namespace
{

boost::json::object describeDocument(const DocumentRecord &document)
{
    return {{"version", document.version.value()}, {"digest", document.digest.value()},
        {"by", document.by.value()}, {"since", document.since.value()},
        {"document", document.document}};
}

EnvironmentInForce makeEnvironmentInForce(
    const EnvironmentName &name, Stage stage, const DocumentRecord &document)
{
    return {name, stage, document.version, document.digest, document.document};
}

} // namespace

std::string describeVms(
    const EntryRecords &entries, const Journal &journal, const NodeAddress &self)
{
    boost::json::array list;
    const MonotonicTime now = std::chrono::steady_clock::now();
    for (const std::pair<const EntryEpoch, EntryRecord> &entry : entries) {
        const BeatCall &beat = entry.second.lastBeat;
        const Milliseconds age =
            std::chrono::duration_cast<Milliseconds>(now - entry.second.lastHeardAt);
        list.push_back(
            boost::json::object {{"vm", beat.vm.value()}, {"availability_zone", beat.zone.value()},
                {"leader", beat.address == self}, {"draining", beat.draining},
                {"configuration", beat.configuration.value()}, {"heard_ms_ago", age.count()},
                {"address", beat.address.ip + ":" + std::to_string(beat.address.port)}});
    }
    boost::json::object root;
    root["vms"] = std::move(list);
    root["configuration"] = journal.state().configurationIndex().value();
    root["term"] = journal.consensus()->term().value();
    root["committed"] = journal.consensus()->commitIndex().value();
    return boost::json::serialize(root);
}

std::string describeMembers(const Consensus &consensus)
{
    boost::json::array list;
    for (const Member &member : consensus.membership().members) {
        list.push_back(boost::json::object {{"vm", member.vm.value()},
            {"replica", std::to_string(member.id.value())},
            {"role", member.role == MemberRole::Voter ? "voter" : "learner"},
            {"leader", member.id == consensus.self()},
            {"address", member.address.ip + ":" + std::to_string(member.address.port)}});
    }
    return boost::json::serialize(list);
}

std::string describeUpstreams(
    const Directory &directory, const SlotLedger &ledger, const std::set<UpstreamId> &drained)
{
    boost::json::array list;
    for (const std::pair<const UpstreamId, Directory::Record> &entry : directory.records()) {
        const Announcement &announcement = entry.second.announcement;
        const bool draining =
            announcement.mode == UpstreamMode::Draining || drained.contains(entry.first);
        list.push_back(boost::json::object {{"id", entry.first.value()},
            {"environment", announcement.environment.value()},
            {"service", announcement.service.value()},
            {"state",
                entry.second.isGone ? "gone"
                    : draining      ? "draining"
                                    : "serving"},
            {"slots", announcement.slots.value()},
            {"granted", ledger.occupied(entry.first).value()},
            {"running", announcement.running.size()},
            {"availability_zone", announcement.zone.value()}});
    }
    return boost::json::serialize(list);
}

std::string describeJobs(const StateMachine &state)
{
    boost::json::array list;
    for (const std::pair<const JobId, CopyOnWrite<Job>> &entry : state.jobs()) {
        const Job &job = *entry.second;
        std::map<TaskState, std::size_t> counts;
        for (const TaskRecord &task : job.tasks) {
            ++counts[task.state];
        }
        list.push_back(boost::json::object {{"id", entry.first.value()},
            {"environment", job.spec.environment.value()}, {"team", job.spec.team.value()},
            {"cancelled", job.cancelled}, {"waiting", counts[TaskState::Waiting]},
            {"placed", counts[TaskState::Placed]}, {"done", counts[TaskState::Done]},
            {"given_up", counts[TaskState::GivenUp]}});
    }
    return boost::json::serialize(list);
}

std::string describeEnvironments(const StateMachine &state)
{
    boost::json::array list;
    for (const std::pair<const EnvironmentName, EnvironmentState> &entry : state.environments()) {
        boost::json::object environment;
        environment["name"] = entry.first.value();
        if (entry.second.production) {
            environment["production"] = describeDocument(*entry.second.production);
        }
        boost::json::array tried;
        for (const DocumentRecord &document : entry.second.tried) {
            tried.push_back(describeDocument(document));
        }
        environment["tried"] = std::move(tried);
        list.push_back(std::move(environment));
    }
    return boost::json::serialize(list);
}

std::vector<EnvironmentInForce> environmentsSince(const StateMachine &state, LogIndex index)
{
    std::vector<EnvironmentInForce> changed;
    for (const std::pair<const EnvironmentName, EnvironmentState> &entry : state.environments()) {
        const EnvironmentState &environment = entry.second;
        if (environment.production && environment.production->since > index) {
            changed.push_back(
                makeEnvironmentInForce(entry.first, Stage::Production, *environment.production));
        }
        if (!environment.tried.empty() && environment.tried.back().since > index) {
            changed.push_back(
                makeEnvironmentInForce(entry.first, Stage::Trial, environment.tried.back()));
        }
    }
    return changed;
}

} // namespace crocusmill
