/// Room on workers for tasks of steps, and the choice among them.
///
/// Load pattern: many small tasks beside wide ones and gangs. Small tasks go where the least room
/// is left, so that whole workers stay free for wide ones. Pure; owned by the control thread.

#pragma once

#include <crocusmill/taskgraph.h>

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
    bool open = false; // takes new tasks

    bool operator==(const FleetWorker &) const = default;
};

/// A step, or what is left of it, that asks for workers.
struct StepDemand
{
    TaskRef step; // its `task` has no meaning
    ServiceName service;
    const StepSpec *spec = nullptr;
    std::vector<std::uint32_t> waiting; // tasks to place
    std::set<WorkerId> excludedWorkers; // not chosen for it
};

struct FleetChoice
{
    std::uint32_t task = 0;
    WorkerId worker;
    Incarnation incarnation;
};

/// What may help steps that found no room.
struct FleetGains
{
    std::set<WorkerId> workers; // have more room than before
    std::vector<TaskRef> steps; // a task of theirs was released
    bool hasOpenedWorker = false; // a worker takes tasks that took none before
};

/// What a task of the step takes of a worker: one that fills gets what others leave of the cores.
[[nodiscard]] TaskSize reservationSize(const StepSpec &spec);

class Fleet
{
public:
    Fleet() = default;
    Fleet(const Fleet &) = delete; // workers point to their service
    Fleet &operator=(const Fleet &) = delete;

    void setWorker(const FleetWorker &worker);
    void setOpen(const WorkerId &worker, bool open);
    void remove(const WorkerId &worker);
    [[nodiscard]] const FleetWorker *find(const WorkerId &worker) const;

    /// Room of a task that is placed, runs or may still be started; it counts until released.
    void take(const WorkerId &worker, const TaskRef &task, const StepSpec &spec);
    void release(const WorkerId &worker, const TaskRef &task, const StepSpec &spec);

    /// Workers for as many of the waiting tasks as have room; all tasks of a gang or none. Nothing
    /// is taken yet. Costs what is chosen, and workers with cores left that do not fit otherwise.
    [[nodiscard]] std::vector<FleetChoice> choose(const StepDemand &demand) const;
    /// The same among these workers alone.
    [[nodiscard]] std::vector<FleetChoice> chooseAmong(
        const StepDemand &demand, const std::vector<WorkerId> &workers) const;
    /// Open workers that could run tasks of the step if they were idle, those with most room first.
    [[nodiscard]] std::vector<WorkerId> eligibleWorkers(const StepDemand &demand) const;
    /// The same one by one, until `visit` returns false.
    void visitEligible(
        const StepDemand &demand, const std::function<bool(const FleetWorker &)> &visit) const;

    /// Cores, memory and accelerators that are left on a worker; none while it is not open.
    [[nodiscard]] TaskSize freeCapacityOn(const WorkerId &worker) const;
    /// What was gained since this was called last.
    [[nodiscard]] FleetGains takeGains();

    /// Cores that open workers of a service have, and those of its workers in use.
    [[nodiscard]] std::uint64_t openMilliCores(const ServiceName &service) const;
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
        // Invariant: its open workers, the one with fewest free cores first.
        std::set<const WorkerEntry *, ByFreeCores> open;
        // Invariant: sums over the capacity of those, and over what is taken on any worker.
        std::uint64_t openMilliCores = 0;
        std::uint64_t usedMilliCores = 0;
    };
    struct WorkerEntry
    {
        FleetWorker worker;
        Service *service = nullptr;
        // Invariant: the sum over the tasks taken on the worker; within its capacity while every
        // task was placed by choose().
        TaskSize used;
        std::size_t taskCount = 0;
        std::map<TaskRef, std::uint32_t>
            taskCountPerStep; // tasks by step, where a limit per worker counts
    };
    struct Candidate
    {
        const WorkerEntry *entry = nullptr;
        std::uint32_t tasks = 0; // that it has room for
        bool preferred = false; // its rack has the step's data
    };

    WorkerEntry &findOrAddEntry(const WorkerId &worker);
    // A worker is taken out of its service while it changes.
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
    [[nodiscard]] static bool isEligible(const FleetWorker &worker, const StepDemand &demand);

    std::unordered_map<WorkerId, WorkerEntry> workers_;
    std::map<ServiceName, Service> services_;
    FleetGains gains_;
};

} // namespace crocusmill
