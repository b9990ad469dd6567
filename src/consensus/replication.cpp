/// Log operations: append, replication, commit, snapshots and membership changes.

#include "src/wire/membershipcodec.h"

#include <crocusmill/consensus.h>

#include <algorithm>

namespace crocusmill
{

namespace
{

std::uint64_t toWire(MonotonicTime time)
{
    return static_cast<std::uint64_t>(time.time_since_epoch().count());
}

MonotonicTime fromWire(std::uint64_t sentAt)
{
    return MonotonicTime {MonotonicTime::duration {static_cast<std::int64_t>(sentAt)}};
}

} // namespace

LogIndex Consensus::lastIndex() const
{
    return log_.empty() ? snapshotIndex() : log_.back().index;
}

LogIndex Consensus::snapshotIndex() const
{
    return snapshot_ ? snapshot_->index : LogIndex {};
}

Term Consensus::termAt(LogIndex index) const
{
    if (index == snapshotIndex()) {
        return snapshot_ ? snapshot_->term : Term {};
    }
    if (index < snapshotIndex() || index > lastIndex()) {
        return Term {};
    }
    return entryAt(index).term;
}

const LogEntry &Consensus::entryAt(LogIndex index) const
{
    return log_[index.value() - snapshotIndex().value() - 1];
}

std::vector<LogEntry> Consensus::entriesAfterSnapshot() const
{
    return {log_.begin(), log_.end()};
}

const Membership &Consensus::membership() const
{
    return memberships_.rbegin()->second;
}

const Membership &Consensus::membershipAt(LogIndex index) const
{
    auto after = memberships_.upper_bound(index);
    return std::prev(after)->second;
}

Result<LogIndex> Consensus::propose(std::string payload)
{
    if (role_ != ReplicaRole::Leader) {
        return ConsensusError::NotLeader;
    }
    return append(EntryKind::Command, std::move(payload));
}

LogIndex Consensus::append(EntryKind kind, std::string payload)
{
    LogEntry entry {next(lastIndex()), hardState_.term, kind, std::move(payload)};
    recordMembership(entry);
    log_.push_back(std::move(entry));
    isReplicationDue_ = true;
    return lastIndex();
}

void Consensus::recordMembership(const LogEntry &entry)
{
    if (entry.kind != EntryKind::Membership) {
        return;
    }
    Result<Membership> decoded = decodeMembership(entry.payload);
    if (decoded) {
        memberships_[entry.index] = std::move(decoded.value());
    }
}

void Consensus::truncateFrom(LogIndex index)
{
    while (!log_.empty() && log_.back().index >= index) {
        log_.pop_back();
    }
    memberships_.erase(memberships_.lower_bound(index), memberships_.end());
    nextToStore_ = std::min(nextToStore_, index);
    persisted_ = std::min(persisted_, previous(index));
}

void Consensus::receiveAppend(const Message &message, const AppendRequest &request)
{
    if (message.term < hardState_.term) {
        send(message.from, AppendReply {false, lastIndex(), request.previousIndex, request.sentAt});
        return;
    }
    becomeFollower(message.term, message.from);
    lastLeaderContact_ = now_;
    resetElectionDeadline();
    if (request.previousIndex < snapshotIndex()) {
        // Entries up to the snapshot are committed and therefore match.
        send(message.from,
            AppendReply {true, snapshotIndex(), request.previousIndex, request.sentAt});
        return;
    }
    const bool matches = request.previousIndex <= lastIndex()
        && termAt(request.previousIndex) == request.previousTerm;
    if (!matches) {
        send(message.from,
            AppendReply {false, lastPossibleMatch(request), request.previousIndex, request.sentAt});
        return;
    }
    appendFromLeader(request.entries);
    const LogIndex matched {request.previousIndex.value() + request.entries.size()};
    commit_ = std::max(commit_, std::min(request.commit, matched));
    send(message.from, AppendReply {true, matched, request.previousIndex, request.sentAt});
}

/// Returns the last index at which this log may match the leader's: below the request's
/// previousIndex, and below all entries of the conflicting term that this log has there.
LogIndex Consensus::lastPossibleMatch(const AppendRequest &request) const
{
    LogIndex hint = std::min(lastIndex(), previous(request.previousIndex));
    if (request.previousIndex <= lastIndex()) {
        const Term conflictingTerm = termAt(request.previousIndex);
        while (hint > commit_ && termAt(hint) == conflictingTerm) {
            hint = previous(hint);
        }
    }
    return std::max(hint, commit_);
}

void Consensus::appendFromLeader(const std::vector<LogEntry> &entries)
{
    for (const LogEntry &entry : entries) {
        if (entry.index <= lastIndex()) {
            if (termAt(entry.index) == entry.term) {
                continue;
            }
            truncateFrom(entry.index);
        }
        recordMembership(entry);
        log_.push_back(entry);
    }
}

void Consensus::receiveInstall(const Message &message, const InstallRequest &request)
{
    if (message.term < hardState_.term || request.snapshot == nullptr) {
        return;
    }
    becomeFollower(message.term, message.from);
    lastLeaderContact_ = now_;
    resetElectionDeadline();
    const Snapshot &snapshot = *request.snapshot;
    if (snapshot.index > commit_) {
        log_.clear();
        memberships_ = {{snapshot.index, snapshot.membership}};
        snapshot_ = request.snapshot;
        installedSnapshot_ = request.snapshot;
        commit_ = snapshot.index;
        applied_ = snapshot.index;
        persisted_ = snapshot.index;
        nextToStore_ = next(snapshot.index);
    }
    send(message.from,
        AppendReply {true, std::max(snapshot.index, commit_), snapshot.index, request.sentAt});
}

void Consensus::receiveAppendReply(const Message &message, const AppendReply &reply)
{
    if (role_ != ReplicaRole::Leader || message.term != hardState_.term) {
        return;
    }
    const auto it = progress_.find(message.from);
    if (it == progress_.end()) {
        return;
    }
    Progress &progress = it->second;
    progress.lastAck = std::max(progress.lastAck, fromWire(reply.sentAt));
    const Member *member = membership().find(message.from);
    if (!reply.accepted) {
        // Each index is probed once, by one message to this member. An answer to every repeated or
        // reordered refusal would make the number of messages grow without bound.
        const bool isCurrent = progress.isProbing ? reply.previous == previous(progress.next)
                                                  : reply.previous > progress.match;
        if (member != nullptr && isCurrent) {
            progress.isProbing = true;
            progress.next =
                std::max(next(progress.match), next(std::min(reply.index, lastIndex())));
            replicateTo(*member);
        }
        return;
    }
    if (reply.index > progress.match) {
        progress.match = std::min(reply.index, lastIndex());
        progress.snapshotSentAt = {};
        progress.next = std::max(progress.next, next(progress.match));
    }
    if (progress.isProbing) {
        progress.isProbing = false;
        progress.next = next(progress.match);
    }
    // Entries appended meanwhile go to all members with the next Ready, one message each.
    if (member != nullptr && progress.next <= lastIndex() && !isReplicationDue_) {
        replicateTo(*member);
    }
    advanceCommit();
}

void Consensus::broadcast()
{
    isReplicationDue_ = false;
    nextHeartbeat_ = now_ + settings_.heartbeat;
    for (const Member &member : membership().members) {
        if (member.id != self_) {
            replicateTo(member);
        }
    }
    std::erase_if(progress_, [this](const std::pair<const ReplicaId, Progress> &tracked) {
        return membership().find(tracked.first) == nullptr;
    });
}

/// Returns false for a member that is being probed or has not answered recently. It gets messages
/// without entries, as entries that it cannot take in would queue up and delay the probes.
bool Consensus::shouldSendEntries(const Progress &progress) const
{
    constexpr int maxMissedHeartbeats = 4;
    return !progress.isProbing
        && now_ - progress.lastAck <= maxMissedHeartbeats * settings_.heartbeat;
}

void Consensus::replicateTo(const Member &member)
{
    const auto [it, isNew] =
        progress_.try_emplace(member.id, Progress {.next = next(lastIndex()), .match = {}});
    Progress &progress = it->second;
    if (progress.next <= snapshotIndex()) {
        sendSnapshot(member.id, progress);
        return;
    }
    AppendRequest request;
    request.previousIndex = previous(progress.next);
    request.previousTerm = termAt(request.previousIndex);
    request.commit = commit_;
    request.sentAt = toWire(now_);
    if (shouldSendEntries(progress)) {
        request.entries = entriesFrom(progress.next);
        progress.next = LogIndex {progress.next.value() + request.entries.size()};
    }
    send(member.id, std::move(request));
}

void Consensus::sendSnapshot(ReplicaId to, Progress &progress)
{
    if (progress.snapshotSentAt != MonotonicTime {}
        && now_ - progress.snapshotSentAt < settings_.snapshotResendInterval) {
        return;
    }
    progress.snapshotSentAt = now_;
    send(to, InstallRequest {snapshot_, toWire(now_)});
}

std::vector<LogEntry> Consensus::entriesFrom(LogIndex first) const
{
    std::vector<LogEntry> entries;
    std::uint64_t bytes = 0;
    for (LogIndex index = first; index <= lastIndex(); index = next(index)) {
        const LogEntry &entry = entryAt(index);
        bytes += entry.payload.size() + sizeof(LogEntry);
        if (!entries.empty() && bytes > settings_.maxAppendBytes.value()) {
            break;
        }
        entries.push_back(entry);
    }
    return entries;
}

void Consensus::advanceCommit()
{
    std::vector<LogIndex> matches;
    for (const Member &member : membership().members) {
        if (member.role != MemberRole::Voter) {
            continue;
        }
        if (member.id == self_) {
            matches.push_back(persisted_);
            continue;
        }
        const auto it = progress_.find(member.id);
        matches.push_back(it == progress_.end() ? LogIndex {} : it->second.match);
    }
    if (matches.empty()) {
        return;
    }
    std::sort(matches.begin(), matches.end(), std::greater<>());
    const LogIndex quorumMatch = matches[membership().quorum() - 1];
    // Only an entry of the current term commits by counting replicas; older ones commit with it.
    if (quorumMatch > commit_ && termAt(quorumMatch) == hardState_.term) {
        commit_ = quorumMatch;
        if (!membershipAt(commit_).isVoter(self_)) {
            becomeFollower(hardState_.term, ReplicaId {});
        }
    }
}

void Consensus::compact(SnapshotPtr snapshot)
{
    if (snapshot->index <= snapshotIndex() || snapshot->index > applied_) {
        return;
    }
    const LogIndex upTo = snapshot->index;
    while (!log_.empty() && log_.front().index <= upTo) {
        log_.pop_front();
    }
    const Membership atSnapshot = membershipAt(upTo);
    memberships_.erase(memberships_.begin(), memberships_.upper_bound(upTo));
    memberships_[upTo] = atSnapshot;
    snapshot_ = std::move(snapshot);
}

Result<void> Consensus::checkMembershipChangeAllowed() const
{
    if (role_ != ReplicaRole::Leader) {
        return ConsensusError::NotLeader;
    }
    if (termAt(commit_) != hardState_.term || memberships_.rbegin()->first > commit_) {
        return ConsensusError::ChangeInProgress;
    }
    return success();
}

Result<LogIndex> Consensus::changeMembership(const Membership &changed)
{
    if (changed.voterCount() == 0) {
        return ConsensusError::TooFewVoters;
    }
    return append(EntryKind::Membership, encodeMembership(changed));
}

Result<LogIndex> Consensus::addLearner(const Member &member)
{
    BOOST_OUTCOME_TRY(checkMembershipChangeAllowed());
    if (membership().find(member.id) != nullptr) {
        return ConsensusError::AlreadyMember;
    }
    Membership changed = membership();
    changed.members.push_back(member);
    changed.members.back().role = MemberRole::Learner;
    return changeMembership(changed);
}

Result<LogIndex> Consensus::promoteLearner(ReplicaId id)
{
    BOOST_OUTCOME_TRY(checkMembershipChangeAllowed());
    Membership changed = membership();
    for (Member &member : changed.members) {
        if (member.id == id && member.role == MemberRole::Learner) {
            member.role = MemberRole::Voter;
            return changeMembership(changed);
        }
    }
    return ConsensusError::NoSuchMember;
}

Result<LogIndex> Consensus::removeMember(ReplicaId id)
{
    BOOST_OUTCOME_TRY(checkMembershipChangeAllowed());
    Membership changed = membership();
    const std::size_t removed =
        std::erase_if(changed.members, [id](const Member &member) { return member.id == id; });
    if (removed == 0) {
        return ConsensusError::NoSuchMember;
    }
    return changeMembership(changed);
}

} // namespace crocusmill
