/// Reports of the leader about the cell, for operators and entries.

#pragma once

#include "src/services/directory.h"
#include "src/services/interfaces.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace crocusmill
{

/// Last heartbeat of one entry process.
struct EntryRecord
{
    BeatCall lastBeat;
    MonotonicTime lastHeardAt;
};

using EntryRecords = std::map<EntryEpoch, EntryRecord>;

/// These functions return JSON for the operator's tool.
[[nodiscard]] std::string describeVms(
    const EntryRecords &entries, const Journal &journal, const NodeAddress &self);
[[nodiscard]] std::string describeMembers(const Consensus &consensus);
[[nodiscard]] std::string describeUpstreams(
    const Directory &directory, const SlotLedger &ledger, const std::set<UpstreamId> &drained);
[[nodiscard]] std::string describeJobs(const StateMachine &state);
[[nodiscard]] std::string describeEnvironments(const StateMachine &state);

/// Returns documents that became active after `index`.
[[nodiscard]] std::vector<EnvironmentInForce> environmentsSince(
    const StateMachine &state, LogIndex index);

} // namespace crocusmill
