/// Tests of durable storage: reload, replaced entries, snapshots, torn writes and bit flips.

#include <crocusmill/storage.h>

#include <catch2/catch.hpp>

#include <fstream>
#include <sstream>
#include <unistd.h>

namespace crocusmill
{

namespace
{

namespace fs = std::filesystem;

class TemporaryFolder
{
public:
    TemporaryFolder()
        : path_(fs::temp_directory_path()
            / ("crocusmill-storage-" + std::to_string(::getpid()) + "-"
                + std::to_string(counter++)))
    {
        fs::remove_all(path_);
    }
    ~TemporaryFolder()
    {
        fs::remove_all(path_);
    }
    TemporaryFolder(const TemporaryFolder &) = delete;
    TemporaryFolder &operator=(const TemporaryFolder &) = delete;

    const fs::path &path() const
    {
        return path_;
    }

    fs::path journal() const
    {
        for (const fs::directory_entry &file : fs::directory_iterator {path_}) {
            if (file.path().filename().string().starts_with("journal-")) {
                return file.path();
            }
        }
        return {};
    }

private:
    static inline int counter = 0;
    fs::path path_;
};

LogEntry entry(std::uint64_t index, std::uint64_t term, std::string payload)
{
    return {LogIndex {index}, Term {term}, EntryKind::Command, std::move(payload)};
}

std::string contentOf(const fs::path &path)
{
    std::ifstream in {path, std::ios::binary};
    std::ostringstream content;
    content << in.rdbuf();
    return content.str();
}

void setContent(const fs::path &path, const std::string &content)
{
    std::ofstream out {path, std::ios::binary | std::ios::trunc};
    out << content;
}

Result<StoredState> reload(const TemporaryFolder &folder)
{
    Result<std::unique_ptr<Storage>> storage = openFileStorage(folder.path(), ReplicaId {99});
    if (!storage) {
        return storage.error();
    }
    return storage.value()->load();
}

void writeSampleJournal(const TemporaryFolder &folder)
{
    const std::unique_ptr<Storage> storage =
        std::move(openFileStorage(folder.path(), ReplicaId {7}).value());
    REQUIRE(storage->load().has_value());
    REQUIRE(storage->append(HardState {Term {2}, ReplicaId {7}}, {entry(1, 1, "a")}).has_value());
    REQUIRE(storage->append(std::nullopt, {entry(2, 2, "b"), entry(3, 2, "c")}).has_value());
}

bool isPrefix(const std::vector<LogEntry> &prefix, const std::vector<LogEntry> &whole)
{
    return prefix.size() <= whole.size() && std::equal(prefix.begin(), prefix.end(), whole.begin());
}

} // namespace

TEST_CASE("stored state survives a reload")
{
    const TemporaryFolder folder;
    writeSampleJournal(folder);
    const Result<StoredState> state = reload(folder);
    REQUIRE(state.has_value());
    CHECK(state.value().hardState == HardState {Term {2}, ReplicaId {7}});
    REQUIRE(state.value().entries.size() == 3);
    CHECK(state.value().entries[2].payload == "c");
}

TEST_CASE("a folder keeps its identity, and an empty folder gets a new one")
{
    const TemporaryFolder folder;
    writeSampleJournal(folder);
    {
        const std::unique_ptr<Storage> reopened =
            std::move(openFileStorage(folder.path(), ReplicaId {8}).value());
        CHECK(reopened->identity() == ReplicaId {7});
    }
    fs::remove_all(folder.path());
    const std::unique_ptr<Storage> recreated =
        std::move(openFileStorage(folder.path(), ReplicaId {8}).value());
    CHECK(recreated->identity() == ReplicaId {8});
}

TEST_CASE("a prepared snapshot takes effect only after it is saved")
{
    const TemporaryFolder folder;
    writeSampleJournal(folder);
    const Snapshot snapshot {LogIndex {2}, Term {2}, {}, "state"};
    {
        const std::unique_ptr<Storage> storage =
            std::move(openFileStorage(folder.path(), ReplicaId {7}).value());
        REQUIRE(storage->load().has_value());
        REQUIRE(storage->prepareSnapshot(snapshot).has_value());
        REQUIRE(storage->append(std::nullopt, {entry(4, 2, "d")}).has_value());
    }
    const Result<StoredState> before = reload(folder);
    REQUIRE(before.has_value());
    CHECK(before.value().snapshot == nullptr);
    CHECK(before.value().entries.size() == 4);
    {
        const std::unique_ptr<Storage> storage =
            std::move(openFileStorage(folder.path(), ReplicaId {7}).value());
        const StoredState stored = storage->load().value();
        REQUIRE(storage->prepareSnapshot(snapshot).has_value());
        const std::vector<LogEntry> after {stored.entries.begin() + 2, stored.entries.end()};
        REQUIRE(storage->saveSnapshot(snapshot, stored.hardState, after).has_value());
    }
    const Result<StoredState> saved = reload(folder);
    REQUIRE(saved.has_value());
    REQUIRE(saved.value().snapshot != nullptr);
    CHECK(saved.value().snapshot->data == "state");
    CHECK(saved.value().entries.size() == 2);
}

TEST_CASE("a second process cannot open the folder")
{
    const TemporaryFolder folder;
    const std::unique_ptr<Storage> first =
        std::move(openFileStorage(folder.path(), ReplicaId {7}).value());
    const Result<std::unique_ptr<Storage>> second = openFileStorage(folder.path(), ReplicaId {8});
    REQUIRE(second.has_error());
    CHECK(second.error() == StorageError::Locked);
}

TEST_CASE("an entry replaces those with the same or a higher index")
{
    const TemporaryFolder folder;
    writeSampleJournal(folder);
    {
        const std::unique_ptr<Storage> storage =
            std::move(openFileStorage(folder.path(), ReplicaId {7}).value());
        REQUIRE(storage->load().has_value());
        REQUIRE(storage->append(std::nullopt, {entry(2, 3, "x")}).has_value());
    }
    const Result<StoredState> state = reload(folder);
    REQUIRE(state.has_value());
    REQUIRE(state.value().entries.size() == 2);
    CHECK(state.value().entries[1].payload == "x");
}

TEST_CASE("a snapshot replaces the log that it covers")
{
    const TemporaryFolder folder;
    writeSampleJournal(folder);
    {
        const std::unique_ptr<Storage> storage =
            std::move(openFileStorage(folder.path(), ReplicaId {7}).value());
        REQUIRE(storage->load().has_value());
        const Snapshot snapshot {LogIndex {2}, Term {2}, {}, "state"};
        REQUIRE(
            storage->saveSnapshot(snapshot, HardState {Term {4}, ReplicaId {}}, {entry(3, 2, "c")})
                .has_value());
        REQUIRE(storage->append(std::nullopt, {entry(4, 4, "d")}).has_value());
    }
    const Result<StoredState> state = reload(folder);
    REQUIRE(state.has_value());
    CHECK(state.value().snapshot->data == "state");
    CHECK(state.value().hardState.term == Term {4});
    REQUIRE(state.value().entries.size() == 2);
    CHECK(state.value().entries[1].payload == "d");
}

TEST_CASE("a missing journal next to an identity is reported as damage")
{
    const TemporaryFolder folder;
    writeSampleJournal(folder);
    fs::remove(folder.journal());
    const Result<StoredState> state = reload(folder);
    REQUIRE(state.has_error());
    CHECK(state.error() == StorageError::Damaged);
}

TEST_CASE("every truncation yields a prefix of the stored entries")
{
    const TemporaryFolder folder;
    writeSampleJournal(folder);
    const std::vector<LogEntry> whole = reload(folder).value().entries;
    const fs::path journal = folder.journal();
    const std::string content = contentOf(journal);
    for (std::size_t size = 0; size < content.size(); ++size) {
        setContent(journal, content.substr(0, size));
        const Result<StoredState> state = reload(folder);
        REQUIRE(state.has_value());
        REQUIRE(isPrefix(state.value().entries, whole));
    }
}

TEST_CASE("every single-bit flip is detected")
{
    const TemporaryFolder folder;
    writeSampleJournal(folder);
    const fs::path journal = folder.journal();
    const std::string content = contentOf(journal);
    for (std::size_t bit = 0; bit < content.size() * 8; ++bit) {
        std::string flipped = content;
        flipped[bit / 8] = static_cast<char>(flipped[bit / 8] ^ (1 << (bit % 8)));
        setContent(journal, flipped);
        const Result<StoredState> state = reload(folder);
        REQUIRE(state.has_error());
        REQUIRE(state.error() == StorageError::Damaged);
    }
}

TEST_CASE("zeros after the last record are a torn write and are truncated")
{
    const TemporaryFolder folder;
    writeSampleJournal(folder);
    const fs::path journal = folder.journal();
    const std::string content = contentOf(journal);
    setContent(journal, content + std::string(100, '\0'));
    const Result<StoredState> state = reload(folder);
    REQUIRE(state.has_value());
    CHECK(state.value().entries.size() == 3);
    CHECK(contentOf(journal) == content);
}

} // namespace crocusmill
