/// Selects the VM that sends the next request to the ticket office.
///
/// Load pattern: the office answers the requests of a VM one after the other, and those of large
/// jobs take forty times as long as those of quick jobs. After a change of leaders a few large ones
/// would delay all quick ones. So some VMs get no long requests, more of them while there are many
/// quick ones. The gangs of one queue may need more answers than the office can give; so queues
/// that wait have equal shares of the VMs for long requests. A VM gets a request only when it is
/// about to be idle: the other requests wait at the leader, where urgent ones can overtake them.
/// Pure; owned by the control thread.

#pragma once

#include <crocusmill/catalog.h>
#include <crocusmill/consensus.h>

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>

namespace crocusmill
{

/// Requests from this duration on delay quick work: a quote has 250 ms to spare.
inline constexpr Milliseconds longRequestDuration {150};

struct TicketRequest
{
    QueueName queue;
    Milliseconds duration {0}; // expected
    /// Other queues with requests that wait for a VM.
    std::size_t otherWaitingQueues = 0;
};

class TicketVmSelector
{
public:
    /// Records a sign of life of the VM, which makes it selectable.
    void markAlive(const NodeAddress &vm, MonotonicTime now);
    /// Adds this VM itself, which never counts as silent.
    void addSelf(const NodeAddress &vm);
    /// Removes a VM that left a request unanswered, until the next markAlive().
    void markSilent(const NodeAddress &vm);

    /// Returns a VM that can soon send the request; none: the request must wait.
    [[nodiscard]] std::optional<NodeAddress> pick(
        const TicketRequest &request, MonotonicTime now) const;
    /// Records that the VM got a request. Returns the expected time until its answer.
    Milliseconds recordRequest(
        const NodeAddress &vm, const TicketRequest &request, MonotonicTime now);
    void recordAnswer(const NodeAddress &vm, MonotonicTime now);

private:
    struct VmState
    {
        MonotonicTime lastHeard {};
        MonotonicTime freeAt {}; // expected end of its pending requests
        std::uint32_t pendingRequestCount = 0;
        QueueName longRequestQueue; // of the newest long request
    };

    [[nodiscard]] static bool isAlive(const VmState &state, MonotonicTime now);
    [[nodiscard]] std::ptrdiff_t reservedCount(std::ptrdiff_t aliveCount, MonotonicTime now) const;
    [[nodiscard]] double quickLoad(MonotonicTime now) const;
    [[nodiscard]] std::ptrdiff_t busyCount(const QueueName &queue, MonotonicTime now) const;

    std::map<NodeAddress, VmState> vms_;
    /// Load of quick requests at quickLoadAt_. It begins high, as all requests of a new leader come
    /// at once.
    double quickLoad_ = 16;
    MonotonicTime quickLoadAt_ {};
};

} // namespace crocusmill
