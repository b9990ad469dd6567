/// Heartbeats to the leader from VMs that forward no requests to upstreams.

#include "src/services/presence.h"

#include "src/net/clock.h"
#include "src/net/log.h"

#include <atomic>

namespace crocusmill
{

namespace
{

constexpr Milliseconds heartbeatInterval {400};
constexpr Milliseconds heartbeatTimeout {1'000};
/// The VM is isolated after this long without a reply. Two heartbeats may get lost.
constexpr Milliseconds isolationTimeout {2'000};
/// A replica requests the list of workers once in this many heartbeats.
constexpr std::uint64_t heartbeatsPerWorkerList = 3;

class PresenceService final : public Service, public Presence
{
public:
    PresenceService(
        asio::io_context &control, const Settings &settings, ReplicaId replica, bool asksForTickets)
        : timer_(control)
    {
        call_.vm = settings.vm;
        call_.address = settings.peers.advertise;
        call_.replica = replica;
        call_.asksForTickets = asksForTickets;
    }

    std::string_view name() const override
    {
        return names::presence;
    }

    std::vector<std::string_view> dependencies() const override
    {
        return {names::client, names::leader};
    }

    Result<void> start(Kernel &kernel) override
    {
        client_ = kernel.find<LeaderClient>(names::client);
        leaderService_ = kernel.find<Leader>(names::leader);
        sendHeartbeat();
        return success();
    }

    void stop() override
    {
        isStopping_ = true;
        timer_.cancel();
    }

    void drain() override
    {
        isDraining_ = true;
        updateReadiness();
    }

    std::optional<NodeAddress> leader() const override
    {
        return leader_;
    }

    Readiness readiness() const override
    {
        return readiness_.load();
    }

private:
    void sendHeartbeat()
    {
        const MonotonicTime sentAt = monotonicNow();
        call_.wantsWorkers =
            call_.replica != ReplicaId {} && heartbeatCount_++ % heartbeatsPerWorkerList == 0;
        client_->call(call_, heartbeatTimeout, [this, sentAt](const Result<Reply> &reply) {
            if (isStopping_) {
                return;
            }
            const PresenceReply *presenceReply =
                reply ? std::get_if<PresenceReply>(&reply.value()) : nullptr;
            if (presenceReply != nullptr) {
                lastAnsweredSentAt_ = sentAt;
                leader_ = presenceReply->leader;
                client_->learnReplicas(presenceReply->replicas);
                if (!presenceReply->workers.empty()) {
                    leaderService_->learnWorkers(presenceReply->workers);
                }
            }
            updateReadiness();
            scheduleHeartbeat(sentAt);
        });
    }

    void scheduleHeartbeat(MonotonicTime previousSentAt)
    {
        timer_.expires_at(previousSentAt + heartbeatInterval);
        timer_.async_wait([this](const boost::system::error_code &error) {
            if (!error) {
                sendHeartbeat();
            }
        });
    }

    void updateReadiness()
    {
        Readiness next = Readiness::Ready;
        if (isDraining_) {
            next = Readiness::Draining;
        } else if (lastAnsweredSentAt_ == MonotonicTime {}) {
            next = Readiness::Starting;
        } else if (monotonicNow() - lastAnsweredSentAt_ > isolationTimeout) {
            next = Readiness::Isolated;
        }
        const Readiness before = readiness_.exchange(next);
        if (before != next) {
            logInfo("vm.readiness",
                {{"from", text(before)}, {"to", text(next)}, {"leader", leader_ ? leader_->ip : ""},
                    {"process_ms", elapsedMs(processStartedAt, monotonicNow())}});
        }
    }

    PresenceCall call_;
    LeaderClient *client_ = nullptr;
    Leader *leaderService_ = nullptr;
    std::uint64_t heartbeatCount_ = 0;
    asio::steady_timer timer_;
    bool isStopping_ = false;
    bool isDraining_ = false;
    MonotonicTime lastAnsweredSentAt_ {}; // when the newest answered heartbeat was sent
    std::optional<NodeAddress> leader_;
    std::atomic<Readiness> readiness_ {Readiness::Starting};
};

} // namespace

std::unique_ptr<Service> makePresenceService(
    asio::io_context &control, const Settings &settings, ReplicaId replica, bool asksForTickets)
{
    return std::make_unique<PresenceService>(control, settings, replica, asksForTickets);
}

} // namespace crocusmill
