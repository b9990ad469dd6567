/// Replicas of the consensus core on a network that drops, repeats and reorders, with disks that
/// keep what was synced.

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

/// What one replica has on its disk.
struct Disk
{
    HardState hard;
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

    void install(const SnapshotPtr &taken)
    {
        snapshot = taken;
        std::erase_if(
            entries, [&taken](const LogEntry &entry) { return entry.index <= taken->index; });
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
            founding_.members.push_back(
                {id, VmId {"vm-" + std::to_string(i + 1)}, {}, MemberRole::Voter});
        }
        for (const Member &member : founding_.members) {
            Disk &disk = disks_[member.id];
            disk.hard.term = Term {1};
            disk.snapshot =
                std::make_shared<const Snapshot>(Snapshot {LogIndex {1}, Term {1}, founding_, {}});
            boot(member.id);
        }
    }

    void boot(ReplicaId id)
    {
        const Disk &disk = disks_[id];
        replicas_[id] = std::make_unique<Consensus>(
            id, settings_, StoredState {disk.hard, disk.snapshot, disk.entries}, random_(), now_);
        applied_[id] = disk.snapshot ? disk.snapshot->index : LogIndex {};
    }

    /// A blank disk under a new identity.
    void bootBlank(ReplicaId id)
    {
        disks_[id] = Disk {};
        boot(id);
    }

    void crash(ReplicaId id)
    {
        replicas_.erase(id);
    }

    void cut(ReplicaId id, bool isCut)
    {
        if (isCut) {
            cut_.insert(id);
        } else {
            cut_.erase(id);
        }
    }

    void advance(Milliseconds time)
    {
        now_ += time;
        for (const std::pair<const ReplicaId, std::unique_ptr<Consensus>> &known : replicas_) {
            known.second->tick(now_);
        }
        settle();
    }

    /// Delivers some of the messages under way, in any order, some twice, some never.
    void deliver(std::size_t most, unsigned int dropPercent)
    {
        for (std::size_t i = 0; i < most && !wire_.empty(); ++i) {
            const std::size_t at = random_() % wire_.size();
            const Message message = wire_[at];
            const bool repeats = random_() % 100 < dropPercent / 2;
            if (!repeats) {
                wire_.erase(wire_.begin() + static_cast<std::ptrdiff_t>(at));
            }
            const bool drops = random_() % 100 < dropPercent;
            const bool isCut = cut_.contains(message.from) || cut_.contains(message.to);
            const auto to = replicas_.find(message.to);
            if (!drops && !isCut && to != replicas_.end()) {
                to->second->receive(message, now_);
                settle();
            }
        }
    }

    void runFor(Milliseconds time)
    {
        constexpr Milliseconds step {10};
        for (Milliseconds passed {0}; passed < time; passed += step) {
            advance(step);
            for (int round = 0; round < 4; ++round) {
                deliver(wire_.size(), 0);
            }
        }
    }

    Consensus *leader()
    {
        Consensus *best = nullptr;
        for (const std::pair<const ReplicaId, std::unique_ptr<Consensus>> &known : replicas_) {
            Consensus *replica = known.second.get();
            const bool leads = replica->isLeader() && !cut_.contains(known.first);
            if (leads && (best == nullptr || replica->term() > best->term())) {
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

    /// Does what the replicas ask: store, send, apply.
    void settle()
    {
        for (const std::pair<const ReplicaId, std::unique_ptr<Consensus>> &known : replicas_) {
            Consensus &replica = *known.second;
            for (Ready ready = replica.takeReady(); !ready.empty(); ready = replica.takeReady()) {
                store(known.first, replica, ready);
                for (const Message &message : ready.send) {
                    bytesTo_[message.to] += payloadBytes(message);
                    wire_.push_back(message);
                }
                for (const LogEntry &entry : ready.apply) {
                    apply(known.first, entry);
                }
            }
        }
    }

    /// The one history that all replicas must agree on: the obviously right version.
    const std::map<LogIndex, LogEntry> &history() const
    {
        return history_;
    }

    bool agreed() const
    {
        return agreed_;
    }

    /// Two leaders that both believed in their lease at one moment.
    std::size_t leaseHolders() const
    {
        return static_cast<std::size_t>(std::count_if(replicas_.begin(), replicas_.end(),
            [this](const std::pair<const ReplicaId, std::unique_ptr<Consensus>> &known) {
                return known.second->holdsLease(now_);
            }));
    }

    MonotonicTime now() const
    {
        return now_;
    }

    /// Payload of all entries that were sent to a replica, delivered or not.
    std::uint64_t bytesTo(ReplicaId id) const
    {
        const auto found = bytesTo_.find(id);
        return found == bytesTo_.end() ? 0 : found->second;
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
        if (ready.hard) {
            disk.hard = *ready.hard;
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
        agreed_ = agreed_ && entry.index == next(applied_[id]);
        applied_[id] = entry.index;
        const auto [known, isNew] = history_.try_emplace(entry.index, entry);
        agreed_ = agreed_ && (isNew || known->second == entry);
    }

    std::mt19937_64 random_;
    ConsensusSettings settings_;
    MonotonicTime now_ {std::chrono::hours {1}};
    Membership founding_;
    std::map<ReplicaId, Disk> disks_;
    std::map<ReplicaId, std::unique_ptr<Consensus>> replicas_;
    std::map<ReplicaId, LogIndex> applied_;
    std::set<ReplicaId> cut_;
    std::vector<Message> wire_;
    std::map<ReplicaId, std::uint64_t> bytesTo_;
    std::map<LogIndex, LogEntry> history_;
    bool agreed_ = true;
};

} // namespace crocusmill::fakes
