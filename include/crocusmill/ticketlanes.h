/// Which VM asks the ticket office next.
///
/// Load pattern: the office answers one VM's questions in turn, and those of large jobs take forty
/// times as long as those of quick ones. A handful of them, as after a change of leaders, would
/// stand before every quick one. So long questions keep to half of the VMs, and a VM gets a
/// question only when it is about to be free: the others wait where urgent work can overtake them.
/// Pure; owned by the control thread.

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
    /// The VM may ask.
    void markAlive(const NodeAddress &vm, MonotonicTime now);
    /// This VM itself; it is never silent.
    void addSelf(const NodeAddress &vm);
    /// It left a question unanswered: it is not asked before it is heard again.
    void markSilent(const NodeAddress &vm);

    /// A VM that can put a question which takes this long soon; none: the question has to wait.
    [[nodiscard]] std::optional<NodeAddress> pick(Milliseconds duration, MonotonicTime now) const;
    /// The VM was given a question. Returns how long its answer should take.
    Milliseconds recordRequest(const NodeAddress &vm, Milliseconds duration, MonotonicTime now);
    void recordAnswer(const NodeAddress &vm, MonotonicTime now);

private:
    struct VmState
    {
        MonotonicTime lastHeard {};
        MonotonicTime freeAt {}; // when its questions so far should be answered
        std::uint32_t pendingRequestCount = 0; // questions without an answer
    };

    [[nodiscard]] static bool isAlive(const VmState &state, MonotonicTime now);

    std::map<NodeAddress, VmState> vms_;
};

} // namespace crocusmill
