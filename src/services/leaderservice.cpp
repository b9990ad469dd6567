/// Beats, announcements, proposals and the recovery of work whose entry is gone.

#include "src/services/leaderservice.h"

#include "src/net/log.h"
#include "src/net/peerstream.h"
#include "src/services/leadership.h"
#include "src/services/reports.h"

#include <algorithm>

namespace crocusmill
{

namespace
{

constexpr Milliseconds sweepInterval {200};
constexpr Milliseconds forgetInterval {10'000};
/// How long after its deadline work is left to its entry.
constexpr Milliseconds overdueMargin {2'000};

MonotonicTime monotonicNow()
{
    return std::chrono::steady_clock::now();
}

WallTime wallNow()
{
    return std::chrono::time_point_cast<Milliseconds>(std::chrono::system_clock::now());
}

class LeaderService final : public Service, public Leader
{
public:
    LeaderService(asio::io_context &control, const Settings &settings)
        : settings_(settings)
        , sweepTimer_(control)
    {
    }

    std::string_view name() const override
    {
        return names::leader;
    }

    std::vector<std::string_view> needs() const override
    {
        return {names::peers, names::journal};
    }

    Result<void> start(Kernel &kernel) override
    {
        journal_ = kernel.find<Journal>(names::journal);
        Peers *peers = kernel.find<Peers>(names::peers);
        peers->onCall([this](const Call &call, const ReplyHandler &done) { handle(call, done); });
        scheduleSweep();
        return success();
    }

    void stop() override
    {
        sweepTimer_.cancel();
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
        if (!journal_->leads()) {
            done(Reply {Redirect {journal_->leader()}});
            return;
        }
        refreshLeadership();
        std::visit([this, &done](const auto &body) { on(body, done); }, call);
    }

private:
    void refreshLeadership()
    {
        const Term term = journal_->consensus()->term();
        if (lead_ && lead_->term == term) {
            return;
        }
        lead_ = std::make_unique<Leadership>(
            term, settings_.times, journal_->state(),
            [this, term](const Command &command, const ProposeHandler &done) {
                journal_->propose(command, [this, term, done](const Result<ApplyReply> &reply) {
                    // The asker is gone once this VM leads no more, or again in a later term.
                    if (lead_ && lead_->term == term) {
                        done(reply);
                    }
                });
            },
            monotonicNow());
    }

    void on(const BeatCall &call, const ReplyHandler &done)
    {
        const MonotonicTime now = monotonicNow();
        BeatReply reply;
        reply.term = lead_->term;
        const auto known = lead_->entries.find(call.epoch);
        const bool isNew = known == lead_->entries.end() || !lead_->ledger.knows(call.epoch);
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
        lead_->ledger.reported(call.epoch, call.full, call.held, call.demand, now);
        reply.grants = lead_->ledger.grant(call.epoch, now);
        reply.grantLife = settings_.times.slots.grantLife;
        reply.applied = journal_->consensus()->appliedIndex();
        reply.configuration = journal_->state().configurationIndex();
        reply.environments = environmentsSince(journal_->state(), call.configuration);
        reply.directory = lead_->directory.version();
        reply.upstreams = lead_->directory.changedSince(call.directory);
        reply.departed = departed(call.lingering, now);
        reply.adopt = adoptionsFor(call);
        for (const Member &member : journal_->consensus()->membership().members) {
            reply.replicas.push_back(member.address);
        }
        done(Reply {reply});
    }

    /// Attempts that an announcement made after the question does not list as running any more.
    std::vector<AttemptId> departed(
        const std::vector<LingeringAttempt> &lingering, MonotonicTime now)
    {
        std::vector<AttemptId> left;
        for (const LingeringAttempt &line : lingering) {
            const MonotonicTime asked =
                lead_->lingering.try_emplace(line.attempt, now).first->second;
            const Directory::Record *upstream = lead_->directory.find(line.upstream);
            const bool over = upstream != nullptr
                && (upstream->gone || upstream->announcement.incarnation != line.incarnation
                    || (lead_->announcedAt[line.upstream] > asked
                        && !isRunning(*upstream, line.attempt)));
            if (over) {
                left.push_back(line.attempt);
                lead_->lingering.erase(line.attempt);
            }
        }
        return left;
    }

    static bool isRunning(const Directory::Record &upstream, const AttemptId &attempt)
    {
        const std::vector<AttemptId> &running = upstream.announcement.running;
        return std::find(running.begin(), running.end(), attempt) != running.end();
    }

    std::vector<Work> adoptionsFor(const BeatCall &call)
    {
        std::vector<Work> adopted;
        for (const WorkId &id : std::exchange(lead_->adoptions[call.epoch], {})) {
            const Work *work = journal_->state().findWork(id);
            if (work != nullptr && work->owner == call.epoch) {
                adopted.push_back(*work);
            }
        }
        return adopted;
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
            lead_->ledger.gone(announcement.id);
            done(Reply {reply});
            return;
        }
        reply.number = lead_->directory.announced(announcement, now);
        lead_->announcedAt[announcement.id] = now;
        UpstreamSlots slots;
        slots.id = announcement.id;
        slots.service = {announcement.environment, announcement.stage, announcement.service};
        slots.slots = announcement.slots;
        slots.draining = isDraining(announcement);
        slots.incarnation = announcement.incarnation;
        slots.running = announcement.running;
        lead_->ledger.announced(slots, now);
        LeaseBook::Verdict verdict =
            lead_->leases.announced(announcement, journal_->state(), now, wallNow());
        reply.leases = std::move(verdict.leases);
        reply.stop = std::move(verdict.stop);
        reply.forget = std::move(verdict.forget);
        for (const AttemptId &attempt : announcement.running) {
            if (lead_->lingering.contains(attempt) && !journal_->state().findAttempt(attempt)) {
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
        done(Reply {lead_->cell.announced(call.announcement, monotonicNow(), wallNow())});
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
        OperatorReply reply;
        switch (call.action) {
        case OperatorAction::ListVms:
            reply.body = describeVms(lead_->entries, *journal_, settings_.peers.advertise);
            break;
        case OperatorAction::ListMembers:
            reply.body = describeMembers(*journal_->consensus());
            break;
        case OperatorAction::ListUpstreams:
            reply.body = describeUpstreams(
                lead_->directory, lead_->ledger, journal_->state().drainedUpstreams());
            break;
        case OperatorAction::ListWorkers:
            reply.body = lead_->cell.describeWorkers();
            break;
        case OperatorAction::ListJobs:
            reply.body = describeJobs(journal_->state());
            break;
        case OperatorAction::ListEnvironments:
            reply.body = describeEnvironments(journal_->state());
            break;
        case OperatorAction::DrainUpstream:
        case OperatorAction::ResumeUpstream:
            drainUpstream(
                UpstreamId {call.subject}, call.action == OperatorAction::DrainUpstream, done);
            return;
        case OperatorAction::DrainWorker:
        case OperatorAction::ResumeWorker:
            drainWorker(WorkerId {call.subject}, call.action == OperatorAction::DrainWorker, done);
            return;
        case OperatorAction::ReplaceMember:
            reply.found = journal_->replace(VmId {call.subject}).has_value();
            break;
        case OperatorAction::DrainVm:
            reply.found = false; // answered by the VM itself
            break;
        }
        done(Reply {reply});
    }

    void drainUpstream(const UpstreamId &id, bool drained, const ReplyHandler &done)
    {
        if (drained && lead_->directory.find(id) == nullptr) {
            done(Reply {OperatorReply {.found = false, .body = {}}});
            return;
        }
        recordFor(DrainUpstream {id, drained}, done, [this, id]() {
            const Directory::Record *upstream = lead_->directory.find(id);
            if (upstream != nullptr) {
                lead_->ledger.setDraining(id, isDraining(upstream->announcement));
            }
        });
    }

    void drainWorker(const WorkerId &id, bool drained, const ReplyHandler &done)
    {
        recordFor(DrainWorker {id, drained}, done, [this, id]() { lead_->cell.refresh(id); });
    }

    /// Records an operator's wish; `applied` runs while this VM still leads in the same term.
    void recordFor(
        const Command &command, const ReplyHandler &done, const std::function<void()> &applied)
    {
        const Term term = lead_->term;
        journal_->propose(command, [this, term, done, applied](const Result<ApplyReply> &result) {
            if (!result) {
                done(result.error());
                return;
            }
            if (lead_ && lead_->term == term) {
                applied();
            }
            done(Reply {OperatorReply {}});
        });
    }

    bool isDraining(const Announcement &announcement) const
    {
        return announcement.mode == UpstreamMode::Draining
            || journal_->state().drainedUpstreams().contains(announcement.id);
    }

    void on(const HelloCall & /*call*/, const ReplyHandler & /*done*/)
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
            if (journal_->leads()) {
                refreshLeadership();
                sweep();
            } else {
                lead_.reset();
            }
            scheduleSweep();
        });
    }

    void sweep()
    {
        const MonotonicTime now = monotonicNow();
        lead_->ledger.expire(now);
        for (const UpstreamId &silent :
            lead_->directory.silentSince(now - settings_.times.announceLife)) {
            lead_->ledger.gone(silent);
            logWarning("upstream.silent", {{"upstream", silent.value()}});
        }
        const Milliseconds life =
            settings_.times.slots.grantLife + settings_.times.slots.driftMargin;
        std::erase_if(lead_->entries,
            [now, life](const auto &known) { return now - known.second.heard > life; });
        lead_->cell.sweep(now, wallNow());
        if (now < lead_->graceEnds) {
            return;
        }
        record(lead_->leases.upstreamsGone(lead_->directory.alive(), journal_->state(), now));
        recoverWork();
        if (now >= lead_->forgetDue) {
            lead_->forgetDue = now + forgetInterval;
            forget();
        }
    }

    void forget()
    {
        const WallTime before = wallNow() - settings_.state->keepEnded;
        record({ForgetEnded {before}});
    }

    /// Work whose entry is gone or has let its deadline pass: its attempt is settled, then another
    /// entry carries it on, or it is given up where nobody has the request.
    void recoverWork()
    {
        for (const WorkId &id : abandonedWork()) {
            const Work &work = *journal_->state().findWork(id);
            if (!work.attempts.empty() && work.attempts.back().state == AttemptState::Started) {
                lead_->leases.settle(work.attempts.back().id);
            } else {
                recoverOne(work);
            }
        }
    }

    std::vector<WorkId> abandonedWork() const
    {
        std::vector<WorkId> abandoned;
        const WallTime overdue = wallNow() - overdueMargin;
        for (const WorkId &id : journal_->state().openWork()) {
            const Work *work = journal_->state().findWork(id);
            // An entry whose admission was recorded without its knowledge carries nothing.
            const bool carried = lead_->entries.contains(work->owner) && work->deadline > overdue;
            if (!carried && !lead_->recovering.contains(id)) {
                abandoned.push_back(id);
            }
        }
        return abandoned;
    }

    void recoverOne(const Work &work)
    {
        const bool lost = !work.attempts.empty() && work.attempts.back().state == AttemptState::Lost
            && !work.repeatable;
        const bool mayGoOn = work.request && !lost && !work.cancelled && wallNow() < work.deadline
            && !lead_->entries.empty();
        const WorkId id = work.id;
        lead_->recovering.insert(id);
        const Term term = lead_->term;
        if (!mayGoOn) {
            journal_->propose(RevokeWork {id, false, wallNow()},
                [this, id, term](const Result<ApplyReply> & /*reply*/) {
                    if (lead_ && lead_->term == term) {
                        lead_->recovering.erase(id);
                    }
                });
            return;
        }
        const EntryEpoch owner = leastLoadedEntry();
        journal_->propose(
            AdoptWork {id, owner}, [this, id, owner, term](const Result<ApplyReply> &reply) {
                if (!lead_ || lead_->term != term) {
                    return;
                }
                lead_->recovering.erase(id);
                if (reply && reply.value().error == StateError::None) {
                    lead_->adoptions[owner].push_back(id);
                }
            });
    }

    EntryEpoch leastLoadedEntry() const
    {
        EntryEpoch best;
        std::uint64_t bestLoad = ~0ULL;
        for (const std::pair<const EntryEpoch, EntryRecord> &known : lead_->entries) {
            std::uint64_t load = known.second.last.draining ? ~0ULL - 1 : 0;
            for (const DemandLine &line : known.second.last.demand) {
                load += known.second.last.draining ? 0 : line.wanted;
            }
            if (load < bestLoad) {
                best = known.first;
                bestLoad = load;
            }
        }
        return best;
    }

    Settings settings_;
    Journal *journal_ = nullptr;
    std::unique_ptr<Leadership> lead_;
    asio::steady_timer sweepTimer_;
};

} // namespace

std::unique_ptr<Service> makeLeaderService(asio::io_context &control, const Settings &settings)
{
    return std::make_unique<LeaderService>(control, settings);
}

} // namespace crocusmill
