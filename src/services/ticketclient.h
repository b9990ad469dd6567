/// Puts questions about tickets to the office by way of the VM that is free for them.

#pragma once

#include "src/services/interfaces.h"
#include "src/services/workerlink.h"

#include <crocusmill/catalog.h>
#include <crocusmill/ticketlanes.h>

#include <functional>
#include <memory>
#include <vector>

namespace crocusmill
{

class TicketClient
{
public:
    TicketClient(Peers &peers, TicketOffice &localOffice, NodeAddress self);

    /// The VM is there and may be asked.
    void onVmPresence(const NodeAddress &vm, MonotonicTime now);

    /// Whether a question about so many workers would be put soon.
    [[nodiscard]] bool canAsk(
        const TicketTerms &terms, std::size_t workers, MonotonicTime now) const;
    /// False, and `done` is not called, while no VM is free.
    bool ask(const TaskRef &step, const std::vector<WorkerId> &workers, const TicketTerms &terms,
        MonotonicTime now, std::function<void(const TicketAnswer &)> done);

private:
    Peers &peers_;
    TicketOffice &localOffice_;
    NodeAddress self_;
    std::shared_ptr<TicketLanes> lanes_; // answers may come when this object is gone
};

} // namespace crocusmill
