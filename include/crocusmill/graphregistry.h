/// Recorded state of jobs that are graphs of steps.
///
/// Part of the state machine: pure and deterministic. Not thread-safe.

#pragma once

#include <crocusmill/copyonwrite.h>
#include <crocusmill/taskgraph.h>

#include <deque>
#include <map>
#include <memory>
#include <set>
#include <vector>

namespace crocusmill
{

enum class TaskPhase { Waiting, Placed, Succeeded, GivenUp };

struct GraphTask
{
    TaskPhase phase = TaskPhase::Waiting;
    RunNumber run; // newest, or the one that succeeded; zero: never placed
    std::vector<RunNumber> failed; // runs that ended so, each once
    WorkerId worker; // of the newest run
    Incarnation incarnation;
    Checkpoint saved;
};

struct GraphStep
{
    std::vector<GraphTask> tasks;
    std::vector<RunNumber> failed; // of a gang: runs with a member that failed, each once
};

struct GraphOccurrence
{
    std::vector<GraphStep> steps;
};

enum class GraphState { Open, Succeeded, Failed, Cancelled };

struct Graph
{
    GraphSpec spec;
    WallTime acceptedAt;
    WallTime endedAt; // once it is not open
    GraphState state = GraphState::Open;
    bool started = false; // a task was placed at least once
    std::vector<GraphOccurrence> occurrences;

    [[nodiscard]] const GraphTask *find(const TaskRef &ref) const;
    /// All steps that this one comes after have succeeded.
    [[nodiscard]] bool isReady(std::uint32_t occurrence, std::uint32_t step) const;
    /// Workers on which the newest run of a waiting task of this step failed; another one tells a
    /// bad task from a bad worker.
    [[nodiscard]] std::set<WorkerId> failedWorkers(
        std::uint32_t occurrence, std::uint32_t step) const;
    /// Number of the next run of a task; members of a gang share it.
    [[nodiscard]] RunNumber nextRun(const TaskRef &ref) const;
    [[nodiscard]] WallTime dueAt(std::uint32_t occurrence) const;
};

/// Counts changes of jobs, from 1.
using GraphRevision = StrongValue<struct GraphRevisionTag, std::uint64_t>;

class GraphRegistry
{
public:
    /// False when the id is known already.
    bool submit(const SubmitGraph &command);
    void place(const PlaceRuns &command);
    void end(const EndRuns &command);
    /// False when there is no such job.
    bool cancel(const CancelGraph &command);
    /// Drops jobs that ended before `before` and have no task placed.
    void forget(WallTime before);

    [[nodiscard]] const Graph *find(const GraphId &id) const;
    /// Jobs that are open.
    [[nodiscard]] const std::set<GraphId> &openGraphs() const;
    /// Those of them that have a task which is not placed.
    [[nodiscard]] const std::set<GraphId> &waitingGraphs() const;
    /// Of the newest change.
    [[nodiscard]] GraphRevision revision() const;
    /// Jobs that changed after that one, each once; those that were forgotten are not named.
    [[nodiscard]] std::vector<GraphId> changedSince(GraphRevision revision) const;
    [[nodiscard]] const std::map<GraphId, CopyOnWrite<Graph>> &allGraphs() const;
    [[nodiscard]] std::vector<std::shared_ptr<const Graph>> image() const;
    void restore(std::vector<Graph> graphs);

private:
    [[nodiscard]] static GraphTask *findMutableTask(Graph &graph, const TaskRef &ref);
    [[nodiscard]] static bool isPlaceable(const Graph &graph, const RunPlacement &placement);
    [[nodiscard]] bool isGangComplete(
        const std::vector<RunPlacement> &placements, const RunPlacement &member) const;
    static void endRun(Graph &graph, const EndedRun &ended);
    static void recordSuccess(Graph &graph, const EndedRun &ended);
    static void recordFailure(Graph &graph, const EndedRun &ended);
    void closeIfDecided(Graph &graph, WallTime at);
    void close(Graph &graph, GraphState state, WallTime at);
    void updateIndices(const Graph &graph);
    void recordChange(const GraphId &id);

    std::map<GraphId, CopyOnWrite<Graph>> graphs_;
    // Invariant: the ids of open graphs.
    std::set<GraphId> openGraphs_;
    // Invariant: the ids of open graphs with a task that waits.
    std::set<GraphId> waitingGraphs_;
    // Invariant: every other graph once, in the order of ending.
    std::deque<GraphId> endedGraphs_;
    GraphRevision revision_;
    // Invariant: each graph once, by its newest change; revisions_ is the inverse.
    std::map<GraphRevision, GraphId> graphByRevision_;
    std::map<GraphId, GraphRevision> revisionByGraph_;
};

} // namespace crocusmill
