/// Interfaces between the daemon's services, and the names under which the kernel finds them.
///
/// Unless a comment says otherwise, functions and callbacks run on the control thread.

#pragma once

#include "src/wire/calls.h"

#include <crocusmill/admission.h>
#include <crocusmill/consensus.h>
#include <crocusmill/kernel.h>
#include <crocusmill/statemachine.h>

#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace crocusmill
{

namespace names
{
inline constexpr std::string_view peers = "peers";
inline constexpr std::string_view journal = "journal";
inline constexpr std::string_view leader = "leader";
inline constexpr std::string_view client = "client";
inline constexpr std::string_view entry = "entry";
inline constexpr std::string_view work = "work";
inline constexpr std::string_view ingress = "ingress";
inline constexpr std::string_view operators = "operators";
inline constexpr std::string_view metrics = "metrics";
inline constexpr std::string_view tracing = "tracing";
inline constexpr std::string_view presence = "presence";
inline constexpr std::string_view workerLink = "worker_link";
inline constexpr std::string_view ticketOffice = "ticket_office";
inline constexpr std::string_view front = "front";
} // namespace names

using ReplyHandler = std::function<void(Result<Reply>)>;

/// Connections to the other VMs.
class Peers
{
public:
    virtual ~Peers() = default;

    /// Sends without waiting. The message is lost when the peer is unreachable or too slow.
    virtual void deliver(const NodeAddress &to, const Message &message) = 0;
    /// Calls a peer. Errors: PeerError::Unreachable, TimedOut, Undecodable. A call to this VM
    /// itself is queued together with the calls of other VMs.
    virtual void call(
        const NodeAddress &to, const Call &call, Milliseconds timeout, ReplyHandler done) = 0;

    virtual void onMessage(std::function<void(const Message &)> handler) = 0;
    virtual void onCall(std::function<void(const Call &, ReplyHandler)> handler) = 0;
    /// Keeps incoming calls queued while `condition` returns true.
    virtual void holdCallsWhile(const std::function<bool()> & /*condition*/)
    {
    }
};

using ProposeHandler = std::function<void(Result<ApplyReply>)>;

/// This VM's replica of the journal, the replicated log.
class Journal
{
public:
    virtual ~Journal() = default;

    /// Appends a command to the journal; `done` gets the result of applying it. Errors:
    /// ConsensusError::NotLeader (nothing was appended), PeerError::TimedOut (outcome unknown).
    virtual void propose(const Command &command, ProposeHandler done) = 0;
    /// Returns whether this replica is the leader, has applied every entry that earlier leaders
    /// committed and holds the leader lease.
    [[nodiscard]] virtual bool isLeading() const = 0;
    [[nodiscard]] virtual bool isFormed() const = 0;
    [[nodiscard]] virtual std::optional<NodeAddress> leader() const = 0;
    [[nodiscard]] virtual const StateMachine &state() const = 0;
    [[nodiscard]] virtual const Consensus *consensus() const = 0;
    [[nodiscard]] virtual HelloReply hello() const = 0;
    [[nodiscard]] virtual bool form(const Membership &membership) = 0;
    /// Notes that the replica on `vm` is alive. If it is no voter, it may replace a lost voter.
    virtual void offerReplica(const VmId &vm, ReplicaId replica, const NodeAddress &address) = 0;
    [[nodiscard]] virtual Result<void> replace(const VmId &vm) = 0;
};

/// Finds the leader and sends calls to it.
class LeaderClient
{
public:
    virtual ~LeaderClient() = default;

    /// Calls the leader. Errors: PeerError.
    virtual void call(Call call, Milliseconds timeout, ReplyHandler done) = 0;
    virtual void learnReplicas(const std::vector<NodeAddress> &replicas) = 0;
    /// Sets the VMs named in the settings. They are also asked while no leader is known.
    virtual void learnSeeds(const std::vector<NodeAddress> &seeds) = 0;
};

/// The upstream chosen for one attempt.
struct Dispatch
{
    RequestId request;
    AttemptId attempt;
    UpstreamId upstream;
    Incarnation incarnation;
    NodeAddress address;
    /// Limit of idle connections to this upstream for each traffic thread; if not set, the thread
    /// uses its default limit.
    std::optional<std::uint32_t> maxIdleConnections;
};

using DispatchResult = std::variant<Dispatch, Refusal>;

/// Whether a VM accepts requests, and the reason if it does not.
enum class Readiness { Ready, Starting, Draining, Isolated, StaleConfiguration };

[[nodiscard]] std::string_view text(Readiness readiness);

/// The documents in force of all environments, as the traffic threads use them.
struct RouteTable
{
    struct Environment
    {
        Document document;
        Digest digest;
        Stage stage = Stage::Production;
    };

    /// Environments by host; the key of the trial stage is the host prefixed with "trial.".
    std::map<std::string, std::shared_ptr<const Environment>, std::less<>> hosts;
    LogIndex configuration;
};

/// The entry of this VM: slots, admission queue and configuration.
class Entry
{
public:
    virtual ~Entry() = default;

    /// Queues a request. `done` gets the chosen upstream or the refusal.
    virtual void acquire(WaitingRequest request, std::function<void(DispatchResult)> done) = 0;
    virtual void cancel(const ServiceKey &service, RequestId request) = 0;
    /// Reports the end of an attempt. `hasLeft` means that the upstream certainly no longer runs
    /// the work. Otherwise the slot stays taken until the upstream's announcements show this.
    virtual void release(RequestId request, const AttemptId &attempt, AttemptOutcome verdict,
        Milliseconds runDuration, bool hasLeft) = 0;
    [[nodiscard]] virtual bool takeRetry(const ServiceKey &service) = 0;
    virtual void announce(const AnnounceCall &call, ReplyHandler done) = 0;
    virtual void drain() = 0;
    /// Sets the handler for work that this entry takes over from another entry.
    virtual void onAdopt(std::function<void(const Work &)> handler) = 0;
    [[nodiscard]] virtual EntryEpoch epoch() const = 0;
    /// Returns the number of running and waiting requests.
    [[nodiscard]] virtual std::size_t openRequestCount() const = 0;

    // The functions below may be called from any thread.

    [[nodiscard]] virtual RequestId nextRequest() = 0;
    /// Returns the highest log index that a leader has reported as applied.
    [[nodiscard]] virtual LogIndex newestAppliedIndex() const = 0;
    [[nodiscard]] virtual std::shared_ptr<const RouteTable> routes() const = 0;
    [[nodiscard]] virtual Readiness readiness() const = 0;
};

/// Tracks whether this VM has contact with a leader.
class Presence
{
public:
    virtual ~Presence() = default;

    /// Makes this VM unready for good.
    virtual void drain() = 0;
    /// Returns the peer address of the leader, if this VM knows one.
    [[nodiscard]] virtual std::optional<NodeAddress> leader() const = 0;
    /// May be called from any thread.
    [[nodiscard]] virtual Readiness readiness() const = 0;
};

/// Handles the calls of peers; only the leader answers most of them.
class Leader
{
public:
    virtual ~Leader() = default;

    virtual void handle(const Call &call, ReplyHandler done) = 0;
    /// Sets the workers that the leader has recently heard from. This VM contacts them when it
    /// becomes the leader.
    virtual void learnWorkers(const std::vector<WorkerHeartbeat> &workers) = 0;
};

} // namespace crocusmill
