/// Calls to the leader: directly when it is this VM, else to where it was last seen, else to each
/// replica in turn until one knows it. While the leader answers nobody, the others are asked as
/// well, so that a new one is found before the old one is given up.
///
/// A leader that is slow has the call already: it gets it once, and is waited for as long as the
/// caller waits. Beyond a limit on such calls, questions and submissions are refused unsent.

#include "src/services/clientservice.h"

#include "src/net/clock.h"
#include "src/net/peerstream.h"
#include "src/services/sharedqueries.h"
#include "src/wire/callclass.h"

#include <crocusmill/openlimit.h>

#include <algorithm>
#include <random>
#include <set>

namespace crocusmill
{

namespace
{

constexpr Milliseconds initialRetryDelay {50};
/// It doubles up to this while nobody leads.
constexpr Milliseconds maxRetryDelay {200};
/// A commit takes 20 to 60 ms; a VM that is silent this long may lead no more.
constexpr Milliseconds silenceTimeout {200};
/// Without a leader there is one again after about this long.
constexpr Milliseconds expectedElectionTime {1'000};
/// Up to this is added to the time after which a refused call may come again, so that those that
/// were refused together do not come back together.
constexpr Milliseconds maxRetryJitter {1'000};

class ClientService final : public Service, public LeaderClient
{
public:
    ClientService(asio::io_context &control, const Settings &settings)
        : control_(control)
        , self_(settings.peers.advertise)
        , sharedQueries_([this](const Call &call, MonotonicTime deadline,
                             const ReplyHandler &done) { callWithinLimit(call, deadline, done); })
    {
        for (const VoterSettings &voter : settings.peers.voters) {
            replicas_.push_back(voter.address);
        }
    }

    std::string_view name() const override
    {
        return names::client;
    }

    std::vector<std::string_view> dependencies() const override
    {
        return {names::peers, names::journal, names::leader}; // which answers, when it is this VM
    }

    Result<void> start(Kernel &kernel) override
    {
        peers_ = kernel.find<Peers>(names::peers);
        journal_ = kernel.find<Journal>(names::journal);
        return success();
    }

    void stop() override
    {
        isStopping_ = true;
    }

    void call(Call call, Milliseconds timeout, ReplyHandler done) override
    {
        const MonotonicTime deadline = monotonicNow() + timeout;
        if (callClassOf(call) == CallClass::Query) {
            sharedQueries_.query(call, deadline, std::move(done));
        } else {
            callWithinLimit(call, deadline, done);
        }
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
        CallClass callClass = CallClass::Presence;
        MonotonicTime startedAt;
        MonotonicTime deadline;
        ReplyHandler done;
        asio::steady_timer retryTimer;
        asio::steady_timer silenceTimer;
        std::set<NodeAddress> contactedReplicas; // since the last pause
        std::set<NodeAddress> awaitedReplicas; // those of them that have not answered yet
        std::optional<NodeAddress> firstReplica; // of those asked
        Milliseconds nextRetryDelay {initialRetryDelay};
        bool isOutcomeUnknown = false; // a VM that it was sent to may have carried it out
        bool isAnswered = false;
    };
    using PendingPtr = std::shared_ptr<Pending>;

    static bool isLimited(CallClass callClass)
    {
        return callClass == CallClass::Query || callClass == CallClass::Submission;
    }

    void callWithinLimit(const Call &call, MonotonicTime deadline, const ReplyHandler &done)
    {
        const CallClass callClass = callClassOf(call);
        if (isLimited(callClass) && !limit_.take()) {
            done(makeRefusal(limit_.retryAfter()));
            return;
        }
        const std::shared_ptr<Pending> pending =
            std::make_shared<Pending>(Pending {call, callClass, monotonicNow(), deadline, done,
                asio::steady_timer {control_}, asio::steady_timer {control_}, {}, {}});
        tryCall(pending);
    }

    Reply makeRefusal(Milliseconds retryAfter)
    {
        std::uniform_int_distribution<std::int64_t> jitter {0, maxRetryJitter.count()};
        GraphReply refusal;
        refusal.outcome = GraphOutcome::Refused;
        refusal.retryAfter = retryAfter + Milliseconds {jitter(random_)};
        return refusal;
    }

    /// Proposals may have been appended before their reply was lost, but each command is
    /// idempotent by the ids it carries, so sending one again is safe.
    void tryCall(const PendingPtr &pending)
    {
        if (pending->isAnswered) {
            return;
        }
        const Milliseconds remaining = remainingTime(*pending);
        if (isStopping_) {
            complete(pending, PeerError::Stopping);
            return;
        }
        if (remaining <= Milliseconds {0}) {
            complete(pending, makeNoLeaderReply(*pending));
            return;
        }
        pending->contactedReplicas.clear();
        const NodeAddress to = chooseTarget();
        if (to == self_ && !isLeader()) {
            forgetLeader(to);
            retryLater(pending);
            return;
        }
        sendTo(pending, to);
        if (!pending->isAnswered) {
            watchForSilence(pending);
        }
    }

    /// No leader was found in time. What was only ever redirected was not carried out.
    Result<Reply> makeNoLeaderReply(const Pending &pending)
    {
        if (isLimited(pending.callClass) && !pending.isOutcomeUnknown
            && pending.awaitedReplicas.empty()) {
            return makeRefusal(expectedElectionTime);
        }
        return PeerError::TimedOut;
    }

    static Milliseconds remainingTime(const Pending &pending)
    {
        return std::chrono::duration_cast<Milliseconds>(pending.deadline - monotonicNow());
    }

    void complete(const PendingPtr &pending, const Result<Reply> &reply)
    {
        pending->isAnswered = true;
        pending->retryTimer.cancel();
        pending->silenceTimer.cancel();
        if (isLimited(pending->callClass)) {
            // Otherwise it waited for a new leader, not for a slow one.
            if (knownLeader_ && pending->firstReplica == knownLeader_
                && !pending->isOutcomeUnknown) {
                limit_.recordAnswer(pending->startedAt, monotonicNow());
            }
            limit_.release();
        }
        pending->done(reply);
    }

    void sendTo(const PendingPtr &pending, const NodeAddress &to)
    {
        pending->contactedReplicas.insert(to);
        pending->awaitedReplicas.insert(to);
        if (!pending->firstReplica) {
            pending->firstReplica = to;
        }
        peers_->call(to, pending->call, std::max(remainingTime(*pending), Milliseconds {1}),
            [this, pending, to](const Result<Reply> &reply) { onReply(pending, to, reply); });
    }

    /// Each time the leader has answered nobody for a while, asks one more replica.
    void watchForSilence(const PendingPtr &pending)
    {
        pending->silenceTimer.expires_after(std::min(silenceTimeout, remainingTime(*pending)));
        pending->silenceTimer.async_wait([this, pending](const boost::system::error_code &error) {
            if (error || isStopping_ || pending->isAnswered) {
                return;
            }
            if (remainingTime(*pending) <= Milliseconds {0}) {
                complete(pending, PeerError::TimedOut);
                return;
            }
            sendToAnother(pending);
            if (!pending->isAnswered) {
                watchForSilence(pending);
            }
        });
    }

    void sendToAnother(const PendingPtr &pending)
    {
        if (isLeader() && pending->awaitedReplicas.contains(self_)) {
            return;
        }
        if (knownLeader_ && *knownLeader_ != self_
            && !pending->awaitedReplicas.contains(*knownLeader_)) {
            sendTo(pending, *knownLeader_);
            return;
        }
        if (knownLeader_ && monotonicNow() - lastLeaderContact_ <= silenceTimeout) {
            return;
        }
        if (const std::optional<NodeAddress> other = nextReplicaExcept(pending->awaitedReplicas)) {
            sendTo(pending, *other);
        }
    }

    /// The next replica in turn that no call is open to.
    std::optional<NodeAddress> nextReplicaExcept(const std::set<NodeAddress> &awaitedReplicas)
    {
        for (std::size_t i = 0; i < replicas_.size(); ++i) {
            nextReplica_ = (nextReplica_ + 1) % replicas_.size();
            const NodeAddress &replica = replicas_[nextReplica_];
            if (replica != self_ && !awaitedReplicas.contains(replica)) {
                return replica;
            }
        }
        return std::nullopt;
    }

    /// This VM leads, or will when it holds the lease again.
    bool isLeader() const
    {
        return journal_->isLeading() || journal_->leader() == self_;
    }

    NodeAddress chooseTarget()
    {
        if (isLeader()) {
            return self_;
        }
        if (knownLeader_) {
            return *knownLeader_;
        }
        const std::optional<NodeAddress> local = journal_->leader();
        if (local && *local != self_) {
            return *local;
        }
        nextReplica_ = (nextReplica_ + 1) % (replicas_.size() + seeds_.size());
        return nextReplica_ < replicas_.size() ? replicas_[nextReplica_]
                                               : seeds_[nextReplica_ - replicas_.size()];
    }

    void forgetLeader(const NodeAddress &address)
    {
        if (knownLeader_ == address) {
            knownLeader_.reset();
        }
    }

    /// `address` leads, as itself or a replica says.
    void learnLeader(const NodeAddress &address)
    {
        knownLeader_ = address;
        lastLeaderContact_ = monotonicNow();
    }

    void onReply(const PendingPtr &pending, const NodeAddress &from, const Result<Reply> &reply)
    {
        if (pending->isAnswered) {
            return;
        }
        pending->awaitedReplicas.erase(from);
        const Redirect *redirect = reply ? std::get_if<Redirect>(&reply.value()) : nullptr;
        if (reply && redirect == nullptr) {
            learnLeader(from);
            complete(pending, checkRefusal(*pending, reply.value()));
            return;
        }
        forgetLeader(from);
        pending->isOutcomeUnknown = pending->isOutcomeUnknown || !reply;
        if (redirect != nullptr && redirect->leader && *redirect->leader != from) {
            learnLeader(*redirect->leader);
            if (!pending->contactedReplicas.contains(*knownLeader_)) {
                sendTo(pending, *knownLeader_);
            }
        }
        if (pending->awaitedReplicas.empty()) {
            retryLater(pending);
        }
    }

    /// A refusal as it may be passed on: a copy that was sent before may have been accepted.
    Result<Reply> checkRefusal(const Pending &pending, const Reply &reply)
    {
        const GraphReply *graphReply = std::get_if<GraphReply>(&reply);
        if (graphReply == nullptr || graphReply->outcome != GraphOutcome::Refused) {
            return reply;
        }
        const bool canBeAccepted = pending.isOutcomeUnknown || !pending.awaitedReplicas.empty();
        if (pending.callClass == CallClass::Submission && canBeAccepted) {
            return PeerError::TimedOut;
        }
        return makeRefusal(graphReply->retryAfter);
    }

    void retryLater(const PendingPtr &pending)
    {
        pending->silenceTimer.cancel();
        pending->retryTimer.expires_after(pending->nextRetryDelay);
        pending->nextRetryDelay = std::min(pending->nextRetryDelay * 2, maxRetryDelay);
        pending->retryTimer.async_wait(
            [this, pending](const boost::system::error_code & /*error*/) { tryCall(pending); });
    }

    asio::io_context &control_;
    NodeAddress self_;
    std::vector<NodeAddress> replicas_;
    std::vector<NodeAddress> seeds_; // of newer settings; may be stale or cut off themselves
    std::size_t nextReplica_ = 0;
    std::optional<NodeAddress> knownLeader_;
    MonotonicTime lastLeaderContact_ {}; // when known_ last answered or was named
    OpenLimit limit_;
    SharedQueries sharedQueries_;
    std::minstd_rand random_ {std::random_device {}()};
    Peers *peers_ = nullptr;
    Journal *journal_ = nullptr;
    bool isStopping_ = false;
};

} // namespace

std::unique_ptr<Service> makeClientService(asio::io_context &control, const Settings &settings)
{
    return std::make_unique<ClientService>(control, settings);
}

} // namespace crocusmill
