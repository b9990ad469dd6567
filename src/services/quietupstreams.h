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

class QuietUpstreams
{
public:
    /// An unchanged announcement is passed on at least this often, as what the leader knows may
    /// have come through another entry since.
    explicit QuietUpstreams(Milliseconds passOnEvery);

    /// The answer to an announcement that need not be passed on; it is noted as heard.
    [[nodiscard]] std::optional<AnnounceReply> answer(const AnnounceCall &call, MonotonicTime now);
    /// The leader took the announcement in under this number of its directory.
    void passedOn(const AnnounceCall &call, std::uint32_t number, MonotonicTime now);
    void forget(const UpstreamId &upstream);
    /// Numbers belong to one leader.
    void forgetAll();
    /// Numbers of those answered here since the last call, for the next beat.
    [[nodiscard]] std::vector<std::uint32_t> takeHeard();

private:
    struct Known
    {
        Announcement announcement;
        std::uint32_t number = 0;
        MonotonicTime passedOn;
    };

    Milliseconds passOnEvery_;
    std::map<UpstreamId, Known> known_;
    std::vector<std::uint32_t> heard_;
};

} // namespace crocusmill
