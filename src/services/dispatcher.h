/// The leader's scheduling of jobs that are graphs: which step runs next and where.
///
/// Made anew for each term. Decisions are those of the pure parts (graphorder, fleet, ticketbook);
/// this class feeds them, records what they say and hands placements to the supervisor.

#pragma once

#include "src/net/asio.h"
#include "src/net/metrics.h"
#include "src/services/runsupervisor.h"
#include "src/services/ticketclient.h"

#include <crocusmill/stepqueue.h>

#include <memory>
#include <set>

namespace crocusmill
{

/// A ticket must be good this long after the decision: the record and the order take their time.
inline constexpr Milliseconds minTicketValidity {250};
/// Workers that a step asks about first. The more, the more are allowed; each costs time.
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

    [[nodiscard]] static std::shared_ptr<Dispatcher> make(const Parts &parts, MonotonicTime now);

    void onHeartbeat(const WorkerHeartbeat &heartbeat, MonotonicTime now);
    void onWorkerLeft(const WorkerId &worker, const Incarnation &incarnation, MonotonicTime now);
    void onVmPresence(const NodeAddress &vm, MonotonicTime now);
    void tick(MonotonicTime now, WallTime wall);
    /// Decides soon, once for all that call meanwhile.
    void scheduleRound();
    /// Another one takes its place.
    void retire();
    [[nodiscard]] const RunSupervisor &supervisor() const;

private:
    explicit Dispatcher(const Parts &parts);

    /// What came of a step that was tried.
    struct StepResult
    {
        std::size_t placedCount = 0; // tasks
        bool waitsForTickets = false; // it goes on once a question about tickets can be put
    };

    void updateQueue(WallTime wall);
    void refresh(const GraphId &id, WallTime wall);
    void retryAfterGains();
    void placeReadySteps(MonotonicTime now);
    [[nodiscard]] std::optional<TaskSize> maxGainedRoom() const;
    [[nodiscard]] TicketQueues askableQueues(MonotonicTime now) const;
    TicketQueues ticketQueuesOf(const QueueName &name);
    [[nodiscard]] StepDemand demandOf(const Graph &graph, const TaskRef &step) const;
    StepResult placeStep(const TaskRef &step, MonotonicTime now);
    [[nodiscard]] std::vector<FleetChoice> choose(StepDemand demand, const Graph &graph,
        const std::optional<std::vector<WorkerId>> &among) const;
    StepResult placeWithTickets(
        const StepDemand &demand, const Graph &graph, const TicketTerms &terms, MonotonicTime now);
    void reservePlacements(const StepDemand &demand, const Graph &graph,
        const std::vector<FleetChoice> &chosen, MonotonicTime now);
    void logPlaced(
        const StepDemand &demand, const Graph &graph, const std::vector<FleetChoice> &chosen) const;
    /// False when it could not be put.
    bool ask(const StepDemand &demand, const TicketTerms &terms,
        const std::vector<WorkerId> &workers, MonotonicTime now);
    void onTicketAnswer(const TaskRef &step, const std::vector<WorkerId> &workers,
        const TicketAnswer &answer, Milliseconds validity, MonotonicTime askedAt);
    void requestTicketsAhead(MonotonicTime now);
    [[nodiscard]] bool tryRequestTicketsAhead(const TaskRef &step, MonotonicTime now);
    [[nodiscard]] std::vector<WorkerId> workersToAsk(
        const StepDemand &demand, std::size_t maxWorkers) const;
    void proposePlacements();
    void onPlacementsProposed(const std::vector<RunPlacement> &placements, bool isOutcomeKnown);
    void forgetClosedGraphs();
    void reportRound(MonotonicTime startedAt, std::size_t ready);

    /// Rounds since the last record of them.
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
    TicketBook tickets_;
    StepQueue queue_;
    // Up to where changes of jobs, and of the catalog, are in queue_.
    GraphRevision queueRevision_;
    DocumentVersion queueCatalogVersion_;
    std::map<QueueName, TicketQueues> ticketQueues_;
    std::set<GraphId> graphsToRefresh_; // to be taken in again, though they did not change
    // Gained room since all steps that it may help were tried.
    std::set<WorkerId> gainedWorkers_;
    asio::steady_timer roundTimer_;
    bool isRoundScheduled_ = false;
    // Placements that this round decided and that are not proposed yet.
    std::vector<RunPlacement> pendingPlacements_;
    // Tickets of placements that are not started yet.
    std::map<TaskRef, Ticket> pendingTickets_;
    MonotonicTime nextTicketCleanup_ {};
    Microseconds lastRoundDuration_ {0}; // time that the newest round took
    RoundStats stats_;
    MonotonicTime nextLoadReport_ {};
};

} // namespace crocusmill
