/// The cell's scheduling on the leader: workers announce themselves, tasks are placed on them.

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

    /// A new leader takes the recorded placements over and places nothing new until every lease
    /// of an earlier leader is over.
    Cell(const TimeSettings &times, const StateMachine &state, Propose propose, MonotonicTime now);

    [[nodiscard]] WorkerReply onAnnouncement(
        const WorkerAnnouncement &announcement, MonotonicTime now, WallTime wall);
    /// Places what waits and ends the tasks of workers whose leases are over.
    void sweep(MonotonicTime now, WallTime wall);
    /// Whether the job could ever run on the workers known.
    [[nodiscard]] PlacementObstacle feasible(const SubmitJob &job) const;
    /// An operator's wish about the worker was recorded.
    void refresh(const WorkerId &worker);
    [[nodiscard]] std::string describeWorkers() const;

private:
    struct WorkerRecord
    {
        WorkerAnnouncement announcement;
        MonotonicTime heardAt;
        // When the incarnation of the announcement was first heard, or heard again after another.
        MonotonicTime incarnationSince;
        // No task on it is of another incarnation; never when lost.
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
    /// Ends what runs in no process of the worker any more, once its leases are over.
    void endGoneTasks(WorkerRecord &record, MonotonicTime now);
    [[nodiscard]] bool isGone(const WorkerRecord &record, const TaskKey &key) const;
    [[nodiscard]] Milliseconds maxLeaseDuration() const;
    /// The task is recorded as placed on the process that announces itself.
    [[nodiscard]] bool isPlacedOn(const WorkerAnnouncement &process, const TaskKey &key) const;
    void placeJob(const JobId &id, const Job &job);
    void propose(const JobId &id, const Job &job, const PlacementResult &result);
    void proposePlacement(const PlaceTasks &command);
    [[nodiscard]] bool isRecorded(const JobId &id, const TaskPlacement &placement) const;
    /// Proposes again what neither was applied nor refused in time.
    void retryProposals();
    /// Frees room for urgent work by stopping tasks that are not urgent; what they hold is free
    /// once their worker no longer lists them.
    void preemptFor(const Job &urgentJob);
    [[nodiscard]] std::map<WorkerId, TaskSize> preemptible() const;
    [[nodiscard]] bool isPreemptible(const TaskKey &key, const Reservation &held) const;
    [[nodiscard]] bool isCurrentAttempt(const WorkerId &worker, const TaskReport &report) const;
    void handleReport(WorkerRecord &record, const TaskReport &report, WorkerReply &reply);
    /// Tasks that the worker holds room for and does not list: not started yet, or stopped.
    void handleUnreported(const WorkerAnnouncement &announcement, const std::set<TaskKey> &reported,
        WorkerReply &reply);
    [[nodiscard]] TaskOrder orderFor(const Job &job, std::uint32_t task) const;
    void countFailures(WorkerRecord &record, TaskReportState state);

    TimeSettings times_;
    const StateMachine &state_;
    Propose propose_;
    MonotonicTime graceEndsAt_;
    Placement placement_ {PlacementPolicy::Fair};
    std::map<WorkerId, WorkerRecord> workers_;
    // Invariant: what placement_ holds reserved, task by task.
    std::map<TaskKey, Reservation> reservations_;
    // Invariant: the keys of reservations_, by worker; no set is empty.
    std::map<WorkerId, std::set<TaskKey>> tasksOn_;
    bool hasTakenOver_ = false;
    WallTime wall_; // of the input being handled
    // Tasks whose end is proposed and not applied yet, and jobs whose placement is.
    std::set<TaskKey> endingTasks_;
    std::set<JobId> placingJobs_;
    // Of those, what became of them is not known; they are proposed again with the next sweep.
    std::vector<EndTask> unconfirmedEnds_;
    std::vector<PlaceTasks> unconfirmedPlacements_;
    // Tasks that were told to make room and are still listed by their worker.
    std::set<TaskKey> preemptedTasks_;
};

} // namespace crocusmill
