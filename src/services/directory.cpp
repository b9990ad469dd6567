/// Implementation of Directory.

#include "src/services/directory.h"

#include <algorithm>

namespace crocusmill
{

namespace
{

constexpr unsigned int termShift = 32;

bool isSameForEntries(const Announcement &before, const Announcement &now)
{
    return before.environment == now.environment && before.stage == now.stage
        && before.service == now.service && before.address == now.address
        && before.incarnation == now.incarnation && before.mode == now.mode
        && before.connections == now.connections && before.slots == now.slots;
}

/// Returns the connections beyond one per slot, which may stay idle.
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

std::uint32_t Directory::onAnnouncement(const Announcement &announcement, MonotonicTime now)
{
    const auto [it, isNew] = records_.try_emplace(announcement.id);
    Record &record = it->second;
    if (isNew) {
        record.number = static_cast<std::uint32_t>(idsByNumber_.size());
        idsByNumber_.push_back(announcement.id);
    }
    if (isNew || record.isGone || !isSameForEntries(record.announcement, announcement)) {
        record.version = ++version_;
    }
    record.announcement = announcement;
    record.lastHeardAt = now;
    record.isGone = false;
    return record.number;
}

void Directory::recordHeard(std::uint32_t number, MonotonicTime now)
{
    if (number < idsByNumber_.size()) {
        Record &record = records_[idsByNumber_[number]];
        if (!record.isGone) {
            record.lastHeardAt = now;
        }
    }
}

std::vector<UpstreamId> Directory::markSilentGone(MonotonicTime before)
{
    std::vector<UpstreamId> silent;
    for (std::pair<const UpstreamId, Record> &entry : records_) {
        if (!entry.second.isGone && entry.second.lastHeardAt < before) {
            markGone(entry.first);
            silent.push_back(entry.first);
        }
    }
    return silent;
}

void Directory::markGone(const UpstreamId &upstream)
{
    const auto it = records_.find(upstream);
    if (it == records_.end() || it->second.isGone) {
        return;
    }
    it->second.isGone = true;
    it->second.announcement.running.clear();
    it->second.version = ++version_;
}

const Directory::Record *Directory::find(const UpstreamId &upstream) const
{
    const auto it = records_.find(upstream);
    return it == records_.end() ? nullptr : &it->second;
}

std::vector<DirectoryEntry> Directory::changedSince(std::uint64_t version) const
{
    std::vector<DirectoryEntry> changed;
    for (const std::pair<const UpstreamId, Record> &entry : records_) {
        const Record &record = entry.second;
        if (record.version <= version) {
            continue;
        }
        const Announcement &announcement = record.announcement;
        changed.push_back({record.number, entry.first,
            {announcement.environment, announcement.stage, announcement.service},
            announcement.address, announcement.incarnation,
            announcement.mode == UpstreamMode::Draining, record.isGone,
            spareConnections(announcement)});
    }
    return changed;
}

std::uint64_t Directory::version() const
{
    return version_;
}

std::set<UpstreamId> Directory::aliveUpstreams() const
{
    std::set<UpstreamId> alive;
    for (const std::pair<const UpstreamId, Record> &entry : records_) {
        if (!entry.second.isGone) {
            alive.insert(entry.first);
        }
    }
    return alive;
}

const std::map<UpstreamId, Directory::Record> &Directory::records() const
{
    return records_;
}

} // namespace crocusmill
