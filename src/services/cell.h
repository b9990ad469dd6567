/// The leader's scheduler for workers that announce themselves: it places tasks on them.

#pragma once

#include "src/services/interfaces.h"

#include <crocusmill/placement.h>
#include <crocusmill/settings.h>

#include <functional>
#include <map>
#include <set>

namespace crocusmill
{

class Cell
{
public:
    using Propose = std::function<void(const Command &, ProposeHandler)>;

    /// A new leader takes over the recorded placements. It places nothing until every lease given
    /// by an earlier leader has expired.
    Cell(const TimeSettings &times, const StateMachine &state, Propose propose, MonotonicTime now);

    /// Handles a worker's announcement. The reply tells the worker which tasks to start, to stop
    /// and to renew.
    [[nodiscard]] WorkerReply onAnnouncement(
        const WorkerAnnouncement &announcement, MonotonicTime now, WallTime wall);
    /// Places waiting tasks and ends the tasks of workers whose leases have expired.
    void sweep(MonotonicTime now, WallTime wall);
    /// Returns whether the job could ever run on the known workers.
    [[nodiscard]] PlacementObstacle feasible(const SubmitJob &job) const;
    /// Applies an operator's recorded change to the worker.
    void refresh(const WorkerId &worker);
    /// Returns the workers as a JSON array for operators.
    [[nodiscard]] std::string describeWorkers() const;

private:
    struct WorkerRecord
    {
        WorkerAnnouncement announcement;
        MonotonicTime heardAt;
        // When the current incarnation first announced itself, or did so again after another one.
        MonotonicTime incarnationSince;
        // True if all tasks on the worker belong to the current incarnation. False if it is lost.
        bool hasEndedStaleTasks = false;
        bool isLost = false;
        std::uint32_t consecutiveFailures = 0;
    };
    using TaskKey = std::pair<JobId, std::uint32_t>;
    struct Reservation
    {
        WorkerId worker;
        std::uint32_t attempt = 0;
        JobClass jobClass = JobClass::Batch;
        TaskSize size;
    };

    void takeOver();
    void reserve(const TaskKey &key, const Reservation &reservation);
    void updateWorker(const WorkerRecord &record);
    void endTask(const JobId &job, std::uint32_t task, std::uint32_t attempt, TaskEnd end);
    void proposeEnd(const EndTask &command);
    void releaseReservation(const TaskKey &key, std::uint32_t attempt);
    void sweepWorkers(MonotonicTime now);
    /// Ends the tasks that no current process of the worker runs, once their leases have expired.
    void endGoneTasks(WorkerRecord &record, MonotonicTime now);
    [[nodiscard]] bool isGone(const WorkerRecord &record, const TaskKey &key) const;
    [[nodiscard]] Milliseconds maxLeaseDuration() const;
    /// Returns whether the task is recorded as placed on the announcing process.
    [[nodiscard]] bool isPlacedOn(const WorkerAnnouncement &process, const TaskKey &key) const;
    void placeJob(const JobId &id, const Job &job);
    void propose(const JobId &id, const Job &job, const PlacementResult &result);
    void proposePlacement(const PlaceTasks &command);
    [[nodiscard]] bool isRecorded(const JobId &id, const TaskPlacement &placement) const;
    /// Repeats proposals whose outcome is unknown.
    void retryProposals();
    /// Preempts tasks that are not urgent to make room for an urgent job. Their room is free once
    /// the worker no longer lists them.
    void preemptFor(const Job &urgentJob);
    [[nodiscard]] std::map<WorkerId, TaskSize> preemptible() const;
    [[nodiscard]] bool isPreemptible(const TaskKey &key, const Reservation &held) const;
    [[nodiscard]] bool isCurrentAttempt(const WorkerId &worker, const TaskReport &report) const;
    void handleReport(WorkerRecord &record, const TaskReport &report, WorkerReply &reply);
    /// Handles reserved tasks that the worker does not list: they have not started or have stopped.
    void handleUnreported(const WorkerAnnouncement &announcement, const std::set<TaskKey> &reported,
        WorkerReply &reply);
    [[nodiscard]] TaskOrder orderFor(const Job &job, std::uint32_t task) const;
    void countFailures(WorkerRecord &record, TaskReportState state);

    TimeSettings times_;
    const StateMachine &state_;
    Propose propose_;
    MonotonicTime graceEndsAt_;
    Placement placement_ {PlacementPolicy::PackAndSpread};
    std::map<WorkerId, WorkerRecord> workers_;
    // Invariant: the reservations in placement_, by task.
    std::map<TaskKey, Reservation> reservations_;
    // Invariant: the keys of reservations_, by worker; no set is empty.
    std::map<WorkerId, std::set<TaskKey>> tasksOn_;
    bool hasTakenOver_ = false;
    WallTime wall_; // of the input being handled
    // Tasks whose end, and jobs whose placement, is proposed and not applied yet.
    std::set<TaskKey> endingTasks_;
    std::set<JobId> placingJobs_;
    // Proposals of these with an unknown outcome; the next sweep repeats them.
    std::vector<EndTask> unconfirmedEnds_;
    std::vector<PlaceTasks> unconfirmedPlacements_;
    // Preempted tasks whose end is not applied yet.
    std::set<TaskKey> preemptedTasks_;
};

} // namespace crocusmill
