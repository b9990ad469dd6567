/// Commands that the journal records and the replies of the state machine to them.
///
/// A command carries every input of its decision, the wall time included, so that each replica
/// decides alike.

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

/// One run of an entry process: its VM and a value chosen at each start.
using EntryEpoch = StrongValue<struct EntryEpochTag, std::string>;
using OperatorName = StrongValue<struct OperatorNameTag, std::string>;

/// What is known about work having run.
enum class Execution { NotRun, Unknown, Ran };

struct Header
{
    std::string name;
    std::string value;
};

/// A caller's request, kept for work that is answered later.
struct StoredRequest
{
    std::string method;
    std::string target;
    std::vector<Header> headers;
    std::string body;
};

/// An upstream's answer, kept until the work is forgotten.
struct StoredAnswer
{
    std::uint32_t status = 0;
    std::vector<Header> headers;
    std::string body;
    /// The body was larger than what is kept; `body` is empty then.
    bool bodyOmitted = false;
};

/// Puts a document in force for the trial stage and makes it known for promotion.
struct TryEnvironment
{
    static constexpr const char *kind = "try_environment";
    EnvironmentName environment;
    DocumentVersion version;
    Digest digest;
    std::string document;
    OperatorName by;
};

/// Puts a tried document in force for production; a compare-and-set on version and digest.
struct PromoteEnvironment
{
    static constexpr const char *kind = "promote_environment";
    EnvironmentName environment;
    DocumentVersion version;
    Digest digest;
    OperatorName by;
};

/// Accepts work, or finds what was accepted before under the same key.
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
    /// What the entry knew to be applied when the request arrived: no later than the arrival.
    LogIndex seen;
    WallTime at;
    WallTime deadline;
    /// Present where the caller does not wait, so that another entry can carry on.
    std::optional<StoredRequest> request;
};

/// Allows one attempt; the request goes to the upstream only after this has committed.
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
    NotRun, // proved: it never began, and cannot begin any more
    Lost, // proved: it may have run and is not running any more
};

/// States that an attempt without an answer is over.
struct EndAttempt
{
    static constexpr const char *kind = "end_attempt";
    WorkId work;
    AttemptId attempt;
    AttemptEnd end = AttemptEnd::Lost;
};

/// Records the answer of an attempt.
struct FinishWork
{
    static constexpr const char *kind = "finish_work";
    WorkId work;
    AttemptId attempt;
    StoredAnswer answer;
    WallTime at;
};

/// Gives work up; from then on it can never start.
struct RevokeWork
{
    static constexpr const char *kind = "revoke_work";
    WorkId work;
    /// A caller's wish: work that has started is to be stopped.
    bool cancel = false;
    WallTime at;
};

/// Makes another entry the one that carries work on.
struct AdoptWork
{
    static constexpr const char *kind = "adopt_work";
    WorkId work;
    EntryEpoch owner;
};

/// Drops the records of work and jobs that ended before `before`.
struct ForgetEnded
{
    static constexpr const char *kind = "forget_ended";
    WallTime before;
};

/// An operator's wish that an upstream gets no new work, or gets work again.
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

/// Starts tasks of one job together; all of a gang's, or none.
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

/// An operator's wish that a worker gets no new tasks, or gets tasks again.
struct DrainWorker
{
    static constexpr const char *kind = "drain_worker";
    WorkerId worker;
    bool drained = true;
};

using Command = std::variant<TryEnvironment, PromoteEnvironment, AdmitWork, StartWork, EndAttempt,
    FinishWork, RevokeWork, AdoptWork, ForgetEnded, SubmitJob, PlaceTasks, EndTask, CancelJob,
    QuarantineWorker, DrainUpstream, DrainWorker, InstallCatalog, SubmitGraph, PlaceRuns, EndRuns,
    CancelGraph, NoteLeaving>;

enum class StateError {
    None = 0,
    Undecodable, // a record that this version does not know
    VersionConflict, // the same version with another digest is in force
    VersionStale, // a higher version is in force
    NotTried, // no document with this version and digest was tried
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

/// What stands in the way of a promotion.
struct PromotionConflict
{
    DocumentVersion version;
    Digest digest;
    OperatorName by;
};

struct ApplyReply
{
    StateError error = StateError::None;
    /// Work that the key already belongs to; else the work of the command.
    WorkId work;
    /// The command changed nothing: the same had been decided before.
    bool repeated = false;
    std::optional<PromotionConflict> conflict;
};

} // namespace crocusmill
