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

/// What a queue's requests for tickets need of the VMs that send them.
struct TicketTerms
{
    QueueName queue;
    TicketTiming timing;
    std::size_t otherWaitingQueues = 0; // with long requests that wait for a VM
};

class TicketClient
{
public:
    TicketClient(Peers &peers, TicketOffice &localOffice, NodeAddress self);

    /// Returns whether a request for `workers` workers takes long, so that only some VMs send it.
    [[nodiscard]] static bool isLong(const TicketTiming &timing, std::size_t workers);

    /// Notes that the VM is alive and may send requests.
    void onVmPresence(const NodeAddress &vm, MonotonicTime now);

    /// Returns whether a VM is free, or soon will be, for a request for `workers` workers.
    [[nodiscard]] bool canAsk(
        const TicketTerms &terms, std::size_t workers, MonotonicTime now) const;
    /// Sends a request for tickets. Returns false, without a call of `done`, if no VM is free.
    bool ask(const TaskRef &step, const std::vector<WorkerId> &workers, const TicketTerms &terms,
        MonotonicTime now, std::function<void(const TicketAnswer &)> done);

private:
    Peers &peers_;
    TicketOffice &localOffice_;
    NodeAddress self_;
    std::shared_ptr<TicketVmSelector> lanes_; // answers may outlive this object
};

} // namespace crocusmill
