/// Unchanged announcements.

#include "src/services/quietupstreams.h"

namespace crocusmill
{

namespace
{

/// The same in everything that the leader acts on, and nothing that needs its answer.
bool isQuietRepeat(const Announcement &before, const Announcement &now)
{
    return now.running.empty() && now.finished.empty() && before.running.empty()
        && before.finished.empty() && before.environment == now.environment
        && before.stage == now.stage && before.service == now.service
        && before.address == now.address && before.slots == now.slots
        && before.incarnation == now.incarnation && before.mode == now.mode;
}

} // namespace

QuietUpstreams::QuietUpstreams(Milliseconds passOnEvery)
    : passOnEvery_(passOnEvery)
{
}

std::optional<AnnounceReply> QuietUpstreams::answer(const AnnounceCall &call, MonotonicTime now)
{
    const auto found = known_.find(call.announcement.id);
    if (call.farewell || found == known_.end()) {
        return std::nullopt;
    }
    const Known &known = found->second;
    if (now - known.passedOn >= passOnEvery_
        || !isQuietRepeat(known.announcement, call.announcement)) {
        return std::nullopt;
    }
    heard_.push_back(known.number);
    AnnounceReply reply;
    reply.number = known.number;
    return reply;
}

void QuietUpstreams::passedOn(const AnnounceCall &call, std::uint32_t number, MonotonicTime now)
{
    known_[call.announcement.id] = {call.announcement, number, now};
}

void QuietUpstreams::forget(const UpstreamId &upstream)
{
    known_.erase(upstream);
}

void QuietUpstreams::forgetAll()
{
    known_.clear();
}

std::vector<std::uint32_t> QuietUpstreams::takeHeard()
{
    return std::exchange(heard_, {});
}

} // namespace crocusmill
