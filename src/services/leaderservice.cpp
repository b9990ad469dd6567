/// Beats, announcements and proposals.

#include "src/services/leaderservice.h"

#include "src/net/clock.h"
#include "src/net/log.h"
#include "src/net/peerstream.h"
#include "src/services/dispatchcallhandler.h"
#include "src/services/leadership.h"
#include "src/services/operatorcalls.h"
#include "src/services/reports.h"
#include "src/services/workrecovery.h"

#include <algorithm>

namespace crocusmill
{

namespace
{

constexpr Milliseconds sweepInterval {200};
constexpr Milliseconds forgetInterval {10'000};
/// How long a step may wait for a decision that no event has woken.
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
        std::vector<std::string_view> needed {names::peers, names::journal};
        if (callsWorkers_) {
            needed.insert(needed.end(), {names::workerLink, names::ticketOffice});
        }
        return needed;
    }

    Result<void> start(Kernel &kernel) override
    {
        journal_ = kernel.find<Journal>(names::journal);
        recovery_ = std::make_unique<WorkRecovery>(*journal_, lead_);
        operators_ = std::make_unique<OperatorCalls>(*journal_, lead_, settings_.peers.advertise);
        Peers *peers = kernel.find<Peers>(names::peers);
        dispatch_ = std::make_unique<DispatchCallHandler>(control_, *journal_, *peers,
            kernel.find<WorkerLink>(names::workerLink),
            kernel.find<TicketOffice>(names::ticketOffice), settings_.peers.advertise, metrics_);
        peers->onCall([this](const Call &call, const ReplyHandler &done) { handle(call, done); });
        // While its lease is lapsed nobody else may answer either; callers would come back at once.
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
        std::visit([this, &done](const auto &body) { on(body, done); }, call);
    }

    void learnWorkers(const std::vector<WorkerHeartbeat> &workers) override
    {
        dispatch_->learnWorkers(workers);
    }

private:
    void refreshLeadership()
    {
        const Term term = journal_->consensus()->term();
        if (lead_ && lead_->term == term) {
            return;
        }
        // Who proposed is gone once this VM leads no more, or again in a later term.
        const RunSupervisor::Propose propose = [this, term](const Command &command,
                                                   const ProposeHandler &done) {
            journal_->propose(command, [this, term, done](const Result<ApplyReply> &reply) {
                if (lead_ && lead_->term == term) {
                    done(reply);
                }
            });
        };
        lead_ = std::make_unique<Leadership>(
            term, settings_.times, journal_->state(), propose, monotonicNow());
        dispatch_->startLeading(term, propose);
    }

    /// The lease may lapse for a moment. While the term is this VM's, nobody else has led since,
    /// and what it knows holds on.
    bool leadsStill() const
    {
        const Consensus *consensus = journal_->consensus();
        return lead_ && consensus != nullptr && consensus->isLeader()
            && consensus->term() == lead_->term;
    }

    void on(const GraphCall &call, const ReplyHandler &done)
    {
        dispatch_->handle(call, done);
    }

    void on(const CatalogCall &call, const ReplyHandler &done)
    {
        dispatch_->handle(call, done);
    }

    void on(const HeartbeatCall &call, const ReplyHandler &done)
    {
        dispatch_->handle(call, done);
    }

    void on(const PresenceCall &call, const ReplyHandler &done)
    {
        dispatch_->handle(call, done);
    }

    void on(const BeatCall &call, const ReplyHandler &done)
    {
        const MonotonicTime now = monotonicNow();
        BeatReply reply;
        reply.term = lead_->term;
        const auto known = lead_->entries.find(call.epoch);
        const bool isNew = known == lead_->entries.end() || !lead_->ledger.hasEntry(call.epoch);
        const bool old = known != lead_->entries.end() && call.number <= known->second.last.number;
        if (old || (isNew && !call.full)) {
            reply.stale = true;
            done(Reply {reply});
            return;
        }
        lead_->entries[call.epoch] = {call, now};
        journal_->offerReplica(call.vm, call.replica, call.address);
        if (!call.full) {
            for (const std::uint32_t number : call.heard) {
                lead_->directory.heard(number, now);
            }
        }
        lead_->ledger.updateEntry(call.epoch, call.full, call.held, call.demand, now);
        reply.grants = lead_->ledger.grant(call.epoch, now);
        reply.grantLife = settings_.times.slots.grantLife;
        reply.entries = static_cast<std::uint32_t>(lead_->entries.size());
        reply.applied = journal_->consensus()->appliedIndex();
        reply.configuration = journal_->state().configurationIndex();
        reply.environments = environmentsSince(journal_->state(), call.configuration);
        reply.directory = lead_->directory.version();
        reply.upstreams = lead_->directory.changedSince(call.directory);
        reply.departed = lead_->departed(call.lingering, now);
        reply.adopt = lead_->adoptedBy(call.epoch, journal_->state());
        for (const Member &member : journal_->consensus()->membership().members) {
            reply.replicas.push_back(member.address);
        }
        done(Reply {reply});
    }

    void on(const ProposeCall &call, const ReplyHandler &done)
    {
        const Result<Command> command = decodeCommand(call.command);
        if (!command) {
            done(command.error());
            return;
        }
        if (const SubmitJob *job = std::get_if<SubmitJob>(&command.value())) {
            if (lead_->cell.feasible(*job) == PlacementObstacle::NeverFits) {
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

    void on(const AnnounceCall &call, const ReplyHandler &done)
    {
        const MonotonicTime now = monotonicNow();
        const Announcement &announcement = call.announcement;
        AnnounceReply reply;
        if (call.farewell) {
            lead_->directory.farewell(announcement.id);
            lead_->ledger.markGone(announcement.id);
            done(Reply {reply});
            return;
        }
        reply.number = lead_->directory.announced(announcement, now);
        lead_->announcedAt[announcement.id] = now;
        UpstreamSlots slots;
        slots.id = announcement.id;
        slots.service = {announcement.environment, announcement.stage, announcement.service};
        slots.slots = announcement.slots;
        slots.draining = operators_->isDraining(announcement);
        slots.incarnation = announcement.incarnation;
        slots.running = announcement.running;
        lead_->ledger.updateUpstream(slots, now);
        LeaseTable::Verdict verdict =
            lead_->leases.onAnnouncement(announcement, journal_->state(), now, wallTimeNow());
        reply.leases = std::move(verdict.leases);
        reply.stop = std::move(verdict.stop);
        reply.forget = std::move(verdict.forget);
        for (const AttemptId &attempt : announcement.running) {
            if (lead_->lingering.contains(attempt)
                && !journal_->state().findWorkByAttempt(attempt)) {
                reply.stop.push_back(attempt); // nobody waits for it any more
            }
        }
        record(verdict.commands);
        done(Reply {reply});
    }

    void record(const std::vector<Command> &commands)
    {
        for (const Command &command : commands) {
            journal_->propose(command, [](const Result<ApplyReply> & /*reply*/) {});
        }
    }

    void on(const WorkCall &call, const ReplyHandler &done)
    {
        if (call.settle) {
            lead_->leases.settle(*call.settle);
        }
        WorkReply reply;
        const Work *work = journal_->state().findWork(call.work);
        if (work != nullptr) {
            reply.work = *work;
            reply.work->request.reset();
        }
        done(Reply {reply});
    }

    void on(const WorkerCall &call, const ReplyHandler &done)
    {
        done(Reply {lead_->cell.onAnnouncement(call.announcement, monotonicNow(), wallTimeNow())});
    }

    void on(const JobCall &call, const ReplyHandler &done)
    {
        JobReply reply;
        const auto found = journal_->state().jobs().find(call.job);
        if (found != journal_->state().jobs().end()) {
            reply.job = *found->second;
            const PlacementObstacle obstacle = lead_->cell.feasible(found->second->spec);
            reply.waitsFor = std::string {text(obstacle)};
        }
        done(Reply {reply});
    }

    void on(const OperatorCall &call, const ReplyHandler &done)
    {
        operators_->handle(call, done);
    }

    void on(const HelloCall & /*call*/, const ReplyHandler & /*done*/)
    {
    }
    void on(const TicketCall & /*call*/, const ReplyHandler & /*done*/)
    {
    }
    void on(const FormCall & /*call*/, const ReplyHandler & /*done*/)
    {
    }

    void scheduleSweep()
    {
        sweepTimer_.expires_after(sweepInterval);
        sweepTimer_.async_wait([this](const boost::system::error_code &error) {
            if (error) {
                return;
            }
            const bool lapses = !journal_->isLeading() && leadsStill();
            if (lapses != std::exchange(lapsed_, lapses)) {
                const Consensus &consensus = *journal_->consensus();
                logWarning(lapses ? "leader.lease_lapsed" : "leader.lease_lapse_over",
                    {{"term", consensus.term().value()},
                        {"acknowledged_ms",
                            static_cast<std::uint64_t>(consensus.timeSinceQuorumAck().count())}});
            }
            if (journal_->isLeading()) {
                refreshLeadership();
                sweep();
            } else if (!lapses) {
                dispatch_->stopLeading();
                lead_.reset();
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
        lead_->ledger.expire(now);
        for (const UpstreamId &silent :
            lead_->directory.silentSince(now - settings_.times.announcementTimeout)) {
            lead_->ledger.markGone(silent);
            logWarning("upstream.silent", {{"upstream", silent.value()}});
        }
        const Milliseconds life =
            settings_.times.slots.grantLife + settings_.times.slots.driftMargin;
        std::erase_if(lead_->entries,
            [now, life](const auto &known) { return now - known.second.heard > life; });
        lead_->cell.sweep(now, wallTimeNow());
        if (now < lead_->graceEnds) {
            return;
        }
        record(lead_->leases.endAttemptsOfGoneUpstreams(
            lead_->directory.alive(), journal_->state(), now));
        recovery_->step();
        if (now >= lead_->forgetDue) {
            lead_->forgetDue = now + forgetInterval;
            forget();
        }
    }

    void forget()
    {
        const WallTime before = wallTimeNow() - settings_.state->endedWorkRetention;
        record({ForgetEnded {before}});
    }

    asio::io_context &control_;
    Settings settings_;
    Metrics &metrics_;
    bool callsWorkers_;
    Journal *journal_ = nullptr;
    std::unique_ptr<Leadership> lead_; // null while this VM does not lead
    bool lapsed_ = false; // the term is this VM's, and its lease has run out
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
