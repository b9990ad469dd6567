/// VMs in the order of their addresses; only the first half takes long requests.

#include <crocusmill/ticketlanes.h>

#include <algorithm>

namespace crocusmill
{

namespace
{

/// A VM without a heartbeat for this long gets no requests. Heartbeats come every 400 ms, and one
/// may be lost.
constexpr Milliseconds silenceTimeout {1'100};
/// A VM gets its next request this long before it is idle, so that the office does not idle while
/// the request is on its way.
constexpr Milliseconds leadTime {30};
/// Requests from this duration on delay quick work: a quote has 250 ms to spare.
constexpr Milliseconds longRequestDuration {150};

} // namespace

void TicketVmSelector::markAlive(const NodeAddress &vm, MonotonicTime now)
{
    VmState &state = vms_[vm];
    state.lastHeard = std::max(state.lastHeard, now);
}

void TicketVmSelector::addSelf(const NodeAddress &vm)
{
    vms_[vm].lastHeard = MonotonicTime::max();
}

void TicketVmSelector::markSilent(const NodeAddress &vm)
{
    const auto it = vms_.find(vm);
    if (it != vms_.end() && it->second.lastHeard != MonotonicTime::max()) {
        vms_.erase(it);
    }
}

bool TicketVmSelector::isAlive(const VmState &state, MonotonicTime now)
{
    return state.lastHeard == MonotonicTime::max() || now - state.lastHeard <= silenceTimeout;
}

std::optional<NodeAddress> TicketVmSelector::pick(Milliseconds duration, MonotonicTime now) const
{
    const std::ptrdiff_t aliveCount = std::count_if(
        vms_.begin(), vms_.end(), [now](const std::pair<const NodeAddress, VmState> &entry) {
            return isAlive(entry.second, now);
        });
    const std::ptrdiff_t usableCount =
        duration < longRequestDuration ? aliveCount : std::max<std::ptrdiff_t>(aliveCount / 2, 1);
    const std::pair<const NodeAddress, VmState> *best = nullptr;
    std::ptrdiff_t position = 0;
    for (const std::pair<const NodeAddress, VmState> &entry : vms_) {
        if (!isAlive(entry.second, now) || position++ >= usableCount) {
            continue;
        }
        // Prefers the last of equal VMs, which takes no long requests.
        if (entry.second.freeAt <= now + leadTime
            && (best == nullptr || entry.second.freeAt <= best->second.freeAt)) {
            best = &entry;
        }
    }
    return best == nullptr ? std::nullopt : std::optional {best->first};
}

Milliseconds TicketVmSelector::recordRequest(
    const NodeAddress &vm, Milliseconds duration, MonotonicTime now)
{
    VmState &state = vms_[vm];
    state.freeAt = std::max(state.freeAt, now) + duration;
    ++state.pendingRequestCount;
    return std::chrono::ceil<Milliseconds>(state.freeAt - now);
}

void TicketVmSelector::recordAnswer(const NodeAddress &vm, MonotonicTime now)
{
    const auto it = vms_.find(vm);
    if (it == vms_.end() || it->second.pendingRequestCount == 0) {
        return;
    }
    if (--it->second.pendingRequestCount == 0) {
        it->second.freeAt = now;
    }
}

} // namespace crocusmill
