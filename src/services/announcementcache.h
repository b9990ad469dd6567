/// Which announcements an entry may answer itself, because the leader knows all that they say.

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
    /// An unchanged announcement is passed on at least this often, as what the leader knows may
    /// have come through another entry since.
    explicit AnnouncementCache(Milliseconds forwardInterval);

    /// The answer to an announcement that need not be passed on; it is noted as heard.
    [[nodiscard]] std::optional<AnnounceReply> tryAnswer(
        const AnnounceCall &call, MonotonicTime now);
    /// The leader took the announcement in under this number of its directory.
    void recordForwarded(const AnnounceCall &call, std::uint32_t number, MonotonicTime now);
    void remove(const UpstreamId &upstream);
    /// Numbers belong to one leader.
    void clear();
    /// Numbers of those answered here since the last call, for the next beat.
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
