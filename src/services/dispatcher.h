/// The leader's scheduling of jobs that are graphs: which step runs next and where.
///
/// Made anew for each term. Decisions are those of the pure parts (graphorder, fleet, ticketbook);
/// this class feeds them, records what they say and hands placements to the supervisor.

#pragma once

#include "src/net/asio.h"
#include "src/net/metrics.h"
#include "src/services/runsupervisor.h"
#include "src/services/ticketagents.h"

#include <crocusmill/stepqueue.h>

#include <memory>
#include <set>

namespace crocusmill
{

/// A ticket must be good this long after the decision: the record and the order take their time.
inline constexpr Milliseconds ticketMargin {250};
/// Workers that a step asks about first. The more, the more are allowed; each costs time.
inline constexpr std::size_t leastAsked = 16;

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

    void heard(const WorkerHeartbeat &heartbeat, MonotonicTime now);
    void left(const WorkerId &worker, const Incarnation &incarnation, MonotonicTime now);
    void present(const NodeAddress &vm, MonotonicTime now);
    void tick(MonotonicTime now, WallTime wall);
    /// Decides soon, once for all that call meanwhile.
    void wake();
    /// Another one takes its place.
    void retire();
    [[nodiscard]] const RunSupervisor &supervisor() const;

private:
    explicit Dispatcher(const Parts &parts);

    /// What came of a step that was tried.
    struct Tried
    {
        std::size_t placed = 0; // tasks
        bool asks = false; // it goes on once a question about tickets can be put
    };

    void takeChanges(WallTime wall);
    void refresh(const GraphId &id, WallTime wall);
    void takeGains();
    void placeWaiting(MonotonicTime now);
    [[nodiscard]] std::optional<TaskSize> gainedRoom() const;
    [[nodiscard]] TicketQueueMask mayAsk(MonotonicTime now) const;
    TicketQueueMask ticketQueuesOf(const QueueName &name);
    [[nodiscard]] StepDemand demandOf(const Graph &graph, const TaskRef &step) const;
    Tried placeStep(const TaskRef &step, MonotonicTime now);
    [[nodiscard]] std::vector<FleetChoice> choose(StepDemand demand, const Graph &graph,
        const std::optional<std::vector<WorkerId>> &among) const;
    Tried placeTicketed(
        const StepDemand &demand, const Graph &graph, const TicketTiming &terms, MonotonicTime now);
    void take(const StepDemand &demand, const Graph &graph, const std::vector<FleetChoice> &chosen,
        MonotonicTime now);
    void logPlaced(
        const StepDemand &demand, const Graph &graph, const std::vector<FleetChoice> &chosen) const;
    /// False when it could not be put.
    bool ask(const StepDemand &demand, const TicketTiming &terms,
        const std::vector<WorkerId> &workers, MonotonicTime now);
    void answered(const TaskRef &step, const std::vector<WorkerId> &workers,
        const TicketAnswer &answer, Milliseconds validity, MonotonicTime asked);
    void askAhead(MonotonicTime now);
    [[nodiscard]] bool askedAhead(const TaskRef &step, MonotonicTime now);
    [[nodiscard]] std::vector<WorkerId> unasked(const StepDemand &demand, std::size_t most) const;
    void record();
    void recorded(const std::vector<RunPlacement> &placements, bool known);
    void forgetTickets();
    void noteRound(MonotonicTime began, std::size_t ready);

    /// Rounds since the last record of them.
    struct RoundSums
    {
        std::uint64_t rounds = 0;
        Microseconds total {0};
        Microseconds longest {0};
        std::size_t mostReady = 0; // steps that waited for workers
    };

    Parts parts_;
    std::shared_ptr<RunSupervisor> supervisor_;
    TicketAgents agents_;
    TicketCache book_;
    StepQueue queue_;
    // Up to where changes of jobs, and of the catalog, are in queue_.
    GraphRevision taken_;
    DocumentVersion catalog_;
    std::map<QueueName, TicketQueueMask> ticketQueues_;
    std::set<GraphId> refreshed_; // to be taken in again, though they did not change
    // Gained room since all steps that it may help were tried.
    std::set<WorkerId> gained_;
    asio::steady_timer round_;
    bool woken_ = false;
    // Placements that this round decided and that are not proposed yet.
    std::vector<RunPlacement> placing_;
    // Tickets of placements that are not started yet.
    std::map<TaskRef, Ticket> ticketsOf_;
    MonotonicTime forgetDue_ {};
    Microseconds lastRound_ {0}; // time that the newest round took
    RoundSums sums_;
    MonotonicTime sumsDue_ {};
};

} // namespace crocusmill
