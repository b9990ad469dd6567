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

SlotHandle SlotPool::handleOf(const UpstreamId &upstream)
{
    const SlotHandle fresh {static_cast<std::uint32_t>(slots_.size())};
    const auto [known, isNew] = handles_.try_emplace(upstream, fresh);
    if (isNew) {
        slots_.emplace_back();
    }
    return known->second;
}

const SlotPool::Slots *SlotPool::find(const UpstreamId &upstream) const
{
    const auto found = handles_.find(upstream);
    return found == handles_.end() ? nullptr : &slots_[found->second.value()];
}

void SlotPool::dropExpired(MonotonicTime now)
{
    if (valid(now)) {
        return;
    }
    for (Slots &slots : slots_) {
        slots.limit = 0;
    }
}

void SlotPool::granted(
    const std::vector<SlotLine> &lines, MonotonicTime asked, Milliseconds life, MonotonicTime now)
{
    dropExpired(now);
    for (const SlotLine &line : lines) {
        slots_[handleOf(line.upstream).value()].limit = line.slots.value();
    }
    validUntil_ = std::max(validUntil_, asked + life);
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
    const auto found = handles_.find(upstream);
    if (found == handles_.end()) {
        return SlotError::UnknownUpstream;
    }
    Slots &slots = slots_[found->second.value()];
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
    dropExpired(now);
    std::vector<SlotLine> lines;
    for (const std::pair<const UpstreamId, SlotHandle> &known : handles_) {
        const std::uint32_t holds = held(known.second);
        const auto before = acknowledged_.find(known.first);
        const bool changed = before == acknowledged_.end() || before->second != holds;
        if (full ? holds > 0 : changed) {
            lines.push_back({known.first, SlotCount {holds}});
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
