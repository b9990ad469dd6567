/// Handles heartbeats, announcements and proposals on the leader.

#include "src/services/leaderservice.h"

#include "src/net/clock.h"
#include "src/net/log.h"
#include "src/net/peerstream.h"
#include "src/services/dispatchcallhandler.h"
#include "src/services/leadership.h"
#include "src/services/operatorcalls.h"
#include "src/services/reports.h"
#include "src/services/workrecovery.h"

#include <crocusmill/retention.h>

#include <algorithm>

namespace crocusmill
{

namespace
{

constexpr Milliseconds sweepInterval {200};
/// Longest wait of a step for a placement decision when no event triggers one.
constexpr Milliseconds dispatchInterval {25};

class LeaderService final : public Service, public Leader
{
public:
    LeaderService(
        asio::io_context &control, const Settings &settings, Metrics &metrics, bool callsWorkers)
        : control_(control)
        , settings_(settings)
        , metrics_(metrics)
        , callsWorkers_(callsWorkers)
        , retention_(settings.state ? settings.state->endedWorkRetention
                                    : StateSettings {}.endedWorkRetention)
        , sweepTimer_(control)
        , dispatchTimer_(control)
    {
    }

    std::string_view name() const override
    {
        return names::leader;
    }

    std::vector<std::string_view> dependencies() const override
    {
        std::vector<std::string_view> serviceNames {names::peers, names::journal};
        if (callsWorkers_) {
            serviceNames.insert(serviceNames.end(), {names::workerLink, names::ticketOffice});
        }
        return serviceNames;
    }

    Result<void> start(Kernel &kernel) override
    {
        journal_ = kernel.find<Journal>(names::journal);
        recovery_ = std::make_unique<WorkRecovery>(*journal_, leadership_);
        operators_ =
            std::make_unique<OperatorCalls>(*journal_, leadership_, settings_.peers.advertise);
        Peers *peers = kernel.find<Peers>(names::peers);
        dispatch_ = std::make_unique<DispatchCallHandler>(control_, *journal_, *peers,
            kernel.find<WorkerLink>(names::workerLink),
            kernel.find<TicketOffice>(names::ticketOffice), settings_.peers.advertise, metrics_);
        if (settings_.state) {
            dispatch_->limitEarlyCancels(settings_.state->maxEarlyCancels);
        }
        peers->onCall([this](const Call &call, const ReplyHandler &done) { handle(call, done); });
        // While the lease of this leader is lapsed, no other VM can answer either. Redirected
        // callers would return at once, so their calls are held.
        peers->holdCallsWhile([this]() {
            const Consensus *consensus = journal_->consensus();
            return consensus != nullptr && consensus->isLeader() && !journal_->isLeading();
        });
        scheduleSweep();
        if (callsWorkers_) {
            scheduleDispatch();
        }
        return success();
    }

    void stop() override
    {
        sweepTimer_.cancel();
        dispatchTimer_.cancel();
    }

    void handle(const Call &call, ReplyHandler done) override
    {
        if (std::holds_alternative<HelloCall>(call)) {
            done(Reply {journal_->hello()});
            return;
        }
        if (const FormCall *form = std::get_if<FormCall>(&call)) {
            done(Reply {FormReply {journal_->form(form->membership)}});
            return;
        }
        if (const TicketCall *ticket = std::get_if<TicketCall>(&call)) {
            dispatch_->handle(*ticket, done);
            return;
        }
        if (!journal_->isLeading()) {
            done(Reply {Redirect {journal_->leader()}});
            return;
        }
        refreshLeadership();
        std::visit([this, &done](const auto &body) { handleCall(body, done); }, call);
    }

    void learnWorkers(const std::vector<WorkerHeartbeat> &workers) override
    {
        dispatch_->learnWorkers(workers);
    }

private:
    void refreshLeadership()
    {
        const Term term = journal_->consensus()->term();
        if (leadership_ && leadership_->term == term) {
            return;
        }
        // The proposer no longer exists once this VM stops leading or leads in a later term.
        const RunSupervisor::Propose propose = [this, term](const Command &command,
                                                   const ProposeHandler &done) {
            journal_->propose(command, [this, term, done](const Result<ApplyReply> &reply) {
                if (leadership_ && leadership_->term == term) {
                    done(reply);
                }
            });
        };
        leadership_ = std::make_unique<Leadership>(
            term, settings_.times, journal_->state(), propose, monotonicNow());
        dispatch_->startLeading(term, propose);
    }

    /// Returns whether this VM still leads its term, even if its lease lapsed for a moment. No
    /// other VM has led since, so the leader's state stays valid.
    bool isStillLeader() const
    {
        const Consensus *consensus = journal_->consensus();
        return leadership_ && consensus != nullptr && consensus->isLeader()
            && consensus->term() == leadership_->term;
    }

    void handleCall(const GraphCall &call, const ReplyHandler &done)
    {
        dispatch_->handle(call, done);
    }

    void handleCall(const CatalogCall &call, const ReplyHandler &done)
    {
        dispatch_->handle(call, done);
    }

    void handleCall(const HeartbeatCall &call, const ReplyHandler &done)
    {
        dispatch_->handle(call, done);
    }

    void handleCall(const PresenceCall &call, const ReplyHandler &done)
    {
        dispatch_->handle(call, done);
    }

    void handleCall(const BeatCall &call, const ReplyHandler &done)
    {
        const MonotonicTime now = monotonicNow();
        BeatReply reply;
        reply.term = leadership_->term;
        const auto entry = leadership_->entries.find(call.epoch);
        const bool isNewEntry =
            entry == leadership_->entries.end() || !leadership_->ledger.hasEntry(call.epoch);
        const bool isOutdated =
            entry != leadership_->entries.end() && call.number <= entry->second.lastBeat.number;
        if (isOutdated || (isNewEntry && !call.full)) {
            reply.stale = true;
            done(Reply {reply});
            return;
        }
        leadership_->entries[call.epoch] = {call, now};
        journal_->offerReplica(call.vm, call.replica, call.address);
        if (!call.full) {
            for (const std::uint32_t number : call.heard) {
                leadership_->directory.recordHeard(number, now);
            }
        }
        leadership_->ledger.updateEntry(call.epoch, call.full, call.held, call.demand, now);
        reply.grants = leadership_->ledger.grant(call.epoch, now);
        reply.grantLife = settings_.times.slots.grantLife;
        reply.entries = static_cast<std::uint32_t>(leadership_->entries.size());
        reply.applied = journal_->consensus()->appliedIndex();
        reply.configuration = journal_->state().configurationIndex();
        reply.environments = environmentsSince(journal_->state(), call.configuration);
        reply.directory = leadership_->directory.version();
        reply.upstreams = leadership_->directory.changedSince(call.directory);
        reply.departed = leadership_->findDepartedAttempts(call.lingering, now);
        reply.adopt = leadership_->takeAdoptedWork(call.epoch, journal_->state());
        for (const Member &member : journal_->consensus()->membership().members) {
            reply.replicas.push_back(member.address);
        }
        done(Reply {reply});
    }

    void handleCall(const ProposeCall &call, const ReplyHandler &done)
    {
        const Result<Command> command = decodeCommand(call.command);
        if (!command) {
            done(command.error());
            return;
        }
        if (const SubmitJob *job = std::get_if<SubmitJob>(&command.value())) {
            if (leadership_->cell.feasible(*job) == PlacementObstacle::NeverFits) {
                ProposeReply reply;
                reply.applied = true;
                reply.result.error = StateError::WrongPlacement;
                done(Reply {reply});
                return;
            }
        }
        journal_->propose(command.value(), [done](const Result<ApplyReply> &result) {
            if (!result) {
                done(result.error());
                return;
            }
            done(Reply {ProposeReply {true, result.value()}});
        });
    }

    void handleCall(const AnnounceCall &call, const ReplyHandler &done)
    {
        const MonotonicTime now = monotonicNow();
        const Announcement &announcement = call.announcement;
        AnnounceReply reply;
        if (call.farewell) {
            leadership_->directory.markGone(announcement.id);
            leadership_->ledger.markGone(announcement.id);
            done(Reply {reply});
            return;
        }
        reply.number = leadership_->directory.onAnnouncement(announcement, now);
        leadership_->lastAnnouncedAt[announcement.id] = now;
        UpstreamSlots slots;
        slots.id = announcement.id;
        slots.service = {announcement.environment, announcement.stage, announcement.service};
        slots.slots = announcement.slots;
        slots.draining = operators_->isDraining(announcement);
        slots.incarnation = announcement.incarnation;
        slots.running = announcement.running;
        leadership_->ledger.updateUpstream(slots, now);
        LeaseTable::Verdict outcome =
            leadership_->leases.onAnnouncement(announcement, journal_->state(), now, wallTimeNow());
        reply.leases = std::move(outcome.leases);
        reply.stop = std::move(outcome.stop);
        reply.forget = std::move(outcome.forget);
        for (const AttemptId &attempt : announcement.running) {
            if (leadership_->firstAskedAt.contains(attempt)
                && !journal_->state().findWorkByAttempt(attempt)) {
                reply.stop.push_back(attempt); // no client waits for this attempt
            }
        }
        proposeAll(outcome.commands);
        done(Reply {reply});
    }

    void proposeAll(const std::vector<Command> &commands)
    {
        for (const Command &command : commands) {
            journal_->propose(command, [](const Result<ApplyReply> & /*reply*/) {});
        }
    }

    void handleCall(const WorkCall &call, const ReplyHandler &done)
    {
        if (call.settle) {
            leadership_->leases.settle(*call.settle);
        }
        WorkReply reply;
        const Work *work = journal_->state().findWork(call.work);
        if (work != nullptr) {
            reply.work = *work;
            reply.work->request.reset();
        }
        done(Reply {reply});
    }

    void handleCall(const WorkerCall &call, const ReplyHandler &done)
    {
        done(Reply {
            leadership_->cell.onAnnouncement(call.announcement, monotonicNow(), wallTimeNow())});
    }

    void handleCall(const JobCall &call, const ReplyHandler &done)
    {
        JobReply reply;
        const auto it = journal_->state().jobs().find(call.job);
        if (it != journal_->state().jobs().end()) {
            reply.job = *it->second;
            const PlacementObstacle obstacle = leadership_->cell.feasible(it->second->spec);
            reply.waitsFor = std::string {text(obstacle)};
        }
        done(Reply {reply});
    }

    void handleCall(const OperatorCall &call, const ReplyHandler &done)
    {
        if (call.action == OperatorAction::ListCustomers) {
            done(Reply {OperatorReply {true, dispatch_->listCustomers()}});
            return;
        }
        if (call.action == OperatorAction::Explain) {
            dispatch_->explain(call.subject, done);
            return;
        }
        operators_->handle(call, done);
    }

    void handleCall(const HelloCall & /*call*/, const ReplyHandler & /*done*/)
    {
    }
    void handleCall(const TicketCall & /*call*/, const ReplyHandler & /*done*/)
    {
    }
    void handleCall(const FormCall & /*call*/, const ReplyHandler & /*done*/)
    {
    }

    void scheduleSweep()
    {
        sweepTimer_.expires_after(sweepInterval);
        sweepTimer_.async_wait([this](const boost::system::error_code &error) {
            if (error) {
                return;
            }
            const bool isLeaseLapsed = !journal_->isLeading() && isStillLeader();
            if (isLeaseLapsed != std::exchange(isLeaseLapsed_, isLeaseLapsed)) {
                const Consensus &consensus = *journal_->consensus();
                logWarning(isLeaseLapsed ? "leader.lease_lapsed" : "leader.lease_lapse_over",
                    {{"term", consensus.term().value()},
                        {"acknowledged_ms",
                            static_cast<std::uint64_t>(consensus.timeSinceQuorumAck().count())}});
            }
            noteEnds();
            if (journal_->isLeading()) {
                refreshLeadership();
                sweep();
            } else if (!isLeaseLapsed) {
                dispatch_->stopLeading();
                leadership_.reset();
            }
            scheduleSweep();
        });
    }

    void scheduleDispatch()
    {
        dispatchTimer_.expires_after(dispatchInterval);
        dispatchTimer_.async_wait([this](const boost::system::error_code &error) {
            if (error) {
                return;
            }
            if (journal_->isLeading()) {
                refreshLeadership();
                dispatch_->tick();
            }
            scheduleDispatch();
        });
    }

    void sweep()
    {
        const MonotonicTime now = monotonicNow();
        leadership_->ledger.expire(now);
        for (const UpstreamId &upstreamId :
            leadership_->directory.markSilentGone(now - settings_.times.announcementTimeout)) {
            leadership_->ledger.markGone(upstreamId);
            logWarning("upstream.silent", {{"upstream", upstreamId.value()}});
        }
        const Milliseconds entryTimeout =
            settings_.times.slots.grantLife + settings_.times.slots.driftMargin;
        std::erase_if(leadership_->entries, [now, entryTimeout](const auto &entry) {
            return now - entry.second.lastHeardAt > entryTimeout;
        });
        leadership_->cell.sweep(now, wallTimeNow());
        if (now < leadership_->graceEndsAt) {
            return;
        }
        proposeAll(leadership_->leases.endAttemptsOfGoneUpstreams(
            leadership_->directory.aliveUpstreams(), journal_->state(), now));
        recovery_->step();
        // A proposal without an outcome needs no repetition, as the next one covers its ends.
        const std::optional<ForgetEndedUpTo> expired = retention_.takeExpired(now);
        if (expired && !expired->isEmpty()) {
            logInfo("journal.ends_forgotten",
                {{"job", expired->graph.value_or(GraphId {}).value()},
                    {"departures", std::uint64_t {expired->departures.size()}},
                    {"term", leadership_->term.value()}});
            proposeAll({*expired});
        }
    }

    void noteEnds()
    {
        const MonotonicTime now = monotonicNow();
        if (retention_.isDue(now)) {
            retention_.note(journal_->state().newestEnds(), now);
        }
    }

    asio::io_context &control_;
    Settings settings_;
    Metrics &metrics_;
    bool callsWorkers_;
    Journal *journal_ = nullptr;
    std::unique_ptr<Leadership> leadership_; // null while this VM does not lead
    RetentionHistory retention_;
    bool isLeaseLapsed_ = false; // this VM leads the term, but its lease has expired
    std::unique_ptr<DispatchCallHandler> dispatch_;
    std::unique_ptr<WorkRecovery> recovery_;
    std::unique_ptr<OperatorCalls> operators_;
    asio::steady_timer sweepTimer_;
    asio::steady_timer dispatchTimer_;
};

} // namespace

std::unique_ptr<Service> makeLeaderService(
    asio::io_context &control, const Settings &settings, Metrics &metrics, bool callsWorkers)
{
    return std::make_unique<LeaderService>(control, settings, metrics, callsWorkers);
}

} // namespace crocusmill
