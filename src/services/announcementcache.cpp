/// Implementation of AnnouncementCache.

#include "src/services/announcementcache.h"

namespace crocusmill
{

namespace
{

/// Returns whether nothing that the leader acts on has changed and no attempt is listed that needs
/// the leader's answer.
bool isUnchanged(const Announcement &before, const Announcement &now)
{
    return now.running.empty() && now.finished.empty() && before.running.empty()
        && before.finished.empty() && before.environment == now.environment
        && before.stage == now.stage && before.service == now.service
        && before.address == now.address && before.slots == now.slots
        && before.incarnation == now.incarnation && before.mode == now.mode;
}

} // namespace

AnnouncementCache::AnnouncementCache(Milliseconds forwardInterval)
    : forwardInterval_(forwardInterval)
{
}

std::optional<AnnounceReply> AnnouncementCache::tryAnswer(
    const AnnounceCall &call, MonotonicTime now)
{
    const auto it = announcements_.find(call.announcement.id);
    if (call.farewell || it == announcements_.end()) {
        return std::nullopt;
    }
    const CachedAnnouncement &cached = it->second;
    if (now - cached.forwardedAt >= forwardInterval_
        || !isUnchanged(cached.announcement, call.announcement)) {
        return std::nullopt;
    }
    heardNumbers_.push_back(cached.number);
    AnnounceReply reply;
    reply.number = cached.number;
    return reply;
}

void AnnouncementCache::recordForwarded(
    const AnnounceCall &call, std::uint32_t number, MonotonicTime now)
{
    announcements_[call.announcement.id] = {call.announcement, number, now};
}

void AnnouncementCache::remove(const UpstreamId &upstream)
{
    announcements_.erase(upstream);
}

void AnnouncementCache::clear()
{
    announcements_.clear();
}

std::vector<std::uint32_t> AnnouncementCache::takeHeardNumbers()
{
    return std::exchange(heardNumbers_, {});
}

} // namespace crocusmill
