/// Roles and elections of the replicated log, and its output to the host.

#include "src/wire/membershipcodec.h"

#include <crocusmill/consensus.h>

#include <algorithm>

namespace crocusmill
{

Consensus::Consensus(ReplicaId self, ConsensusSettings settings, StoredState stored,
    std::uint64_t seed, MonotonicTime now)
    : self_(self)
    , settings_(settings)
    , random_(seed)
    , now_(now)
    , hardState_(stored.hardState)
    , snapshot_(std::move(stored.snapshot))
    , lastLeaderContact_(now) // it may have renewed a lease just before a restart
{
    memberships_[snapshotIndex()] = snapshot_ ? snapshot_->membership : Membership {};
    for (LogEntry &entry : stored.entries) {
        recordMembership(entry);
        log_.push_back(std::move(entry));
    }
    nextToStore_ = next(lastIndex());
    persisted_ = lastIndex();
    commit_ = snapshotIndex();
    applied_ = snapshotIndex();
    resetElectionDeadline();
}

void Consensus::tick(MonotonicTime now)
{
    now_ = now;
    if (role_ == ReplicaRole::Leader) {
        checkQuorum();
        if (role_ == ReplicaRole::Leader && now_ >= nextHeartbeat_) {
            broadcast();
        }
        return;
    }
    if (now_ >= electionDeadline_ && membership().isVoter(self_)) {
        startElection(true);
    }
}

void Consensus::receive(const Message &message, MonotonicTime now)
{
    now_ = now;
    if (message.to != self_) {
        return; // addressed to an earlier data folder of this VM
    }
    const VoteRequest *vote = std::get_if<VoteRequest>(&message.body);
    if (vote != nullptr) {
        receiveVoteRequest(message, *vote);
        return;
    }
    const VoteReply *voteReply = std::get_if<VoteReply>(&message.body);
    const bool preVoteGrant = voteReply != nullptr && voteReply->preVote && voteReply->granted;
    if (message.term > hardState_.term && !preVoteGrant) {
        becomeFollower(message.term, ReplicaId {});
    }
    if (voteReply != nullptr) {
        receiveVoteReply(message, *voteReply);
    } else if (const AppendRequest *append = std::get_if<AppendRequest>(&message.body)) {
        receiveAppend(message, *append);
    } else if (const AppendReply *reply = std::get_if<AppendReply>(&message.body)) {
        receiveAppendReply(message, *reply);
    } else if (const InstallRequest *install = std::get_if<InstallRequest>(&message.body)) {
        receiveInstall(message, *install);
    }
}

bool Consensus::hasLeaderContact() const
{
    if (role_ == ReplicaRole::Leader) {
        return true;
    }
    return now_ - lastLeaderContact_ < settings_.electionTimeout;
}

bool Consensus::isLogUpToDate(const VoteRequest &request) const
{
    const Term lastTerm = termAt(lastIndex());
    if (request.lastTerm != lastTerm) {
        return request.lastTerm > lastTerm;
    }
    return request.lastIndex >= lastIndex();
}

void Consensus::receiveVoteRequest(const Message &message, const VoteRequest &request)
{
    // The lease depends on this: a replica in contact with its leader grants no votes.
    if (hasLeaderContact()) {
        send(message.from, VoteReply {.preVote = request.preVote, .granted = false});
        return;
    }
    if (request.preVote) {
        const bool granted = message.term > hardState_.term && isLogUpToDate(request);
        outbox_.push_back({self_, message.from, granted ? message.term : hardState_.term,
            VoteReply {.preVote = true, .granted = granted}});
        return;
    }
    if (message.term > hardState_.term) {
        becomeFollower(message.term, ReplicaId {});
    }
    const bool hasFreeVote =
        hardState_.votedFor == ReplicaId {} || hardState_.votedFor == message.from;
    const bool granted = message.term == hardState_.term && hasFreeVote && isLogUpToDate(request);
    if (granted && hardState_.votedFor != message.from) {
        hardState_.votedFor = message.from;
        hardStateChanged_ = true;
    }
    if (granted) {
        resetElectionDeadline();
    }
    send(message.from, VoteReply {.preVote = false, .granted = granted});
}

void Consensus::receiveVoteReply(const Message &message, const VoteReply &reply)
{
    const ReplicaRole expected = reply.preVote ? ReplicaRole::PreCandidate : ReplicaRole::Candidate;
    const Term requestedTerm = reply.preVote ? Term {hardState_.term.value() + 1} : hardState_.term;
    if (role_ != expected || !reply.granted || message.term != requestedTerm) {
        return;
    }
    if (!membership().isVoter(message.from)) {
        return;
    }
    votes_.insert(message.from);
    if (votes_.size() < membership().quorum()) {
        return;
    }
    if (reply.preVote) {
        startElection(false);
    } else {
        becomeLeader();
    }
}

void Consensus::becomeFollower(Term term, ReplicaId leader)
{
    if (term > hardState_.term) {
        hardState_ = {term, ReplicaId {}};
        hardStateChanged_ = true;
    }
    if (role_ == ReplicaRole::Leader) {
        resetElectionDeadline();
    }
    role_ = ReplicaRole::Follower;
    leader_ = leader;
    votes_.clear();
    progress_.clear();
}

void Consensus::startElection(bool preVote)
{
    role_ = preVote ? ReplicaRole::PreCandidate : ReplicaRole::Candidate;
    leader_ = ReplicaId {};
    votes_ = {self_};
    // A pre-vote is not synced, so a retry is cheap. Every voter syncs its vote, which takes long
    // on a slow disk; another election meanwhile would only invalidate the first.
    scheduleElection(preVote ? settings_.heartbeat : 2 * settings_.electionTimeout);
    if (!preVote) {
        hardState_ = {Term {hardState_.term.value() + 1}, self_};
        hardStateChanged_ = true;
    }
    const Term requestedTerm = preVote ? Term {hardState_.term.value() + 1} : hardState_.term;
    for (const Member &member : membership().members) {
        if (member.id != self_ && member.role == MemberRole::Voter) {
            outbox_.push_back({self_, member.id, requestedTerm,
                VoteRequest {preVote, lastIndex(), termAt(lastIndex())}});
        }
    }
    if (votes_.size() >= membership().quorum()) {
        if (preVote) {
            startElection(false);
        } else {
            becomeLeader();
        }
    }
}

void Consensus::becomeLeader()
{
    role_ = ReplicaRole::Leader;
    leader_ = self_;
    leaderSince_ = now_;
    progress_.clear();
    append(EntryKind::Noop, {});
    broadcast();
}

void Consensus::resetElectionDeadline()
{
    scheduleElection(settings_.electionTimeout);
}

void Consensus::scheduleElection(Milliseconds wait)
{
    std::uniform_int_distribution<std::int64_t> randomDelay {0, settings_.electionSpread.count()};
    electionDeadline_ = now_ + wait + Milliseconds {randomDelay(random_)};
}

MonotonicTime Consensus::lastQuorumAck() const
{
    std::vector<MonotonicTime> acks;
    for (const Member &member : membership().members) {
        if (member.role != MemberRole::Voter) {
            continue;
        }
        if (member.id == self_) {
            acks.push_back(now_);
            continue;
        }
        const auto it = progress_.find(member.id);
        acks.push_back(it == progress_.end() ? MonotonicTime {} : it->second.lastAck);
    }
    if (acks.empty()) {
        return {};
    }
    std::sort(acks.begin(), acks.end(), std::greater<>());
    return acks[membership().quorum() - 1];
}

Milliseconds Consensus::timeSinceAck(ReplicaId id) const
{
    const auto it = progress_.find(id);
    if (id == self_ || it == progress_.end()) {
        return {};
    }
    const MonotonicTime lastAck = std::max(it->second.lastAck, leaderSince_);
    return std::chrono::duration_cast<Milliseconds>(now_ - lastAck);
}

Milliseconds Consensus::timeSinceQuorumAck() const
{
    return std::chrono::duration_cast<Milliseconds>(now_ - std::max(lastQuorumAck(), leaderSince_));
}

void Consensus::checkQuorum()
{
    const MonotonicTime lastContact = std::max(lastQuorumAck(), leaderSince_);
    if (now_ - lastContact > 2 * settings_.electionTimeout) {
        becomeFollower(hardState_.term, ReplicaId {});
    }
}

bool Consensus::holdsLease(MonotonicTime now) const
{
    if (role_ != ReplicaRole::Leader) {
        return false;
    }
    if (membership().voterCount() == 1 && membership().isVoter(self_)) {
        return true;
    }
    return now < lastQuorumAck() + settings_.electionTimeout - settings_.driftMargin;
}

bool Consensus::isReadyLeader() const
{
    return role_ == ReplicaRole::Leader && applied_ > LogIndex {}
    && termAt(applied_) == hardState_.term;
}

bool Consensus::isLeader() const
{
    return role_ == ReplicaRole::Leader;
}

bool Consensus::isCaughtUp(ReplicaId id) const
{
    const auto it = progress_.find(id);
    return it != progress_.end() && it->second.match >= commit_;
}

Ready Consensus::takeReady()
{
    if (isReplicationDue_ && role_ == ReplicaRole::Leader) {
        broadcast();
    }
    Ready ready;
    if (hardStateChanged_) {
        ready.hardState = hardState_;
        hardStateChanged_ = false;
    }
    ready.install = std::exchange(installedSnapshot_, nullptr);
    for (; nextToStore_ <= lastIndex(); nextToStore_ = next(nextToStore_)) {
        ready.append.push_back(entryAt(nextToStore_));
    }
    ready.send = std::exchange(outbox_, {});
    while (applied_ < commit_) {
        applied_ = next(applied_);
        ready.apply.push_back(entryAt(applied_));
    }
    return ready;
}

void Consensus::persisted(LogIndex index, Term term)
{
    if (termAt(index) == term) {
        persisted_ = std::max(persisted_, index);
    }
    if (role_ == ReplicaRole::Leader) {
        advanceCommit();
    }
}

void Consensus::send(ReplicaId to, MessageBody body)
{
    outbox_.push_back({self_, to, hardState_.term, std::move(body)});
}

ReplicaId Consensus::self() const
{
    return self_;
}

Term Consensus::term() const
{
    return hardState_.term;
}

ReplicaId Consensus::leader() const
{
    return leader_;
}

LogIndex Consensus::commitIndex() const
{
    return commit_;
}

LogIndex Consensus::appliedIndex() const
{
    return applied_;
}

} // namespace crocusmill
