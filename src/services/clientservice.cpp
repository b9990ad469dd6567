/// Calls to the leader: directly when it is this VM, else to where it was last seen, else to each
/// replica in turn until one knows it.

#include "src/services/clientservice.h"

#include "src/net/peerstream.h"

#include <algorithm>

namespace crocusmill
{

namespace
{

constexpr Milliseconds retryPause {50};
/// A leader answers within a tenth of this; one that does not may have been cut off or replaced.
constexpr Milliseconds oneTry {700};

class ClientService final : public Service, public LeaderClient
{
public:
    ClientService(asio::io_context &control, const Settings &settings)
        : control_(control)
        , self_(settings.peers.advertise)
    {
        for (const VoterSettings &voter : settings.peers.voters) {
            replicas_.push_back(voter.address);
        }
    }

    std::string_view name() const override
    {
        return names::client;
    }

    std::vector<std::string_view> needs() const override
    {
        return {names::peers, names::journal, names::leader};
    }

    Result<void> start(Kernel &kernel) override
    {
        peers_ = kernel.find<Peers>(names::peers);
        journal_ = kernel.find<Journal>(names::journal);
        leader_ = kernel.find<Leader>(names::leader);
        return success();
    }

    void stop() override
    {
        stopping_ = true;
    }

    void call(Call call, Milliseconds timeout, ReplyHandler done) override
    {
        const std::shared_ptr<Pending> pending = std::make_shared<Pending>(
            Pending {std::move(call), std::chrono::steady_clock::now() + timeout, std::move(done),
                asio::steady_timer {control_}});
        attempt(pending);
    }

    void learnReplicas(const std::vector<NodeAddress> &replicas) override
    {
        if (!replicas.empty()) {
            replicas_ = replicas;
        }
    }

    void learnSeeds(const std::vector<NodeAddress> &seeds) override
    {
        seeds_ = seeds;
    }

private:
    struct Pending
    {
        Call call;
        MonotonicTime until;
        ReplyHandler done;
        asio::steady_timer pause;
    };
    using PendingPtr = std::shared_ptr<Pending>;

    /// Proposals may have been appended before their reply was lost, but each command is
    /// idempotent by the ids it carries, so sending one again is safe.
    void attempt(const PendingPtr &pending)
    {
        const Milliseconds left = std::chrono::duration_cast<Milliseconds>(
            pending->until - std::chrono::steady_clock::now());
        if (stopping_ || left <= Milliseconds {0}) {
            pending->done(stopping_ ? PeerError::Stopping : PeerError::TimedOut);
            return;
        }
        const NodeAddress to = target();
        if (to == self_ && journal_->leads()) {
            leader_->handle(pending->call,
                [this, pending, to](const Result<Reply> &reply) { finish(pending, to, reply); });
            return;
        }
        if (to == self_) {
            forget(to);
            again(pending);
            return;
        }
        peers_->call(to, pending->call, std::min(left, oneTry),
            [this, pending, to](const Result<Reply> &reply) { finish(pending, to, reply); });
    }

    NodeAddress target()
    {
        if (journal_->leads()) {
            return self_;
        }
        if (known_) {
            return *known_;
        }
        const std::optional<NodeAddress> local = journal_->leader();
        if (local && *local != self_) {
            return *local;
        }
        next_ = (next_ + 1) % (replicas_.size() + seeds_.size());
        return next_ < replicas_.size() ? replicas_[next_] : seeds_[next_ - replicas_.size()];
    }

    void forget(const NodeAddress &address)
    {
        if (known_ == address) {
            known_.reset();
        }
    }

    void finish(const PendingPtr &pending, const NodeAddress &from, const Result<Reply> &reply)
    {
        if (!reply) {
            forget(from);
            again(pending);
            return;
        }
        const Redirect *redirect = std::get_if<Redirect>(&reply.value());
        if (redirect == nullptr) {
            known_ = from;
            pending->done(reply);
            return;
        }
        forget(from);
        if (redirect->leader && *redirect->leader != from) {
            known_ = redirect->leader;
        }
        again(pending);
    }

    void again(const PendingPtr &pending)
    {
        pending->pause.expires_after(retryPause);
        pending->pause.async_wait(
            [this, pending](const boost::system::error_code & /*error*/) { attempt(pending); });
    }

    asio::io_context &control_;
    NodeAddress self_;
    std::vector<NodeAddress> replicas_;
    std::vector<NodeAddress> seeds_; // of newer settings; may be stale or cut off themselves
    std::size_t next_ = 0;
    std::optional<NodeAddress> known_;
    Peers *peers_ = nullptr;
    Journal *journal_ = nullptr;
    Leader *leader_ = nullptr;
    bool stopping_ = false;
};

} // namespace

std::unique_ptr<Service> makeClientService(asio::io_context &control, const Settings &settings)
{
    return std::make_unique<ClientService>(control, settings);
}

} // namespace crocusmill
