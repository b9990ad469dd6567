/// What a VM does for jobs that are graphs: answers calls about them, and dispatches while it
/// leads.

#pragma once

#include "src/net/asio.h"
#include "src/services/dispatcher.h"
#include "src/services/graphcallhandler.h"
#include "src/services/interfaces.h"

#include <memory>
#include <vector>

namespace crocusmill
{

class DispatchCallHandler
{
public:
    /// `link` and `office` are null where no workers are called.
    DispatchCallHandler(asio::io_context &control, Journal &journal, Peers &peers, WorkerLink *link,
        TicketOffice *office, NodeAddress self, Metrics &metrics);

    /// This VM leads in a new term; `propose` tells nothing once it leads no more.
    void startLeading(Term term, const RunSupervisor::Propose &propose);
    void stopLeading();
    void tick();
    void learnWorkers(const std::vector<WorkerHeartbeat> &workers);

    void handle(const GraphCall &call, const ReplyHandler &done);
    void handle(const CatalogCall &call, const ReplyHandler &done);
    void handle(const HeartbeatCall &call, const ReplyHandler &done);
    void handle(const PresenceCall &call, const ReplyHandler &done);
    /// Any VM answers this one.
    void handle(const TicketCall &call, const ReplyHandler &done);

private:
    void recordLeaving(const WorkerHeartbeat &worker, const ReplyHandler &done);
    void contactWorkers();
    void scheduleContacts();

    asio::io_context &control_;
    Journal &journal_;
    Peers &peers_;
    WorkerLink *link_;
    TicketOffice *office_;
    NodeAddress self_;
    Metrics &metrics_;
    std::vector<WorkerHeartbeat> knownWorkers_; // as the last leader listed them
    std::shared_ptr<Dispatcher> dispatcher_; // null while this VM does not lead
    // Of workers_: not yet called in this term, and not heard by themselves. The next one is last.
    std::vector<WorkerHeartbeat> workersToContact_;
    asio::steady_timer contactTimer_;
    GraphCallHandler graphs_;
};

} // namespace crocusmill
