/// Beats to the leader of VMs that forward no requests to upstreams.

#include "src/services/presence.h"

#include "src/net/clock.h"
#include "src/net/log.h"

#include <atomic>

namespace crocusmill
{

namespace
{

constexpr Milliseconds beatInterval {400};
constexpr Milliseconds beatLimit {1'000};
/// Without an answer this long the VM counts as cut off. Two beats may get lost.
constexpr Milliseconds touchLife {2'000};
/// Every so many beats a replica asks for the workers as well.
constexpr std::uint64_t beatsPerList = 3;

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
        beat();
        return success();
    }

    void stop() override
    {
        stopping_ = true;
        timer_.cancel();
    }

    void drain() override
    {
        draining_ = true;
        update();
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
    void beat()
    {
        const MonotonicTime asked = monotonicNow();
        call_.wantsWorkers = call_.replica != ReplicaId {} && beats_++ % beatsPerList == 0;
        client_->call(call_, beatLimit, [this, asked](const Result<Reply> &reply) {
            if (stopping_) {
                return;
            }
            const PresenceReply *known =
                reply ? std::get_if<PresenceReply>(&reply.value()) : nullptr;
            if (known != nullptr) {
                touched_ = asked;
                leader_ = known->leader;
                client_->learnReplicas(known->replicas);
                if (!known->workers.empty()) {
                    leaderService_->learnWorkers(known->workers);
                }
            }
            update();
            schedule(asked);
        });
    }

    void schedule(MonotonicTime last)
    {
        timer_.expires_at(last + beatInterval);
        timer_.async_wait([this](const boost::system::error_code &error) {
            if (!error) {
                beat();
            }
        });
    }

    void update()
    {
        Readiness next = Readiness::Ready;
        if (draining_) {
            next = Readiness::Draining;
        } else if (touched_ == MonotonicTime {}) {
            next = Readiness::Starting;
        } else if (monotonicNow() - touched_ > touchLife) {
            next = Readiness::Isolated;
        }
        const Readiness before = readiness_.exchange(next);
        if (before != next) {
            logInfo("vm.readiness",
                {{"from", text(before)}, {"to", text(next)},
                    {"leader", leader_ ? leader_->ip : ""}});
        }
    }

    PresenceCall call_;
    LeaderClient *client_ = nullptr;
    Leader *leaderService_ = nullptr;
    std::uint64_t beats_ = 0;
    asio::steady_timer timer_;
    bool stopping_ = false;
    bool draining_ = false;
    MonotonicTime touched_ {}; // when the newest answered beat was sent
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
