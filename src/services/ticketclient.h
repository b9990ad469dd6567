/// Sends ticket requests to the ticket office through VMs that are free.

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

    /// Notes that the VM is alive and may send requests.
    void onVmPresence(const NodeAddress &vm, MonotonicTime now);

    /// Returns whether a VM is free, or soon will be, for a request for `workers` workers.
    [[nodiscard]] bool canAsk(
        const TicketTiming &terms, std::size_t workers, MonotonicTime now) const;
    /// Sends a request for tickets. Returns false, without a call of `done`, if no VM is free.
    bool ask(const TaskRef &step, const std::vector<WorkerId> &workers, const TicketTiming &terms,
        MonotonicTime now, std::function<void(const TicketAnswer &)> done);

private:
    Peers &peers_;
    TicketOffice &localOffice_;
    NodeAddress self_;
    std::shared_ptr<TicketVmSelector> lanes_; // answers may outlive this object
};

} // namespace crocusmill
