/// Placement of jobs' tasks on workers.
///
/// Pure: workers and waiting jobs go in, placements come out. What is placed on a worker together
/// with what it was observed to use beyond that never passes its capacity. Not thread-safe; owned
/// by the control thread.

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
    bool open = true; // takes new tasks: heard, not draining, not quarantined
};

/// What a job asks of the placement.
struct PlacementJob
{
    JobId id;
    JobClass jobClass = JobClass::Batch;
    bool urgent = false;
    TaskSize size;
    /// Numbers of the tasks that wait.
    std::vector<std::uint32_t> waiting;
};

enum class PlacementObstacle {
    None = 0,
    NeverFits, // no worker is large enough, or all of them together are too few for the gang
    NoRoom, // it fits once others have ended
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
    PlacementObstacle obstacle = PlacementObstacle::None; // of the tasks that were not placed
};

/// How tasks are spread or packed; the naive way is the baseline of measurements.
enum class PlacementPolicy { PackAndSpread, FirstFit };

class Placement
{
public:
    explicit Placement(PlacementPolicy policy);

    void setWorker(const PlacementWorker &worker);
    void removeWorker(const WorkerId &worker);

    /// Reserves room for a task; a service's also counts for the spread over zones and racks. A
    /// worker that was not heard yet is entered closed, so that its tasks count once it is.
    void reserve(const WorkerId &worker, const JobId &job, JobClass jobClass, TaskSize size);
    void release(const WorkerId &worker, const JobId &job, JobClass jobClass, TaskSize size);

    /// Chooses workers for as many waiting tasks as fit, at most `most`, and reserves them. A gang
    /// gets all of its tasks or none.
    [[nodiscard]] PlacementResult place(const PlacementJob &job, std::size_t maxTasks);

    /// Whether the job could ever run on the workers known, all of them empty.
    [[nodiscard]] PlacementObstacle feasible(const PlacementJob &job) const;

    [[nodiscard]] TaskSize freeOn(const WorkerId &worker) const;
    [[nodiscard]] std::size_t workerCount() const;

private:
    using WorkerIndex = std::uint32_t;

    struct Worker
    {
        PlacementWorker spec;
        // Invariant: no more than the capacity in any dimension while the worker is open.
        TaskSize reserved;
        std::uint32_t bucket = 0;
    };
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
    /// The worker is about to stand in another zone or rack.
    void relocate(WorkerIndex index, const PlacementWorker &updated);
    void add(Worker &worker, const TaskSize &size);

    PlacementPolicy policy_;
    std::vector<Worker> workers_;
    std::unordered_map<WorkerId, WorkerIndex> indices_;
    // Invariant: every open worker is in the bucket of its free cores, and in its zone's.
    std::map<std::uint32_t, std::set<WorkerIndex>> buckets_;
    std::map<AvailabilityZone, std::map<std::uint32_t, std::set<WorkerIndex>>> zones_;
    std::map<JobId, TaskCounts> taskCounts_;
};

} // namespace crocusmill
