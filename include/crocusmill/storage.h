/// Durable storage of one replica: identity, term and vote, log and snapshot.
///
/// Every call that returns success has synced what it wrote. Damage is a typed error: a replica
/// that meets it stops and never guesses. Not thread-safe.

#pragma once

#include <crocusmill/consensus.h>

#include <filesystem>
#include <memory>
#include <optional>
#include <vector>

namespace crocusmill
{

enum class StorageError {
    CannotOpen = 1,
    CannotWrite,
    CannotSync,
    CannotRead,
    Damaged,
    Locked,
};

template <> struct ErrorText<StorageError>
{
    static constexpr const char *category = "storage";
    static std::string_view text(StorageError error);
};

class Storage
{
public:
    virtual ~Storage() = default;

    /// Identity of the folder; made and synced when the folder is empty.
    [[nodiscard]] virtual ReplicaId identity() const = 0;
    /// Everything that was stored before. Errors: Damaged, CannotRead.
    [[nodiscard]] virtual Result<StoredState> load() = 0;
    /// Stores a term and vote and appends entries with one sync. An entry replaces each stored
    /// one with the same or a higher index. Errors: CannotWrite, CannotSync.
    [[nodiscard]] virtual Result<void> append(
        const std::optional<HardState> &hardState, const std::vector<LogEntry> &entries) = 0;
    /// Writes a snapshot aside and syncs it. May run on another thread, beside append(); the next
    /// saveSnapshot() of the same snapshot only puts it in force. Errors: CannotWrite, CannotSync.
    [[nodiscard]] virtual Result<void> prepareSnapshot(const Snapshot &snapshot) = 0;
    /// Stores a snapshot and the log that follows it, then drops what both cover.
    /// Errors: CannotWrite, CannotSync.
    [[nodiscard]] virtual Result<void> saveSnapshot(const Snapshot &snapshot,
        const HardState &hardState, const std::vector<LogEntry> &laterEntries) = 0;
};

/// Opens or makes the folder. `freshIdentity` is used only when the folder holds none.
/// Errors: CannotOpen, Locked (another process has it), Damaged.
[[nodiscard]] Result<std::unique_ptr<Storage>> openFileStorage(
    const std::filesystem::path &folder, ReplicaId newIdentity);

} // namespace crocusmill
