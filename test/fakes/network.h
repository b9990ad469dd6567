/// Simulated replicas of the consensus core. The network drops, repeats and reorders messages; the
/// disks keep what was synced.

#pragma once

#include <crocusmill/consensus.h>

#include <algorithm>
#include <deque>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace crocusmill::fakes
{

/// State on one replica's disk.
struct Disk
{
    HardState hardState;
    SnapshotPtr snapshot;
    std::vector<LogEntry> entries;

    void append(const std::vector<LogEntry> &added)
    {
        for (const LogEntry &entry : added) {
            while (!entries.empty() && entries.back().index >= entry.index) {
                entries.pop_back();
            }
            entries.push_back(entry);
        }
    }

    void install(const SnapshotPtr &installed)
    {
        snapshot = installed;
        std::erase_if(entries,
            [&installed](const LogEntry &entry) { return entry.index <= installed->index; });
    }
};

class Network
{
public:
    Network(std::size_t voters, std::uint64_t seed, const ConsensusSettings &settings = {})
        : random_(seed)
        , settings_(settings)
    {
        for (std::size_t i = 0; i < voters; ++i) {
            const ReplicaId id {i + 1};
            initialMembership_.members.push_back(
                {id, VmId {"vm-" + std::to_string(i + 1)}, {}, MemberRole::Voter});
        }
        for (const Member &member : initialMembership_.members) {
            Disk &disk = disks_[member.id];
            disk.hardState.term = Term {1};
            disk.snapshot = std::make_shared<const Snapshot>(
                Snapshot {LogIndex {1}, Term {1}, initialMembership_, {}});
            boot(member.id);
        }
    }

    void boot(ReplicaId id)
    {
        const Disk &disk = disks_[id];
        replicas_[id] = std::make_unique<Consensus>(id, settings_,
            StoredState {disk.hardState, disk.snapshot, disk.entries}, random_(), now_);
        applied_[id] = disk.snapshot ? disk.snapshot->index : LogIndex {};
    }

    /// Starts a replica with an empty disk under a new identity.
    void bootWithEmptyDisk(ReplicaId id)
    {
        disks_[id] = Disk {};
        boot(id);
    }

    void crash(ReplicaId id)
    {
        replicas_.erase(id);
    }

    void setPartitioned(ReplicaId id, bool isPartitioned)
    {
        if (isPartitioned) {
            partitioned_.insert(id);
        } else {
            partitioned_.erase(id);
        }
    }

    void advance(Milliseconds time)
    {
        now_ += time;
        for (const std::pair<const ReplicaId, std::unique_ptr<Consensus>> &item : replicas_) {
            item.second->tick(now_);
        }
        processReady();
    }

    /// Delivers at most `maxMessages` messages in random order; drops some and repeats some.
    void deliver(std::size_t maxMessages, unsigned int dropPercent)
    {
        for (std::size_t i = 0; i < maxMessages && !inFlight_.empty(); ++i) {
            const std::size_t at = random_() % inFlight_.size();
            const Message message = inFlight_[at];
            const bool repeats = random_() % 100 < dropPercent / 2;
            if (!repeats) {
                inFlight_.erase(inFlight_.begin() + static_cast<std::ptrdiff_t>(at));
            }
            const bool drops = random_() % 100 < dropPercent;
            const bool isPartitioned =
                partitioned_.contains(message.from) || partitioned_.contains(message.to);
            const auto to = replicas_.find(message.to);
            if (!drops && !isPartitioned && to != replicas_.end()) {
                to->second->receive(message, now_);
                processReady();
            }
        }
    }

    void runFor(Milliseconds time)
    {
        constexpr Milliseconds step {10};
        for (Milliseconds passed {0}; passed < time; passed += step) {
            advance(step);
            for (int round = 0; round < 4; ++round) {
                deliver(inFlight_.size(), 0);
            }
        }
    }

    Consensus *leader()
    {
        Consensus *best = nullptr;
        for (const std::pair<const ReplicaId, std::unique_ptr<Consensus>> &item : replicas_) {
            Consensus *replica = item.second.get();
            const bool isReachableLeader =
                replica->isLeader() && !partitioned_.contains(item.first);
            if (isReachableLeader && (best == nullptr || replica->term() > best->term())) {
                best = replica;
            }
        }
        return best;
    }

    Consensus &at(ReplicaId id)
    {
        return *replicas_.at(id);
    }

    bool isUp(ReplicaId id) const
    {
        return replicas_.contains(id);
    }

    void compact(ReplicaId id)
    {
        Consensus &replica = at(id);
        const LogIndex index = replica.appliedIndex();
        if (index <= replica.snapshotIndex()) {
            return;
        }
        const SnapshotPtr snapshot = std::make_shared<const Snapshot>(
            Snapshot {index, replica.termAt(index), replica.membershipAt(index), {}});
        replica.compact(snapshot);
        disks_[id].install(snapshot);
    }

    /// Processes the output of all replicas: stores, sends and applies.
    void processReady()
    {
        for (const std::pair<const ReplicaId, std::unique_ptr<Consensus>> &item : replicas_) {
            Consensus &replica = *item.second;
            for (Ready ready = replica.takeReady(); !ready.empty(); ready = replica.takeReady()) {
                store(item.first, replica, ready);
                for (const Message &message : ready.send) {
                    payloadBytesSentTo_[message.to] += payloadBytes(message);
                    inFlight_.push_back(message);
                }
                for (const LogEntry &entry : ready.apply) {
                    apply(item.first, entry);
                }
            }
        }
    }

    /// Returns the reference history, which all replicas must apply.
    const std::map<LogIndex, LogEntry> &history() const
    {
        return history_;
    }

    bool isConsistent() const
    {
        return isConsistent_;
    }

    /// Returns the number of replicas that now hold a lease.
    std::size_t leaseHolderCount() const
    {
        return static_cast<std::size_t>(std::count_if(replicas_.begin(), replicas_.end(),
            [this](const std::pair<const ReplicaId, std::unique_ptr<Consensus>> &item) {
                return item.second->holdsLease(now_);
            }));
    }

    MonotonicTime now() const
    {
        return now_;
    }

    /// Returns the payload size of all entries sent to a replica, delivered or not.
    std::uint64_t payloadBytesSentTo(ReplicaId id) const
    {
        const auto it = payloadBytesSentTo_.find(id);
        return it == payloadBytesSentTo_.end() ? 0 : it->second;
    }

private:
    static std::uint64_t payloadBytes(const Message &message)
    {
        std::uint64_t bytes = 0;
        if (const AppendRequest *append = std::get_if<AppendRequest>(&message.body)) {
            for (const LogEntry &entry : append->entries) {
                bytes += entry.payload.size();
            }
        }
        return bytes;
    }

    void store(ReplicaId id, Consensus &replica, const Ready &ready)
    {
        Disk &disk = disks_[id];
        if (ready.hardState) {
            disk.hardState = *ready.hardState;
        }
        if (ready.install) {
            disk.entries.clear();
            disk.install(ready.install);
            applied_[id] = ready.install->index;
        }
        disk.append(ready.append);
        if (!ready.append.empty()) {
            replica.persisted(ready.append.back().index, ready.append.back().term);
        }
    }

    void apply(ReplicaId id, const LogEntry &entry)
    {
        isConsistent_ = isConsistent_ && entry.index == next(applied_[id]);
        applied_[id] = entry.index;
        const auto [item, isNew] = history_.try_emplace(entry.index, entry);
        isConsistent_ = isConsistent_ && (isNew || item->second == entry);
    }

    std::mt19937_64 random_;
    ConsensusSettings settings_;
    MonotonicTime now_ {std::chrono::hours {1}};
    Membership initialMembership_;
    std::map<ReplicaId, Disk> disks_;
    std::map<ReplicaId, std::unique_ptr<Consensus>> replicas_;
    std::map<ReplicaId, LogIndex> applied_;
    std::set<ReplicaId> partitioned_;
    std::vector<Message> inFlight_;
    std::map<ReplicaId, std::uint64_t> payloadBytesSentTo_;
    std::map<LogIndex, LogEntry> history_;
    bool isConsistent_ = true;
};

} // namespace crocusmill::fakes
