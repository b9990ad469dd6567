/// Interfaces by which the daemon's services use each other, and the names they are found by.
///
/// Unless a comment says otherwise, calls are made and callbacks come on the control thread.

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

    /// Sends without waiting; lost when the peer cannot be reached or does not keep up.
    virtual void deliver(const NodeAddress &to, const Message &message) = 0;
    /// Errors: PeerError::Unreachable, TimedOut, Undecodable. A call to this VM itself has its turn
    /// among those of the others.
    virtual void call(
        const NodeAddress &to, const Call &call, Milliseconds timeout, ReplyHandler done) = 0;

    virtual void onMessage(std::function<void(const Message &)> handler) = 0;
    virtual void onCall(std::function<void(const Call &, ReplyHandler)> handler) = 0;
    /// Calls keep waiting for their turn while `condition` holds.
    virtual void holdCallsWhile(const std::function<bool()> & /*condition*/)
    {
    }
};

using ProposeHandler = std::function<void(Result<ApplyReply>)>;

/// The replica of the journal on this VM.
class Journal
{
public:
    virtual ~Journal() = default;

    /// Errors: ConsensusError::NotLeader (nothing was appended), PeerError::TimedOut (unknown).
    virtual void propose(const Command &command, ProposeHandler done) = 0;
    /// This replica leads, has applied all that earlier leaders committed and holds the lease.
    [[nodiscard]] virtual bool isLeading() const = 0;
    [[nodiscard]] virtual bool isFormed() const = 0;
    [[nodiscard]] virtual std::optional<NodeAddress> leader() const = 0;
    [[nodiscard]] virtual const StateMachine &state() const = 0;
    [[nodiscard]] virtual const Consensus *consensus() const = 0;
    [[nodiscard]] virtual HelloReply hello() const = 0;
    [[nodiscard]] virtual bool form(const Membership &membership) = 0;
    /// A VM that has a replica is alive; where it is no voter, it may take a lost one's place.
    virtual void offerReplica(const VmId &vm, ReplicaId replica, const NodeAddress &address) = 0;
    [[nodiscard]] virtual Result<void> replace(const VmId &vm) = 0;
};

/// Calls to whichever VM leads.
class LeaderClient
{
public:
    virtual ~LeaderClient() = default;

    /// Errors: PeerError.
    virtual void call(Call call, Milliseconds timeout, ReplyHandler done) = 0;
    virtual void learnReplicas(const std::vector<NodeAddress> &replicas) = 0;
    /// VMs that the settings name; asked too while no leader is known.
    virtual void learnSeeds(const std::vector<NodeAddress> &seeds) = 0;
};

/// Where one attempt goes.
struct Dispatch
{
    RequestId request;
    AttemptId attempt;
    UpstreamId upstream;
    Incarnation incarnation;
    NodeAddress address;
    /// Idle connections to this upstream that a traffic thread may keep; none: its own limit.
    std::optional<std::uint32_t> maxIdleConnections;
};

using DispatchResult = std::variant<Dispatch, Refusal>;

/// Why this entry is not ready for callers.
enum class Readiness { Ready, Starting, Draining, Isolated, StaleConfiguration };

[[nodiscard]] std::string_view text(Readiness readiness);

/// An environment's document in force, with what the traffic threads need of it.
struct RouteTable
{
    struct Environment
    {
        Document document;
        Digest digest;
        Stage stage = Stage::Production;
    };

    /// By host; the trial stage under the host with "trial." before it.
    std::map<std::string, std::shared_ptr<const Environment>, std::less<>> hosts;
    LogIndex configuration;
};

/// This entry's slots, queue and configuration.
class Entry
{
public:
    virtual ~Entry() = default;

    /// Queues a request; `done` gets its upstream or why it is refused.
    virtual void acquire(WaitingRequest request, std::function<void(DispatchResult)> done) = 0;
    virtual void cancel(const ServiceKey &service, RequestId request) = 0;
    /// The attempt is over. `left` says that its work is known to have left the upstream;
    /// otherwise its slot stays taken until the upstream's announcements show that it has.
    virtual void release(RequestId request, const AttemptId &attempt, AttemptVerdict verdict,
        Milliseconds runDuration, bool hasLeft) = 0;
    [[nodiscard]] virtual bool takeRetry(const ServiceKey &service) = 0;
    virtual void announce(const AnnounceCall &call, ReplyHandler done) = 0;
    virtual void drain() = 0;
    /// Called for work that another entry left and this one is to carry on.
    virtual void onAdopt(std::function<void(const Work &)> handler) = 0;
    [[nodiscard]] virtual EntryEpoch epoch() const = 0;
    [[nodiscard]] virtual std::size_t openRequestCount() const = 0;

    /// Any thread.
    [[nodiscard]] virtual RequestId nextRequest() = 0;
    /// The newest place in the journal that a leader said it had applied.
    [[nodiscard]] virtual LogIndex newestAppliedIndex() const = 0;
    [[nodiscard]] virtual std::shared_ptr<const RouteTable> routes() const = 0;
    [[nodiscard]] virtual Readiness readiness() const = 0;
};

/// Whether this VM is in touch with a leader.
class Presence
{
public:
    virtual ~Presence() = default;

    /// From now on this VM is not ready.
    virtual void drain() = 0;
    /// Where the leader is reached by peers, as far as this VM knows.
    [[nodiscard]] virtual std::optional<NodeAddress> leader() const = 0;
    /// Any thread.
    [[nodiscard]] virtual Readiness readiness() const = 0;
};

/// Calls that only the leader answers.
class Leader
{
public:
    virtual ~Leader() = default;

    virtual void handle(const Call &call, ReplyHandler done) = 0;
    /// Workers that the leader has heard lately; of use once this VM leads.
    virtual void learnWorkers(const std::vector<WorkerHeartbeat> &workers) = 0;
};

} // namespace crocusmill
