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
    Milliseconds lease {6'000};
    /// How long a worker waits for an end before it answers.
    Milliseconds holdWait {1'000};
    /// Beyond the wait: network, and a worker that is slow to answer.
    Milliseconds answerLimit {800};
    /// An order that was not answered this long is sent again.
    Milliseconds orderLimit {400};
    Milliseconds orderPause {60};
    /// A worker that did not answer this long gets no new tasks.
    Milliseconds trust {2'600};
    /// Added to a lease before what it covered counts as over.
    Milliseconds leaseMargin {100};
    /// A task without progress this long stands still, or this share of its estimate.
    Milliseconds stall {3'500}; // longer than a gang waits for its members
    double stallShare = 0.1;
    /// Progress is counted against the estimate, so a task that has reached it shows none any more.
    /// It is left alone this long, or this many estimates; some take ten times what was stated.
    Milliseconds overrun {15'000};
    double overrunEstimates = 10;
    /// How often every run and every worker is looked at. Runs that wait for an order are looked at
    /// in each round.
    Milliseconds sweep {100};
    /// Rounds further apart than this show that this VM stood still, or could not hear workers.
    Milliseconds standstill {500};
    /// A call that is over later than this after its limit says nothing about its worker.
    Milliseconds lateness {200};
    /// A worker that said that it leaves, and has no runs, is forgotten after this.
    Milliseconds departure {1'000};
    /// A connection that fails sooner was refused; one that is not answered fails later.
    Milliseconds refusal {100};
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
        std::function<bool()> mayOrder;
        FencingToken fence;
        SupervisorTimes times;
        /// Something ended: a round is due, which records it, or has room to give away.
        std::function<void()> changed;
        std::function<MonotonicTime()> clock = monotonicNow;
    };

    RunSupervisor(Parts parts, MonotonicTime now);

    /// Recorded placements of earlier leaders: they count until their workers were heard.
    void takeOver(MonotonicTime now);
    void heard(const WorkerHeartbeat &heartbeat, MonotonicTime now);
    void left(const WorkerId &worker, const Incarnation &incarnation, MonotonicTime now);
    void tick(MonotonicTime now, WallTime wall);
    /// Gives no more orders; answers that are still on their way are passed over. They keep the
    /// supervisor alive, beside the one of the next leadership.
    void retire();

    /// Room for a run whose placement is being recorded.
    void reserve(const RunPlacement &placement, const StepSpec &spec);
    /// The placement was not recorded.
    void cancelReservation(const TaskRef &task);
    /// Whether the placement was recorded is not known: it is taken back.
    void withdraw(const TaskRef &task);
    /// The placement was recorded: the run is started.
    void start(const TaskRef &task, const std::optional<Ticket> &ticket, MonotonicTime now);

    struct Load
    {
        std::size_t runs = 0;
        std::size_t starting = 0; // or stopping: they wait for an order's outcome
        std::size_t workers = 0;
        std::size_t workersOpen = 0;
        std::size_t endsUnrecorded = 0; // lists that wait for their record
    };
    [[nodiscard]] Load load(MonotonicTime now) const;

    [[nodiscard]] const Fleet &fleet() const;
    /// What the fleet gained since this was called last.
    [[nodiscard]] FleetGains takeGains();
    /// A run of the task counts on some worker.
    [[nodiscard]] bool hasRun(const TaskRef &task) const;
    /// Workers that may be called, for the VM that leads next.
    [[nodiscard]] std::vector<WorkerHeartbeat> heardLately() const;

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
        std::optional<MonotonicTime> settledAt;
        MonotonicTime nextOrder {};
        std::uint32_t orders = 0; // sent and perhaps carried out
        bool ordering = false; // an order is on its way
        bool ending = false; // its end is being recorded
        std::uint32_t percent = 0; // as listed last, and since when it has been that
        MonotonicTime progressed {};
    };

    struct Worker
    {
        WorkerHeartbeat heartbeat;
        bool known = false; // a heartbeat of this incarnation was heard
        MonotonicTime heard {};
        WorkerClock clock;
        // Invariant: no lease that a leader gave this incarnation lasts longer.
        MonotonicTime leaseOver {};
        MonotonicTime answered {}; // when the newest answered hold was sent
        bool holding = false;
        MonotonicTime nextHold {};
        std::uint32_t unanswered = 0; // holds in a row
        bool answers = false; // the newest hold that is over was answered, and in time
        MonotonicTime askedInVain {}; // when the newest of them was sent
        EndNumber recorded; // ends up to this one are in the journal
        std::set<TaskRef> runs;
        std::optional<MonotonicTime> leavesAt; // it said that it leaves
        bool gone = false; // and nobody listens there any more
        std::uint32_t refusals = 0; // orders refused in a row
        MonotonicTime refusedUntil {};
    };

    /// Ends that one answer of a worker listed.
    struct EndList
    {
        WorkerId worker;
        Incarnation incarnation;
        std::vector<EndedRun> ended;
        EndNumber last;
    };

    [[nodiscard]] bool mayOrder() const;
    Worker &workerOf(const WorkerId &id);
    [[nodiscard]] static WorkerEndpoint endpointOf(const Worker &worker);
    void replaceIncarnation(Worker &worker, const WorkerHeartbeat &heartbeat, MonotonicTime now);
    void incarnationGone(const WorkerId &id, const Incarnation &incarnation);
    void updateFleet(const Worker &worker, MonotonicTime now);
    [[nodiscard]] bool isOpen(const Worker &worker, MonotonicTime now) const;
    [[nodiscard]] Milliseconds longestLease() const;
    [[nodiscard]] bool isSilent(const Worker &worker, MonotonicTime now) const;
    [[nodiscard]] bool isTrusted(const Worker &worker, MonotonicTime now) const;
    [[nodiscard]] std::optional<WorkerTime> lease(Worker &worker, MonotonicTime now);

    void sweep(MonotonicTime now);
    void orderDue(MonotonicTime now);
    void setStage(Run &run, Stage stage);
    [[nodiscard]] static bool needsOrders(const Run &run);
    void tickWorker(const WorkerId &id, Worker &worker, MonotonicTime now);
    void tickRun(const TaskRef &task, Run &run, MonotonicTime now);
    [[nodiscard]] bool isWanted(const TaskRef &task, const Run &run) const;
    [[nodiscard]] bool gangIsBroken(const Graph &graph, const TaskRef &task, const Run &run) const;

    void hold(const WorkerId &id, Worker &worker, MonotonicTime now);
    void holdFailed(const WorkerId &id, Worker &worker, HoldError error, MonotonicTime sent,
        Milliseconds limit);
    void holdAnswered(const WorkerId &id, const Incarnation &incarnation,
        const HoldOutcome &outcome, MonotonicTime sent, Milliseconds limit);
    void takeReport(
        const WorkerId &id, Worker &worker, const HoldReport &report, MonotonicTime sent);
    void takeRunning(const WorkerId &id, Worker &worker, const ListedRun &listed);
    void watchProgress(const WorkerId &id, Run &run, const ListedRun &listed);
    [[nodiscard]] std::set<GraphId> openAmong(const std::vector<EndedRun> &ended) const;
    void logEnded(const std::set<GraphId> &wereOpen) const;
    void judge(const WorkerId &id, const ListedEnd &end);
    void recordEnds();
    void endsRecorded(const EndList &list);

    void sendStart(const TaskRef &task, Run &run, MonotonicTime now);
    void startAnswered(
        const TaskRef &task, RunNumber number, const WorkerId &id, StartOutcome outcome);
    void sendStop(const TaskRef &task, Run &run, MonotonicTime now);
    void stopAnswered(const TaskRef &task, RunNumber number, StopOutcome outcome);
    void stopUnknown(const WorkerId &id, const Worker &worker, const ListedRun &listed);

    /// By which rule a run that no list showed as ended counts as over.
    enum class OverBy {
        NotListed, // a list that was asked for later lacks it
        LeasePassed,
        WorkerLeft,
        IncarnationGone, // another process answers at its address
        StartRefused,
        WorkerReplaced, // before the start was ordered
        NeverOrdered, // its placement may not have been recorded
    };
    [[nodiscard]] static std::string_view text(OverBy rule);
    void endRuns(const std::vector<EndedRun> &ended, OverBy rule);
    void recordOver(const std::vector<EndedRun> &ended);
    void logOver(const Run &run, const EndedRun &end, OverBy rule) const;
    void logLateSuccess(const WorkerId &worker, const ListedEnd &end) const;
    [[nodiscard]] EndedRun overAs(const Run &run, RunEnd end) const;
    void release(const EndedRun &ended);
    [[nodiscard]] Run *findRun(const TaskRef &task, RunNumber number);

    Parts parts_;
    bool retired_ = false;
    MonotonicTime now_;
    WallTime wall_ {};
    MonotonicTime ticked_;
    MonotonicTime inStepSince_; // this VM has led and has not stood still
    MonotonicTime inheritedLeases_; // when every lease of earlier leaders is over
    Fleet fleet_;
    WorkerHealth health_;
    std::map<WorkerId, Worker> workers_;
    // Invariant: each run is in its worker's `runs` and taken in fleet_.
    std::map<TaskRef, Run> runs_;
    // Invariant: has every run that needs an order, and perhaps some that need none any more.
    std::set<TaskRef> ordersDue_;
    MonotonicTime sweepDue_ {};
    std::vector<EndList> listedEnds_; // not proposed yet
    std::vector<EndedRun> overAgain_; // whether they were recorded is not known
};

} // namespace crocusmill
