/// Recorded state of graph jobs, whose steps depend on each other.
///
/// Part of the state machine: deterministic and free of I/O. Not thread-safe.

#pragma once

#include <crocusmill/copyonwrite.h>
#include <crocusmill/taskgraph.h>

#include <array>
#include <cstddef>
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
    RunNumber run; // newest run, or the one that succeeded; zero: never placed
    std::vector<RunNumber> failed; // failed runs, each once
    WorkerId worker; // of the newest run
    Incarnation incarnation;
    Checkpoint saved;
};

/// Number of tasks in each phase.
class PhaseCounts
{
public:
    void add(TaskPhase phase);
    void remove(TaskPhase phase);
    [[nodiscard]] std::uint32_t of(TaskPhase phase) const;
    /// Returns true if no task has another phase than `phase`.
    [[nodiscard]] bool isOnly(TaskPhase phase) const;

private:
    static constexpr std::size_t phaseCount = 4;
    std::array<std::uint32_t, phaseCount> counts_ {};
};

struct GraphStep
{
    // Invariant: the tasks of a gang whose graph is open have the same run number.
    std::vector<GraphTask> tasks;
    std::vector<RunNumber> failed; // of a gang: runs in which a member failed, each once
    // Not recorded. Invariant: the phases of `tasks`.
    PhaseCounts phases;

    /// Returns whether all tasks have succeeded.
    [[nodiscard]] bool hasSucceeded() const;
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
    WallTime endedAt; // valid once the state is not Open
    GraphState state = GraphState::Open;
    bool started = false; // a worker is known to have begun a task; never taken back
    std::vector<GraphOccurrence> occurrences;
    // Not recorded. Invariant: the phases of the tasks of all occurrences.
    PhaseCounts phases;

    /// Changes the phase of a task, which must exist.
    void setPhase(const TaskRef &ref, TaskPhase phase);
    /// Counts the phases of the tasks anew.
    void countPhases();
    /// Returns false if only a cancel is recorded, which came before the submission.
    [[nodiscard]] bool isSubmitted() const;
    [[nodiscard]] const GraphTask *find(const TaskRef &ref) const;
    /// Returns true if all steps that this one depends on have succeeded.
    [[nodiscard]] bool isReady(std::uint32_t occurrence, std::uint32_t step) const;
    /// Returns the workers on which the newest run of a waiting task of this step failed. A run on
    /// another worker shows whether the task or the worker is at fault.
    [[nodiscard]] std::set<WorkerId> failedWorkers(
        std::uint32_t occurrence, std::uint32_t step) const;
    /// Returns the number of the task's next run; members of a gang share it.
    [[nodiscard]] RunNumber nextRun(const TaskRef &ref) const;
    /// Returns the time from which the objective of the occurrence counts.
    [[nodiscard]] WallTime dueAt(std::uint32_t occurrence) const;
    /// Returns whether the occurrence may start. A job without recurrence is due at once: its
    /// acceptance may lie ahead of `now`, as another VM's clock has recorded it.
    [[nodiscard]] bool isDue(std::uint32_t occurrence, WallTime now) const;
};

/// Numbers the changes to graphs, starting at 1.
using GraphRevision = StrongValue<struct GraphRevisionTag, std::uint64_t>;

class GraphRegistry
{
public:
    /// Returns false if the id exists already, or its cancel came first.
    bool submit(const SubmitGraph &command);
    void place(const PlaceRuns &command);
    /// Not a change in the sense of changedSince(), as placement does not depend on it.
    void noteStarts(const NoteStarts &command);
    void end(const EndRuns &command);
    /// Returns false if there is no such graph. The cancel is recorded then, so that a submission
    /// that arrives later has no effect.
    bool cancel(const CancelGraph &command);
    /// Removes graphs that ended before `before` and have no placed task, in the order of ending,
    /// up to the first that must stay.
    void forget(WallTime before);
    /// Like forget(), for the graphs that ended up to `last`. No effect if no graph of this id
    /// ended at `endedAt`.
    void forgetUpTo(const GraphId &last, WallTime endedAt);
    /// Records the jobs of one queue with another name, which must not be in use.
    void renameQueue(const QueueName &from, const QueueName &to);
    /// Returns the graph that ended last and was not removed, or null.
    [[nodiscard]] const Graph *newestEnded() const;

    [[nodiscard]] const Graph *find(const GraphId &id) const;
    [[nodiscard]] const std::set<GraphId> &openGraphs() const;
    /// Returns the open graphs with a task that waits for placement.
    [[nodiscard]] const std::set<GraphId> &waitingGraphs() const;
    /// Returns the open graphs that have not started, by queue. Queues without any are left out.
    [[nodiscard]] const std::map<QueueName, std::set<GraphId>> &unstartedGraphs() const;
    /// Returns whether a graph, open or ended, is recorded with this queue name.
    [[nodiscard]] bool hasGraphsOf(const QueueName &queue) const;
    /// Returns the customers that have open graphs.
    [[nodiscard]] std::set<CustomerName> openCustomers() const;
    /// Returns the number of cancels that are recorded without a submission.
    [[nodiscard]] std::size_t earlyCancelCount() const;
    /// Returns the number of tasks of the open graphs.
    [[nodiscard]] std::uint64_t openTaskCount() const;
    /// Returns the revision of the newest change.
    [[nodiscard]] GraphRevision revision() const;
    /// Returns the graphs that changed after `revision`, each once, in the order of their newest
    /// change. Removed graphs are not included.
    [[nodiscard]] std::vector<GraphId> changedSince(GraphRevision revision) const;
    [[nodiscard]] const std::map<GraphId, CopyOnWrite<Graph>> &allGraphs() const;
    [[nodiscard]] std::vector<std::shared_ptr<const Graph>> image() const;
    void restore(std::vector<Graph> graphs);

private:
    [[nodiscard]] static GraphTask *findMutableTask(Graph &graph, const TaskRef &ref);
    [[nodiscard]] static bool isPlaceable(const Graph &graph, const RunPlacement &placement);
    [[nodiscard]] std::vector<const RunPlacement *> placeableRuns(
        const std::vector<RunPlacement> &placements) const;
    static void endRun(Graph &graph, const EndedRun &ended);
    static void recordSuccess(Graph &graph, const EndedRun &ended);
    static void recordFailure(Graph &graph, const EndedRun &ended);
    void markStarted(Graph &graph);
    void removeUnstarted(const Graph &graph);
    void closeIfDecided(Graph &graph, WallTime at);
    void close(Graph &graph, GraphState state, WallTime at);
    void recordEarlyCancel(const CancelGraph &command);
    void updateIndices(const Graph &graph);
    void recordChange(const GraphId &id);
    [[nodiscard]] bool canRemoveOldestEnded() const;
    void removeOldestEnded();

    std::map<GraphId, CopyOnWrite<Graph>> graphs_;
    // Invariant: contains the ids of the open graphs.
    std::set<GraphId> openGraphs_;
    // Invariant: contains the ids of the open graphs with a waiting task.
    std::set<GraphId> waitingGraphs_;
    // Invariant: contains the ids of the open graphs that have not started, and no empty set.
    std::map<QueueName, std::set<GraphId>> unstartedGraphs_;
    // Invariant: the number of graphs recorded with each queue name; no number is zero.
    std::map<QueueName, std::size_t> graphCounts_;
    // Invariant: contains every other graph once, in the order of ending.
    std::deque<GraphId> endedGraphs_;
    std::uint64_t openTaskCount_ = 0; // Invariant: the tasks of the graphs in openGraphs_
    std::size_t earlyCancelCount_ = 0; // Invariant: the graphs that are not submitted
    GraphRevision revision_;
    // Invariant: contains each graph once, by its newest change; revisionByGraph_ is the inverse.
    std::map<GraphRevision, GraphId> graphByRevision_;
    std::map<GraphId, GraphRevision> revisionByGraph_;
};

} // namespace crocusmill
