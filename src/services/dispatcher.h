/// The leader's scheduler for graph jobs: decides which step runs next and on which workers.
///
/// Each term gets a new Dispatcher. The decisions come from components without side effects
/// (graphorder, fleet, ticketbook). This class gives them their input, records the placements in
/// the journal and passes them to the RunSupervisor.

#pragma once

#include "src/net/asio.h"
#include "src/net/metrics.h"
#include "src/services/jobcensus.h"
#include "src/services/runsupervisor.h"
#include "src/services/ticketclient.h"

#include <crocusmill/headroom.h>
#include <crocusmill/placementreport.h>
#include <crocusmill/stepqueue.h>

#include <memory>
#include <set>

namespace crocusmill
{

/// A ticket must stay valid this long after the decision: recording the placement and sending the
/// start order take time.
inline constexpr Milliseconds minTicketValidity {250};
/// Minimum number of workers in a step's first ticket request. More workers yield more allowed
/// ones, but each worker adds decision time.
inline constexpr std::size_t minAskedWorkers = 16;

class Dispatcher : public std::enable_shared_from_this<Dispatcher>
{
public:
    struct Parts
    {
        asio::io_context &control;
        Journal &journal;
        Peers &peers;
        WorkerLink &link;
        TicketOffice &tickets;
        Metrics &metrics;
        NodeAddress self;
        Term term;
        RunSupervisor::Propose propose;
    };

    /// Creates a dispatcher and takes over the placements of earlier leaders.
    [[nodiscard]] static std::shared_ptr<Dispatcher> make(const Parts &parts, MonotonicTime now);

    void onHeartbeat(const WorkerHeartbeat &heartbeat, MonotonicTime now);
    /// See RunSupervisor::onWorkerLeaving().
    void onWorkerLeaving(const WorkerId &worker, const Incarnation &incarnation, MonotonicTime now,
        RunSupervisor::FarewellHandler done);
    /// Notes that the VM is alive and may send ticket requests.
    void onVmPresence(const NodeAddress &vm, MonotonicTime now);
    /// Notes a count of pending jobs that a client was told, for the log.
    void onPendingJobsTold(const QueueName &queue, std::uint64_t pendingJobs);
    /// Runs one scheduling round.
    void tick(MonotonicTime now, WallTime wall);
    /// Schedules a round, unless one is scheduled already.
    void scheduleRound();
    /// Returns whether a job beyond its customer's share finds room that nobody else needs.
    [[nodiscard]] bool hasSpareRoom(const ServiceName &service) const;
    /// Returns a JSON array with the use, limit and waiting steps of each customer.
    [[nodiscard]] std::string listCustomers();
    /// Returns where the ready steps of the job would be placed now, and why not all are. Sends,
    /// reserves and records nothing. The job need not be recorded.
    [[nodiscard]] JobPlacement explain(const Graph &graph, MonotonicTime now, WallTime wall) const;
    /// Gives no more orders; called before another dispatcher replaces this one.
    void retire();
    [[nodiscard]] const RunSupervisor &supervisor() const;

private:
    explicit Dispatcher(const Parts &parts);
    void noteAdoptedPlacements(MonotonicTime now);

    /// Result of the attempt to place a step.
    struct StepResult
    {
        std::size_t placedCount = 0; // tasks
        bool waitsForTickets = false; // it is retried once a ticket request can be sent
    };

    void updateQueue(WallTime wall);
    void refresh(const GraphId &id, WallTime wall);
    void retryAfterGains();
    void placeReadySteps(MonotonicTime now);
    [[nodiscard]] std::optional<TaskSize> maxGainedRoom() const;
    [[nodiscard]] TicketQueueMask askableQueues(MonotonicTime now) const;
    TicketQueueMask ticketQueuesOf(const QueueName &name);
    [[nodiscard]] TicketTerms termsOf(const Queue &queue, TicketQueueMask waitingQueues) const;
    [[nodiscard]] StepDemand demandOf(const Graph &graph, const TaskRef &step) const;
    StepResult placeStep(const Urgency &urgency, MonotonicTime now);
    void updateCustomers();
    [[nodiscard]] StepDemand limitToCustomer(StepDemand demand, const Graph &graph) const;
    /// Attempts the step no more until the customer has released something.
    void blockAtLimit(const Urgency &urgency, const CustomerName &customer);
    void unblockBelowLimit();
    void reportCustomers();
    [[nodiscard]] std::vector<WorkerCounts> countWorkers(
        const std::vector<StepDemand> &demands, bool needsTickets, MonotonicTime now) const;
    [[nodiscard]] StepReport explainStep(const StepDemand &waiting, const Graph &graph,
        bool needsTickets, const Urgency &urgency, const WorkerCounts &workers,
        MonotonicTime now) const;
    [[nodiscard]] PlacementReason reasonOfWorkers(const StepDemand &demand, const Graph &graph,
        const std::optional<std::vector<WorkerId>> &among, const WorkerCounts &workers) const;
    [[nodiscard]] std::vector<FleetChoice> choose(StepDemand demand, const Graph &graph,
        Prospect prospect, const std::optional<std::vector<WorkerId>> &among) const;
    StepResult placeWithTickets(const StepDemand &demand, const Graph &graph, const Queue &queue,
        Prospect prospect, MonotonicTime now);
    StepResult placeOrAsk(const StepDemand &demand, const Graph &graph, const Queue &queue,
        Prospect prospect, MonotonicTime now);
    [[nodiscard]] std::vector<WorkerId> workersToRenew(
        const StepDemand &demand, const std::vector<FleetChoice> &allowed) const;
    [[nodiscard]] bool hasEnoughWorkers(
        const StepDemand &demand, const std::vector<WorkerId> &workers) const;
    void collectRoom(const StepDemand &demand, const Graph &graph,
        const std::vector<WorkerId> &allowedWorkers, Prospect prospect, MonotonicTime now);
    [[nodiscard]] StepDemand limitToHeadroom(
        StepDemand demand, const Graph &graph, Prospect prospect, MonotonicTime now) const;
    void reservePlacements(const StepDemand &demand, const Graph &graph,
        const std::vector<FleetChoice> &chosen, MonotonicTime now);
    void logPlaced(
        const StepDemand &demand, const Graph &graph, const std::vector<FleetChoice> &chosen) const;
    /// Requests tickets for the workers. Returns false if no VM is free to send the request.
    bool ask(const StepDemand &demand, const TicketTerms &terms,
        const std::vector<WorkerId> &workers, MonotonicTime now);
    void onTicketAnswer(const TaskRef &step, const std::vector<WorkerId> &workers,
        const TicketAnswer &answer, Milliseconds validity, MonotonicTime askedAt);
    void requestTicketsAhead(MonotonicTime now);
    [[nodiscard]] bool tryRequestTicketsAhead(const TaskRef &step, MonotonicTime now);
    [[nodiscard]] std::vector<WorkerId> workersToAsk(
        const StepDemand &demand, bool canWait, std::size_t maxWorkers) const;
    /// Returns whether the job ends in time even if the workers of the step take several times its
    /// estimates.
    [[nodiscard]] static bool hasAmpleTime(const StepDemand &demand, const Graph &graph);
    /// Returns whether the step leaves the faster workers to others.
    [[nodiscard]] bool canWait(
        const StepDemand &demand, const Graph &graph, Prospect prospect) const;
    void proposePlacements();
    void onPlacementsProposed(const std::vector<RunPlacement> &placements, bool isOutcomeKnown);
    void forgetClosedGraphs(MonotonicTime now);
    /// Drops the tickets of a job, and the room that it keeps for them.
    void forgetTickets(const GraphId &id);
    void reportRound(MonotonicTime startedAt, std::size_t readyStepCount);
    void logLoad(MonotonicTime now);
    void reportWorkerDifferences(const RunObserver &observer);

    /// Statistics of the rounds since the last "dispatch.load" log record.
    struct RoundStats
    {
        std::uint64_t rounds = 0;
        Microseconds total {0};
        Microseconds longest {0};
        std::size_t maxReadySteps = 0; // steps that waited for workers
    };

    Parts parts_;
    std::shared_ptr<RunSupervisor> supervisor_;
    TicketClient ticketClient_;
    TicketCache tickets_;
    StepQueue queue_;
    Headroom headroom_;
    // Revision of the jobs and version of the catalog that queue_ reflects.
    GraphRevision queueRevision_;
    DocumentVersion queueCatalogVersion_;
    std::map<QueueName, TicketQueueMask> ticketQueues_;
    CustomerDirectory customers_; // of queueCatalogVersion_
    // Steps that wait because their customer is at its limit; may contain others.
    std::map<CustomerName, std::set<Urgency>> stepsAtLimit_;
    std::set<GraphId> graphsToRefresh_; // to be refreshed although they did not change
    // Workers that have gained room since the last round that tried steps.
    std::set<WorkerId> gainedWorkers_;
    asio::steady_timer roundTimer_;
    bool isRoundScheduled_ = false;
    // Placements decided in this round and not proposed yet.
    std::vector<RunPlacement> pendingPlacements_;
    // Tickets of placements whose runs are not started yet.
    std::map<TaskRef, Ticket> pendingTickets_;
    MonotonicTime nextTicketCleanup_ {};
    Microseconds lastRoundDuration_ {0};
    RoundStats stats_;
    JobReport jobReport_;
    MonotonicTime nextLoadReport_ {};
};

} // namespace crocusmill
