/// Workers that are called, and the runs on them: started, renewed, stopped, and known to be over.
///
/// A run counts on its worker until it is proved over: its end was listed, a list that was asked
/// for after its start or stop was answered lacks it, its worker's process is gone, or every lease
/// that the worker may have been given has passed on its clock and the worker was looked for in
/// vain since this VM can hear it.

#pragma once

#include "src/net/clock.h"
#include "src/services/interfaces.h"
#include "src/services/workerlink.h"

#include <crocusmill/announcement.h>
#include <crocusmill/fleet.h>
#include <crocusmill/workerhealth.h>

#include <functional>
#include <map>
#include <memory>
#include <set>

namespace crocusmill
{

struct SupervisorTimes
{
    /// Longest lease that workers grant; they shorten longer ones.
    Milliseconds leaseDuration {6'000};
    /// How long a worker waits for an end before it answers.
    Milliseconds holdWaitTimeout {1'000};
    /// Beyond the wait: network, and a worker that is slow to answer.
    Milliseconds holdAnswerTimeout {800};
    /// An order that was not answered this long is sent again.
    Milliseconds orderTimeout {400};
    Milliseconds orderRetryInterval {60};
    /// A worker that did not answer this long gets no new tasks.
    Milliseconds unresponsiveTimeout {2'600};
    /// Added to a lease before what it covered counts as over.
    Milliseconds leaseMargin {100};
    /// A task without progress this long stands still, or this share of its estimate.
    Milliseconds stallTimeout {3'500}; // longer than a gang waits for its members
    double stallEstimateShare = 0.1;
    /// Progress is counted against the estimate, so a task that has reached it shows none any more.
    /// It is left alone this long, or this many estimates; some take ten times what was stated.
    Milliseconds overrunTimeout {15'000};
    double overrunEstimateFactor = 10;
    /// How often every run and every worker is looked at. Runs that wait for an order are looked at
    /// in each round.
    Milliseconds sweepInterval {100};
    /// Rounds further apart than this show that this VM stood still, or could not hear workers.
    Milliseconds maxTickGap {500};
    /// A call that is over later than this after its limit says nothing about its worker.
    Milliseconds maxCallbackDelay {200};
    /// A worker that said that it leaves, and has no runs, is forgotten after this.
    Milliseconds departureTimeout {1'000};
    /// A connection that fails sooner was refused; one that is not answered fails later.
    Milliseconds maxRefusalDelay {100};
};

class RunSupervisor : public std::enable_shared_from_this<RunSupervisor>
{
public:
    using Propose = std::function<void(const Command &, ProposeHandler)>;

    struct Parts
    {
        const StateMachine &state;
        WorkerLink &link;
        Propose propose;
        /// False once this VM may no longer give orders.
        std::function<bool()> canSendOrders;
        FencingToken fence;
        SupervisorTimes times;
        /// Something ended: a round is due, which records it, or has room to give away.
        std::function<void()> onChange;
        std::function<MonotonicTime()> clock = monotonicNow;
    };

    RunSupervisor(Parts parts, MonotonicTime now);

    /// Recorded placements of earlier leaders: they count until their workers were heard.
    void adoptPlacements(MonotonicTime now);
    void onHeartbeat(const WorkerHeartbeat &heartbeat, MonotonicTime now);
    void onWorkerLeaving(const WorkerId &worker, const Incarnation &incarnation, MonotonicTime now);
    void tick(MonotonicTime now, WallTime wall);
    /// Gives no more orders; answers that are still on their way are passed over. They keep the
    /// supervisor alive, beside the one of the next leadership.
    void retire();

    /// Room for a run whose placement is being recorded.
    void reserve(const RunPlacement &placement, const StepSpec &spec);
    /// The placement was not recorded.
    void cancelReservation(const TaskRef &task);
    /// Whether the placement was recorded is not known: it is taken back.
    void revokePlacement(const TaskRef &task);
    /// The placement was recorded: the run is started.
    void start(const TaskRef &task, const std::optional<Ticket> &ticket, MonotonicTime now);

    struct Load
    {
        std::size_t runs = 0;
        std::size_t pendingOrders = 0; // or stopping: they wait for an order's outcome
        std::size_t workers = 0;
        std::size_t openWorkers = 0;
        std::size_t unrecordedEndLists = 0; // lists that wait for their record
    };
    [[nodiscard]] Load load(MonotonicTime now) const;

    [[nodiscard]] const Fleet &fleet() const;
    /// What the fleet gained since this was called last.
    [[nodiscard]] FleetGains takeGains();
    /// A run of the task counts on some worker.
    [[nodiscard]] bool hasRun(const TaskRef &task) const;
    /// Workers that may be called, for the VM that leads next.
    [[nodiscard]] std::vector<WorkerHeartbeat> callableWorkers() const;

private:
    enum class Stage {
        Reserved, // its placement is being recorded
        Adopted, // recorded by an earlier leader; not heard of yet
        Starting, // ordered, and not known to have begun
        Running,
        Stopping, // to be stopped, or to be settled by a stop
    };

    struct Run
    {
        RunPlacement placement;
        StepSpec spec;
        Stage stage = Stage::Reserved;
        std::optional<Ticket> ticket;
        std::optional<WorkerTime> deadline; // of the start order, the same when it is sent again
        // A list that was asked for after this moment has the run, or the run is over.
        std::optional<MonotonicTime> confirmedAt;
        MonotonicTime nextOrderAt {};
        std::uint32_t sentOrderCount = 0; // sent and perhaps carried out
        bool isOrderPending = false; // an order is on its way
        bool isEnding = false; // its end is being recorded
        std::uint32_t percent = 0; // as listed last, and since when it has been that
        MonotonicTime lastProgressAt {};
    };

    struct Worker
    {
        WorkerHeartbeat heartbeat;
        bool hasIncarnation = false; // a heartbeat of this incarnation was heard
        MonotonicTime lastHeartbeatAt {};
        WorkerClock clock;
        // Invariant: no lease that a leader gave this incarnation lasts longer.
        MonotonicTime leasesExpireAt {};
        MonotonicTime answeredHoldSentAt {}; // when the newest answered hold was sent
        bool isHoldPending = false;
        MonotonicTime nextHoldAt {};
        std::uint32_t unansweredHoldCount = 0; // holds in a row
        bool isAnswering = false; // the newest hold that is over was answered, and in time
        MonotonicTime unansweredHoldSentAt {}; // when the newest of them was sent
        EndNumber lastRecordedEnd; // ends up to this one are in the journal
        std::set<TaskRef> runs;
        std::optional<MonotonicTime> leavesAt; // it said that it leaves
        bool isGone = false; // and nobody listens there any more
        std::uint32_t refusalCount = 0; // orders refused in a row
        MonotonicTime backoffUntil {};
    };

    /// Ends that one answer of a worker listed.
    struct EndList
    {
        WorkerId worker;
        Incarnation incarnation;
        std::vector<EndedRun> ended;
        EndNumber last;
    };

    [[nodiscard]] bool canSendOrders() const;
    Worker &findOrAddWorker(const WorkerId &id);
    [[nodiscard]] static WorkerEndpoint endpointOf(const Worker &worker);
    void replaceIncarnation(Worker &worker, const WorkerHeartbeat &heartbeat, MonotonicTime now);
    void onIncarnationGone(const WorkerId &id, const Incarnation &incarnation);
    void updateFleet(const Worker &worker, MonotonicTime now);
    [[nodiscard]] bool isOpen(const Worker &worker, MonotonicTime now) const;
    [[nodiscard]] Milliseconds maxLeaseLifetime() const;
    [[nodiscard]] bool isUnreachable(const Worker &worker, MonotonicTime now) const;
    [[nodiscard]] bool isAvailable(const Worker &worker, MonotonicTime now) const;
    [[nodiscard]] std::optional<WorkerTime> grantLease(Worker &worker, MonotonicTime now);

    void sweep(MonotonicTime now);
    void sendDueOrders(MonotonicTime now);
    void setStage(Run &run, Stage stage);
    [[nodiscard]] static bool needsOrders(const Run &run);
    void tickWorker(const WorkerId &id, Worker &worker, MonotonicTime now);
    void tickRun(const TaskRef &task, Run &run, MonotonicTime now);
    [[nodiscard]] bool shouldRun(const TaskRef &task, const Run &run) const;
    [[nodiscard]] bool isGangBroken(const Graph &graph, const TaskRef &task, const Run &run) const;

    void hold(const WorkerId &id, Worker &worker, MonotonicTime now);
    void onHoldFailed(const WorkerId &id, Worker &worker, HoldError error, MonotonicTime sent,
        Milliseconds timeout);
    void onHoldAnswered(const WorkerId &id, const Incarnation &incarnation,
        const HoldOutcome &outcome, MonotonicTime sent, Milliseconds timeout);
    void applyReport(
        const WorkerId &id, Worker &worker, const HoldReport &report, MonotonicTime sent);
    void applyListedRun(const WorkerId &id, Worker &worker, const ListedRun &listed);
    void checkProgress(const WorkerId &id, Run &run, const ListedRun &listed);
    [[nodiscard]] std::set<GraphId> findOpenGraphs(const std::vector<EndedRun> &ended) const;
    void logEndedGraphs(const std::set<GraphId> &wereOpen) const;
    void updateHealth(const WorkerId &id, const ListedEnd &end);
    void proposeListedEnds();
    void onEndsRecorded(const EndList &list);

    void sendStart(const TaskRef &task, Run &run, MonotonicTime now);
    void onStartAnswered(
        const TaskRef &task, RunNumber number, const WorkerId &id, StartOutcome outcome);
    void sendStop(const TaskRef &task, Run &run, MonotonicTime now);
    void onStopAnswered(const TaskRef &task, RunNumber number, StopOutcome outcome);
    void stopUnknownRun(const WorkerId &id, const Worker &worker, const ListedRun &listed);

    /// By which rule a run that no list showed as ended counts as over.
    enum class EndReason {
        NotListed, // a list that was asked for later lacks it
        LeasePassed,
        WorkerLeft,
        IncarnationGone, // another process answers at its address
        StartRefused,
        WorkerReplaced, // before the start was ordered
        NeverOrdered, // its placement may not have been recorded
    };
    [[nodiscard]] static std::string_view text(EndReason reason);
    void recordInferredEnds(const std::vector<EndedRun> &ended, EndReason reason);
    void proposeInferredEnds(const std::vector<EndedRun> &ended);
    void logInferredEnd(const Run &run, const EndedRun &end, EndReason reason) const;
    void logLateSuccess(const WorkerId &worker, const ListedEnd &end) const;
    [[nodiscard]] EndedRun makeEnd(const Run &run, RunEnd end) const;
    void release(const EndedRun &ended);
    [[nodiscard]] Run *findRun(const TaskRef &task, RunNumber number);

    Parts parts_;
    bool isRetired_ = false;
    MonotonicTime now_;
    WallTime wall_ {};
    MonotonicTime lastTickAt_;
    MonotonicTime tickingSince_; // this VM has led and has not stood still
    MonotonicTime inheritedLeasesExpireAt_; // when every lease of earlier leaders is over
    Fleet fleet_;
    WorkerHealth health_;
    std::map<WorkerId, Worker> workers_;
    // Invariant: each run is in its worker's `runs` and taken in fleet_.
    std::map<TaskRef, Run> runs_;
    // Invariant: has every run that needs an order, and perhaps some that need none any more.
    std::set<TaskRef> pendingOrders_;
    MonotonicTime nextSweepAt_ {};
    std::vector<EndList> unproposedEnds_; // not proposed yet
    std::vector<EndedRun> unconfirmedEnds_; // whether they were recorded is not known
};

} // namespace crocusmill
