/// Graph jobs, whose steps depend on each other, and the commands that record them.

#pragma once

#include <crocusmill/ids.h>

#include <cstdint>
#include <string>
#include <vector>

namespace crocusmill
{

using QueueName = StrongValue<struct QueueNameTag, std::string>;
using GraphId = StrongValue<struct GraphIdTag, std::string>;
using WorkerLabel = StrongValue<struct WorkerLabelTag, std::string>;
using CustomerName = StrongValue<struct CustomerNameTag, std::string>;
using ImageName = StrongValue<struct ImageNameTag, std::string>;
/// Identifies saved progress of a task; empty if there is none.
using Checkpoint = StrongValue<struct CheckpointTag, std::string>;
/// Numbers the runs of a task, starting at 1.
using RunNumber = StrongValue<struct RunNumberTag, std::uint32_t>;

struct TaskSize
{
    std::uint32_t milliCores = 0;
    ByteCount memory;
    std::uint32_t accelerators = 0;

    bool operator==(const TaskSize &) const = default;
};

struct StepSpec
{
    std::uint32_t tasks = 1;
    TaskSize size;
    Milliseconds estimate {0}; // run time of one task, as stated by the client
    /// Numbers of the earlier steps whose tasks must all succeed first.
    std::vector<std::uint32_t> after;
    bool gang = false; // all tasks run together or not at all
    bool oneRack = false; // runs slower when spread over racks
    bool speculative = false; // copies of a task may run at the same time
    bool lasting = false; // a service that runs until cancelled
    bool checkpoints = false;
    bool fills = false; // uses cores that others leave idle
    WorkerLabel label; // empty: any worker
    RackId dataRack; // runs slower elsewhere; empty: none
    std::uint32_t mostPerWorker = 0; // tasks on one worker; zero: no limit
    ImageName image;
    Milliseconds goal {0}; // tail latency target of a service; zero: none
    std::uint32_t mostUnavailable = 0; // zero: no limit
};

/// Occurrence K is due at `first` + K x `interval`. Zero `times` is one occurrence, due at once.
struct Recurrence
{
    std::uint32_t times = 0;
    WallTime first;
    Milliseconds interval {0};
};

struct GraphSpec
{
    GraphId id;
    std::string payload; // passed to each task unchanged
    std::vector<StepSpec> steps;
    Recurrence recurrence;

    // Taken from the queue when the job is accepted.
    QueueName queue;
    ServiceName service;
    std::uint32_t priority = 0; // lower runs first
    std::uint32_t attempts = 1; // failed runs of a task or gang that fail the job
    double slackFactor = 1; // objective: slackFactor x critical path + aim
    Milliseconds aim {0};

    CustomerName customer; // who submitted it; empty if the queue needs no key
    bool isBeyondShare = false; // submitted beyond the customer's share
};

/// Returns the number of tasks of all steps and occurrences.
[[nodiscard]] std::uint64_t taskCountOf(const GraphSpec &spec);

struct TaskRef
{
    GraphId graph;
    std::uint32_t occurrence = 0;
    std::uint32_t step = 0;
    std::uint32_t task = 0;

    auto operator<=>(const TaskRef &) const = default;
};

/// Returns GRAPH.OCCURRENCE.STEP.TASK, the name of a task in log records.
[[nodiscard]] std::string asText(const TaskRef &task);

struct RunPlacement
{
    TaskRef task;
    RunNumber run;
    WorkerId worker;
    Incarnation incarnation;
};

enum class RunEnd {
    Succeeded,
    Failed,
    Stopped, // by an order, with its gang, or at the end of its lease
    Lost, // may have run and has ended
    NotStarted, // never began and cannot begin later
};

struct EndedRun
{
    TaskRef task;
    RunNumber run;
    RunEnd end = RunEnd::Succeeded;
    Checkpoint saved;
};

/// Accepts a job. Changes nothing if the id exists already.
struct SubmitGraph
{
    static constexpr const char *kind = "submit_graph";
    GraphSpec spec;
    WallTime at;
};

/// Places runs on workers. Skips a placement that is no longer possible, a gang as a whole.
struct PlaceRuns
{
    static constexpr const char *kind = "place_runs";
    std::vector<RunPlacement> placements;
};

struct EndRuns
{
    static constexpr const char *kind = "end_runs";
    std::vector<EndedRun> ended;
    WallTime at;
};

/// Records that a worker has begun a task of each of these jobs.
struct NoteStarts
{
    static constexpr const char *kind = "note_starts";
    std::vector<GraphId> graphs;
};

/// Records that a worker announced its departure. It gets no new tasks, also under a new leader.
struct NoteLeaving
{
    static constexpr const char *kind = "note_leaving";
    WorkerId worker;
    Incarnation incarnation;
    WallTime at;
};

struct CancelGraph
{
    static constexpr const char *kind = "cancel_graph";
    GraphId graph;
    WallTime at;
};

} // namespace crocusmill
