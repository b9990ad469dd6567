/// Entry side: slots in use, limited by the current grant.

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

SlotHandle SlotPool::handleOf(const UpstreamId &upstream)
{
    const SlotHandle newHandle {static_cast<std::uint32_t>(slots_.size())};
    const auto [it, isNew] = handles_.try_emplace(upstream, newHandle);
    if (isNew) {
        slots_.emplace_back();
    }
    return it->second;
}

const SlotPool::Slots *SlotPool::find(const UpstreamId &upstream) const
{
    const auto it = handles_.find(upstream);
    return it == handles_.end() ? nullptr : &slots_[it->second.value()];
}

void SlotPool::clearExpiredLimits(MonotonicTime now)
{
    if (valid(now)) {
        return;
    }
    for (Slots &slots : slots_) {
        slots.limit = 0;
    }
}

void SlotPool::applyGrant(const std::vector<SlotLine> &lines, MonotonicTime requestedAt,
    Milliseconds validity, MonotonicTime now)
{
    clearExpiredLimits(now);
    for (const SlotLine &line : lines) {
        slots_[handleOf(line.upstream).value()].limit = line.slots.value();
    }
    validUntil_ = std::max(validUntil_, requestedAt + validity);
}

void SlotPool::close(const UpstreamId &upstream)
{
    slots_[handleOf(upstream).value()].limit = 0;
}

Result<void> SlotPool::acquire(const UpstreamId &upstream, MonotonicTime now)
{
    if (!valid(now)) {
        return SlotError::GrantExpired;
    }
    const auto it = handles_.find(upstream);
    if (it == handles_.end()) {
        return SlotError::UnknownUpstream;
    }
    Slots &slots = slots_[it->second.value()];
    if (slots.inUse >= slots.limit) {
        return SlotError::NoneFree;
    }
    ++slots.inUse;
    return success();
}

void SlotPool::release(const UpstreamId &upstream)
{
    Slots &slots = slots_[handleOf(upstream).value()];
    if (slots.inUse > 0) {
        --slots.inUse;
    }
}

std::uint32_t SlotPool::limit(const UpstreamId &upstream) const
{
    const Slots *slots = find(upstream);
    return slots == nullptr ? 0 : slots->limit;
}

bool SlotPool::valid(MonotonicTime now) const
{
    return now < validUntil_;
}

std::vector<SlotLine> SlotPool::report(bool full, MonotonicTime now)
{
    clearExpiredLimits(now);
    std::vector<SlotLine> lines;
    for (const std::pair<const UpstreamId, SlotHandle> &item : handles_) {
        const std::uint32_t heldSlots = held(item.second);
        const auto it = acknowledged_.find(item.first);
        const bool hasChanged = it == acknowledged_.end() || it->second != heldSlots;
        if (full ? heldSlots > 0 : hasChanged) {
            lines.push_back({item.first, SlotCount {heldSlots}});
        }
    }
    return lines;
}

void SlotPool::acknowledge(const std::vector<SlotLine> &reported)
{
    for (const SlotLine &line : reported) {
        acknowledged_[line.upstream] = line.slots.value();
    }
}

} // namespace crocusmill
