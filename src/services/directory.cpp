/// The table of upstreams.

#include "src/services/directory.h"

#include <algorithm>

namespace crocusmill
{

namespace
{

constexpr unsigned int termShift = 32;

bool sameForEntries(const Announcement &before, const Announcement &now)
{
    return before.environment == now.environment && before.stage == now.stage
        && before.service == now.service && before.address == now.address
        && before.incarnation == now.incarnation && before.mode == now.mode
        && before.connections == now.connections && before.slots == now.slots;
}

/// Each slot in use has a connection of its own; the rest may be kept for later.
std::optional<std::uint32_t> spareConnections(const Announcement &announcement)
{
    if (announcement.connections == 0) {
        return std::nullopt;
    }
    const std::uint32_t used = std::min(announcement.connections, announcement.slots.value());
    return announcement.connections - used;
}

} // namespace

Directory::Directory(Term term)
    : version_(term.value() << termShift)
{
}

std::uint32_t Directory::announced(const Announcement &announcement, MonotonicTime now)
{
    const auto [found, isNew] = records_.try_emplace(announcement.id);
    Record &record = found->second;
    if (isNew) {
        record.number = static_cast<std::uint32_t>(numbers_.size());
        numbers_.push_back(announcement.id);
    }
    if (isNew || record.gone || !sameForEntries(record.announcement, announcement)) {
        record.version = ++version_;
    }
    record.announcement = announcement;
    record.heard = now;
    record.gone = false;
    return record.number;
}

void Directory::heard(std::uint32_t number, MonotonicTime now)
{
    if (number < numbers_.size()) {
        Record &record = records_[numbers_[number]];
        if (!record.gone) {
            record.heard = now;
        }
    }
}

std::vector<UpstreamId> Directory::silentSince(MonotonicTime before)
{
    std::vector<UpstreamId> silent;
    for (std::pair<const UpstreamId, Record> &known : records_) {
        if (!known.second.gone && known.second.heard < before) {
            farewell(known.first);
            silent.push_back(known.first);
        }
    }
    return silent;
}

void Directory::farewell(const UpstreamId &upstream)
{
    const auto found = records_.find(upstream);
    if (found == records_.end() || found->second.gone) {
        return;
    }
    found->second.gone = true;
    found->second.announcement.running.clear();
    found->second.version = ++version_;
}

const Directory::Record *Directory::find(const UpstreamId &upstream) const
{
    const auto found = records_.find(upstream);
    return found == records_.end() ? nullptr : &found->second;
}

std::vector<DirectoryEntry> Directory::changedSince(std::uint64_t version) const
{
    std::vector<DirectoryEntry> changed;
    for (const std::pair<const UpstreamId, Record> &known : records_) {
        const Record &record = known.second;
        if (record.version <= version) {
            continue;
        }
        const Announcement &announcement = record.announcement;
        changed.push_back({record.number, known.first,
            {announcement.environment, announcement.stage, announcement.service},
            announcement.address, announcement.incarnation,
            announcement.mode == UpstreamMode::Draining, record.gone,
            spareConnections(announcement)});
    }
    return changed;
}

std::uint64_t Directory::version() const
{
    return version_;
}

std::set<UpstreamId> Directory::alive() const
{
    std::set<UpstreamId> alive;
    for (const std::pair<const UpstreamId, Record> &known : records_) {
        if (!known.second.gone) {
            alive.insert(known.first);
        }
    }
    return alive;
}

const std::map<UpstreamId, Directory::Record> &Directory::records() const
{
    return records_;
}

} // namespace crocusmill
