/// Drives the consensus core: stores, sends and applies its output.

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
constexpr Milliseconds proposeTimeout {5'000};
/// A slower store is logged, because it delays every later commit.
constexpr Milliseconds lateStoreThreshold {100};

std::size_t desiredVoterCount(const Settings &settings)
{
    const std::size_t configuredCount = settings.state ? settings.state->voters : 0;
    return configuredCount > 0 ? configuredCount : settings.peers.voters.size();
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
        , tickTimer_(control)
        , repair_(desiredVoterCount(settings),
              settings.state.value_or(StateSettings {}).replacementTimeout)
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
        const MonotonicTime loadStartedAt = monotonicNow();
        BOOST_OUTCOME_TRY(StoredState stored, storage_->load());
        const MonotonicTime restoreStartedAt = monotonicNow();
        if (stored.snapshot) {
            BOOST_OUTCOME_TRY(state_.restore(stored.snapshot->data));
        }
        const MonotonicTime restoredAt = monotonicNow();
        const std::size_t snapshotBytes = stored.snapshot ? stored.snapshot->data.size() : 0;
        const std::size_t entryCount = stored.entries.size();
        hardState_ = stored.hardState;
        std::random_device random;
        const std::uint64_t seed = (std::uint64_t {random()} << 32U) ^ random();
        consensus_ = std::make_unique<Consensus>(storage_->identity(), settings_.times.consensus,
            std::move(stored), seed, suspendAwareNow());
        logInfo("journal.opened",
            {{"replica", storage_->identity().value()},
                {"last_index", consensus_->lastIndex().value()}, {"formed", isFormed()},
                {"snapshot_index", consensus_->snapshotIndex().value()},
                {"snapshot_bytes", std::uint64_t {snapshotBytes}},
                {"entries", std::uint64_t {entryCount}},
                {"load_ms", elapsedMs(loadStartedAt, restoreStartedAt)},
                {"restore_ms", elapsedMs(restoreStartedAt, restoredAt)},
                {"process_ms", elapsedMs(processStartedAt, restoredAt)}});
        snapshots_ = std::make_unique<SnapshotMaker>(control_, *storage_,
            [this](const Result<void> &outcome) { onSnapshotPrepared(outcome); });
        peers_->onMessage([this](const Message &message) { receive(message); });
        scheduleTick();
        founding_ = std::make_unique<Founding>(control_, settings_, *peers_, *this);
        founding_->start();
        return success();
    }

    void stop() override
    {
        tickTimer_.cancel();
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
            index.value(), consensus_->term(), monotonicNow() + proposeTimeout, std::move(done));
        scheduleStep();
    }

    bool isLeading() const override
    {
        return consensus_ && consensus_->isReadyLeader()
            && consensus_->holdsLease(suspendAwareNow());
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

    /// Writes an initial snapshot with the membership, identical on every founding member.
    bool form(const Membership &membership) override
    {
        if (!consensus_ || isStoring_ || membership.find(consensus_->self()) == nullptr) {
            return false;
        }
        if (isFormed() || consensus_->lastIndex() != LogIndex {}) {
            return consensus_->membershipAt(LogIndex {}) == membership
                || consensus_->membership() == membership;
        }
        const Snapshot initialSnapshot {LogIndex {1}, Term {1}, membership, state_.snapshot()};
        const HardState hardState {Term {1}, ReplicaId {}};
        if (!storage_->saveSnapshot(initialSnapshot, hardState, {})) {
            fail(StorageError::CannotWrite);
            return false;
        }
        StoredState stored;
        stored.hardState = hardState;
        stored.snapshot = std::make_shared<const Snapshot>(initialSnapshot);
        hardState_ = hardState;
        consensus_ = std::make_unique<Consensus>(storage_->identity(), settings_.times.consensus,
            std::move(stored), storage_->identity().value(), suspendAwareNow());
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
        consensus_->receive(message, suspendAwareNow());
        scheduleStep();
    }

    /// Schedules one step for all inputs that arrive together, so that they share one sync.
    void scheduleStep()
    {
        if (isStepScheduled_) {
            return;
        }
        isStepScheduled_ = true;
        asio::post(control_, [this]() {
            isStepScheduled_ = false;
            step();
        });
    }

    /// Processes one Ready at a time. The storage thread stores it, so that a slow disk delays
    /// neither heartbeats nor dispatching. Inputs that arrive meanwhile are stored together next.
    void step()
    {
        if (hasFailed_ || isStoring_) {
            return;
        }
        const std::shared_ptr<Ready> ready = std::make_shared<Ready>(consensus_->takeReady());
        if (ready->hardState) {
            hardState_ = *ready->hardState;
        }
        if (!ready->mustSync()) {
            finishStep(*ready);
            return;
        }
        isStoring_ = true;
        store(
            [storage = storage_.get(), ready, hardState = hardState_]() {
                return ready->install
                    ? storage->saveSnapshot(*ready->install, hardState, ready->append)
                    : storage->append(ready->hardState, ready->append);
            },
            [this, ready]() { onStored(*ready); });
    }

    /// Runs `work` on the storage thread and, on success, `done` on the control thread.
    void store(std::function<Result<void>()> work, std::function<void()> done)
    {
        const MonotonicTime requestedAt = monotonicNow();
        asio::post(
            storageThread_, [this, requestedAt, work = std::move(work), done = std::move(done)]() {
                const MonotonicTime startedAt = monotonicNow();
                const Result<void> outcome = work();
                const MonotonicTime finishedAt = monotonicNow();
                asio::post(control_, [this, requestedAt, startedAt, finishedAt, outcome, done]() {
                    isStoring_ = false;
                    recordStoreLatency(requestedAt, startedAt, finishedAt);
                    if (!outcome) {
                        fail(outcome.error());
                        return;
                    }
                    done();
                });
            });
    }

    /// Logs a slow store by its parts: the wait for the storage thread, the write, and the return
    /// to the control thread.
    void recordStoreLatency(
        MonotonicTime requestedAt, MonotonicTime startedAt, MonotonicTime finishedAt)
    {
        const MonotonicTime now = monotonicNow();
        metrics_.observe({"journal_store_seconds", ""},
            std::chrono::duration_cast<Microseconds>(now - requestedAt));
        if (now - requestedAt < lateStoreThreshold) {
            return;
        }
        logWarning("journal.store_late",
            {{"waited_ms", elapsedMs(requestedAt, startedAt)},
                {"wrote_ms", elapsedMs(startedAt, finishedAt)},
                {"returned_ms", elapsedMs(finishedAt, now)}});
    }

    void onStored(const Ready &ready)
    {
        if (ready.install) {
            const Result<void> restored = state_.restore(ready.install->data);
            if (!restored) {
                fail(restored.error());
                return;
            }
            logInfo("journal.installed",
                {{"index", ready.install->index.value()},
                    {"bytes", std::uint64_t {ready.install->data.size()}},
                    {"process_ms", elapsedMs(processStartedAt, monotonicNow())}});
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
        installPreparedSnapshot();
        maybeSnapshot();
    }

    void fail(const std::error_code &error)
    {
        // Nothing unstored was acknowledged, so the replica stops and sends nothing more. A full
        // disk may have space later: the process supervisor restarts the process, which reads the
        // data folder again.
        if (hasFailed_) {
            return;
        }
        hasFailed_ = true;
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
        // The recipient is not in the membership that this replica has stored.
        const std::optional<NodeAddress> address = founding_->addressOf(message.to);
        if (address) {
            peers_->deliver(*address, message);
        }
    }

    void apply(const LogEntry &entry)
    {
        ApplyReply reply;
        if (entry.kind == EntryKind::Command) {
            reply = state_.applyEncoded(entry.payload, entry.index);
        }
        proposals_.onApplied(entry, reply);
    }

    void maybeSnapshot()
    {
        const std::uint64_t entryCountSinceSnapshot =
            consensus_->appliedIndex().value() - consensus_->snapshotIndex().value();
        if (snapshots_->isBusy() || entryCountSinceSnapshot < settings_.state->snapshotEntries) {
            return;
        }
        const LogIndex index = consensus_->appliedIndex();
        snapshots_->start({index, consensus_->termAt(index), consensus_->membershipAt(index), {}},
            state_.image());
    }

    void onSnapshotPrepared(const Result<void> &outcome)
    {
        if (!outcome) {
            fail(outcome.error());
            return;
        }
        installPreparedSnapshot();
    }

    /// Installs the prepared snapshot once the storage thread is free.
    void installPreparedSnapshot()
    {
        if (isStoring_ || hasFailed_) {
            return;
        }
        const SnapshotPtr snapshot = snapshots_->takePrepared();
        // The leader may have sent a newer snapshot meanwhile.
        if (!snapshot || snapshot->index <= consensus_->snapshotIndex()) {
            return;
        }
        consensus_->compact(snapshot);
        isStoring_ = true;
        store(
            [storage = storage_.get(), snapshot, hardState = hardState_,
                after = consensus_->entriesAfterSnapshot()]() {
                return storage->saveSnapshot(*snapshot, hardState, after);
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
        tickTimer_.expires_after(tickInterval);
        tickTimer_.async_wait([this](const boost::system::error_code &error) {
            if (error) {
                return;
            }
            consensus_->tick(suspendAwareNow());
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
            {{"term", consensus_->term().value()}, {"last_index", consensus_->lastIndex().value()},
                {"applied", consensus_->appliedIndex().value()},
                {"process_ms", elapsedMs(processStartedAt, monotonicNow())}});
    }

    void repair()
    {
        if (!isLeading()) {
            repair_.clearOffers();
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
    HardState hardState_;
    bool hasFailed_ = false;
    bool wasLeader_ = false;
    bool isStepScheduled_ = false;
    // Invariant: at most one job is on the storage thread.
    bool isStoring_ = false;
    asio::thread_pool storageThread_ {1};
    std::unique_ptr<SnapshotMaker> snapshots_;
    Proposals proposals_;
    asio::steady_timer tickTimer_;
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
