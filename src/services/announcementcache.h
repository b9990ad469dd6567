/// Announcements that an entry can answer itself because the leader knows their contents.

#pragma once

#include "src/wire/calls.h"

#include <crocusmill/consensus.h>

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace crocusmill
{

class AnnouncementCache
{
public:
    /// Unchanged announcements are forwarded at least once per `forwardInterval`, because another
    /// entry may have forwarded different contents since.
    explicit AnnouncementCache(Milliseconds forwardInterval);

    /// Returns the answer to an announcement that need not be forwarded and marks the upstream as
    /// heard. Returns std::nullopt if the announcement must go to the leader.
    [[nodiscard]] std::optional<AnnounceReply> tryAnswer(
        const AnnounceCall &call, MonotonicTime now);
    /// Records that the leader accepted the announcement. `number` is the upstream's number in the
    /// leader's directory.
    void recordForwarded(const AnnounceCall &call, std::uint32_t number, MonotonicTime now);
    void remove(const UpstreamId &upstream);
    /// Removes all announcements. Call it after a leader change: numbers belong to one leader.
    void clear();
    /// Returns the numbers of the upstreams answered here since the last call, for the next beat.
    [[nodiscard]] std::vector<std::uint32_t> takeHeardNumbers();

private:
    struct CachedAnnouncement
    {
        Announcement announcement;
        std::uint32_t number = 0;
        MonotonicTime forwardedAt;
    };

    Milliseconds forwardInterval_;
    std::map<UpstreamId, CachedAnnouncement> announcements_;
    std::vector<std::uint32_t> heardNumbers_;
};

} // namespace crocusmill
