/// Tracks the free capacity of workers and chooses workers for the tasks of steps.
///
/// Load pattern: many small tasks beside wide tasks and gangs. Small tasks go to the workers with
/// the fewest free cores, so that whole workers stay free for wide tasks. Pure; owned by the
/// control thread.

#pragma once

#include <crocusmill/taskgraph.h>
#include <crocusmill/workerranking.h>

#include <cstddef>
#include <functional>
#include <map>
#include <set>
#include <unordered_map>
#include <vector>

namespace crocusmill
{

struct FleetWorker
{
    WorkerId id;
    Incarnation incarnation;
    ServiceName service;
    TaskSize capacity;
    RackId rack;
    std::vector<WorkerLabel> labels;
    bool isOpen = false; // accepts new tasks

    bool operator==(const FleetWorker &) const = default;
};

/// The tasks of a step that need workers.
struct StepDemand
{
    TaskRef step; // `task` is unused
    ServiceName service;
    const StepSpec *spec = nullptr;
    std::vector<std::uint32_t> waiting; // numbers of the tasks to place
    std::set<WorkerId> excludedWorkers;
    const WorkerRanking *ranking = nullptr; // null: best fit only
};

struct FleetChoice
{
    std::uint32_t task = 0;
    WorkerId worker;
    Incarnation incarnation;
};

/// Changes that may let steps be placed for which there was no room.
struct FleetGains
{
    std::set<WorkerId> workers; // open workers whose free capacity may have grown
    std::vector<TaskRef> steps; // steps of released tasks
    bool hasOpenedWorker = false; // an open worker was added, opened or changed
};

/// What keeps a worker from taking a task of a step. Of several obstacles, the first counts.
enum class WorkerObstacle { None, OtherService, NotOpen, Label, TooSmall, NoRoom, PerWorkerLimit };

/// Returns how many tasks of this size fit into the capacity beside `used`.
[[nodiscard]] std::uint32_t fittingTaskCount(
    const TaskSize &capacity, const TaskSize &used, const TaskSize &size);

/// Returns the capacity that one task of the step reserves. With `fills` it reserves no cores,
/// since it uses those that other tasks leave idle.
[[nodiscard]] TaskSize reservationSize(const StepSpec &spec);

/// Workers that choose() visits to find some of a better rank. If one worker in four is slow and
/// chance decides which have room, 64 contain a normal one but for less than 1 in 10^30 cases.
inline constexpr std::size_t maxRankedWorkers = 64;

class Fleet
{
public:
    Fleet() = default;
    Fleet(const Fleet &) = delete; // workers_ has pointers into services_
    Fleet &operator=(const Fleet &) = delete;

    void setWorker(const FleetWorker &worker);
    void setOpen(const WorkerId &worker, bool open);
    /// Closes the worker, and forgets it if no task holds capacity on it.
    void remove(const WorkerId &worker);
    [[nodiscard]] const FleetWorker *find(const WorkerId &worker) const;

    /// Reserves capacity for a task that is placed, runs or may still be started, until release().
    void take(const WorkerId &worker, const TaskRef &task, const StepSpec &spec);
    void release(const WorkerId &worker, const TaskRef &task, const StepSpec &spec);
    /// Like release(), but not a gain: the room is about to be taken again.
    void withdraw(const WorkerId &worker, const TaskRef &task, const StepSpec &spec);
    /// Notes a gain of room on the worker.
    void noteGain(const WorkerId &worker);

    /// Chooses workers for as many waiting tasks as fit, for a gang for all tasks or none. Reserves
    /// nothing. Unless the step has rack preferences, it visits only the chosen workers and those
    /// with enough free cores that do not match otherwise; with a ranking, up to
    /// maxRankedWorkers more. Places as many tasks with a ranking as without one.
    [[nodiscard]] std::vector<FleetChoice> choose(const StepDemand &demand) const;
    /// Like choose(), but only among `workers`.
    [[nodiscard]] std::vector<FleetChoice> chooseAmong(
        const StepDemand &demand, const std::vector<WorkerId> &workers) const;
    /// Returns how many tasks of the step these workers could run if they were idle.
    [[nodiscard]] std::uint64_t capacityFor(
        const StepDemand &demand, const std::vector<WorkerId> &workers) const;
    /// Returns the open workers that could run a task of the step if they were idle, those with the
    /// most free cores first.
    [[nodiscard]] std::vector<WorkerId> eligibleWorkers(const StepDemand &demand) const;
    /// Calls `visit` for each worker of eligibleWorkers(), in that order, until it returns false.
    void visitEligible(
        const StepDemand &demand, const std::function<bool(const FleetWorker &)> &visit) const;

    /// Calls `visit` for each worker and each demand, given by its index, with what keeps the
    /// worker from taking a task of it now. Ignores the excluded workers of the demands.
    void visitObstacles(const std::vector<StepDemand> &demands,
        const std::function<void(std::size_t, const FleetWorker &, WorkerObstacle)> &visit) const;

    /// Returns the free capacity of a worker, zero while it is not open.
    [[nodiscard]] TaskSize freeCapacityOn(const WorkerId &worker) const;
    /// Returns the gains since the previous call.
    [[nodiscard]] FleetGains takeGains();

    /// Returns the total cores of the open workers of a service.
    [[nodiscard]] std::uint64_t openMilliCores(const ServiceName &service) const;
    /// Returns the cores reserved on all workers of a service.
    [[nodiscard]] std::uint64_t usedMilliCores(const ServiceName &service) const;

private:
    struct WorkerEntry;
    struct ByFreeCores
    {
        using is_transparent = void;
        bool operator()(const WorkerEntry *left, const WorkerEntry *right) const;
        bool operator()(const WorkerEntry *entry, std::int64_t freeMilliCores) const;
        bool operator()(std::int64_t freeMilliCores, const WorkerEntry *entry) const;
    };
    struct Service
    {
        // Invariant: the open workers of the service, in ascending order of free cores.
        std::set<const WorkerEntry *, ByFreeCores> openWorkers;
        // Invariant: the capacity of the open workers, and the reservations on all workers.
        std::uint64_t openMilliCores = 0;
        std::uint64_t usedMilliCores = 0;
    };
    struct WorkerEntry
    {
        FleetWorker worker;
        Service *service = nullptr;
        // Invariant: the sum of the reservations on the worker. It is within the capacity if
        // choose() placed every task.
        TaskSize used;
        std::size_t taskCount = 0;
        // Only of steps with a limit per worker.
        std::map<TaskRef, std::uint32_t> taskCountPerStep;
    };
    struct Candidate
    {
        const WorkerEntry *entry = nullptr;
        std::uint32_t tasks = 0; // how many of them fit
        bool isPreferred = false; // in the rack that has the step's data
        std::uint32_t rank = 0; // by the demand's ranking
    };

    WorkerEntry &findOrAddEntry(const WorkerId &worker);
    // An entry must not be in its service while its sort key or its sums change.
    static void removeFromService(WorkerEntry &entry);
    void addToService(WorkerEntry &entry);
    void recordGain(const WorkerEntry &entry, bool isWorkerChange);
    [[nodiscard]] const Service *find(const ServiceName &service) const;
    static void appendCandidate(
        const WorkerEntry &entry, const StepDemand &demand, std::vector<Candidate> &candidates);
    [[nodiscard]] static std::vector<FleetChoice> chooseFrom(
        const StepDemand &demand, std::vector<Candidate> candidates);
    [[nodiscard]] static std::vector<FleetChoice> assignTasks(
        const StepDemand &demand, const std::vector<Candidate> &candidates);
    /// Returns what keeps the worker from taking a task of the step if it is idle.
    [[nodiscard]] static WorkerObstacle obstacleOf(
        const FleetWorker &worker, const StepDemand &demand);
    /// Returns how many tasks of the step its free capacity and the limit per worker allow.
    [[nodiscard]] static std::uint32_t admissibleTaskCount(
        const WorkerEntry &entry, const StepDemand &demand);
    [[nodiscard]] static bool isEligible(const FleetWorker &worker, const StepDemand &demand);

    std::unordered_map<WorkerId, WorkerEntry> workers_;
    std::map<ServiceName, Service> services_;
    FleetGains gains_;
};

} // namespace crocusmill
