/// Jobs whose tasks form steps that depend on each other, and the commands that record them.

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
using ImageName = StrongValue<struct ImageNameTag, std::string>;
/// Names saved progress; empty: none.
using Checkpoint = StrongValue<struct CheckpointTag, std::string>;
/// Numbers the starts of a task from 1.
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
    Milliseconds estimate {0}; // of one task, as the client states it
    /// Numbers of earlier steps whose tasks must all have succeeded.
    std::vector<std::uint32_t> after;
    bool gang = false; // all tasks run together or not at all
    bool oneRack = false; // slower when spread over racks
    bool speculative = false; // copies may run at once
    bool lasting = false; // a service: runs until cancelled
    bool checkpoints = false;
    bool fills = false; // uses cores that others leave idle
    WorkerLabel label; // empty: any worker
    RackId dataRack; // empty: none; slower elsewhere
    std::uint32_t mostPerWorker = 0; // zero: no limit
    ImageName image;
    Milliseconds goal {0}; // tail latency of a service; zero: none
    std::uint32_t mostUnavailable = 0; // zero: no limit
};

/// Occurrence K is due at `first` + K x `interval`; zero times: once, at once.
struct Recurrence
{
    std::uint32_t times = 0;
    WallTime first;
    Milliseconds interval {0};
};

struct GraphSpec
{
    GraphId id;
    std::string payload; // handed to each task as it is
    std::vector<StepSpec> steps;
    Recurrence recurrence;

    // Taken from the queue when the job is accepted.
    QueueName queue;
    ServiceName service;
    std::uint32_t priority = 0; // lower goes first
    std::uint32_t attempts = 1; // failed runs of a task, or of a gang, that end the job
    double slackFactor = 1; // objective: this times the critical path, plus `aim`
    Milliseconds aim {0};
};

struct TaskRef
{
    GraphId graph;
    std::uint32_t occurrence = 0;
    std::uint32_t step = 0;
    std::uint32_t task = 0;

    auto operator<=>(const TaskRef &) const = default;
};

/// GRAPH.OCCURRENCE.STEP.TASK, as log records name a task.
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
    Stopped, // by an order, with its gang, or by its lease
    Lost, // it may have run and is over
    NotStarted, // it never began and cannot begin any more
};

struct EndedRun
{
    TaskRef task;
    RunNumber run;
    RunEnd end = RunEnd::Succeeded;
    Checkpoint saved;
};

/// Accepts a job; one with the same id again changes nothing.
struct SubmitGraph
{
    static constexpr const char *kind = "submit_graph";
    GraphSpec spec;
    WallTime at;
};

/// Reserves workers; a placement that is no longer possible is passed over, a gang as a whole.
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

/// A worker said that it leaves: it gets no new tasks, whoever leads.
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
