/// VMs in the order of their addresses; the first half takes long questions as well.

#include <crocusmill/ticketlanes.h>

#include <algorithm>

namespace crocusmill
{

namespace
{

/// A VM that was not heard this long is not asked. Beats come every 400 ms; one may get lost.
constexpr Milliseconds laneLife {1'100};
/// A VM that is free within this gets its next question already, so that the way there costs no
/// time of the office.
constexpr Milliseconds leadTime {30};
/// A question that takes this long holds up quick work: a quote has 250 ms to spare.
constexpr Milliseconds longQuestion {150};

} // namespace

void TicketLanes::heard(const NodeAddress &vm, MonotonicTime now)
{
    Lane &lane = lanes_[vm];
    lane.heard = std::max(lane.heard, now);
}

void TicketLanes::addSelf(const NodeAddress &vm)
{
    lanes_[vm].heard = MonotonicTime::max();
}

void TicketLanes::lost(const NodeAddress &vm)
{
    const auto found = lanes_.find(vm);
    if (found != lanes_.end() && found->second.heard != MonotonicTime::max()) {
        lanes_.erase(found);
    }
}

bool TicketLanes::isHeard(const Lane &lane, MonotonicTime now)
{
    return lane.heard == MonotonicTime::max() || now - lane.heard <= laneLife;
}

std::optional<NodeAddress> TicketLanes::pick(Milliseconds takes, MonotonicTime now) const
{
    const std::ptrdiff_t present = std::count_if(
        lanes_.begin(), lanes_.end(), [now](const std::pair<const NodeAddress, Lane> &known) {
            return isHeard(known.second, now);
        });
    const std::ptrdiff_t usable =
        takes < longQuestion ? present : std::max<std::ptrdiff_t>(present / 2, 1);
    const std::pair<const NodeAddress, Lane> *best = nullptr;
    std::ptrdiff_t place = 0;
    for (const std::pair<const NodeAddress, Lane> &known : lanes_) {
        if (!isHeard(known.second, now) || place++ >= usable) {
            continue;
        }
        // Of equals the last: it takes no long questions.
        if (known.second.freeAt <= now + leadTime
            && (best == nullptr || known.second.freeAt <= best->second.freeAt)) {
            best = &known;
        }
    }
    return best == nullptr ? std::nullopt : std::optional {best->first};
}

Milliseconds TicketLanes::asked(const NodeAddress &vm, Milliseconds takes, MonotonicTime now)
{
    Lane &lane = lanes_[vm];
    lane.freeAt = std::max(lane.freeAt, now) + takes;
    ++lane.open;
    return std::chrono::ceil<Milliseconds>(lane.freeAt - now);
}

void TicketLanes::answered(const NodeAddress &vm, MonotonicTime now)
{
    const auto found = lanes_.find(vm);
    if (found == lanes_.end() || found->second.open == 0) {
        return;
    }
    if (--found->second.open == 0) {
        found->second.freeAt = now;
    }
}

} // namespace crocusmill
