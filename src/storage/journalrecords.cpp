/// Encoding of record fields, with little-endian integers.

#include "src/storage/journalrecords.h"

#include "src/storage/recordfile.h"
#include "src/wire/membershipcodec.h"

namespace crocusmill
{

namespace
{

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
        : remaining_(bytes)
    {
    }

    [[nodiscard]] Result<std::uint64_t> u64()
    {
        constexpr std::size_t size = sizeof(std::uint64_t);
        if (remaining_.size() < size) {
            return StorageError::Damaged;
        }
        std::uint64_t value = 0;
        for (std::size_t i = 0; i < size; ++i) {
            value |= static_cast<std::uint64_t>(static_cast<unsigned char>(remaining_[i]))
                << (8 * i);
        }
        remaining_.remove_prefix(size);
        return value;
    }

    [[nodiscard]] Result<std::uint8_t> u8()
    {
        if (remaining_.empty()) {
            return StorageError::Damaged;
        }
        const std::uint8_t value = static_cast<std::uint8_t>(remaining_.front());
        remaining_.remove_prefix(1);
        return value;
    }

    [[nodiscard]] Result<std::string_view> bytes(std::size_t count)
    {
        if (remaining_.size() < count) {
            return StorageError::Damaged;
        }
        const std::string_view field = remaining_.substr(0, count);
        remaining_.remove_prefix(count);
        return field;
    }

    [[nodiscard]] std::string_view remaining() const
    {
        return remaining_;
    }

private:
    std::string_view remaining_;
};

enum class RecordKind : std::uint8_t { Hard = 1, Entry = 2 };

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
        return success(); // a crash after saving the snapshot left the old journal
    }
    std::vector<LogEntry> &entries = state.entries;
    while (!entries.empty() && entries.back().index >= LogIndex {index}) {
        entries.pop_back();
    }
    const LogIndex last = entries.empty() ? base : entries.back().index;
    if (LogIndex {index} != next(last)) {
        return StorageError::Damaged;
    }
    entries.push_back({LogIndex {index}, Term {term}, static_cast<EntryKind>(kind),
        std::string {reader.remaining()}});
    return success();
}

/// Returns the content of a file with exactly one record.
std::string encodeSingleRecord(std::string_view payload)
{
    std::string framed;
    appendRecord(framed, payload);
    return framed;
}

Result<std::string_view> decodeSingleRecord(std::string_view framed)
{
    BOOST_OUTCOME_TRY(const ScannedRecords scanned, scanRecords(framed));
    if (scanned.payloads.size() != 1 || scanned.validBytes != framed.size()) {
        return StorageError::Damaged;
    }
    return scanned.payloads.front();
}

} // namespace

void appendHardState(std::string &out, const HardState &hardState)
{
    std::string payload;
    payload.push_back(static_cast<char>(RecordKind::Hard));
    putU64(payload, hardState.term.value());
    putU64(payload, hardState.votedFor.value());
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
    state.hardState = {Term {term}, ReplicaId {votedFor}};
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
    return encodeSingleRecord(payload);
}

Result<Snapshot> decodeSnapshot(std::string_view framed)
{
    BOOST_OUTCOME_TRY(const std::string_view payload, decodeSingleRecord(framed));
    FieldReader reader {payload};
    BOOST_OUTCOME_TRY(const std::uint64_t index, reader.u64());
    BOOST_OUTCOME_TRY(const std::uint64_t term, reader.u64());
    BOOST_OUTCOME_TRY(const std::uint64_t size, reader.u64());
    BOOST_OUTCOME_TRY(const std::string_view membership, reader.bytes(size));
    Result<Membership> members = decodeMembership(membership);
    if (!members) {
        return StorageError::Damaged;
    }
    return Snapshot {LogIndex {index}, Term {term}, std::move(members.value()),
        std::string {reader.remaining()}};
}

std::string encodeIdentity(ReplicaId identity)
{
    std::string payload;
    putU64(payload, identity.value());
    return encodeSingleRecord(payload);
}

Result<ReplicaId> decodeIdentity(std::string_view framed)
{
    BOOST_OUTCOME_TRY(const std::string_view payload, decodeSingleRecord(framed));
    FieldReader reader {payload};
    BOOST_OUTCOME_TRY(const std::uint64_t identity, reader.u64());
    return ReplicaId {identity};
}

} // namespace crocusmill
