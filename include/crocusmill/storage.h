/// Durable storage of one replica: identity, term and vote, log and snapshot.
///
/// A successful call has synced its data to disk. Damaged data is an error, never repaired by a
/// guess; the replica stops. Not thread-safe, except for prepareSnapshot().

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

    /// Returns the identity of the folder, which is created and synced with a new folder.
    [[nodiscard]] virtual ReplicaId identity() const = 0;
    /// Reads the stored state. Must precede the first write to an existing folder.
    /// Errors: Damaged, CannotRead, CannotOpen, CannotWrite, CannotSync.
    [[nodiscard]] virtual Result<StoredState> load() = 0;
    /// Stores a term and vote and appends entries with one sync. An entry replaces all stored
    /// entries with the same or a higher index. Errors: CannotWrite, CannotSync.
    [[nodiscard]] virtual Result<void> append(
        const std::optional<HardState> &hardState, const std::vector<LogEntry> &entries) = 0;
    /// Writes and syncs a snapshot file that load() ignores. May run on another thread at the same
    /// time as append(). The next saveSnapshot() of the same snapshot only renames the file.
    /// Errors: CannotWrite, CannotSync.
    [[nodiscard]] virtual Result<void> prepareSnapshot(const Snapshot &snapshot) = 0;
    /// Stores a snapshot and the log entries after it, then removes the journal that they replace.
    /// Errors: CannotWrite, CannotSync, CannotOpen.
    [[nodiscard]] virtual Result<void> saveSnapshot(const Snapshot &snapshot,
        const HardState &hardState, const std::vector<LogEntry> &laterEntries) = 0;
};

/// Opens or creates the data folder. `newIdentity` is used only if the folder has no identity.
/// Errors: CannotOpen, CannotRead, CannotWrite, CannotSync, Damaged, Locked (in use by another
/// process).
[[nodiscard]] Result<std::unique_ptr<Storage>> openFileStorage(
    const std::filesystem::path &folder, ReplicaId newIdentity);

} // namespace crocusmill
