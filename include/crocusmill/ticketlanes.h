/// Selects the VM that sends the next request to the ticket office.
///
/// Load pattern: the office answers the requests of a VM one after the other, and those of large
/// jobs take forty times as long as those of quick jobs. After a change of leaders a few large ones
/// would delay all quick ones. So long requests use only half of the VMs, and a VM gets a request
/// only when it is about to be idle: the other requests wait at the leader, where urgent ones can
/// overtake them. Pure; owned by the control thread.

#pragma once

#include <crocusmill/consensus.h>

#include <cstdint>
#include <map>
#include <optional>

namespace crocusmill
{

class TicketVmSelector
{
public:
    /// Records a sign of life of the VM, which makes it selectable.
    void markAlive(const NodeAddress &vm, MonotonicTime now);
    /// Adds this VM itself, which never counts as silent.
    void addSelf(const NodeAddress &vm);
    /// Removes a VM that left a request unanswered, until the next markAlive().
    void markSilent(const NodeAddress &vm);

    /// Returns a VM that can soon send a request of this duration; none: the request must wait.
    [[nodiscard]] std::optional<NodeAddress> pick(Milliseconds duration, MonotonicTime now) const;
    /// Records that the VM got a request. Returns the expected time until its answer.
    Milliseconds recordRequest(const NodeAddress &vm, Milliseconds duration, MonotonicTime now);
    void recordAnswer(const NodeAddress &vm, MonotonicTime now);

private:
    struct VmState
    {
        MonotonicTime lastHeard {};
        MonotonicTime freeAt {}; // expected end of its pending requests
        std::uint32_t pendingRequestCount = 0;
    };

    [[nodiscard]] static bool isAlive(const VmState &state, MonotonicTime now);

    std::map<NodeAddress, VmState> vms_;
};

} // namespace crocusmill
