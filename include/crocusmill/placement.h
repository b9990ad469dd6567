/// Placement of the tasks of jobs on workers.
///
/// Pure: maps workers and waiting jobs to placements. place() never reserves more on a worker than
/// its capacity. Not thread-safe; owned by the control thread.

#pragma once

#include <crocusmill/announcement.h>
#include <crocusmill/commands.h>

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace crocusmill
{

struct PlacementWorker
{
    WorkerId id;
    AvailabilityZone zone;
    RackId rack;
    Incarnation incarnation;
    TaskSize capacity;
    bool isOpen = true; // accepts new tasks: not lost, draining or quarantined
};

/// A job with tasks to place.
struct PlacementJob
{
    JobId id;
    JobClass jobClass = JobClass::Batch;
    bool urgent = false;
    TaskSize size;
    /// Numbers of the tasks to place.
    std::vector<std::uint32_t> waiting;
};

enum class PlacementObstacle {
    None = 0,
    NeverFits, // no worker is large enough, or all workers together are too small for the gang
    NoRoom, // fits once other tasks have ended
};

[[nodiscard]] std::string_view text(PlacementObstacle obstacle);

struct ChosenWorker
{
    std::uint32_t task = 0;
    WorkerId worker;
    Incarnation incarnation;
};

struct PlacementResult
{
    std::vector<ChosenWorker> chosen;
    PlacementObstacle obstacle = PlacementObstacle::None; // why the remaining tasks were not placed
};

/// PackAndSpread packs batch tasks and gangs by best fit and spreads services over zones and racks.
/// FirstFit is the baseline of benchmarks.
enum class PlacementPolicy { PackAndSpread, FirstFit };

class Placement
{
public:
    explicit Placement(PlacementPolicy policy);

    void setWorker(const PlacementWorker &worker);
    void removeWorker(const WorkerId &worker);

    /// Reserves capacity for a task. Tasks of services also count for the spread over zones and
    /// racks. An unknown worker is added as closed, so that its reservations count once it is set.
    void reserve(const WorkerId &worker, const JobId &job, JobClass jobClass, TaskSize size);
    void release(const WorkerId &worker, const JobId &job, JobClass jobClass, TaskSize size);

    /// Chooses workers for as many waiting tasks as fit, at most `maxTasks`, and reserves capacity.
    /// A gang gets workers for all of its tasks or none; `maxTasks` does not limit it.
    [[nodiscard]] PlacementResult place(const PlacementJob &job, std::size_t maxTasks);

    /// Returns NeverFits if the job could not run even if all workers, also closed ones, were idle,
    /// otherwise None.
    [[nodiscard]] PlacementObstacle feasible(const PlacementJob &job) const;

    [[nodiscard]] TaskSize freeOn(const WorkerId &worker) const;
    [[nodiscard]] std::size_t workerCount() const;

private:
    using WorkerIndex = std::uint32_t;

    struct Worker
    {
        PlacementWorker spec;
        // Invariant: within the capacity in each dimension while the worker is open.
        TaskSize reserved;
        std::uint32_t bucket = 0;
    };
    /// Numbers of tasks of one service.
    struct TaskCounts
    {
        std::map<AvailabilityZone, std::uint32_t> zones;
        std::map<RackId, std::uint32_t> racks;
        std::unordered_map<WorkerId, std::uint32_t> workers;
    };

    [[nodiscard]] std::optional<WorkerIndex> findBestFit(const TaskSize &size) const;
    [[nodiscard]] std::optional<WorkerIndex> findFirstFit(const TaskSize &size) const;
    [[nodiscard]] std::optional<WorkerIndex> findSpread(
        const JobId &job, const TaskSize &size) const;
    [[nodiscard]] std::optional<WorkerIndex> find(const PlacementJob &job) const;
    [[nodiscard]] static TaskSize freeOf(const Worker &worker);
    [[nodiscard]] static bool fits(const Worker &worker, const TaskSize &size);
    void updateIndex(WorkerIndex index);
    /// Takes the worker out of the index of its zone and moves its task counts to the zone and rack
    /// of `updated`. The caller updates the index after it has changed the worker.
    void relocate(WorkerIndex index, const PlacementWorker &updated);
    void add(Worker &worker, const TaskSize &size);

    PlacementPolicy policy_;
    std::vector<Worker> workers_;
    std::unordered_map<WorkerId, WorkerIndex> indices_;
    // Invariant: each open worker is in the bucket of its free cores, here and in its zone.
    std::map<std::uint32_t, std::set<WorkerIndex>> buckets_;
    std::map<AvailabilityZone, std::map<std::uint32_t, std::set<WorkerIndex>>> zones_;
    std::map<JobId, TaskCounts> taskCounts_;
};

} // namespace crocusmill
