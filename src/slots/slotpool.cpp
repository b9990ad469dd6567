/// The entry's side: slots in use against the grant.

#include <crocusmill/slots.h>

#include <algorithm>

namespace crocusmill
{

std::string_view ErrorText<SlotError>::text(SlotError error)
{
    switch (error) {
    case SlotError::NoneFree:
        return "every granted slot is in use";
    case SlotError::GrantExpired:
        return "the grant has run out";
    case SlotError::UnknownUpstream:
        return "no slot was ever granted there";
    }
    return "unknown slot error";
}

void SlotPool::dropExpired(MonotonicTime now)
{
    if (valid(now)) {
        return;
    }
    for (std::pair<const UpstreamId, Slots> &known : slots_) {
        known.second.limit = 0;
    }
}

void SlotPool::granted(
    const std::vector<SlotLine> &lines, MonotonicTime asked, Milliseconds life, MonotonicTime now)
{
    dropExpired(now);
    for (const SlotLine &line : lines) {
        slots_[line.upstream].limit = line.slots.value();
    }
    validUntil_ = std::max(validUntil_, asked + life);
}

void SlotPool::close(const UpstreamId &upstream)
{
    const auto found = slots_.find(upstream);
    if (found != slots_.end()) {
        found->second.limit = 0;
    }
}

Result<void> SlotPool::acquire(const UpstreamId &upstream, MonotonicTime now)
{
    if (!valid(now)) {
        return SlotError::GrantExpired;
    }
    const auto found = slots_.find(upstream);
    if (found == slots_.end()) {
        return SlotError::UnknownUpstream;
    }
    if (found->second.inUse >= found->second.limit) {
        return SlotError::NoneFree;
    }
    ++found->second.inUse;
    return success();
}

void SlotPool::release(const UpstreamId &upstream)
{
    const auto found = slots_.find(upstream);
    if (found != slots_.end() && found->second.inUse > 0) {
        --found->second.inUse;
    }
}

std::uint32_t SlotPool::free(const UpstreamId &upstream) const
{
    const auto found = slots_.find(upstream);
    if (found == slots_.end() || found->second.inUse >= found->second.limit) {
        return 0;
    }
    return found->second.limit - found->second.inUse;
}

std::uint32_t SlotPool::limit(const UpstreamId &upstream) const
{
    const auto found = slots_.find(upstream);
    return found == slots_.end() ? 0 : found->second.limit;
}

std::uint32_t SlotPool::inUse(const UpstreamId &upstream) const
{
    const auto found = slots_.find(upstream);
    return found == slots_.end() ? 0 : found->second.inUse;
}

bool SlotPool::valid(MonotonicTime now) const
{
    return now < validUntil_;
}

MonotonicTime SlotPool::validUntil() const
{
    return validUntil_;
}

std::vector<SlotLine> SlotPool::report(bool full, MonotonicTime now)
{
    dropExpired(now);
    std::vector<SlotLine> lines;
    for (const std::pair<const UpstreamId, Slots> &known : slots_) {
        const std::uint32_t held = std::max(known.second.limit, known.second.inUse);
        const auto before = acknowledged_.find(known.first);
        const bool changed = before == acknowledged_.end() || before->second != held;
        if (full ? held > 0 : changed) {
            lines.push_back({known.first, SlotCount {held}});
        }
    }
    return lines;
}

void SlotPool::acknowledged(const std::vector<SlotLine> &reported)
{
    for (const SlotLine &line : reported) {
        acknowledged_[line.upstream] = line.slots.value();
    }
}

} // namespace crocusmill
