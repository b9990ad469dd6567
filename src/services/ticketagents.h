/// Spreads questions about tickets over the VMs: the office answers one VM's questions in turn.

#pragma once

#include "src/services/interfaces.h"
#include "src/services/workerlink.h"

#include <crocusmill/catalog.h>

#include <functional>
#include <map>
#include <memory>
#include <vector>

namespace crocusmill
{

class TicketAgents
{
public:
    TicketAgents(Peers &peers, TicketOffice &local, NodeAddress self);

    /// The VM is there and may be asked.
    void heard(const NodeAddress &vm, MonotonicTime now);

    /// Whether a question could be answered within a useful time.
    [[nodiscard]] bool mayAsk(MonotonicTime now) const;
    void ask(const TaskRef &step, const std::vector<WorkerId> &workers, const TicketTerms &terms,
        MonotonicTime now, std::function<void(const TicketAnswer &)> done);

private:
    struct Agent
    {
        MonotonicTime heard {};
        MonotonicTime freeAt {}; // when its questions so far should be answered
    };

    using Agents = std::map<NodeAddress, Agent>;

    [[nodiscard]] Agents::iterator leastBusy(MonotonicTime now);

    Peers &peers_;
    TicketOffice &local_;
    NodeAddress self_;
    std::shared_ptr<Agents> agents_; // answers may come when this object is gone
};

} // namespace crocusmill
