/// Handles beats, slot grants and the dispatch of waiting requests.

#include "src/services/entryservice.h"

#include "src/net/clock.h"
#include "src/net/log.h"
#include "src/net/peerstream.h"
#include "src/services/announcementcache.h"
#include "src/services/routetable.h"
#include "src/services/sentattempts.h"

#include <algorithm>
#include <atomic>
#include <random>
#include <sstream>

namespace crocusmill
{

namespace
{

constexpr Milliseconds decideInterval {20};
constexpr Milliseconds beatTimeout {1'000};
constexpr Milliseconds announceTimeout {2'000};

std::string randomHex()
{
    std::random_device random;
    std::ostringstream out;
    out << std::hex << random() << random();
    return std::move(out).str();
}

class EntryService final : public Service, public Entry
{
public:
    EntryService(asio::io_context &control, const Settings &settings, ReplicaId replica)
        : settings_(settings)
        , replica_(replica)
        , epoch_(settings.vm.value() + "." + randomHex())
        , admission_(slots_, std::random_device {}())
        , beatTimer_(control)
        , decideTimer_(control)
        , announcementCache_(settings.times.announcementTimeout / 2)
        , routes_(std::make_shared<const RouteTable>())
    {
    }

    std::string_view name() const override
    {
        return names::entry;
    }

    std::vector<std::string_view> dependencies() const override
    {
        return {names::client};
    }

    Result<void> start(Kernel &kernel) override
    {
        client_ = kernel.find<LeaderClient>(names::client);
        sendBeat();
        scheduleDecide();
        return success();
    }

    void stop() override
    {
        isStopping_ = true;
        beatTimer_.cancel();
        decideTimer_.cancel();
        refuse(admission_.refuseAll(RefusalReason::Draining));
    }

    void acquire(WaitingRequest request, std::function<void(DispatchResult)> done) override
    {
        const MonotonicTime now = monotonicNow();
        if (readiness_ != Readiness::Ready && readiness_ != Readiness::Draining) {
            constexpr Milliseconds retryDelay {1000};
            done(Refusal {request.id, RefusalReason::NoQuorum, retryDelay});
            return;
        }
        const std::optional<Refusal> refusal = admission_.submit(request, now);
        if (refusal) {
            done(*refusal);
            return;
        }
        pendingRequests_.emplace(request.id, std::move(done));
        decide();
    }

    void cancel(const ServiceKey &service, RequestId request) override
    {
        if (admission_.cancel(service, request)) {
            answer(request, Refusal {request, RefusalReason::Cancelled, {}});
        }
    }

    void release(RequestId request, const AttemptId &attempt, AttemptOutcome outcome,
        Milliseconds runDuration, bool hasLeft) override
    {
        admission_.attemptEnded(request, outcome, runDuration, monotonicNow());
        const std::optional<RequestId> freedRequest = sentAttempts_.onEnded(attempt, hasLeft);
        if (freedRequest) {
            admission_.releaseSlot(*freedRequest);
            decide();
        }
    }

    bool takeRetry(const ServiceKey &service) override
    {
        return admission_.takeRetry(service);
    }

    void announce(const AnnounceCall &call, ReplyHandler done) override
    {
        const UpstreamId id = call.announcement.id;
        if (call.farewell || call.announcement.mode == UpstreamMode::Draining) {
            slots_.close(id); // without waiting for the leader's directory
        }
        const std::optional<AnnounceReply> cachedReply =
            announcementCache_.tryAnswer(call, monotonicNow());
        if (cachedReply) {
            done(Reply {*cachedReply});
            return;
        }
        client_->call(call, announceTimeout,
            [this, call, done = std::move(done)](const Result<Reply> &reply) {
                const AnnounceReply *accepted =
                    reply ? std::get_if<AnnounceReply>(&reply.value()) : nullptr;
                if (accepted == nullptr || call.farewell) {
                    announcementCache_.remove(call.announcement.id);
                } else {
                    announcementCache_.recordForwarded(call, accepted->number, monotonicNow());
                }
                done(reply);
            });
    }

    void drain() override
    {
        isDraining_ = true;
        updateReadiness();
    }

    void onAdopt(std::function<void(const Work &)> handler) override
    {
        onAdopt_ = std::move(handler);
    }

    EntryEpoch epoch() const override
    {
        return epoch_;
    }

    std::size_t openRequestCount() const override
    {
        return admission_.runningCount() + admission_.waitingCount();
    }

    RequestId nextRequest() override
    {
        return RequestId {nextRequest_.fetch_add(1)};
    }

    LogIndex newestAppliedIndex() const override
    {
        return LogIndex {newestAppliedIndex_.load()};
    }

    std::shared_ptr<const RouteTable> routes() const override
    {
        return routes_.load();
    }

    Readiness readiness() const override
    {
        return readiness_.load();
    }

private:
    void decide()
    {
        Decisions decisions = admission_.decide(monotonicNow());
        for (const Assignment &assignment : decisions.assigned) {
            dispatch(assignment);
        }
        refuse(decisions.refused);
    }

    void dispatch(const Assignment &assignment)
    {
        const DirectoryEntry &upstream = directory_[assignment.upstream];
        const AttemptId attempt = makeAttemptId(epoch_, nextAttempt_++);
        sentAttempts_.add(attempt, assignment.request, assignment.upstream, upstream.incarnation);
        answer(assignment.request,
            Dispatch {assignment.request, attempt, assignment.upstream, upstream.incarnation,
                upstream.address, maxIdleConnections(upstream)});
    }

    /// Returns the share of one traffic thread of this entry.
    std::optional<std::uint32_t> maxIdleConnections(const DirectoryEntry &upstream) const
    {
        if (!upstream.spareConnections) {
            return std::nullopt;
        }
        return *upstream.spareConnections / std::max(entryCount_, 1U) / settings_.entry.threads;
    }

    void refuse(const std::vector<Refusal> &refused)
    {
        for (const Refusal &refusal : refused) {
            answer(refusal.request, refusal);
        }
    }

    void answer(RequestId request, const DispatchResult &result)
    {
        const auto it = pendingRequests_.find(request);
        if (it == pendingRequests_.end()) {
            return;
        }
        const std::function<void(DispatchResult)> done = std::move(it->second);
        pendingRequests_.erase(it);
        done(result);
    }

    void scheduleDecide()
    {
        decideTimer_.expires_after(decideInterval);
        decideTimer_.async_wait([this](const boost::system::error_code &error) {
            if (error) {
                return;
            }
            refuse(admission_.expire(monotonicNow()));
            decide();
            updateReadiness();
            scheduleDecide();
        });
    }

    void updateReadiness()
    {
        const MonotonicTime now = monotonicNow();
        Readiness next = Readiness::Ready;
        if (isDraining_) {
            next = Readiness::Draining;
        } else if (confirmedAt_ == MonotonicTime {}) {
            next = Readiness::Starting;
        } else if (now - confirmedAt_ > settings_.times.maxConfigurationAge) {
            next = Readiness::StaleConfiguration;
        } else if (!slots_.valid(now)) {
            next = Readiness::Isolated;
        }
        const Readiness previous = readiness_.exchange(next);
        if (previous != next) {
            logInfo("entry.readiness", {{"from", text(previous)}, {"to", text(next)}});
        }
    }

    BeatCall makeBeatCall()
    {
        BeatCall call;
        call.vm = settings_.vm;
        call.epoch = epoch_;
        call.address = settings_.peers.advertise;
        call.zone = settings_.zone;
        call.replica = replica_;
        call.number = ++beatNumber_;
        call.draining = isDraining_;
        call.full = isFullReportDue_;
        call.configuration = configuration_;
        call.directory = directoryVersion_;
        call.held = slots_.report(isFullReportDue_, monotonicNow());
        call.demand = admission_.demand();
        call.heard = announcementCache_.takeHeardNumbers();
        call.lingering = sentAttempts_.lingeringAttempts();
        return call;
    }

    void sendBeat()
    {
        const MonotonicTime sentAt = monotonicNow();
        const BeatCall call = makeBeatCall();
        client_->call(call, beatTimeout, [this, sentAt, call](const Result<Reply> &reply) {
            if (isStopping_) {
                return;
            }
            const BeatReply *accepted = reply ? std::get_if<BeatReply>(&reply.value()) : nullptr;
            isFullReportDue_ = true;
            if (accepted != nullptr && !accepted->stale) {
                isFullReportDue_ = accepted->term != leaderTerm_;
                if (isFullReportDue_) {
                    announcementCache_.clear();
                }
                leaderTerm_ = accepted->term;
                slots_.acknowledge(call.held);
                applyBeatReply(*accepted, sentAt);
            }
            scheduleBeat(sentAt);
        });
    }

    void scheduleBeat(MonotonicTime lastSentAt)
    {
        beatTimer_.expires_at(lastSentAt + settings_.times.beatInterval);
        beatTimer_.async_wait([this](const boost::system::error_code &error) {
            if (!error) {
                sendBeat();
            }
        });
    }

    void applyBeatReply(const BeatReply &reply, MonotonicTime sentAt)
    {
        applyDirectory(reply);
        slots_.applyGrant(reply.grants, sentAt, reply.grantLife, monotonicNow());
        applyEnvironments(reply);
        confirmedAt_ = sentAt;
        entryCount_ = reply.entries;
        newestAppliedIndex_.store(std::max(newestAppliedIndex_.load(), reply.applied.value()));
        for (const AttemptId &attempt : reply.departed) {
            const std::optional<RequestId> freedRequest = sentAttempts_.onDeparted(attempt);
            if (freedRequest) {
                admission_.releaseSlot(*freedRequest);
            }
        }
        client_->learnReplicas(reply.replicas);
        for (const Work &work : reply.adopt) {
            if (onAdopt_) {
                onAdopt_(work);
            }
        }
        updateReadiness();
        decide();
    }

    void applyDirectory(const BeatReply &reply)
    {
        for (const DirectoryEntry &upstream : reply.upstreams) {
            if (upstream.gone) {
                admission_.removeUpstream(upstream.id);
                slots_.close(upstream.id);
                announcementCache_.remove(upstream.id);
                continue;
            }
            directory_[upstream.id] = upstream;
            admission_.setUpstream(upstream.id, upstream.service);
        }
        directoryVersion_ = reply.directory;
    }

    void applyEnvironments(const BeatReply &reply)
    {
        configuration_ = std::max(configuration_, reply.configuration);
        if (reply.environments.empty()) {
            return;
        }
        const std::shared_ptr<RouteTable> table = std::make_shared<RouteTable>(*routes_.load());
        table->configuration = configuration_;
        for (const EnvironmentInForce &inForce : reply.environments) {
            installEnvironment(*table, inForce);
        }
        routes_.store(table);
    }

    void installEnvironment(RouteTable &table, const EnvironmentInForce &inForce)
    {
        const std::optional<Document> document = installDocument(table, inForce);
        if (!document) {
            logError("entry.document_unreadable", {{"environment", inForce.name.value()}});
            return;
        }
        for (const ServiceName &service : document->services) {
            admission_.setPolicy({inForce.name, inForce.stage, service}, document->policy);
        }
        logInfo("entry.document_in_force",
            {{"environment", inForce.name.value()}, {"version", inForce.version.value()},
                {"trial", inForce.stage == Stage::Trial}});
    }

    Settings settings_;
    ReplicaId replica_;
    EntryEpoch epoch_;
    SlotPool slots_;
    Admission admission_;
    LeaderClient *client_ = nullptr;
    std::function<void(const Work &)> onAdopt_;
    asio::steady_timer beatTimer_;
    asio::steady_timer decideTimer_;
    bool isStopping_ = false;
    bool isDraining_ = false;
    bool isFullReportDue_ = true;
    std::uint64_t beatNumber_ = 0;
    Term leaderTerm_;
    MonotonicTime confirmedAt_ {};
    LogIndex configuration_;
    std::uint64_t directoryVersion_ = 0;
    std::uint32_t entryCount_ = 1; // entries that share upstream connections, with this one
    std::map<UpstreamId, DirectoryEntry> directory_;
    AnnouncementCache announcementCache_;
    std::uint64_t nextAttempt_ = 1;
    SentAttempts sentAttempts_;
    std::map<RequestId, std::function<void(DispatchResult)>> pendingRequests_;
    std::atomic<std::uint64_t> nextRequest_ {1};
    // Never above the applied index. The traffic threads read it.
    std::atomic<std::uint64_t> newestAppliedIndex_ {0};
    std::atomic<Readiness> readiness_ {Readiness::Starting};
    std::atomic<std::shared_ptr<const RouteTable>> routes_;
};

} // namespace

std::string_view text(Readiness readiness)
{
    switch (readiness) {
    case Readiness::Ready:
        return "ready";
    case Readiness::Starting:
        return "starting";
    case Readiness::Draining:
        return "draining";
    case Readiness::Isolated:
        return "isolated";
    case Readiness::StaleConfiguration:
        return "stale configuration";
    }
    return "unknown";
}

std::unique_ptr<Service> makeEntryService(
    asio::io_context &control, const Settings &settings, ReplicaId replica)
{
    return std::make_unique<EntryService>(control, settings, replica);
}

} // namespace crocusmill
