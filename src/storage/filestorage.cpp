/// Storage in one folder with the files `identity`, `snapshot` and `journal-SEQUENCE`.

#include "src/storage/journalrecords.h"
#include "src/storage/recordfile.h"
#include "src/storage/syncfile.h"

#include <crocusmill/storage.h>

#include <algorithm>
#include <atomic>
#include <cstring>

namespace crocusmill
{

std::string_view ErrorText<StorageError>::text(StorageError error)
{
    switch (error) {
    case StorageError::CannotOpen:
        return "cannot open the data folder";
    case StorageError::CannotWrite:
        return "cannot write to the data folder";
    case StorageError::CannotSync:
        return "cannot sync the data folder";
    case StorageError::CannotRead:
        return "cannot read the data folder";
    case StorageError::Damaged:
        return "the data folder is damaged";
    case StorageError::Locked:
        return "another process uses the data folder";
    }
    return "unknown storage error";
}

namespace
{

namespace fs = std::filesystem;

constexpr const char *identityName = "identity";
constexpr const char *snapshotName = "snapshot";
constexpr const char *preparedPrefix = "prepared-";
constexpr const char *lockName = "lock";
constexpr const char *journalPrefix = "journal-";

std::optional<std::uint64_t> journalSequence(const fs::path &path)
{
    const std::string name = path.filename().string();
    const std::size_t prefix = std::strlen(journalPrefix);
    if (name.rfind(journalPrefix, 0) != 0 || name.ends_with(".new") || name.size() == prefix) {
        return std::nullopt;
    }
    return std::strtoull(name.c_str() + prefix, nullptr, 10);
}

class FileStorage final : public Storage
{
public:
    FileStorage(fs::path folder, File lock, ReplicaId identity)
        : folder_(std::move(folder))
        , lock_(std::move(lock))
        , identity_(identity)
    {
    }

    /// Starts the next journal file, which replaces all earlier journal files.
    Result<void> startJournal(const HardState &hardState, const std::vector<LogEntry> &entries)
    {
        std::string bytes;
        appendHardState(bytes, hardState);
        for (const LogEntry &entry : entries) {
            appendEntry(bytes, entry);
        }
        const std::uint64_t sequence = sequence_ + 1;
        BOOST_OUTCOME_TRY(replaceFile(journalPath(sequence), bytes));
        journal_ = File {journalPath(sequence), O_WRONLY | O_APPEND};
        if (!journal_.isOpen()) {
            return StorageError::CannotOpen;
        }
        sequence_ = sequence;
        return success();
    }

    ReplicaId identity() const override
    {
        return identity_;
    }

    Result<StoredState> load() override
    {
        StoredState state;
        BOOST_OUTCOME_TRY(loadSnapshot(state));
        const std::vector<std::uint64_t> sequences = journalSequences();
        if (sequences.empty()) {
            return StorageError::Damaged;
        }
        // A journal file is renamed into place when complete, so the newest replaces the others.
        sequence_ = sequences.back();
        BOOST_OUTCOME_TRY(replayJournal(state));
        removeOlderJournals(sequences);
        removePreparedSnapshots();
        return state;
    }

    Result<void> append(
        const std::optional<HardState> &hardState, const std::vector<LogEntry> &entries) override
    {
        std::string bytes;
        if (hardState) {
            appendHardState(bytes, *hardState);
        }
        for (const LogEntry &entry : entries) {
            appendEntry(bytes, entry);
        }
        BOOST_OUTCOME_TRY(journal_.write(bytes));
        return journal_.sync();
    }

    Result<void> prepareSnapshot(const Snapshot &snapshot) override
    {
        const fs::path path = preparedPath(snapshot.index);
        BOOST_OUTCOME_TRY(writeFile(path, encodeSnapshot(snapshot)));
        preparedIndex_ = snapshot.index;
        return success();
    }

    Result<void> saveSnapshot(const Snapshot &snapshot, const HardState &hardState,
        const std::vector<LogEntry> &laterEntries) override
    {
        if (preparedIndex_ != snapshot.index) {
            BOOST_OUTCOME_TRY(prepareSnapshot(snapshot));
        }
        preparedIndex_ = LogIndex {};
        BOOST_OUTCOME_TRY(moveFile(preparedPath(snapshot.index), folder_ / snapshotName));
        const std::uint64_t previousSequence = sequence_;
        BOOST_OUTCOME_TRY(startJournal(hardState, laterEntries));
        removeOlderJournals({previousSequence});
        return success();
    }

private:
    fs::path journalPath(std::uint64_t sequence) const
    {
        return folder_ / (journalPrefix + std::to_string(sequence));
    }

    fs::path preparedPath(LogIndex index) const
    {
        return folder_ / (preparedPrefix + std::to_string(index.value()));
    }

    std::vector<std::uint64_t> journalSequences() const
    {
        std::vector<std::uint64_t> sequences;
        for (const fs::directory_entry &file : fs::directory_iterator {folder_}) {
            const std::optional<std::uint64_t> sequence = journalSequence(file.path());
            if (sequence) {
                sequences.push_back(*sequence);
            }
        }
        std::sort(sequences.begin(), sequences.end());
        return sequences;
    }

    Result<void> loadSnapshot(StoredState &state) const
    {
        if (!fs::exists(folder_ / snapshotName)) {
            return success();
        }
        BOOST_OUTCOME_TRY(const std::string framed, readFile(folder_ / snapshotName));
        BOOST_OUTCOME_TRY(Snapshot snapshot, decodeSnapshot(framed));
        state.snapshot = std::make_shared<const Snapshot>(std::move(snapshot));
        return success();
    }

    Result<void> replayJournal(StoredState &state)
    {
        const fs::path path = journalPath(sequence_);
        BOOST_OUTCOME_TRY(const std::string bytes, readFile(path));
        BOOST_OUTCOME_TRY(const ScannedRecords scanned, scanRecords(bytes));
        for (const std::string_view payload : scanned.payloads) {
            BOOST_OUTCOME_TRY(replayRecord(payload, state));
        }
        journal_ = File {path, O_WRONLY | O_APPEND};
        if (!journal_.isOpen()) {
            return StorageError::CannotOpen;
        }
        if (scanned.validBytes < bytes.size()) {
            if (!journal_.truncate(scanned.validBytes)) {
                return StorageError::CannotWrite;
            }
            return journal_.sync();
        }
        return success();
    }

    /// Removes prepared snapshots that were never saved.
    void removePreparedSnapshots() const
    {
        std::vector<fs::path> prepared;
        for (const fs::directory_entry &file : fs::directory_iterator {folder_}) {
            if (file.path().filename().string().starts_with(preparedPrefix)) {
                prepared.push_back(file.path());
            }
        }
        for (const fs::path &path : prepared) {
            std::error_code ignored; // the next start removes it
            fs::remove(path, ignored);
        }
    }

    void removeOlderJournals(const std::vector<std::uint64_t> &sequences) const
    {
        for (const std::uint64_t sequence : sequences) {
            if (sequence < sequence_) {
                std::error_code ignored; // the next start removes it
                fs::remove(journalPath(sequence), ignored);
            }
        }
    }

    fs::path folder_;
    File lock_;
    ReplicaId identity_;
    std::uint64_t sequence_ = 0;
    File journal_;
    // Index of the newest prepared snapshot; zero if there is none.
    std::atomic<LogIndex> preparedIndex_ {LogIndex {}};
};

/// Writes the identity. It is written last: a folder without an identity was never in use, so
/// its other files can be removed.
Result<void> writeIdentity(const fs::path &path, ReplicaId identity)
{
    return replaceFile(path, encodeIdentity(identity));
}

/// Removes the files of an unfinished initialisation.
void removeLeftovers(const fs::path &folder)
{
    std::vector<fs::path> leftovers;
    for (const fs::directory_entry &file : fs::directory_iterator {folder}) {
        if (journalSequence(file.path()) || file.path().filename() == snapshotName) {
            leftovers.push_back(file.path());
        }
    }
    for (const fs::path &path : leftovers) {
        std::error_code ignored; // load() reports unreadable files
        fs::remove(path, ignored);
    }
}

} // namespace

Result<std::unique_ptr<Storage>> openFileStorage(const fs::path &folder, ReplicaId newIdentity)
{
    std::error_code error;
    fs::create_directories(folder, error);
    if (error) {
        return StorageError::CannotOpen;
    }
    File lock {folder / lockName, O_RDWR | O_CREAT};
    if (!lock.isOpen()) {
        return StorageError::CannotOpen;
    }
    if (!lock.lock()) {
        return StorageError::Locked;
    }
    const fs::path identityPath = folder / identityName;
    if (fs::exists(identityPath)) {
        BOOST_OUTCOME_TRY(const std::string framed, readFile(identityPath));
        BOOST_OUTCOME_TRY(const ReplicaId identity, decodeIdentity(framed));
        return std::make_unique<FileStorage>(folder, std::move(lock), identity);
    }
    removeLeftovers(folder);
    std::unique_ptr<FileStorage> storage =
        std::make_unique<FileStorage>(folder, std::move(lock), newIdentity);
    BOOST_OUTCOME_TRY(storage->startJournal({}, {}));
    BOOST_OUTCOME_TRY(writeIdentity(identityPath, newIdentity));
    return storage;
}

} // namespace crocusmill
