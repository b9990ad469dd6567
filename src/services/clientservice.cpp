/// Sends calls to the leader: to this VM if it leads, else to the last known leader, else to each
/// replica in turn until one knows the leader. While the leader answers no calls, the others are
/// contacted as well, so that a new leader is found before the old one is given up.
///
/// A slow leader gets each call once; the client waits for its answer until the deadline. When too
/// many calls are open, queries and submissions are refused without being sent.

#include "src/services/clientservice.h"

#include "src/net/clock.h"
#include "src/net/peerstream.h"
#include "src/services/sharedqueries.h"
#include "src/services/unservedcalls.h"
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
/// The retry delay doubles up to this value while there is no leader.
constexpr Milliseconds maxRetryDelay {200};
/// A commit takes 20 to 60 ms; a VM that is silent for this long may no longer be the leader.
constexpr Milliseconds silenceTimeout {200};
/// About the time until a new leader is elected.
constexpr Milliseconds expectedElectionTime {1'000};
/// Maximum jitter added to the retry delay of refused calls, so that calls refused together are not
/// retried together.
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
        return {names::peers, names::journal, names::leader}; // answers if this VM leads
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
        std::set<NodeAddress> contactedReplicas; // since the last retry delay
        std::set<NodeAddress> awaitedReplicas; // those that have not answered yet
        std::optional<NodeAddress> firstReplica; // the first one contacted
        std::optional<NodeAddress> lastReplica; // the newest one contacted
        Milliseconds nextRetryDelay {initialRetryDelay};
        bool isOutcomeUnknown = false; // a VM may have executed the call
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
            recordUnserved(UnservedReason::OpenLimit, std::nullopt, Milliseconds {0});
            done(makeRefusal(limit_.retryAfter(), RefusalOrigin::OpenLimit));
            return;
        }
        const std::shared_ptr<Pending> pending =
            std::make_shared<Pending>(Pending {call, callClass, monotonicNow(), deadline, done,
                asio::steady_timer {control_}, asio::steady_timer {control_}, {}, {}, {}, {}});
        tryCall(pending);
    }

    Reply makeRefusal(Milliseconds retryAfter, RefusalOrigin origin)
    {
        std::uniform_int_distribution<std::int64_t> jitter {0, maxRetryJitter.count()};
        GraphReply refusal;
        refusal.outcome = GraphOutcome::Refused;
        refusal.refusedBy = origin;
        refusal.retryAfter = retryAfter + Milliseconds {jitter(random_)};
        return refusal;
    }

    /// Sends the call, possibly again. A proposal may have been appended before its reply was lost,
    /// but each command is idempotent by its ids, so a repeat is safe.
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

    /// Returns the reply if no leader was found in time. A call that was only redirected was not
    /// executed, so it can be refused.
    Result<Reply> makeNoLeaderReply(const Pending &pending)
    {
        if (isLimited(pending.callClass) && !pending.isOutcomeUnknown
            && pending.awaitedReplicas.empty()) {
            return makeRefusal(expectedElectionTime, RefusalOrigin::NoLeader);
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
            // Other calls waited for a new leader, not for a slow one.
            if (knownLeader_ && pending->firstReplica == knownLeader_
                && !pending->isOutcomeUnknown) {
                limit_.recordAnswer(pending->startedAt, monotonicNow());
            }
            limit_.release();
        }
        if (const std::optional<UnservedReason> reason = unservedReason(reply)) {
            recordUnserved(*reason, pending->lastReplica,
                std::chrono::duration_cast<Milliseconds>(monotonicNow() - pending->startedAt));
        }
        pending->done(reply);
    }

    void recordUnserved(
        UnservedReason reason, const std::optional<NodeAddress> &lastAsked, Milliseconds waited)
    {
        unservedCalls_.record(reason,
            {lastAsked, knownLeader_, lastLeaderContact_, waited, limit_.openCount(),
                limit_.limit()},
            monotonicNow());
    }

    void sendTo(const PendingPtr &pending, const NodeAddress &to)
    {
        pending->contactedReplicas.insert(to);
        pending->awaitedReplicas.insert(to);
        if (!pending->firstReplica) {
            pending->firstReplica = to;
        }
        pending->lastReplica = to;
        peers_->call(to, pending->call, std::max(remainingTime(*pending), Milliseconds {1}),
            [this, pending, to](const Result<Reply> &reply) { onReply(pending, to, reply); });
    }

    /// Contacts one more replica each time the leader has answered no call for `silenceTimeout`.
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

    /// Returns the next replica in turn that is not in `awaitedReplicas`.
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

    /// Returns whether this VM leads, or will lead once it holds the lease again.
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

    bool isBelievedLeader(const NodeAddress &address) const
    {
        return knownLeader_ == address || journal_->leader() == address
            || (address == self_ && isLeader());
    }

    void forgetLeader(const NodeAddress &address)
    {
        if (knownLeader_ == address) {
            knownLeader_.reset();
        }
    }

    /// Sets the leader, as reported by itself or by another replica.
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
        const bool isRefused = reply && isRefusal(reply.value());
        if (reply && redirect == nullptr && (!isRefused || isBelievedLeader(from))) {
            if (!isRefused) {
                learnLeader(from);
            }
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

    /// Returns whether the call was refused unread, by the queue of any replica. Only other answers
    /// show that the replica leads.
    static bool isRefusal(const Reply &reply)
    {
        const GraphReply *graphReply = std::get_if<GraphReply>(&reply);
        return graphReply != nullptr && graphReply->outcome == GraphOutcome::Refused;
    }

    /// Replaces a refusal of a submission by a timeout if an earlier copy may have been accepted.
    Result<Reply> checkRefusal(const Pending &pending, const Reply &reply)
    {
        if (!isRefusal(reply)) {
            return reply;
        }
        const bool canBeAccepted = pending.isOutcomeUnknown || !pending.awaitedReplicas.empty();
        if (pending.callClass == CallClass::Submission && canBeAccepted) {
            return PeerError::TimedOut;
        }
        return makeRefusal(std::get<GraphReply>(reply).retryAfter, RefusalOrigin::Leader);
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
    std::vector<NodeAddress> seeds_; // from newer settings; may be stale or disconnected themselves
    std::size_t nextReplica_ = 0;
    std::optional<NodeAddress> knownLeader_;
    MonotonicTime lastLeaderContact_ {}; // when knownLeader_ last answered or was reported
    OpenLimit limit_;
    UnservedCalls unservedCalls_;
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
