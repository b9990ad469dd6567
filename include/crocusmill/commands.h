/// Commands recorded in the journal, and the state machine's replies to them.
///
/// A command carries every input of its decision, including the wall time, so that all replicas
/// make the same decision.

#pragma once

#include <crocusmill/catalog.h>
#include <crocusmill/document.h>
#include <crocusmill/ids.h>
#include <crocusmill/taskgraph.h>

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace crocusmill
{

/// Identifies one run of an entry process: its VM and a value chosen at each start.
using EntryEpoch = StrongValue<struct EntryEpochTag, std::string>;
using OperatorName = StrongValue<struct OperatorNameTag, std::string>;

/// Whether work is known to have run.
enum class Execution { NotRun, Unknown, Ran };

struct Header
{
    std::string name;
    std::string value;
};

/// A caller's request, stored for work that is answered later.
struct StoredRequest
{
    std::string method;
    std::string target;
    std::vector<Header> headers;
    std::string body;
};

/// An upstream's answer, stored until the record of the work is removed.
struct StoredAnswer
{
    std::uint32_t status = 0;
    std::vector<Header> headers;
    std::string body;
    /// True if the body exceeded the size limit for stored answers; `body` is empty then.
    bool bodyOmitted = false;
};

/// Puts a document in force for the trial stage and makes it available for promotion.
struct TryEnvironment
{
    static constexpr const char *kind = "try_environment";
    EnvironmentName environment;
    DocumentVersion version;
    Digest digest;
    std::string document;
    OperatorName by;
};

/// Puts a trial document in force for production: a compare-and-set on version and digest.
struct PromoteEnvironment
{
    static constexpr const char *kind = "promote_environment";
    EnvironmentName environment;
    DocumentVersion version;
    Digest digest;
    OperatorName by;
};

/// Admits work, or returns the work that was admitted earlier under the same key.
struct AdmitWork
{
    static constexpr const char *kind = "admit_work";
    WorkId work;
    EnvironmentName environment;
    ServiceName service;
    std::optional<IdempotencyKey> key;
    Digest digest;
    WorkClass workClass = WorkClass::Quick;
    bool repeatable = false;
    bool exclusive = false;
    EntryEpoch owner;
    /// Index that the entry knew to be applied by the time the request arrived.
    LogIndex seen;
    WallTime at;
    WallTime deadline;
    /// Set if the caller does not wait, so that another entry can take over the work.
    std::optional<StoredRequest> request;
};

/// Starts one attempt. The request goes to the upstream only after this command has committed.
struct StartWork
{
    static constexpr const char *kind = "start_work";
    WorkId work;
    AttemptId attempt;
    UpstreamId upstream;
    Incarnation incarnation;
    EntryEpoch owner;
};

enum class AttemptEnd {
    NotRun, // proven: it never began and cannot begin later
    Lost, // proven: it may have run and is no longer running
};

/// Records that an attempt ended without an answer.
struct EndAttempt
{
    static constexpr const char *kind = "end_attempt";
    WorkId work;
    AttemptId attempt;
    AttemptEnd end = AttemptEnd::Lost;
};

/// Records the answer of an attempt and ends its work.
struct FinishWork
{
    static constexpr const char *kind = "finish_work";
    WorkId work;
    AttemptId attempt;
    StoredAnswer answer;
    WallTime at;
};

/// Revokes work, which can never start afterwards.
struct RevokeWork
{
    static constexpr const char *kind = "revoke_work";
    WorkId work;
    /// True if the caller cancels: work that has started is to be stopped.
    bool cancel = false;
    WallTime at;
};

/// Makes another entry the owner of work.
struct AdoptWork
{
    static constexpr const char *kind = "adopt_work";
    WorkId work;
    EntryEpoch owner;
};

/// Removes the records of work and jobs that ended before `before`. Only in journals of earlier
/// versions: a time of day that jumped removed records that had just ended.
struct ForgetEnded
{
    static constexpr const char *kind = "forget_ended";
    WallTime before;
};

/// Removes, in the order of ending, the records of work and jobs up to the named ones, and the
/// named departures. Names that are not among the ended ones have no effect.
struct ForgetEndedUpTo
{
    static constexpr const char *kind = "forget_ended_up_to";
    std::optional<WorkId> work;
    std::optional<JobId> job;
    std::optional<GraphId> graph;
    /// When `graph` ended: tells it from a later graph with the same id.
    WallTime graphEndedAt;
    std::vector<NoteLeaving> departures;

    [[nodiscard]] bool isEmpty() const
    {
        return !work && !job && !graph && departures.empty();
    }
};

/// Starts or ends an operator's drain: a drained upstream gets no new work.
struct DrainUpstream
{
    static constexpr const char *kind = "drain_upstream";
    UpstreamId upstream;
    bool drained = true;
};

enum class JobClass { Service, Batch, Gang };

struct SubmitJob
{
    static constexpr const char *kind = "submit_job";
    JobId job;
    EnvironmentName environment;
    TeamName team;
    JobClass jobClass = JobClass::Batch;
    bool urgent = false;
    std::uint32_t tasks = 1;
    TaskSize size;
    Milliseconds expectedRun {0};
    std::string command;
    WallTime at;
};

/// Reserves a worker for one attempt of a task.
struct TaskPlacement
{
    std::uint32_t task = 0;
    std::uint32_t attempt = 0;
    WorkerId worker;
    Incarnation incarnation;
};

/// Places tasks of one job: all of them or none.
struct PlaceTasks
{
    static constexpr const char *kind = "place_tasks";
    JobId job;
    std::vector<TaskPlacement> placements;
};

enum class TaskEnd { Succeeded, Failed, Lost, Preempted };

struct EndTask
{
    static constexpr const char *kind = "end_task";
    JobId job;
    std::uint32_t task = 0;
    std::uint32_t attempt = 0;
    TaskEnd end = TaskEnd::Succeeded;
    WallTime at;
};

struct CancelJob
{
    static constexpr const char *kind = "cancel_job";
    JobId job;
    WallTime at;
};

struct QuarantineWorker
{
    static constexpr const char *kind = "quarantine_worker";
    WorkerId worker;
    bool quarantined = true;
};

/// Starts or ends an operator's drain: a drained worker gets no new tasks.
struct DrainWorker
{
    static constexpr const char *kind = "drain_worker";
    WorkerId worker;
    bool drained = true;
};

using Command = std::variant<TryEnvironment, PromoteEnvironment, AdmitWork, StartWork, EndAttempt,
    FinishWork, RevokeWork, AdoptWork, ForgetEnded, SubmitJob, PlaceTasks, EndTask, CancelJob,
    QuarantineWorker, DrainUpstream, DrainWorker, InstallCatalog, SubmitGraph, PlaceRuns, EndRuns,
    CancelGraph, NoteLeaving, NoteStarts, ForgetEndedUpTo>;

enum class StateError {
    None = 0,
    Undecodable, // a record that this version cannot decode
    VersionConflict, // the same version with another digest is in force
    VersionStale, // a higher version is in force
    NotTried, // no trial document has this version and digest
    HostTaken,
    KeyReused, // the key belongs to work with another body
    NoSuchWork,
    AlreadyStarted,
    AlreadyEnded,
    PreviousAttemptLives,
    NoSuchAttempt,
    NoSuchJob,
    JobExists,
    OverQuota,
    WrongPlacement,
};

template <> struct ErrorText<StateError>
{
    static constexpr const char *category = "state";
    static std::string_view text(StateError error);
};

/// The production document that prevents a trial or a promotion.
struct PromotionConflict
{
    DocumentVersion version;
    Digest digest;
    OperatorName by;
};

struct ApplyReply
{
    StateError error = StateError::None;
    /// The work that already has the command's key; else the work of the command.
    WorkId work;
    /// True if the command changed nothing because the same was decided before.
    bool repeated = false;
    std::optional<PromotionConflict> conflict;
};

} // namespace crocusmill
