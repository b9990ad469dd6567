/// What the leader tells operators and entries about the cell.

#pragma once

#include "src/services/directory.h"
#include "src/services/interfaces.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace crocusmill
{

/// One entry process that beats.
struct EntryRecord
{
    BeatCall lastBeat;
    MonotonicTime lastHeardAt;
};

using EntryRecords = std::map<EntryEpoch, EntryRecord>;

/// Lists as JSON, for the operator's tool.
[[nodiscard]] std::string describeVms(
    const EntryRecords &entries, const Journal &journal, const NodeAddress &self);
[[nodiscard]] std::string describeMembers(const Consensus &consensus);
[[nodiscard]] std::string describeUpstreams(
    const Directory &directory, const SlotLedger &ledger, const std::set<UpstreamId> &drained);
[[nodiscard]] std::string describeJobs(const StateMachine &state);
[[nodiscard]] std::string describeEnvironments(const StateMachine &state);

/// Documents that came into force after `index`.
[[nodiscard]] std::vector<EnvironmentInForce> environmentsSince(
    const StateMachine &state, LogIndex index);

} // namespace crocusmill
