/// Encoding of the records in a data folder: term and vote, entries, snapshots and the identity.

#pragma once

#include <crocusmill/storage.h>

#include <string>
#include <string_view>

namespace crocusmill
{

void appendHardState(std::string &out, const HardState &hardState);
void appendEntry(std::string &out, const LogEntry &entry);
/// Applies one journal record to `state`. Errors: Damaged.
[[nodiscard]] Result<void> replayRecord(std::string_view payload, StoredState &state);

[[nodiscard]] std::string encodeSnapshot(const Snapshot &snapshot);
/// Errors: Damaged.
[[nodiscard]] Result<Snapshot> decodeSnapshot(std::string_view framed);

[[nodiscard]] std::string encodeIdentity(ReplicaId identity);
/// Errors: Damaged.
[[nodiscard]] Result<ReplicaId> decodeIdentity(std::string_view framed);

} // namespace crocusmill
