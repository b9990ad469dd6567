/// Control calls between VMs: heartbeats, proposals, announcements and queries.
///
/// Unless its comment says otherwise, a call is for the leader; other VMs reply with a Redirect.

#pragma once

#include <crocusmill/announcement.h>
#include <crocusmill/slots.h>
#include <crocusmill/statemachine.h>
#include <crocusmill/ticketbook.h>
#include <crocusmill/workerclock.h>

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace crocusmill
{

/// An attempt that ended without an answer. It keeps its slot until the upstream no longer runs it.
struct LingeringAttempt
{
    AttemptId attempt;
    UpstreamId upstream;
    Incarnation incarnation;
};

/// Heartbeat that an entry sends at each interval. It renews the entry's slot grants.
struct BeatCall
{
    static constexpr const char *kind = "beat";
    VmId vm;
    EntryEpoch epoch;
    NodeAddress address;
    AvailabilityZone zone;
    ReplicaId replica; // zero: no data folder
    std::uint64_t number = 0; // increasing; an older heartbeat is ignored
    bool draining = false;
    bool full = false; // `held` is complete, and the reply must be complete
    LogIndex configuration; // active on this entry
    std::uint64_t directory = 0; // version of this entry's directory
    std::vector<SlotLine> held;
    std::vector<DemandLine> demand;
    std::vector<std::uint32_t>
        heard; // directory numbers of upstreams with an unchanged announcement
    std::vector<LingeringAttempt> lingering;
};

struct EnvironmentInForce
{
    EnvironmentName name;
    Stage stage = Stage::Production;
    DocumentVersion version;
    Digest digest;
    std::string document;
};

struct DirectoryEntry
{
    std::uint32_t number = 0;
    UpstreamId id;
    ServiceKey service;
    NodeAddress address;
    Incarnation incarnation;
    bool draining = false;
    bool gone = false;
    /// Connections beyond its slots that all entries together may keep; absent: not announced.
    std::optional<std::uint32_t> spareConnections;
};

struct BeatReply
{
    static constexpr const char *kind = "beat_reply";
    /// The leader ignored the heartbeat because it was outdated, or needs a full report first.
    bool stale = false;
    Term term;
    LogIndex applied; // by the leader at the time of the reply
    std::uint32_t entries = 0; // number of entries that share the upstreams' connections
    LogIndex configuration;
    std::vector<EnvironmentInForce> environments; // newer than the call's configuration
    std::uint64_t directory = 0;
    std::vector<DirectoryEntry> upstreams; // newer than the call's directory
    std::vector<SlotLine> grants;
    Milliseconds grantLife {0};
    std::vector<AttemptId> departed;
    std::vector<Work> adopt; // this entry takes over
    std::vector<NodeAddress> replicas;
};

struct ProposeCall
{
    static constexpr const char *kind = "propose";
    std::string command;
};

struct ProposeReply
{
    static constexpr const char *kind = "propose_reply";
    /// Whether the command was committed and applied; if false, its outcome is unknown.
    bool applied = false;
    ApplyReply result;
};

struct AnnounceCall
{
    static constexpr const char *kind = "announce";
    Announcement announcement;
    bool farewell = false;
};

struct AnnounceReply
{
    static constexpr const char *kind = "announce_reply";
    std::uint32_t number = 0; // in the directory
    std::vector<AttemptLease> leases;
    std::vector<AttemptId> stop;
    std::vector<AttemptId> forget; // the announcement can omit these finished attempts
};

/// Queries the state of work by its id.
struct WorkCall
{
    static constexpr const char *kind = "work";
    WorkId work;
    /// Attempt whose answer the entry lost and whose outcome the leader must settle.
    std::optional<AttemptId> settle;
};

struct WorkReply
{
    static constexpr const char *kind = "work_reply";
    std::optional<Work> work;
};

struct WorkerCall
{
    static constexpr const char *kind = "worker";
    WorkerAnnouncement announcement;
};

struct WorkerReply
{
    static constexpr const char *kind = "worker_reply";
    std::vector<TaskOrder> start;
    std::vector<TaskOrder> renew;
    std::vector<TaskOrder> stop;
};

struct JobCall
{
    static constexpr const char *kind = "job";
    JobId job;
};

struct JobReply
{
    static constexpr const char *kind = "job_reply";
    std::optional<Job> job;
    /// Reason why its tasks wait; empty if they do not.
    std::string waitsFor;
};

enum class OperatorAction {
    ListVms,
    ListMembers,
    ListUpstreams,
    ListWorkers,
    ListJobs,
    ListEnvironments,
    DrainVm,
    DrainUpstream,
    ResumeUpstream,
    DrainWorker,
    ResumeWorker,
    ReplaceMember,
    ListCustomers,
    Explain,
};

/// Operator's request to the leader. `subject` names the VM, upstream or worker, or is the JSON
/// text of a PlacementQuestion.
struct OperatorCall
{
    static constexpr const char *kind = "operator";
    OperatorAction action = OperatorAction::ListVms;
    std::string subject;
};

/// Reply with JSON for the operator's tool.
struct OperatorReply
{
    static constexpr const char *kind = "operator_reply";
    bool found = true;
    std::string body;
};

/// Sent to any VM: asks for its identity and whether its replica has formed a cell.
struct HelloCall
{
    static constexpr const char *kind = "hello";
    VmId from;
};

struct HelloReply
{
    static constexpr const char *kind = "hello_reply";
    VmId vm;
    ReplicaId replica; // zero: no data folder
    bool formed = false;
    std::optional<NodeAddress> leader;
    Membership membership; // empty while not formed
};

/// Sends the members of the new cell to a replica with an empty log.
struct FormCall
{
    static constexpr const char *kind = "form";
    Membership membership;
};

struct FormReply
{
    static constexpr const char *kind = "form_reply";
    bool accepted = false;
};

enum class GraphAction { Submit, Show, Cancel };

/// Client's request to the queue that `host` and `path` select.
struct GraphCall
{
    static constexpr const char *kind = "graph";
    GraphAction action = GraphAction::Show;
    std::string host;
    std::string path; // the queue's prefix, optionally followed by a job's id
    std::optional<GraphSpec> spec; // job to submit
    std::optional<Digest> key; // of the caller's customer
};

enum class GraphOutcome {
    Done, // accepted, cancelled, or the reply has the requested state
    Refused, // not accepted; the job does not run unless it is submitted again
    NoCatalog, // no catalog of queues was installed yet
    NoQueue,
    NoJob,
    InvalidId, // a job to submit has no id or one that is too long
    UnknownKey, // the queue needs a key, and no customer has this one
};

enum class RefusalOrigin { Leader, OpenLimit, NoLeader };

struct GraphReply
{
    static constexpr const char *kind = "graph_reply";
    GraphOutcome outcome = GraphOutcome::Done;
    GraphState state = GraphState::Open;
    bool started = false;
    std::optional<std::uint64_t> pending; // for a queue: number of jobs that have not started
    Milliseconds retryAfter {0}; // with Refused
    RefusalOrigin refusedBy = RefusalOrigin::Leader; // set by the calling VM; not sent
};

/// Heartbeat or departure of a worker that receives its orders by calls.
struct HeartbeatCall
{
    static constexpr const char *kind = "heartbeat";
    WorkerHeartbeat heartbeat;
    bool leaves = false;
};

struct HeartbeatReply
{
    static constexpr const char *kind = "heartbeat_reply";
    NodeAddress leader; // peer address
};

/// Presence of a VM, sent to the leader. The reply proves contact with the leader.
struct PresenceCall
{
    static constexpr const char *kind = "presence";
    VmId vm;
    NodeAddress address;
    ReplicaId replica; // zero: no data folder
    bool asksForTickets = false;
    bool wantsWorkers = false; // set by a replica that may become leader
};

struct PresenceReply
{
    static constexpr const char *kind = "presence_reply";
    NodeAddress leader;
    std::vector<NodeAddress> replicas;
    std::vector<WorkerHeartbeat> workers; // if requested: workers with a recent heartbeat
};

/// Installs a catalog, or reads the active catalog.
struct CatalogCall
{
    static constexpr const char *kind = "catalog";
    std::optional<Catalog> install;
};

struct CatalogReply
{
    static constexpr const char *kind = "catalog_reply";
    DocumentVersion version; // active
    std::string source; // set in the reply to a read
};

/// Sent to any VM that can request tickets: requests tickets for these workers.
struct TicketCall
{
    static constexpr const char *kind = "ticket";
    TaskRef step;
    std::vector<WorkerId> workers;
    Milliseconds limit {0};
};

struct TicketReply
{
    static constexpr const char *kind = "ticket_reply";
    bool answered = false;
    std::vector<AllowedWorker> allowed;
    Milliseconds validity {0};
};

/// Reply of a VM that is not the leader.
struct Redirect
{
    static constexpr const char *kind = "redirect";
    std::optional<NodeAddress> leader;
};

using Call =
    std::variant<BeatCall, ProposeCall, AnnounceCall, WorkCall, WorkerCall, JobCall, OperatorCall,
        HelloCall, FormCall, GraphCall, HeartbeatCall, PresenceCall, CatalogCall, TicketCall>;
using Reply = std::variant<BeatReply, ProposeReply, AnnounceReply, WorkReply, WorkerReply, JobReply,
    OperatorReply, HelloReply, FormReply, GraphReply, HeartbeatReply, PresenceReply, CatalogReply,
    TicketReply, Redirect>;

[[nodiscard]] std::string encodeCall(const Call &call);
[[nodiscard]] Result<Call> decodeCall(std::string_view text);
[[nodiscard]] std::string encodeReply(const Reply &reply);
[[nodiscard]] Result<Reply> decodeReply(std::string_view text);

} // namespace crocusmill
