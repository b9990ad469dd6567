/// Control calls between VMs: beats, proposals, announcements and queries.
///
/// A call goes to the leader of the journal unless its comment says otherwise; another VM answers
/// with a Redirect.

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

/// An attempt that ended without an answer; its slot is kept until its work has left.
struct LingeringAttempt
{
    AttemptId attempt;
    UpstreamId upstream;
    Incarnation incarnation;
};

/// Sent by an entry at each interval; also what keeps its grants alive.
struct BeatCall
{
    static constexpr const char *kind = "beat";
    VmId vm;
    EntryEpoch epoch;
    NodeAddress address;
    AvailabilityZone zone;
    ReplicaId replica; // zero: no data folder
    std::uint64_t number = 0; // rises; an older beat is ignored
    bool draining = false;
    bool full = false; // `held` has every line, and the reply is to have every line
    LogIndex configuration; // in force on this entry
    std::uint64_t directory = 0; // version of the directory that this entry has
    std::vector<SlotLine> held;
    std::vector<DemandLine> demand;
    std::vector<std::uint32_t> heard; // directory numbers of upstreams heard without change
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
    /// Connections beyond its slots that all entries together may keep; none: not stated.
    std::optional<std::uint32_t> spareConnections;
};

struct BeatReply
{
    static constexpr const char *kind = "beat_reply";
    /// Nothing was taken in: the beat was an old one, or a full report is needed first.
    bool stale = false;
    Term term;
    LogIndex applied; // by the leader, when it answered
    std::uint32_t entries = 0; // that share the upstreams' connections
    LogIndex configuration;
    std::vector<EnvironmentInForce> environments; // those newer than the call's configuration
    std::uint64_t directory = 0;
    std::vector<DirectoryEntry> upstreams; // those newer than the call's directory
    std::vector<SlotLine> grants;
    Milliseconds grantLife {0};
    std::vector<AttemptId> departed;
    std::vector<Work> adopt; // to be carried on by this entry
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
    /// Committed and applied; when false nothing is known about what became of it.
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
    std::vector<AttemptId> forget; // no longer to be listed as finished
};

/// Asks for the state of work, by its id.
struct WorkCall
{
    static constexpr const char *kind = "work";
    WorkId work;
    /// The entry lost the answer of this attempt and asks to have it settled.
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
    /// Why its tasks wait, when they do.
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
};

/// What an operator asks of the leader; `subject` is the VM, upstream or worker meant.
struct OperatorCall
{
    static constexpr const char *kind = "operator";
    OperatorAction action = OperatorAction::ListVms;
    std::string subject;
};

/// JSON for the operator's tool.
struct OperatorReply
{
    static constexpr const char *kind = "operator_reply";
    bool found = true;
    std::string body;
};

/// Asked of any VM: who it is and whether its replica has formed a cell.
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

/// Tells a replica that has stored nothing yet which members form the cell.
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

/// What a client asks of the queue that `host` and `path` select.
struct GraphCall
{
    static constexpr const char *kind = "graph";
    GraphAction action = GraphAction::Show;
    std::string host;
    std::string path; // the queue's prefix and the job's id; without an id: the queue itself
    std::optional<GraphSpec> spec; // of a job to accept
};

enum class GraphOutcome {
    Done, // accepted, cancelled, or the fields below say what was asked for
    Refused, // not accepted; it never runs unless it is handed in again
    NoCatalog, // no operator has put queues in force yet
    NoQueue,
    NoJob,
};

struct GraphReply
{
    static constexpr const char *kind = "graph_reply";
    GraphOutcome outcome = GraphOutcome::Done;
    GraphState state = GraphState::Open;
    bool started = false;
    std::optional<std::uint64_t> pending; // of the queue itself: jobs that have not started
    Milliseconds retryAfter {0}; // with Refused
};

/// A called worker states that it is there, or that it leaves.
struct HeartbeatCall
{
    static constexpr const char *kind = "heartbeat";
    WorkerHeartbeat heartbeat;
    bool leaves = false;
};

struct HeartbeatReply
{
    static constexpr const char *kind = "heartbeat_reply";
    NodeAddress leader; // among peers
};

/// Every VM tells the leader that it is there; the reply proves that a leader is in touch.
struct PresenceCall
{
    static constexpr const char *kind = "presence";
    VmId vm;
    NodeAddress address;
    ReplicaId replica; // zero: no data folder
    bool asksForTickets = false;
    bool wantsWorkers = false; // a replica that may lead next
};

struct PresenceReply
{
    static constexpr const char *kind = "presence_reply";
    NodeAddress leader;
    std::vector<NodeAddress> replicas;
    std::vector<WorkerHeartbeat> workers; // where wanted: those heard lately
};

/// Puts a catalog in force, or reads the one in force.
struct CatalogCall
{
    static constexpr const char *kind = "catalog";
    std::optional<Catalog> install;
};

struct CatalogReply
{
    static constexpr const char *kind = "catalog_reply";
    DocumentVersion version; // in force
    std::string source; // of a read
};

/// Any VM that asks for tickets: ask about these workers.
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

/// The VM asked does not lead.
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
