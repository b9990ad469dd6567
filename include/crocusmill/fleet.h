/// Room on workers for tasks of steps, and the choice among them.
///
/// Load pattern: many small tasks beside wide ones and gangs. Small tasks go where the least room
/// is left, so that whole workers stay free for wide ones. Pure; owned by the control thread.

#pragma once

#include <crocusmill/taskgraph.h>

#include <map>
#include <set>
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
};

/// A step, or what is left of it, that asks for workers.
struct StepDemand
{
    TaskRef step; // its `task` has no meaning
    ServiceName service;
    const StepSpec *spec = nullptr;
    std::vector<std::uint32_t> waiting; // tasks to place
    std::set<WorkerId> avoided; // not chosen for it
};

struct FleetChoice
{
    std::uint32_t task = 0;
    WorkerId worker;
    Incarnation incarnation;
};

class Fleet
{
public:
    void setWorker(const FleetWorker &worker);
    void setOpen(const WorkerId &worker, bool open);
    void remove(const WorkerId &worker);
    [[nodiscard]] const FleetWorker *find(const WorkerId &worker) const;

    /// Room of a task that is placed, runs or may still be started; it counts until released.
    void take(const WorkerId &worker, const TaskRef &task, const StepSpec &spec);
    void release(const WorkerId &worker, const TaskRef &task, const StepSpec &spec);

    /// Workers for as many of the waiting tasks as have room; all tasks of a gang or none. Nothing
    /// is taken yet.
    [[nodiscard]] std::vector<FleetChoice> choose(const StepDemand &demand) const;
    /// The same among these workers alone.
    [[nodiscard]] std::vector<FleetChoice> chooseAmong(
        const StepDemand &demand, const std::vector<WorkerId> &workers) const;
    /// Open workers that could run tasks of the step if they were idle, those with most room first.
    [[nodiscard]] std::vector<WorkerId> suited(const StepDemand &demand) const;

    /// Cores that open workers of a service have, and those of them in use.
    [[nodiscard]] std::uint64_t openMilliCores(const ServiceName &service) const;
    [[nodiscard]] std::uint64_t usedMilliCores(const ServiceName &service) const;

private:
    struct Held
    {
        FleetWorker worker;
        // Invariant: the sum over the tasks taken on the worker; within its capacity while every
        // task was placed by choose().
        TaskSize used;
        std::map<TaskRef, std::uint32_t> perStep; // tasks by step, for limits per worker
    };
    struct Candidate
    {
        const Held *held = nullptr;
        std::uint32_t tasks = 0; // that it has room for
        bool preferred = false; // its rack has the step's data
    };

    static void consider(
        const Held &held, const StepDemand &demand, std::vector<Candidate> &candidates);
    [[nodiscard]] static std::vector<FleetChoice> chooseFrom(
        const StepDemand &demand, std::vector<Candidate> candidates);
    [[nodiscard]] static std::vector<FleetChoice> fill(
        const StepDemand &demand, const std::vector<Candidate> &candidates);
    [[nodiscard]] static bool suits(const FleetWorker &worker, const StepDemand &demand);

    std::map<WorkerId, Held> workers_;
};

} // namespace crocusmill
