/// Starts, stops and tracks runs on the workers that the leader calls, and renews their leases.
///
/// A run takes up room on its worker until one of these proves that it has ended:
/// - the worker listed its end;
/// - the worker's list lacks the run, and the list was requested after the worker had answered the
///   run's start or stop;
/// - another process answers at the present address of the worker, so its process has ended;
/// - every lease that the worker may have been given has expired on its clock, and the worker has
///   not answered holds that this VM sent since it ticks without long gaps.
///
/// A refused connection proves nothing, as a cut can refuse connections to a process that works on.
/// Neither does a farewell: without an acknowledgement the process works on for a while. So the
/// runs of a leaving worker are stopped before its time is up, and at the latest before its
/// farewell is acknowledged.

#pragma once

#include "src/net/clock.h"
#include "src/net/loglimiter.h"
#include "src/services/interfaces.h"
#include "src/services/recoverysteps.h"
#include "src/services/runobserver.h"
#include "src/services/workerlink.h"

#include <crocusmill/announcement.h>
#include <crocusmill/answertimeout.h>
#include <crocusmill/customerusage.h>
#include <crocusmill/fleet.h>
#include <crocusmill/roomclaims.h>
#include <crocusmill/workerhealth.h>

#include <functional>
#include <map>
#include <memory>
#include <set>

namespace crocusmill
{

struct SupervisorTimes
{
    /// Length of a granted lease. Workers shorten longer ones.
    Milliseconds leaseDuration {6'000};
    /// How long a worker delays its answer to a hold while it has no end to list.
    Milliseconds holdWaitTimeout {1'000};
    /// The same while a stop is to show whether a run began: its answer takes about as long.
    Milliseconds settlingHoldWaitTimeout {100};
    /// Timeouts of calls to workers, without the wait of a hold.
    AnswerTimeoutSettings answerTimeout;
    /// Pauses between orders of a run grow with the time since its first order.
    Milliseconds minOrderPause {20};
    Milliseconds maxOrderPause {80};
    /// First starts of jobs that are reported within this time share a record.
    Milliseconds startRecordInterval {100};
    /// A worker that has not answered for this long gets no new tasks.
    Milliseconds unresponsiveTimeout {2'600};
    /// A worker that has not answered for this long, and several holds, gets no more leases.
    Milliseconds leaseGrantTimeout {2'000};
    /// Added to the end of a lease before the runs that it covered count as ended.
    Milliseconds leaseMargin {100};
    /// A task has stalled after this long without progress, or after this share of its estimate
    /// if that is longer. The timeout exceeds the time that a gang waits for its members.
    Milliseconds stallTimeout {3'500};
    double stallEstimateShare = 0.1;
    /// Progress is relative to the estimate, so a task that has reached its estimate shows none.
    /// Such a task has stalled after this timeout, or after this multiple of the estimate if that
    /// is longer: some tasks take ten times their estimate.
    Milliseconds overrunTimeout {15'000};
    double overrunEstimateFactor = 10;
    /// How often every run and worker is checked. Runs that need an order are checked in each tick.
    Milliseconds sweepInterval {100};
    /// A longer gap between ticks shows that this VM was stalled and did not hear its workers.
    Milliseconds maxTickGap {500};
    /// A call that ends later than this after its timeout says nothing about its worker.
    Milliseconds maxCallbackDelay {200};
    /// A call that fails within this time was rejected; one without an answer fails later.
    Milliseconds fastFailureTimeout {100};
    /// The runs of a draining worker are stopped this long before it may leave.
    Milliseconds drainMargin {500};
    /// A leaving worker without runs is removed after this time.
    Milliseconds departureTimeout {1'000};
    /// A farewell is acknowledged after this time even if runs of the worker have not ended. A stop
    /// takes up to 0.9 s. A worker that waits for less says farewell again.
    Milliseconds farewellTimeout {1'500};
};

/// What had become of a worker's runs when its farewell was answered.
enum class FarewellOutcome {
    RunsEnded, // all their ends are recorded
    RunsLeft, // some end with the worker's leases
    Retired, // this VM no longer leads; the farewell is not acknowledged
};

class RunSupervisor : public std::enable_shared_from_this<RunSupervisor>
{
public:
    using Propose = std::function<void(const Command &, ProposeHandler)>;
    using FarewellHandler = std::function<void(FarewellOutcome)>;

    struct Parts
    {
        const StateMachine &state;
        WorkerLink &link;
        Propose propose;
        /// False while this VM must not send orders.
        std::function<bool()> canSendOrders;
        FencingToken fence;
        SupervisorTimes times;
        /// Called when ends were listed or recorded: the next tick should run soon, to record them
        /// or to use the room that they freed.
        std::function<void()> onChange;
        std::function<MonotonicTime()> clock = monotonicNow;
    };

    RunSupervisor(Parts parts, MonotonicTime now);

    /// Adopts the recorded placements of earlier leaders. They take up room until their workers
    /// have reported.
    void adoptPlacements(MonotonicTime now);
    void onHeartbeat(const WorkerHeartbeat &heartbeat, MonotonicTime now);
    /// The worker announced that it leaves. An empty incarnation stands for the current one, until
    /// that one's next heartbeat. The runs of a worker that is named or drains are stopped, and
    /// `done` is called once they have ended, after farewellTimeout, or when the worker does not
    /// answer; otherwise it is called at once.
    void onWorkerLeaving(const WorkerId &worker, const Incarnation &incarnation, MonotonicTime now,
        FarewellHandler done);
    void tick(MonotonicTime now, WallTime wall);
    /// Stops sending orders and ignores outstanding answers. The callbacks of those answers keep
    /// this object alive, possibly beside the supervisor of the next leadership.
    void retire();

    /// Reserves room for a run while its placement is being recorded.
    void reserve(const RunPlacement &placement, const StepSpec &spec);
    /// Frees the room of a run whose placement was not recorded.
    void cancelReservation(const TaskRef &task);
    /// Records a run as not started when it is unknown whether its placement was recorded.
    void revokePlacement(const TaskRef &task);
    /// Starts a run whose placement was recorded.
    void start(const TaskRef &task, const std::optional<Ticket> &ticket, MonotonicTime now);

    struct Load
    {
        std::size_t runs = 0;
        std::size_t reservedRuns = 0;
        std::size_t adoptedRuns = 0;
        std::size_t runningRuns = 0;
        std::size_t pendingOrders = 0; // runs that wait for the outcome of a start or stop
        std::size_t workers = 0;
        std::size_t openWorkers = 0;
        std::size_t unrecordedEndLists = 0; // lists whose ends are not proposed yet
        bool canSendOrders = false;
    };
    [[nodiscard]] Load load(MonotonicTime now) const;
    /// Returns the jobs of which a worker has reported the start or the end of a run to this
    /// supervisor.
    [[nodiscard]] const std::set<GraphId> &begunJobs() const;
    /// Removes the jobs that are not open any more from begunJobs().
    void forgetClosedJobs();

    [[nodiscard]] const Fleet &fleet() const;
    /// What was learned from the runs on the workers.
    [[nodiscard]] const RunObserver &observer() const;
    /// Room that steps keep in the fleet while they wait for tickets.
    [[nodiscard]] RoomClaims &claims();
    /// Notes a step of the recovery that others see, for the log.
    void noteRecoveryStep(RecoveryStep step);
    /// Returns what customers have running or may have running.
    [[nodiscard]] CustomerUsage &usage();
    [[nodiscard]] const CustomerUsage &usage() const;
    /// Returns the room that the fleet has gained since the last call.
    [[nodiscard]] FleetGains takeGains();
    /// Returns whether a run of the task takes up room on a worker.
    [[nodiscard]] bool hasRun(const TaskRef &task) const;
    /// Returns the last heartbeats of the workers that may be called, for the next leader.
    [[nodiscard]] std::vector<WorkerHeartbeat> callableWorkers() const;

private:
    enum class Stage {
        Reserved, // its placement is being recorded
        Adopted, // placed by an earlier leader or on an earlier incarnation; not reported yet
        Starting, // to be started; not confirmed
        Running,
        Stopping, // to be stopped, or stopped to find out whether it runs
    };

    struct Run
    {
        RunPlacement placement;
        StepSpec spec;
        CustomerName customer;
        Stage stage = Stage::Reserved;
        std::optional<Ticket> ticket;
        std::optional<WorkerTime> deadline; // of the start order; a resent order keeps it
        // When the worker confirmed the start or stop. If a list that was requested later lacks the
        // run, the run has ended.
        std::optional<MonotonicTime> confirmedAt;
        MonotonicTime nextOrderAt {};
        std::uint32_t sentOrderCount = 0; // starts that the worker may have carried out
        std::uint32_t unansweredStopCount = 0; // in a row
        MonotonicTime firstOrderAt {}; // when the first start was sent
        bool isOrderPending = false; // an order waits for its answer
        bool isEnding = false; // its end is being recorded
        bool wasListed = false; // its worker has listed it as running
        std::uint32_t percent = 0; // progress as last listed
        MonotonicTime lastProgressAt {}; // when `percent` last changed
    };

    struct Worker
    {
        WorkerHeartbeat heartbeat;
        bool hasIncarnation = false; // a process under this id was heard
        // The present process has sent `heartbeat`. Otherwise it is known only from its list, and
        // `heartbeat` is that of an earlier process, which may have been of another kind.
        bool hasHeartbeat = false;
        MonotonicTime lastHeartbeatAt {};
        WorkerClock clock;
        // Invariant: every lease that any leader gave this incarnation has expired by then.
        MonotonicTime leasesExpireAt {};
        MonotonicTime answeredHoldSentAt {}; // send time of the newest answered hold
        bool isHoldPending = false; // a hold waits for its answer, or its ends for their record
        MonotonicTime nextHoldAt {};
        std::uint32_t unansweredHoldCount = 0; // in a row
        bool isAnswering = false; // the newest completed hold was answered in time
        MonotonicTime unansweredSince {}; // send time of the first of them; valid from one in a row
        bool failsFast = false; // the newest hold failed at once: the worker can be reached
        MonotonicTime unansweredHoldSentAt {}; // send time of the newest unanswered hold
        MonotonicTime earlierUnansweredHoldSentAt {}; // of the one before; valid from two in a row
        EndNumber lastRecordedEnd; // ends up to this number are in the journal
        EndNumber acknowledgedEnd; // the worker knows that the ends up to this number are recorded
        std::set<TaskRef> runs;
        std::optional<MonotonicTime> drainEndsAt; // set while it drains, if it says for how long
        std::optional<MonotonicTime> leavesAt; // set while it leaves: when it may be removed
        bool isFarewellNamed = false; // with leavesAt: it is known which process leaves
        std::vector<FarewellHandler> farewells; // not answered yet
        MonotonicTime farewellDeadline {}; // when these are answered at the latest
        std::uint32_t refusalCount = 0; // orders refused in a row
        MonotonicTime backoffUntil {};
    };

    /// Ends from one answer of a worker.
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
    [[nodiscard]] std::optional<Incarnation> newestIncarnation(const Worker &worker) const;
    void replaceIncarnation(Worker &worker, const WorkerHeartbeat &heartbeat, MonotonicTime now);
    void onIncarnationGone(const WorkerEndpoint &called);
    void updateFleet(const Worker &worker, MonotonicTime now);
    /// Returns whether the worker may begin runs: its process is known and does not leave.
    [[nodiscard]] bool mayBeginRuns(const Worker &worker) const;
    [[nodiscard]] bool isOpen(const Worker &worker, MonotonicTime now) const;
    [[nodiscard]] bool canGetLease(const Worker &worker, MonotonicTime now) const;
    [[nodiscard]] Milliseconds maxLeaseLifetime() const;
    [[nodiscard]] bool isUnreachable(const Worker &worker, MonotonicTime now) const;
    [[nodiscard]] bool isAvailable(const Worker &worker, MonotonicTime now) const;
    void countFailingWorkers();
    [[nodiscard]] bool isDeparting(const Worker &worker) const;
    [[nodiscard]] bool isDrainOver(const Worker &worker, MonotonicTime now) const;
    [[nodiscard]] static bool hasEndedRuns(const Worker &worker);
    void stopRuns(const Worker &worker, MonotonicTime now);
    void answerFarewells(Worker &worker, FarewellOutcome outcome);
    [[nodiscard]] Milliseconds refusalBackoffOf(const Worker &worker) const;
    [[nodiscard]] std::optional<WorkerTime> grantLease(Worker &worker, MonotonicTime now);

    void sweep(MonotonicTime now);
    void updateRecoverySteps(MonotonicTime now);
    void sendDueOrders(MonotonicTime now);
    void setStage(Run &run, Stage stage);
    void requestStop(Run &run, MonotonicTime now);
    [[nodiscard]] static bool needsOrders(const Run &run);
    void tickWorker(const WorkerId &id, Worker &worker, MonotonicTime now);
    void tickRun(const TaskRef &task, Run &run, MonotonicTime now);
    [[nodiscard]] bool shouldRun(const TaskRef &task, const Run &run) const;

    [[nodiscard]] Milliseconds holdWaitOf(const Worker &worker) const;
    void hold(const WorkerId &id, Worker &worker, MonotonicTime now);
    void onHoldFailed(const WorkerId &id, Worker &worker, HoldError error, MonotonicTime sent,
        Milliseconds timeout);
    void onHoldAnswered(const WorkerEndpoint &called, const HoldOutcome &outcome,
        EndNumber acknowledged, MonotonicTime sent, Milliseconds timeout);
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
    void takeBackStart(const TaskRef &task, Run &run, MonotonicTime now);
    void logRefusedStart(const TaskRef &task, const Run &run, MonotonicTime now);
    void onStartAnswered(
        const TaskRef &task, RunNumber number, const WorkerEndpoint &called, StartOutcome outcome);
    void sendStop(const TaskRef &task, Run &run, MonotonicTime now);
    void onStopAnswered(
        const RunPlacement &placement, const WorkerEndpoint &called, StopOutcome outcome);
    void noteStart(const GraphId &graph);
    void proposeStarts(MonotonicTime now);
    void stopUnknownRun(const WorkerId &id, const Worker &worker, const ListedRun &listed);
    void recordAnswerTime(MonotonicTime sent);
    [[nodiscard]] Milliseconds orderPauseOf(const Run &run, MonotonicTime now) const;

    /// Why a run counts as ended although no list showed its end.
    enum class EndReason {
        NotListed, // a list that was requested after the confirmation lacks it
        LeasePassed,
        IncarnationGone, // another process answers at the address
        StartRefused,
        WorkerReplaced, // before the start was sent
        WorkerLeaving, // it began to leave before a start was sent
        NeverOrdered, // no start was sent: not needed any more, or the placement may be unrecorded
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
    MonotonicTime tickingSince_; // since then this VM has led and ticked without gaps
    MonotonicTime inheritedLeasesExpireAt_; // all leases of earlier leaders have expired by then
    Fleet fleet_;
    RoomClaims claims_ {fleet_};
    CustomerUsage usage_; // Invariant: the sum over runs_
    WorkerHealth health_;
    RunObserver observer_; // Invariant: has the same runs as runs_
    AnswerTimeout answerTimeout_; // of all workers: mostly it is this VM that is slow
    std::map<WorkerId, Worker> workers_;
    // As of the last sweep:
    std::size_t fastFailureCount_ = 0; // workers whose holds fail at once
    std::size_t refusingCount_ = 0; // workers that refused their last start
    // Invariant: each run is in its worker's `runs` and takes up room in fleet_.
    std::map<TaskRef, Run> runs_;
    // Invariant: contains every run that needs an order; may contain runs that no longer do.
    std::set<TaskRef> pendingOrders_;
    std::size_t ordersSinceTick_ = 0; // starts and stops
    LogLimiter refusedStarts_; // by worker
    RecoverySteps recoverySteps_;
    std::set<GraphId> begunJobs_; // for the log only; may contain jobs that are not open any more
    MonotonicTime nextSweepAt_ {};
    std::vector<EndList> unproposedEnds_; // listed by workers
    // Jobs that workers have begun and that are not recorded as started. Invariant: no job is in
    // both sets.
    std::set<GraphId> unproposedStarts_;
    std::set<GraphId> proposedStarts_;
    MonotonicTime nextStartRecordAt_ {};
    std::vector<EndedRun> unconfirmedEnds_; // inferred; it is unknown whether they were recorded
};

} // namespace crocusmill
