/// Runs the consensus core: stores, sends and applies what it says.

#include "src/services/journalservice.h"

#include "src/net/clock.h"
#include "src/net/log.h"
#include "src/net/peerstream.h"
#include "src/services/founding.h"
#include "src/services/proposals.h"
#include "src/services/replicarepair.h"
#include "src/services/snapshotmaker.h"

#include <boost/asio/thread_pool.hpp>

#include <random>

namespace crocusmill
{

namespace
{

constexpr Milliseconds tickInterval {10};
constexpr Milliseconds proposeLimit {5'000};
/// A record that is stored so late delays every commit behind it.
constexpr Milliseconds notableStore {100};

std::size_t voterTarget(const Settings &settings)
{
    const std::size_t asked = settings.state ? settings.state->voters : 0;
    return asked > 0 ? asked : settings.peers.voters.size();
}

class JournalService final : public Service, public Journal
{
public:
    JournalService(asio::io_context &control, const Settings &settings, Metrics &metrics,
        std::unique_ptr<Storage> storage, std::function<void()> stopProcess)
        : control_(control)
        , settings_(settings)
        , metrics_(metrics)
        , stopProcess_(std::move(stopProcess))
        , storage_(std::move(storage))
        , tick_(control)
        , repair_(
              voterTarget(settings), settings.state.value_or(StateSettings {}).replacementTimeout)
    {
    }

    std::string_view name() const override
    {
        return names::journal;
    }

    std::vector<std::string_view> dependencies() const override
    {
        return {names::peers};
    }

    Result<void> start(Kernel &kernel) override
    {
        peers_ = kernel.find<Peers>(names::peers);
        if (!storage_) {
            return success();
        }
        BOOST_OUTCOME_TRY(StoredState stored, storage_->load());
        if (stored.snapshot) {
            BOOST_OUTCOME_TRY(state_.restore(stored.snapshot->data));
        }
        hard_ = stored.hardState;
        std::random_device random;
        const std::uint64_t seed = (std::uint64_t {random()} << 32U) ^ random();
        consensus_ = std::make_unique<Consensus>(storage_->identity(), settings_.times.consensus,
            std::move(stored), seed, monotonicNow());
        logInfo("journal.opened",
            {{"replica", storage_->identity().value()},
                {"last_index", consensus_->lastIndex().value()}, {"formed", isFormed()}});
        snapshots_ = std::make_unique<SnapshotMaker>(
            control_, *storage_, [this](const Result<void> &outcome) { prepared(outcome); });
        peers_->onMessage([this](const Message &message) { receive(message); });
        scheduleTick();
        founding_ = std::make_unique<Founding>(control_, settings_, *peers_, *this);
        founding_->begin();
        return success();
    }

    void stop() override
    {
        tick_.cancel();
        if (founding_) {
            founding_->stop();
        }
        if (snapshots_) {
            snapshots_->stop();
        }
        storageThread_.join();
        proposals_.failAll(PeerError::Stopping);
    }

    void propose(const Command &command, ProposeHandler done) override
    {
        if (!consensus_) {
            done(ConsensusError::NotLeader);
            return;
        }
        const Result<LogIndex> index = consensus_->propose(encodeCommand(command));
        if (!index) {
            done(index.error());
            return;
        }
        proposals_.add(
            index.value(), consensus_->term(), monotonicNow() + proposeLimit, std::move(done));
        scheduleStep();
    }

    bool isLeading() const override
    {
        return consensus_ && consensus_->isReadyLeader() && consensus_->holdsLease(monotonicNow());
    }

    bool isFormed() const override
    {
        return consensus_ && !consensus_->membership().members.empty();
    }

    std::optional<NodeAddress> leader() const override
    {
        if (!consensus_) {
            return std::nullopt;
        }
        const Member *member = consensus_->membership().find(consensus_->leader());
        if (member == nullptr) {
            return std::nullopt;
        }
        return member->address;
    }

    const StateMachine &state() const override
    {
        return state_;
    }

    const Consensus *consensus() const override
    {
        return consensus_.get();
    }

    HelloReply hello() const override
    {
        HelloReply reply;
        reply.vm = settings_.vm;
        if (consensus_) {
            reply.replica = consensus_->self();
            reply.formed = isFormed();
            reply.leader = leader();
            reply.membership = consensus_->membership();
        }
        return reply;
    }

    /// The first entry of the log, the same on every founding member, states the membership.
    bool form(const Membership &membership) override
    {
        if (!consensus_ || storing_ || membership.find(consensus_->self()) == nullptr) {
            return false;
        }
        if (isFormed() || consensus_->lastIndex() != LogIndex {}) {
            return consensus_->membershipAt(LogIndex {}) == membership
                || consensus_->membership() == membership;
        }
        const Snapshot founding {LogIndex {1}, Term {1}, membership, state_.snapshot()};
        const HardState hard {Term {1}, ReplicaId {}};
        if (!storage_->saveSnapshot(founding, hard, {})) {
            fail(StorageError::CannotWrite);
            return false;
        }
        StoredState stored;
        stored.hardState = hard;
        stored.snapshot = std::make_shared<const Snapshot>(founding);
        hard_ = hard;
        consensus_ = std::make_unique<Consensus>(storage_->identity(), settings_.times.consensus,
            std::move(stored), storage_->identity().value(), monotonicNow());
        logInfo("journal.formed", {{"members", std::uint64_t {membership.members.size()}}});
        return true;
    }

    void offerReplica(const VmId &vm, ReplicaId replica, const NodeAddress &address) override
    {
        if (isLeading()) {
            repair_.offer({replica, vm, address, MemberRole::Learner}, consensus_->membership(),
                monotonicNow());
        }
    }

    Result<void> replace(const VmId &vm) override
    {
        if (!isLeading()) {
            return ConsensusError::NotLeader;
        }
        const Member *member = consensus_->membership().findVm(vm);
        if (member == nullptr) {
            return ConsensusError::NoSuchMember;
        }
        BOOST_OUTCOME_TRY(consensus_->removeMember(member->id));
        scheduleStep();
        return success();
    }

private:
    void receive(const Message &message)
    {
        consensus_->receive(message, monotonicNow());
        scheduleStep();
    }

    /// Inputs that arrive together are stored with one sync.
    void scheduleStep()
    {
        if (stepScheduled_) {
            return;
        }
        stepScheduled_ = true;
        asio::post(control_, [this]() {
            stepScheduled_ = false;
            step();
        });
    }

    /// One Ready at a time: it is stored on the storage thread, so that a slow disk holds up
    /// neither beats nor dispatching, and what arrives meanwhile is stored together after it.
    void step()
    {
        if (failed_ || storing_) {
            return;
        }
        const std::shared_ptr<Ready> ready = std::make_shared<Ready>(consensus_->takeReady());
        if (ready->hardState) {
            hard_ = *ready->hardState;
        }
        if (!ready->mustSync()) {
            finishStep(*ready);
            return;
        }
        storing_ = true;
        store(
            [storage = storage_.get(), ready, hard = hard_]() {
                return ready->install ? storage->saveSnapshot(*ready->install, hard, ready->append)
                                      : storage->append(ready->hardState, ready->append);
            },
            [this, ready]() { stored(*ready); });
    }

    /// Runs `work` on the storage thread and, when it succeeded, `done` on the control thread.
    void store(std::function<Result<void>()> work, std::function<void()> done)
    {
        const MonotonicTime asked = monotonicNow();
        asio::post(storageThread_, [this, asked, work = std::move(work), done = std::move(done)]() {
            const MonotonicTime began = monotonicNow();
            const Result<void> outcome = work();
            const MonotonicTime ended = monotonicNow();
            asio::post(control_, [this, asked, began, ended, outcome, done]() {
                storing_ = false;
                noteStored(asked, began, ended);
                if (!outcome) {
                    fail(outcome.error());
                    return;
                }
                done();
            });
        });
    }

    /// Waiting for the storage thread, its work, and until the control thread knew of it.
    void noteStored(MonotonicTime asked, MonotonicTime began, MonotonicTime ended)
    {
        const MonotonicTime now = monotonicNow();
        metrics_.observe(
            {"journal_store_seconds", ""}, std::chrono::duration_cast<Microseconds>(now - asked));
        if (now - asked < notableStore) {
            return;
        }
        const std::function<std::uint64_t(MonotonicTime, MonotonicTime)> between =
            [](MonotonicTime from, MonotonicTime to) {
                return static_cast<std::uint64_t>(
                    std::chrono::duration_cast<Milliseconds>(to - from).count());
            };
        logWarning("journal.store_late",
            {{"waited_ms", between(asked, began)}, {"wrote_ms", between(began, ended)},
                {"returned_ms", between(ended, now)}});
    }

    void stored(const Ready &ready)
    {
        if (ready.install) {
            const Result<void> restored = state_.restore(ready.install->data);
            if (!restored) {
                fail(restored.error());
                return;
            }
        }
        if (!ready.append.empty()) {
            consensus_->persisted(ready.append.back().index, ready.append.back().term);
        }
        finishStep(ready);
        step();
    }

    void finishStep(const Ready &ready)
    {
        for (const Message &message : ready.send) {
            sendTo(message);
        }
        for (const LogEntry &entry : ready.apply) {
            apply(entry);
        }
        proposals_.expire(monotonicNow());
        putInForce();
        maybeSnapshot();
    }

    void fail(const std::error_code &error)
    {
        // What could not be stored was not promised either: the replica falls silent. A full disk
        // may have room again later; whoever watches the process starts it anew, and what the
        // folder holds is read again.
        if (failed_) {
            return;
        }
        failed_ = true;
        stopProcess_();
        logError("journal.failed", {{"error", error}});
        proposals_.failAll(error);
    }

    void sendTo(const Message &message)
    {
        const Member *member = consensus_->membership().find(message.to);
        if (member != nullptr) {
            peers_->deliver(member->address, message);
            return;
        }
        // A member that this replica has no membership for yet.
        const std::optional<NodeAddress> known = founding_->addressOf(message.to);
        if (known) {
            peers_->deliver(*known, message);
        }
    }

    void apply(const LogEntry &entry)
    {
        ApplyReply reply;
        if (entry.kind == EntryKind::Command) {
            reply = state_.applyEncoded(entry.payload, entry.index);
        }
        proposals_.applied(entry, reply);
    }

    void maybeSnapshot()
    {
        const std::uint64_t since =
            consensus_->appliedIndex().value() - consensus_->snapshotIndex().value();
        if (snapshots_->busy() || since < settings_.state->snapshotEntries) {
            return;
        }
        const LogIndex index = consensus_->appliedIndex();
        snapshots_->begin({index, consensus_->termAt(index), consensus_->membershipAt(index), {}},
            state_.image());
    }

    void prepared(const Result<void> &outcome)
    {
        if (!outcome) {
            fail(outcome.error());
            return;
        }
        putInForce();
    }

    /// The snapshot that was prepared meanwhile, once the storage thread is free.
    void putInForce()
    {
        if (storing_ || failed_) {
            return;
        }
        const SnapshotPtr snapshot = snapshots_->take();
        // A newer one may have come from the leader meanwhile.
        if (!snapshot || snapshot->index <= consensus_->snapshotIndex()) {
            return;
        }
        consensus_->compact(snapshot);
        storing_ = true;
        store(
            [storage = storage_.get(), snapshot, hard = hard_,
                after = consensus_->entriesAfterSnapshot()]() {
                return storage->saveSnapshot(*snapshot, hard, after);
            },
            [this, snapshot]() {
                logInfo("journal.snapshot",
                    {{"index", snapshot->index.value()},
                        {"bytes", std::uint64_t {snapshot->data.size()}}});
                step();
            });
    }

    void scheduleTick()
    {
        tick_.expires_after(tickInterval);
        tick_.async_wait([this](const boost::system::error_code &error) {
            if (error) {
                return;
            }
            consensus_->tick(monotonicNow());
            logLeadership();
            step();
            repair();
            scheduleTick();
        });
    }

    void logLeadership()
    {
        if (consensus_->isLeader() == wasLeader_) {
            return;
        }
        wasLeader_ = consensus_->isLeader();
        logInfo(wasLeader_ ? "journal.leading" : "journal.following",
            {{"term", consensus_->term().value()}});
    }

    void repair()
    {
        if (!isLeading()) {
            repair_.forget();
        } else if (repair_.step(*consensus_, monotonicNow())) {
            scheduleStep();
        }
    }

    asio::io_context &control_;
    Settings settings_;
    Metrics &metrics_;
    std::function<void()> stopProcess_;
    std::unique_ptr<Storage> storage_;
    std::unique_ptr<Consensus> consensus_;
    StateMachine state_;
    Peers *peers_ = nullptr;
    HardState hard_;
    bool failed_ = false;
    bool wasLeader_ = false;
    bool stepScheduled_ = false;
    // Invariant: at most one piece of work is on the storage thread.
    bool storing_ = false;
    asio::thread_pool storageThread_ {1};
    std::unique_ptr<SnapshotMaker> snapshots_;
    Proposals proposals_;
    asio::steady_timer tick_;
    ReplicaRepair repair_;
    std::unique_ptr<Founding> founding_;
};

} // namespace

std::unique_ptr<Service> makeJournalService(asio::io_context &control, const Settings &settings,
    Metrics &metrics, std::unique_ptr<Storage> storage, std::function<void()> stopProcess)
{
    return std::make_unique<JournalService>(
        control, settings, metrics, std::move(storage), std::move(stopProcess));
}

} // namespace crocusmill
