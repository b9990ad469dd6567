/// Storage in one folder: `identity`, `snapshot` and one journal file named by its sequence.

#include "src/storage/recordfile.h"
#include "src/wire/membershipcodec.h"

#include <crocusmill/storage.h>

#include <algorithm>
#include <cstring>
#include <fcntl.h>
#include <fstream>
#include <sstream>
#include <sys/file.h>
#include <unistd.h>

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
constexpr const char *lockName = "lock";
constexpr const char *journalPrefix = "journal-";
constexpr mode_t fileMode = 0600;

/// A file descriptor that closes itself.
class File
{
public:
    File() = default;
    File(const fs::path &path, int flags)
        : descriptor_(::open(path.c_str(), flags | O_CLOEXEC, fileMode))
    {
    }
    ~File()
    {
        close();
    }
    File(File &&other) noexcept
        : descriptor_(std::exchange(other.descriptor_, -1))
    {
    }
    File &operator=(File &&other) noexcept
    {
        if (this != &other) {
            close();
            descriptor_ = std::exchange(other.descriptor_, -1);
        }
        return *this;
    }
    File(const File &) = delete;
    File &operator=(const File &) = delete;

    [[nodiscard]] bool isOpen() const
    {
        return descriptor_ >= 0;
    }

    [[nodiscard]] bool lock() const
    {
        return ::flock(descriptor_, LOCK_EX | LOCK_NB) == 0;
    }

    [[nodiscard]] Result<void> write(std::string_view bytes) const
    {
        while (!bytes.empty()) {
            const ssize_t written = ::write(descriptor_, bytes.data(), bytes.size());
            if (written < 0) {
                if (errno == EINTR) {
                    continue;
                }
                return StorageError::CannotWrite;
            }
            bytes.remove_prefix(static_cast<std::size_t>(written));
        }
        return success();
    }

    [[nodiscard]] Result<void> sync() const
    {
        if (::fdatasync(descriptor_) != 0) {
            return StorageError::CannotSync;
        }
        return success();
    }

    [[nodiscard]] bool truncate(std::size_t size) const
    {
        return ::ftruncate(descriptor_, static_cast<off_t>(size)) == 0;
    }

private:
    void close()
    {
        if (descriptor_ >= 0) {
            ::close(descriptor_);
        }
    }

    int descriptor_ = -1;
};

Result<void> syncFolder(const fs::path &folder)
{
    const File file {folder, O_RDONLY | O_DIRECTORY};
    if (!file.isOpen() || !file.sync()) {
        return StorageError::CannotSync;
    }
    return success();
}

/// Writes aside, syncs, renames and syncs the folder: the old content or the new, never a mix.
Result<void> replaceFile(const fs::path &path, std::string_view content)
{
    const fs::path aside = path.string() + ".new";
    {
        const File file {aside, O_WRONLY | O_CREAT | O_TRUNC};
        if (!file.isOpen()) {
            return StorageError::CannotWrite;
        }
        BOOST_OUTCOME_TRY(file.write(content));
        BOOST_OUTCOME_TRY(file.sync());
    }
    std::error_code error;
    fs::rename(aside, path, error);
    if (error) {
        return StorageError::CannotWrite;
    }
    return syncFolder(path.parent_path());
}

Result<std::string> readFile(const fs::path &path)
{
    std::ifstream in {path, std::ios::binary};
    if (!in) {
        return StorageError::CannotRead;
    }
    std::ostringstream content;
    content << in.rdbuf();
    return std::move(content).str();
}

void putU64(std::string &out, std::uint64_t value)
{
    for (int shift = 0; shift < 64; shift += 8) {
        out.push_back(static_cast<char>((value >> shift) & 0xffU));
    }
}

/// Reads the fields of one record in order.
class FieldReader
{
public:
    explicit FieldReader(std::string_view bytes)
        : rest_(bytes)
    {
    }

    [[nodiscard]] Result<std::uint64_t> u64()
    {
        constexpr std::size_t size = sizeof(std::uint64_t);
        if (rest_.size() < size) {
            return StorageError::Damaged;
        }
        std::uint64_t value = 0;
        for (std::size_t i = 0; i < size; ++i) {
            value |= static_cast<std::uint64_t>(static_cast<unsigned char>(rest_[i])) << (8 * i);
        }
        rest_.remove_prefix(size);
        return value;
    }

    [[nodiscard]] Result<std::uint8_t> u8()
    {
        if (rest_.empty()) {
            return StorageError::Damaged;
        }
        const std::uint8_t value = static_cast<std::uint8_t>(rest_.front());
        rest_.remove_prefix(1);
        return value;
    }

    [[nodiscard]] Result<std::string_view> bytes(std::size_t count)
    {
        if (rest_.size() < count) {
            return StorageError::Damaged;
        }
        const std::string_view taken = rest_.substr(0, count);
        rest_.remove_prefix(count);
        return taken;
    }

    [[nodiscard]] std::string_view rest() const
    {
        return rest_;
    }

private:
    std::string_view rest_;
};

enum class RecordKind : std::uint8_t { Hard = 1, Entry = 2 };

void appendHard(std::string &out, const HardState &hard)
{
    std::string payload;
    payload.push_back(static_cast<char>(RecordKind::Hard));
    putU64(payload, hard.term.value());
    putU64(payload, hard.votedFor.value());
    appendRecord(out, payload);
}

void appendEntry(std::string &out, const LogEntry &entry)
{
    std::string payload;
    payload.push_back(static_cast<char>(RecordKind::Entry));
    putU64(payload, entry.index.value());
    putU64(payload, entry.term.value());
    payload.push_back(static_cast<char>(entry.kind));
    payload.append(entry.payload);
    appendRecord(out, payload);
}

Result<void> replayEntry(FieldReader reader, StoredState &state)
{
    BOOST_OUTCOME_TRY(const std::uint64_t index, reader.u64());
    BOOST_OUTCOME_TRY(const std::uint64_t term, reader.u64());
    BOOST_OUTCOME_TRY(const std::uint8_t kind, reader.u8());
    if (kind > static_cast<std::uint8_t>(EntryKind::Membership)) {
        return StorageError::Damaged;
    }
    const LogIndex base = state.snapshot ? state.snapshot->index : LogIndex {};
    if (LogIndex {index} <= base) {
        return success(); // left by a crash between the snapshot and the dropping of the log
    }
    std::vector<LogEntry> &entries = state.entries;
    while (!entries.empty() && entries.back().index >= LogIndex {index}) {
        entries.pop_back();
    }
    const LogIndex last = entries.empty() ? base : entries.back().index;
    if (LogIndex {index} != next(last)) {
        return StorageError::Damaged;
    }
    entries.push_back(
        {LogIndex {index}, Term {term}, static_cast<EntryKind>(kind), std::string {reader.rest()}});
    return success();
}

Result<void> replayRecord(std::string_view payload, StoredState &state)
{
    FieldReader reader {payload};
    BOOST_OUTCOME_TRY(const std::uint8_t kind, reader.u8());
    if (kind == static_cast<std::uint8_t>(RecordKind::Entry)) {
        return replayEntry(reader, state);
    }
    if (kind != static_cast<std::uint8_t>(RecordKind::Hard)) {
        return StorageError::Damaged;
    }
    BOOST_OUTCOME_TRY(const std::uint64_t term, reader.u64());
    BOOST_OUTCOME_TRY(const std::uint64_t votedFor, reader.u64());
    state.hard = {Term {term}, ReplicaId {votedFor}};
    return success();
}

std::string encodeSnapshot(const Snapshot &snapshot)
{
    std::string payload;
    putU64(payload, snapshot.index.value());
    putU64(payload, snapshot.term.value());
    const std::string membership = encodeMembership(snapshot.membership);
    putU64(payload, membership.size());
    payload.append(membership);
    payload.append(snapshot.data);
    std::string framed;
    appendRecord(framed, payload);
    return framed;
}

Result<Snapshot> decodeSnapshot(std::string_view framed)
{
    BOOST_OUTCOME_TRY(const ScannedRecords scanned, scanRecords(framed));
    if (scanned.payloads.size() != 1 || scanned.validBytes != framed.size()) {
        return StorageError::Damaged;
    }
    FieldReader reader {scanned.payloads.front()};
    BOOST_OUTCOME_TRY(const std::uint64_t index, reader.u64());
    BOOST_OUTCOME_TRY(const std::uint64_t term, reader.u64());
    BOOST_OUTCOME_TRY(const std::uint64_t size, reader.u64());
    BOOST_OUTCOME_TRY(const std::string_view membership, reader.bytes(size));
    Result<Membership> members = decodeMembership(membership);
    if (!members) {
        return StorageError::Damaged;
    }
    return Snapshot {
        LogIndex {index}, Term {term}, std::move(members.value()), std::string {reader.rest()}};
}

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

    /// Begins the next journal file, which holds all that the earlier ones still count for.
    Result<void> startJournal(const HardState &hard, const std::vector<LogEntry> &entries)
    {
        std::string bytes;
        appendHard(bytes, hard);
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
        // A later file was renamed into place whole, so it alone counts.
        sequence_ = sequences.back();
        BOOST_OUTCOME_TRY(replayJournal(state));
        dropOlderJournals(sequences);
        return state;
    }

    Result<void> append(
        const std::optional<HardState> &hard, const std::vector<LogEntry> &entries) override
    {
        std::string bytes;
        if (hard) {
            appendHard(bytes, *hard);
        }
        for (const LogEntry &entry : entries) {
            appendEntry(bytes, entry);
        }
        BOOST_OUTCOME_TRY(journal_.write(bytes));
        return journal_.sync();
    }

    Result<void> saveSnapshot(const Snapshot &snapshot, const HardState &hard,
        const std::vector<LogEntry> &after) override
    {
        BOOST_OUTCOME_TRY(replaceFile(folder_ / snapshotName, encodeSnapshot(snapshot)));
        const std::uint64_t covered = sequence_;
        BOOST_OUTCOME_TRY(startJournal(hard, after));
        dropOlderJournals({covered});
        return success();
    }

private:
    fs::path journalPath(std::uint64_t sequence) const
    {
        return folder_ / (journalPrefix + std::to_string(sequence));
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

    void dropOlderJournals(const std::vector<std::uint64_t> &sequences) const
    {
        for (const std::uint64_t sequence : sequences) {
            if (sequence < sequence_) {
                std::error_code ignored; // dropped at the next start instead
                fs::remove(journalPath(sequence), ignored);
            }
        }
    }

    fs::path folder_;
    File lock_;
    ReplicaId identity_;
    std::uint64_t sequence_ = 0;
    File journal_;
};

Result<ReplicaId> readIdentity(const fs::path &path)
{
    BOOST_OUTCOME_TRY(const std::string framed, readFile(path));
    BOOST_OUTCOME_TRY(const ScannedRecords scanned, scanRecords(framed));
    if (scanned.payloads.size() != 1 || scanned.validBytes != framed.size()) {
        return StorageError::Damaged;
    }
    FieldReader reader {scanned.payloads.front()};
    BOOST_OUTCOME_TRY(const std::uint64_t identity, reader.u64());
    return ReplicaId {identity};
}

/// Writes the identity last: a folder without one never served, and whatever else is in it may go.
Result<void> writeIdentity(const fs::path &path, ReplicaId identity)
{
    std::string payload;
    putU64(payload, identity.value());
    std::string framed;
    appendRecord(framed, payload);
    return replaceFile(path, framed);
}

void removeLeftovers(const fs::path &folder)
{
    std::vector<fs::path> leftovers;
    for (const fs::directory_entry &file : fs::directory_iterator {folder}) {
        if (journalSequence(file.path()) || file.path().filename() == snapshotName) {
            leftovers.push_back(file.path());
        }
    }
    for (const fs::path &path : leftovers) {
        std::error_code ignored; // load() reports what cannot be read
        fs::remove(path, ignored);
    }
}

} // namespace

Result<std::unique_ptr<Storage>> openFileStorage(const fs::path &folder, ReplicaId freshIdentity)
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
        BOOST_OUTCOME_TRY(const ReplicaId identity, readIdentity(identityPath));
        return std::make_unique<FileStorage>(folder, std::move(lock), identity);
    }
    removeLeftovers(folder);
    std::unique_ptr<FileStorage> storage =
        std::make_unique<FileStorage>(folder, std::move(lock), freshIdentity);
    BOOST_OUTCOME_TRY(storage->startJournal({}, {}));
    BOOST_OUTCOME_TRY(writeIdentity(identityPath, freshIdentity));
    return storage;
}

} // namespace crocusmill
