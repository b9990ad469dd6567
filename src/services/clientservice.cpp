/// Calls to the leader: directly when it is this VM, else to where it was last seen, else to each
/// replica in turn until one knows it. While the leader answers nobody, the others are asked as
/// well, so that a new one is found before the old one is given up.
///
/// A leader that is slow has the call already: it gets it once, and is waited for as long as the
/// caller waits. Beyond a limit on such calls, questions and submissions are refused unsent.

#include "src/services/clientservice.h"

#include "src/net/clock.h"
#include "src/net/peerstream.h"
#include "src/services/sharedquestions.h"
#include "src/wire/callclass.h"

#include <crocusmill/openlimit.h>

#include <algorithm>
#include <random>
#include <set>

namespace crocusmill
{

namespace
{

constexpr Milliseconds retryPause {50};
/// It doubles up to this while nobody leads.
constexpr Milliseconds mostRetryPause {200};
/// A commit takes 20 to 60 ms; a VM that is silent this long may lead no more.
constexpr Milliseconds silence {200};
/// Without a leader there is one again after about this long.
constexpr Milliseconds election {1'000};
/// Up to this is added to the time after which a refused call may come again, so that those that
/// were refused together do not come back together.
constexpr Milliseconds mostRetryJitter {1'000};

class ClientService final : public Service, public LeaderClient
{
public:
    ClientService(asio::io_context &control, const Settings &settings)
        : control_(control)
        , self_(settings.peers.advertise)
        , questions_([this](const Call &call, MonotonicTime until, const ReplyHandler &done) {
            callWithinLimit(call, until, done);
        })
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
        stopping_ = true;
    }

    void call(Call call, Milliseconds timeout, ReplyHandler done) override
    {
        const MonotonicTime until = monotonicNow() + timeout;
        if (callClassOf(call) == CallClass::Query) {
            questions_.ask(call, until, std::move(done));
        } else {
            callWithinLimit(call, until, done);
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
        MonotonicTime began;
        MonotonicTime until;
        ReplyHandler done;
        asio::steady_timer pause;
        asio::steady_timer silence;
        std::set<NodeAddress> asked; // since the last pause
        std::set<NodeAddress> open; // those of them that have not answered yet
        std::optional<NodeAddress> first; // of those asked
        Milliseconds nextPause {retryPause};
        bool outcomeUnknown = false; // a VM that it was sent to may have carried it out
        bool answered = false;
    };
    using PendingPtr = std::shared_ptr<Pending>;

    static bool isLimited(CallClass callClass)
    {
        return callClass == CallClass::Query || callClass == CallClass::Submission;
    }

    void callWithinLimit(const Call &call, MonotonicTime until, const ReplyHandler &done)
    {
        const CallClass callClass = callClassOf(call);
        if (isLimited(callClass) && !limit_.take()) {
            done(refusal(limit_.retryAfter()));
            return;
        }
        const std::shared_ptr<Pending> pending =
            std::make_shared<Pending>(Pending {call, callClass, monotonicNow(), until, done,
                asio::steady_timer {control_}, asio::steady_timer {control_}, {}, {}});
        attempt(pending);
    }

    Reply refusal(Milliseconds retryAfter)
    {
        std::uniform_int_distribution<std::int64_t> jitter {0, mostRetryJitter.count()};
        GraphReply refused;
        refused.outcome = GraphOutcome::Refused;
        refused.retryAfter = retryAfter + Milliseconds {jitter(random_)};
        return refused;
    }

    /// Proposals may have been appended before their reply was lost, but each command is
    /// idempotent by the ids it carries, so sending one again is safe.
    void attempt(const PendingPtr &pending)
    {
        if (pending->answered) {
            return;
        }
        const Milliseconds left = timeLeft(*pending);
        if (stopping_) {
            answer(pending, PeerError::Stopping);
            return;
        }
        if (left <= Milliseconds {0}) {
            answer(pending, unled(*pending));
            return;
        }
        pending->asked.clear();
        const NodeAddress to = target();
        if (to == self_ && !isLeader()) {
            forget(to);
            again(pending);
            return;
        }
        ask(pending, to);
        if (!pending->answered) {
            watch(pending);
        }
    }

    /// No leader was found in time. What was only ever redirected was not carried out.
    Result<Reply> unled(const Pending &pending)
    {
        if (isLimited(pending.callClass) && !pending.outcomeUnknown && pending.open.empty()) {
            return refusal(election);
        }
        return PeerError::TimedOut;
    }

    static Milliseconds timeLeft(const Pending &pending)
    {
        return std::chrono::duration_cast<Milliseconds>(pending.until - monotonicNow());
    }

    void answer(const PendingPtr &pending, const Result<Reply> &reply)
    {
        pending->answered = true;
        pending->pause.cancel();
        pending->silence.cancel();
        if (isLimited(pending->callClass)) {
            // Otherwise it waited for a new leader, not for a slow one.
            if (known_ && pending->first == known_ && !pending->outcomeUnknown) {
                limit_.recordAnswer(pending->began, monotonicNow());
            }
            limit_.release();
        }
        pending->done(reply);
    }

    void ask(const PendingPtr &pending, const NodeAddress &to)
    {
        pending->asked.insert(to);
        pending->open.insert(to);
        if (!pending->first) {
            pending->first = to;
        }
        peers_->call(to, pending->call, std::max(timeLeft(*pending), Milliseconds {1}),
            [this, pending, to](const Result<Reply> &reply) { finish(pending, to, reply); });
    }

    /// Each time the leader has answered nobody for a while, asks one more replica.
    void watch(const PendingPtr &pending)
    {
        pending->silence.expires_after(std::min(silence, timeLeft(*pending)));
        pending->silence.async_wait([this, pending](const boost::system::error_code &error) {
            if (error || stopping_ || pending->answered) {
                return;
            }
            if (timeLeft(*pending) <= Milliseconds {0}) {
                answer(pending, PeerError::TimedOut);
                return;
            }
            askAnother(pending);
            if (!pending->answered) {
                watch(pending);
            }
        });
    }

    void askAnother(const PendingPtr &pending)
    {
        if (isLeader() && pending->open.contains(self_)) {
            return;
        }
        if (known_ && *known_ != self_ && !pending->open.contains(*known_)) {
            ask(pending, *known_);
            return;
        }
        if (known_ && monotonicNow() - leaderHeard_ <= silence) {
            return;
        }
        if (const std::optional<NodeAddress> other = nextBut(pending->open)) {
            ask(pending, *other);
        }
    }

    /// The next replica in turn that no call is open to.
    std::optional<NodeAddress> nextBut(const std::set<NodeAddress> &open)
    {
        for (std::size_t i = 0; i < replicas_.size(); ++i) {
            next_ = (next_ + 1) % replicas_.size();
            const NodeAddress &replica = replicas_[next_];
            if (replica != self_ && !open.contains(replica)) {
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

    NodeAddress target()
    {
        if (isLeader()) {
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

    /// `address` leads, as itself or a replica says.
    void learnLeader(const NodeAddress &address)
    {
        known_ = address;
        leaderHeard_ = monotonicNow();
    }

    void finish(const PendingPtr &pending, const NodeAddress &from, const Result<Reply> &reply)
    {
        if (pending->answered) {
            return;
        }
        pending->open.erase(from);
        const Redirect *redirect = reply ? std::get_if<Redirect>(&reply.value()) : nullptr;
        if (reply && redirect == nullptr) {
            learnLeader(from);
            answer(pending, settled(*pending, reply.value()));
            return;
        }
        forget(from);
        pending->outcomeUnknown = pending->outcomeUnknown || !reply;
        if (redirect != nullptr && redirect->leader && *redirect->leader != from) {
            learnLeader(*redirect->leader);
            if (!pending->asked.contains(*known_)) {
                ask(pending, *known_);
            }
        }
        if (pending->open.empty()) {
            again(pending);
        }
    }

    /// A refusal as it may be passed on: a copy that was sent before may have been accepted.
    Result<Reply> settled(const Pending &pending, const Reply &reply)
    {
        const GraphReply *known = std::get_if<GraphReply>(&reply);
        if (known == nullptr || known->outcome != GraphOutcome::Refused) {
            return reply;
        }
        const bool mayBeAccepted = pending.outcomeUnknown || !pending.open.empty();
        if (pending.callClass == CallClass::Submission && mayBeAccepted) {
            return PeerError::TimedOut;
        }
        return refusal(known->retryAfter);
    }

    void again(const PendingPtr &pending)
    {
        pending->silence.cancel();
        pending->pause.expires_after(pending->nextPause);
        pending->nextPause = std::min(pending->nextPause * 2, mostRetryPause);
        pending->pause.async_wait(
            [this, pending](const boost::system::error_code & /*error*/) { attempt(pending); });
    }

    asio::io_context &control_;
    NodeAddress self_;
    std::vector<NodeAddress> replicas_;
    std::vector<NodeAddress> seeds_; // of newer settings; may be stale or cut off themselves
    std::size_t next_ = 0;
    std::optional<NodeAddress> known_;
    MonotonicTime leaderHeard_ {}; // when known_ last answered or was named
    OpenLimit limit_;
    SharedQuestions questions_;
    std::minstd_rand random_ {std::random_device {}()};
    Peers *peers_ = nullptr;
    Journal *journal_ = nullptr;
    bool stopping_ = false;
};

} // namespace

std::unique_ptr<Service> makeClientService(asio::io_context &control, const Settings &settings)
{
    return std::make_unique<ClientService>(control, settings);
}

} // namespace crocusmill
