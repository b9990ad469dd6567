/// Replicated log: elections, replication, commit, membership and the leader's lease.
///
/// The code does no I/O: the host passes in messages, ticks and the time, and takes out what to
/// store, send and apply. It reads no clock and has no random source except the given seed, so the
/// same code runs in the daemon, in the differential tests and in programs that embed it.
/// Not thread-safe; owned by one thread.
///
/// After each input the host calls takeReady() and then, in this order, stores and syncs the hard
/// state, snapshot and entries, calls persisted(), sends the messages and applies the committed
/// entries. While it stores, it may pass in further inputs but must not take the next Ready.

#pragma once

#include <crocusmill/error.h>
#include <crocusmill/ids.h>

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace crocusmill
{

enum class ConsensusError {
    NotLeader = 1,
    ChangeInProgress,
    NoSuchMember,
    AlreadyMember,
    TooFewVoters,
};

template <> struct ErrorText<ConsensusError>
{
    static constexpr const char *category = "consensus";
    static std::string_view text(ConsensusError error);
};

/// IP address and port at which another process is reached.
struct NodeAddress
{
    std::string ip;
    std::uint16_t port = 0;

    auto operator<=>(const NodeAddress &) const = default;
};

enum class MemberRole { Voter, Learner };

struct Member
{
    ReplicaId id;
    VmId vm;
    NodeAddress address;
    MemberRole role = MemberRole::Learner;

    auto operator<=>(const Member &) const = default;
};

struct Membership
{
    std::vector<Member> members;

    [[nodiscard]] const Member *find(ReplicaId id) const;
    [[nodiscard]] const Member *findVm(const VmId &vm) const;
    [[nodiscard]] bool isVoter(ReplicaId id) const;
    [[nodiscard]] std::size_t voterCount() const;
    /// Returns the size of a majority of the voters. Any two majorities overlap.
    [[nodiscard]] std::size_t quorum() const;

    bool operator==(const Membership &) const = default;
};

enum class EntryKind : std::uint8_t { Noop, Command, Membership };

struct LogEntry
{
    LogIndex index;
    Term term;
    EntryKind kind = EntryKind::Noop;
    std::string payload;

    bool operator==(const LogEntry &) const = default;
};

/// State besides the log that must survive a restart.
struct HardState
{
    Term term;
    ReplicaId votedFor; // zero: no vote in this term

    bool operator==(const HardState &) const = default;
};

struct Snapshot
{
    LogIndex index;
    Term term;
    Membership membership;
    std::string data;
};

using SnapshotPtr = std::shared_ptr<const Snapshot>;

struct VoteRequest
{
    bool preVote = false;
    LogIndex lastIndex;
    Term lastTerm;
};

struct VoteReply
{
    bool preVote = false;
    bool granted = false;
};

struct AppendRequest
{
    LogIndex previousIndex;
    Term previousTerm;
    LogIndex commit;
    /// Monotonic clock of the leader, echoed in the reply; meaningless on other VMs.
    std::uint64_t sentAt = 0;
    std::vector<LogEntry> entries;
};

struct AppendReply
{
    bool accepted = false;
    /// Accepted: last index that matches the leader's log. Refused: last index that may match;
    /// the leader tries the entry after it next.
    LogIndex index;
    LogIndex previous; // previousIndex of the request
    std::uint64_t sentAt = 0;
};

struct InstallRequest
{
    SnapshotPtr snapshot;
    std::uint64_t sentAt = 0;
};

using MessageBody =
    std::variant<VoteRequest, VoteReply, AppendRequest, AppendReply, InstallRequest>;

struct Message
{
    ReplicaId from;
    ReplicaId to;
    Term term;
    MessageBody body;
};

struct ConsensusSettings
{
    Milliseconds heartbeat {50};
    /// A follower without contact to a leader starts an election after this time plus a random
    /// part of the spread. A leader's lease lasts for this time minus the drift margin.
    Milliseconds electionTimeout {500};
    Milliseconds electionSpread {500};
    /// Subtracted from the lease because clocks run at different rates.
    Milliseconds driftMargin {50};
    ByteCount maxAppendBytes {512ULL * 1024};
    Milliseconds snapshotResendInterval {5000};
};

/// State on a replica's disk when it starts.
struct StoredState
{
    HardState hardState;
    SnapshotPtr snapshot; // null if there is none
    std::vector<LogEntry> entries; // after the snapshot
};

/// Work for the host: what to store, send and apply.
struct Ready
{
    std::optional<HardState> hardState;
    /// Snapshot from the leader, to be stored before everything else.
    SnapshotPtr install;
    /// Entries to store. Each replaces all stored entries with the same or a higher index.
    std::vector<LogEntry> append;
    std::vector<Message> send;
    std::vector<LogEntry> apply;

    [[nodiscard]] bool mustSync() const;
    [[nodiscard]] bool empty() const;
};

enum class ReplicaRole { Follower, PreCandidate, Candidate, Leader };

class Consensus
{
public:
    Consensus(ReplicaId self, ConsensusSettings settings, StoredState stored, std::uint64_t seed,
        MonotonicTime now);

    void tick(MonotonicTime now);
    void receive(const Message &message, MonotonicTime now);

    /// Appends a command to the log. The command is committed once an entry with the returned
    /// index and the current term is applied. Errors: NotLeader.
    [[nodiscard]] Result<LogIndex> propose(std::string payload);

    /// Adds a learner, promotes a learner to voter, or removes a member. Only one change can be
    /// in progress, and only after an entry of the current term is committed.
    /// Errors: NotLeader, ChangeInProgress, AlreadyMember, NoSuchMember, TooFewVoters.
    [[nodiscard]] Result<LogIndex> addLearner(const Member &member);
    [[nodiscard]] Result<LogIndex> promoteLearner(ReplicaId id);
    [[nodiscard]] Result<LogIndex> removeMember(ReplicaId id);

    [[nodiscard]] Ready takeReady();
    /// Reports that the log up to `index`, whose entry has `term`, is synced. Has no effect if
    /// that entry was replaced while the host stored it.
    void persisted(LogIndex index, Term term);

    /// Drops the log up to the snapshot's index. The snapshot must cover applied entries only.
    void compact(SnapshotPtr snapshot);

    /// Returns true while no other replica can have been elected: a quorum has answered messages
    /// sent less than the election timeout minus the drift margin ago.
    [[nodiscard]] bool holdsLease(MonotonicTime now) const;
    /// Returns true once this leader has applied an entry of its own term.
    [[nodiscard]] bool isReadyLeader() const;
    [[nodiscard]] bool isLeader() const;
    /// Returns the age of the newest message that the member has answered, at most the time since
    /// this replica became leader. Zero for the leader itself.
    [[nodiscard]] Milliseconds timeSinceAck(ReplicaId id) const;
    /// Returns the same for a quorum: the age of the newest send time that a quorum has answered.
    [[nodiscard]] Milliseconds timeSinceQuorumAck() const;
    /// Returns true if a member has every committed entry.
    [[nodiscard]] bool isCaughtUp(ReplicaId id) const;

    [[nodiscard]] ReplicaId self() const;
    [[nodiscard]] Term term() const;
    [[nodiscard]] ReplicaId leader() const;
    [[nodiscard]] LogIndex commitIndex() const;
    [[nodiscard]] LogIndex appliedIndex() const;
    [[nodiscard]] LogIndex lastIndex() const;
    [[nodiscard]] LogIndex snapshotIndex() const;
    [[nodiscard]] Term termAt(LogIndex index) const;
    [[nodiscard]] std::vector<LogEntry> entriesAfterSnapshot() const;
    [[nodiscard]] const Membership &membership() const;
    /// Returns the membership as of `index`, which must not be below the snapshot's index.
    [[nodiscard]] const Membership &membershipAt(LogIndex index) const;

private:
    struct Progress
    {
        LogIndex next;
        LogIndex match;
        MonotonicTime lastAck {}; // send time of the newest answered message
        /// True while the leader looks for the last matching index; sends do not advance `next`.
        bool isProbing = false;
        MonotonicTime snapshotSentAt {};
    };

    void receiveVoteRequest(const Message &message, const VoteRequest &request);
    void receiveVoteReply(const Message &message, const VoteReply &reply);
    void receiveAppend(const Message &message, const AppendRequest &request);
    void receiveAppendReply(const Message &message, const AppendReply &reply);
    void receiveInstall(const Message &message, const InstallRequest &request);

    void becomeFollower(Term term, ReplicaId leader);
    void startElection(bool preVote);
    void becomeLeader();
    void resetElectionDeadline();
    void scheduleElection(Milliseconds wait);
    [[nodiscard]] bool hasLeaderContact() const;
    [[nodiscard]] bool isLogUpToDate(const VoteRequest &request) const;

    LogIndex append(EntryKind kind, std::string payload);
    void appendFromLeader(const std::vector<LogEntry> &entries);
    void truncateFrom(LogIndex index);
    void recordMembership(const LogEntry &entry);
    [[nodiscard]] Result<LogIndex> changeMembership(const Membership &changed);
    [[nodiscard]] Result<void> checkMembershipChangeAllowed() const;

    void broadcast();
    void replicateTo(const Member &member);
    [[nodiscard]] bool shouldSendEntries(const Progress &progress) const;
    [[nodiscard]] LogIndex lastPossibleMatch(const AppendRequest &request) const;
    void sendSnapshot(ReplicaId to, Progress &progress);
    [[nodiscard]] std::vector<LogEntry> entriesFrom(LogIndex first) const;
    void advanceCommit();
    void checkQuorum();
    [[nodiscard]] MonotonicTime lastQuorumAck() const;
    [[nodiscard]] const LogEntry &entryAt(LogIndex index) const;
    void send(ReplicaId to, MessageBody body);

    ReplicaId self_;
    ConsensusSettings settings_;
    std::mt19937_64 random_;
    MonotonicTime now_;

    HardState hardState_;
    bool hardStateChanged_ = false;
    SnapshotPtr snapshot_;
    SnapshotPtr installedSnapshot_;
    // Invariant: log_[i].index == snapshotIndex() + 1 + i, and terms never decrease.
    std::deque<LogEntry> log_;
    // Invariant: the last entry is the current membership, committed or not.
    std::map<LogIndex, Membership> memberships_;
    LogIndex nextToStore_ {1}; // first index not yet handed to the host for storage
    LogIndex persisted_;
    // Invariant: applied_ <= commit_ <= lastIndex(); commit_ never decreases.
    LogIndex commit_;
    LogIndex applied_;

    ReplicaRole role_ = ReplicaRole::Follower;
    ReplicaId leader_;
    // Invariant: no vote is granted until one election timeout after this time.
    MonotonicTime lastLeaderContact_;
    MonotonicTime electionDeadline_ {};
    MonotonicTime nextHeartbeat_ {};
    MonotonicTime leaderSince_ {};
    std::set<ReplicaId> votes_;
    std::map<ReplicaId, Progress> progress_;
    bool isReplicationDue_ = false;
    std::vector<Message> outbox_;
};

} // namespace crocusmill
