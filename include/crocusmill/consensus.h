/// Replicated log: elections, replication, commit, membership and the leader's lease.
///
/// Pure: messages, ticks and the time go in; what to store, send and apply comes out. No socket,
/// clock, file or random source of its own, so the same code runs in the daemon, in the
/// differential tests and in programs that embed it. Not thread-safe; owned by one thread.
///
/// The host calls takeReady() after each input and then, in this order: stores and syncs what it
/// says, calls persisted(), sends the messages, applies the committed entries. It may take inputs
/// in while it stores, but not the next Ready.

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

/// Where another process is reached: an IP number and a port.
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
    /// Smallest number of voters that intersects every other such number.
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

/// What a replica must not forget across a restart, beside its log.
struct HardState
{
    Term term;
    ReplicaId votedFor; // zero: nobody in this term

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
    /// The leader's own clock, echoed in the reply; no other VM reads a meaning into it.
    std::uint64_t sentAt = 0;
    std::vector<LogEntry> entries;
};

struct AppendReply
{
    bool accepted = false;
    /// Accepted: last index that matches. Refused: the leader may try from the one after it.
    LogIndex index;
    LogIndex previous; // of the request that this answers
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
    /// A follower that hears no leader waits this long, and at random up to the spread longer,
    /// before it stands for election. A leader's lease lasts as long, less the margin.
    Milliseconds electionTimeout {500};
    Milliseconds electionSpread {500};
    /// Subtracted from the lease for clocks that run at different rates.
    Milliseconds driftMargin {50};
    ByteCount maxAppendBytes {512ULL * 1024};
    Milliseconds snapshotResendInterval {5000};
};

/// What a replica has on its disk when it starts.
struct StoredState
{
    HardState hardState;
    SnapshotPtr snapshot; // null: none yet
    std::vector<LogEntry> entries; // those after the snapshot
};

/// What the host must do now.
struct Ready
{
    std::optional<HardState> hardState;
    /// To store before anything else: this snapshot came from the leader.
    SnapshotPtr install;
    /// To append; an entry replaces every stored one with the same or a higher index.
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

    /// Appends a command to the log; it is committed once an entry with this index and the
    /// current term is applied. Errors: NotLeader.
    [[nodiscard]] Result<LogIndex> propose(std::string payload);

    /// Adds a learner, makes it a voter or removes a member, one such change at a time and only
    /// once an entry of the current term is committed.
    /// Errors: NotLeader, ChangeInProgress, AlreadyMember, NoSuchMember, TooFewVoters.
    [[nodiscard]] Result<LogIndex> addLearner(const Member &member);
    [[nodiscard]] Result<LogIndex> promoteLearner(ReplicaId id);
    [[nodiscard]] Result<LogIndex> removeMember(ReplicaId id);

    [[nodiscard]] Ready takeReady();
    /// Everything up to `index`, which had this term, is synced. Entries that were replaced while
    /// the host was storing them do not count.
    void persisted(LogIndex index, Term term);

    /// Drops the log up to `snapshot`'s index; it was taken from applied entries.
    void compact(SnapshotPtr snapshot);

    /// True while no other replica can have been elected: a quorum answered a message sent less
    /// than one election timeout ago, less the drift margin.
    [[nodiscard]] bool holdsLease(MonotonicTime now) const;
    /// True once an entry of this leader's own term has been applied.
    [[nodiscard]] bool isReadyLeader() const;
    [[nodiscard]] bool isLeader() const;
    /// For how long a member has not answered this leader; zero for the leader itself.
    [[nodiscard]] Milliseconds timeSinceAck(ReplicaId id) const;
    /// Since when a majority has acknowledged what this leader sent.
    [[nodiscard]] Milliseconds timeSinceQuorumAck() const;
    /// True when a learner has every entry that was committed.
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
    /// The membership as of `index`, which is at least the snapshot's index.
    [[nodiscard]] const Membership &membershipAt(LogIndex index) const;

private:
    struct Progress
    {
        LogIndex next;
        LogIndex match;
        MonotonicTime lastAck {}; // when the newest answered message had been sent
        /// The place where the logs part is being looked for; `next` stays until it is found.
        bool probing = false;
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
    SnapshotPtr installed_;
    // Invariant: log_[i].index == snapshotIndex() + 1 + i, and terms never fall.
    std::deque<LogEntry> log_;
    // Invariant: keys rise; the last is the membership in force, committed or not.
    std::map<LogIndex, Membership> memberships_;
    LogIndex nextToStore_ {1}; // first index not yet handed to the host for storage
    LogIndex persisted_;
    // Invariant: applied_ <= commit_ <= lastIndex(); commit_ never falls.
    LogIndex commit_;
    LogIndex applied_;

    ReplicaRole role_ = ReplicaRole::Follower;
    ReplicaId leader_;
    // Invariant: no vote is granted until one election timeout after this.
    MonotonicTime lastLeaderContact_;
    MonotonicTime electionDeadline_ {};
    MonotonicTime nextHeartbeat_ {};
    MonotonicTime leaderSince_ {};
    std::set<ReplicaId> votes_;
    std::map<ReplicaId, Progress> progress_;
    bool replicationDue_ = false;
    std::vector<Message> outbox_;
};

} // namespace crocusmill
