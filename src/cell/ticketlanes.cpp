/// VMs in the order of their addresses; only the first ones take long requests.

#include <crocusmill/ticketlanes.h>

#include <algorithm>
#include <cmath>

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
/// Time over which the load of quick requests is averaged.
constexpr std::chrono::duration<double> quickLoadTime {1.0};
constexpr double minReserveDivisor = 2;
constexpr double maxReserveDivisor = 4;

} // namespace

void TicketVmSelector::markAlive(const NodeAddress &vm, MonotonicTime now)
{
    VmState &state = vms_[vm];
    state.lastHeard = std::max(state.lastHeard, now);
    quickLoadAt_ = quickLoadAt_ == MonotonicTime {} ? now : quickLoadAt_;
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

std::optional<NodeAddress> TicketVmSelector::pick(
    const TicketRequest &request, MonotonicTime now) const
{
    const std::ptrdiff_t aliveCount = std::count_if(
        vms_.begin(), vms_.end(), [now](const std::pair<const NodeAddress, VmState> &entry) {
            return isAlive(entry.second, now);
        });
    const bool isLong = request.duration >= longRequestDuration;
    const std::ptrdiff_t usableCount = isLong
        ? std::max<std::ptrdiff_t>(aliveCount - reservedCount(aliveCount, now), 1)
        : aliveCount;
    const std::ptrdiff_t queueCount = static_cast<std::ptrdiff_t>(request.otherWaitingQueues) + 1;
    const std::ptrdiff_t share = std::max<std::ptrdiff_t>(usableCount / queueCount, 1);
    if (isLong && queueCount > 1 && busyCount(request.queue, now) >= share) {
        return std::nullopt;
    }
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

/// Returns how many VMs take no long requests: twice as many as quick requests keep busy, and one
/// more, but at least a quarter and at most half of them.
std::ptrdiff_t TicketVmSelector::reservedCount(std::ptrdiff_t aliveCount, MonotonicTime now) const
{
    const double required = 2 * quickLoad(now) + 1;
    const double alive = static_cast<double>(aliveCount);
    return static_cast<std::ptrdiff_t>(
        std::ceil(std::clamp(required, alive / maxReserveDivisor, alive / minReserveDivisor)));
}

/// Returns the mean number of VMs that quick requests keep busy.
double TicketVmSelector::quickLoad(MonotonicTime now) const
{
    const std::chrono::duration<double> passed = now - quickLoadAt_;
    return quickLoad_ * std::exp(-passed / quickLoadTime);
}

/// Returns the number of VMs that wait for answers to long requests of the queue.
std::ptrdiff_t TicketVmSelector::busyCount(const QueueName &queue, MonotonicTime now) const
{
    return std::count_if(vms_.begin(), vms_.end(),
        [&queue, now](const std::pair<const NodeAddress, VmState> &entry) {
            return entry.second.freeAt > now + leadTime && entry.second.longRequestQueue == queue;
        });
}

Milliseconds TicketVmSelector::recordRequest(
    const NodeAddress &vm, const TicketRequest &request, MonotonicTime now)
{
    VmState &state = vms_[vm];
    if (request.duration < longRequestDuration) {
        quickLoad_ = quickLoad(now) + request.duration / quickLoadTime;
        quickLoadAt_ = now;
        state.longRequestQueue = {};
    } else {
        state.longRequestQueue = request.queue;
    }
    state.freeAt = std::max(state.freeAt, now) + request.duration;
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
