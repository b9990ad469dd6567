/// Replicated state machine: environments, work and jobs.
///
/// Deterministic and free of I/O: replicas that apply the same commands in the same order have the
/// same state. Not thread-safe; owned by the control thread.

#pragma once

#include <crocusmill/commands.h>
#include <crocusmill/copyonwrite.h>
#include <crocusmill/error.h>
#include <crocusmill/graphregistry.h>

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace crocusmill
{

struct DocumentRecord
{
    DocumentVersion version;
    Digest digest;
    std::string document;
    OperatorName by;
    /// Index of the command that recorded this.
    LogIndex since;
};

struct EnvironmentState
{
    EnvironmentName name;
    // Invariant: at most maxTrialDocuments, oldest first; the last is in force for the trial stage.
    std::vector<DocumentRecord> tried;
    std::optional<DocumentRecord> production;
};

enum class WorkState { Admitted, Started, Ended, Revoked };

enum class AttemptState { Started, Answered, NotRun, Lost };

struct Attempt
{
    AttemptId id;
    UpstreamId upstream;
    Incarnation incarnation;
    AttemptState state = AttemptState::Started;
};

struct Work
{
    WorkId id;
    EnvironmentName environment;
    ServiceName service;
    std::optional<IdempotencyKey> key;
    Digest digest;
    WorkClass workClass = WorkClass::Quick;
    bool repeatable = false;
    bool exclusive = false;
    EntryEpoch owner;
    WallTime admittedAt;
    WallTime deadline;
    WallTime endedAt;
    LogIndex endedIndex; // of the command that ended it
    WorkState state = WorkState::Admitted;
    bool cancelled = false;
    // Invariant: if the work is exclusive or not repeatable, all attempts but the last have ended;
    // if it is not repeatable, all but the last are NotRun.
    std::vector<Attempt> attempts;
    std::optional<StoredRequest> request;
    std::optional<StoredAnswer> answer;

    /// Returns what a caller may be told about the execution now.
    [[nodiscard]] Execution execution() const;
};

enum class TaskState { Waiting, Placed, Done, GivenUp };

struct TaskRecord
{
    TaskState state = TaskState::Waiting;
    std::uint32_t attempt = 0; // number of the newest attempt; zero: never placed
    std::uint32_t failures = 0;
    WorkerId worker;
    Incarnation incarnation;
};

struct Job
{
    SubmitJob spec;
    std::vector<TaskRecord> tasks;
    bool cancelled = false;
    WallTime endedAt; // endedAt and endedIndex are valid once hasEnded()
    LogIndex endedIndex;
    // Derived from tasks: number of tasks in each state.
    std::uint32_t waiting = 0;
    std::uint32_t placed = 0;

    [[nodiscard]] bool hasEnded() const;
};

/// Copy of the state at one index; shares records with the live state machine. Any thread may
/// encode it.
struct StateImage
{
    LogIndex configurationIndex;
    std::vector<EnvironmentState> environments;
    std::vector<std::shared_ptr<const Work>> work;
    std::vector<std::shared_ptr<const Job>> jobs;
    std::vector<WorkerId> quarantined;
    std::vector<UpstreamId> drainedUpstreams;
    std::vector<WorkerId> drainedWorkers;
    Catalog catalog;
    std::vector<NoteLeaving> leaving;
    std::vector<std::shared_ptr<const Graph>> graphs;
};

[[nodiscard]] std::string encodeImage(const StateImage &image);

class StateMachine
{
public:
    /// Applies one command; `index` is its log index.
    ApplyReply apply(const Command &command, LogIndex index);
    /// Decodes and applies a command. A record that cannot be decoded changes nothing and gets
    /// StateError::Undecodable.
    ApplyReply applyEncoded(std::string_view payload, LogIndex index);

    [[nodiscard]] const std::map<EnvironmentName, EnvironmentState> &environments() const;
    /// Returns the document in force for production, or null.
    [[nodiscard]] const Document *productionDocument(const EnvironmentName &environment) const;
    /// Returns the index of the newest command that put a document in force.
    [[nodiscard]] LogIndex configurationIndex() const;
    [[nodiscard]] const Work *findWork(const WorkId &id) const;
    [[nodiscard]] const Work *findWorkByKey(
        const EnvironmentName &environment, const IdempotencyKey &key) const;
    /// Returns the work that was admitted and has not ended.
    [[nodiscard]] const std::set<WorkId> &openWork() const;
    [[nodiscard]] const Work *findWorkByAttempt(const AttemptId &attempt) const;
    [[nodiscard]] const std::map<JobId, CopyOnWrite<Job>> &jobs() const;
    /// Returns the jobs with a task that waits for placement.
    [[nodiscard]] const std::set<JobId> &waitingJobs() const;
    [[nodiscard]] const std::set<WorkerId> &quarantinedWorkers() const;
    [[nodiscard]] const std::set<UpstreamId> &drainedUpstreams() const;
    [[nodiscard]] const std::set<WorkerId> &drainedWorkers() const;
    [[nodiscard]] const Catalog &catalog() const;
    [[nodiscard]] const GraphRegistry &graphs() const;
    /// Returns true if this incarnation of the worker announced its departure.
    [[nodiscard]] bool isLeaving(const WorkerId &worker, const Incarnation &incarnation) const;
    [[nodiscard]] std::uint64_t reservedCores(
        const EnvironmentName &environment, const TeamName &team) const;
    /// Returns the command that removes all that has ended and all that has left by now.
    [[nodiscard]] ForgetEndedUpTo newestEnds() const;

    /// Returns an image of the state. Copies pointers to records, not records, so it is fast.
    [[nodiscard]] StateImage image() const;
    [[nodiscard]] std::string snapshot() const;
    /// Replaces the whole state by that of the snapshot. On error, which is
    /// CodecError::Malformed, the state is unchanged.
    [[nodiscard]] Result<void> restore(std::string_view snapshot);

private:
    ApplyReply applyCommand(const TryEnvironment &command);
    ApplyReply applyCommand(const PromoteEnvironment &command);
    ApplyReply applyCommand(const AdmitWork &command);
    ApplyReply applyCommand(const StartWork &command);
    ApplyReply applyCommand(const EndAttempt &command);
    ApplyReply applyCommand(const FinishWork &command);
    ApplyReply applyCommand(const RevokeWork &command);
    ApplyReply applyCommand(const AdoptWork &command);
    ApplyReply applyCommand(const ForgetEnded &command);
    ApplyReply applyCommand(const ForgetEndedUpTo &command);
    ApplyReply applyCommand(const SubmitJob &command);
    ApplyReply applyCommand(const PlaceTasks &command);
    ApplyReply applyCommand(const EndTask &command);
    ApplyReply applyCommand(const CancelJob &command);
    ApplyReply applyCommand(const QuarantineWorker &command);
    ApplyReply applyCommand(const DrainUpstream &command);
    ApplyReply applyCommand(const DrainWorker &command);
    ApplyReply applyCommand(const InstallCatalog &command);
    ApplyReply applyCommand(const SubmitGraph &command);
    ApplyReply applyCommand(const PlaceRuns &command);
    ApplyReply applyCommand(const EndRuns &command);
    ApplyReply applyCommand(const CancelGraph &command);
    ApplyReply applyCommand(const NoteLeaving &command);
    ApplyReply applyCommand(const NoteStarts &command);

    [[nodiscard]] bool isHostTaken(const Document &document) const;
    [[nodiscard]] Work *mutableWork(const WorkId &id);
    void endWork(Work &work, WorkState state, WallTime at);
    void removeKey(const Work &work);
    void forgetWork(WallTime before);
    void forgetWorkUpTo(const WorkId &last);
    void removeOldestEndedWork();
    void forgetJobs(WallTime before);
    void forgetJobsUpTo(const JobId &last);
    /// Sets the state of a task and updates the job's counts and waitingJobs_.
    void setTaskState(Job &job, TaskRecord &task, TaskState state);
    void endJob(Job &job, WallTime at);
    void indexWork(const Work &work);
    void indexKey(const Work &work);
    void rebuildJobIndices();
    void rebuildWorkIndices();
    void cacheDocument(const EnvironmentState &environment);
    void rebuildIndices();

    LogIndex applyingIndex_; // index of the command being applied
    LogIndex configurationIndex_;
    std::map<EnvironmentName, EnvironmentState> environments_;
    std::map<WorkId, CopyOnWrite<Work>> work_;
    std::map<JobId, CopyOnWrite<Job>> jobs_;
    std::set<WorkerId> quarantinedWorkers_;
    std::set<UpstreamId> drainedUpstreams_;
    std::set<WorkerId> drainedWorkers_;
    Catalog catalog_;
    GraphRegistry graphs_;
    std::map<WorkerId, NoteLeaving> leavingWorkers_; // from the newest incarnation of each worker
    // Derived from work_: work by key, work by open attempt, and work that has not ended.
    std::map<std::pair<EnvironmentName, IdempotencyKey>, WorkId> workByKey_;
    std::map<AttemptId, WorkId> workByAttempt_;
    std::set<WorkId> openWork_;
    // Derived: the documents in force for production, and the cores reserved by placed tasks.
    std::map<EnvironmentName, Document> productionDocuments_;
    std::map<std::pair<EnvironmentName, TeamName>, std::uint64_t> reservedMilliCores_;
    // Invariant: contains all ended work once, in the order of ending.
    std::deque<WorkId> endedWork_;
    // Invariant: contains each job without open tasks once, in the order of ending.
    std::deque<JobId> endedJobs_;
    std::set<JobId> waitingJobs_; // derived: jobs with a waiting task
};

[[nodiscard]] std::string encodeCommand(const Command &command);
/// Errors: CodecError.
[[nodiscard]] Result<Command> decodeCommand(std::string_view payload);

} // namespace crocusmill
