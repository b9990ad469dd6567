/// Handles the calls for graph jobs, workers and tickets, and owns the dispatcher while this VM
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
    /// `link` and `office` are null if this installation calls no workers.
    DispatchCallHandler(asio::io_context &control, Journal &journal, Peers &peers, WorkerLink *link,
        TicketOffice *office, NodeAddress self, Metrics &metrics);

    /// Sets the number of cancels that may be recorded for jobs that were not submitted yet.
    void limitEarlyCancels(std::uint64_t maxEarlyCancels);
    /// Starts a dispatcher for a new term. `propose` drops its reply once this VM no longer leads
    /// in that term.
    void startLeading(Term term, const RunSupervisor::Propose &propose);
    void stopLeading();
    void tick();
    /// Returns a JSON array with the customers and what they have running.
    [[nodiscard]] std::string listCustomers() const;
    /// Answers a question about a placement, of which `question` is the JSON text. Changes nothing.
    /// Errors: CodecError::Malformed.
    void explain(const std::string &question, const ReplyHandler &done) const;
    /// Sets the workers that the current leader has recently heard from.
    void learnWorkers(const std::vector<WorkerHeartbeat> &workers);

    void handle(const GraphCall &call, const ReplyHandler &done);
    void handle(const CatalogCall &call, const ReplyHandler &done);
    void handle(const HeartbeatCall &call, const ReplyHandler &done);
    void handle(const PresenceCall &call, const ReplyHandler &done);
    /// Every VM answers this call, not only the leader.
    void handle(const TicketCall &call, const ReplyHandler &done);

private:
    void answerFarewell(FarewellOutcome outcome, const ReplyHandler &done);
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
    std::vector<WorkerHeartbeat> knownWorkers_; // as listed by the last leader
    std::shared_ptr<Dispatcher> dispatcher_; // null while this VM does not lead
    // Those of knownWorkers_ that were not contacted in this term and sent no heartbeat yet. The
    // next one to contact is at the back.
    std::vector<WorkerHeartbeat> workersToContact_;
    asio::steady_timer contactTimer_;
    GraphCallHandler graphs_;
};

} // namespace crocusmill
