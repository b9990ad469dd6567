/// A leader whose control thread is too slow for the calls that come, replayed in virtual time:
/// what callers get, and how long the journal's and the workers' work waits behind calls.

#include <crocusmill/callqueue.h>
#include <crocusmill/openlimit.h>

#include <catch2/catch.hpp>

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace crocusmill
{

namespace
{

using Nanoseconds = std::chrono::nanoseconds;

constexpr std::size_t entries = 31;
constexpr Milliseconds hop {1};
constexpr Milliseconds patience {2'850};
constexpr Milliseconds commit {30};
constexpr int mostAttempts = 5;
constexpr Milliseconds warmUp {6'000};
constexpr Milliseconds length {16'000};
// What the control thread does for a call, and beside calls.
constexpr Microseconds reading {20};
constexpr Microseconds refusing {20};
constexpr Microseconds questionCost {200};
constexpr Microseconds submissionCost {500};
constexpr Microseconds journalCost {50};
constexpr Milliseconds journalInterval {5};
constexpr Microseconds workerCost {150};
constexpr Microseconds workerInterval {1'250};
constexpr Milliseconds roundCost {4};
constexpr Milliseconds roundInterval {25};
/// Clients' requests that the thread can handle beside all else.
constexpr double capacity = 2'400;
constexpr double questionShare = 0.7;

struct Outcome
{
    double goodput = 0; // clients' requests answered a second
    double sentPerAttempt = 0; // calls sent to the leader for each attempt of a client
    Milliseconds worstOther {0}; // that work which is no call waited
    double refusedAtOnce = 0; // of the attempts that were not answered
};

class Replay
{
public:
    /// `ordered`: calls wait in a CallQueue and entries have an OpenLimit; otherwise they are
    /// handled as they come, and an entry sends a call again when it is not answered soon.
    Replay(double load, bool ordered, Milliseconds round = roundCost)
        : load_(load)
        , ordered_(ordered)
        , round_(round)
        , limits_(entries)
    {
    }

    Outcome play()
    {
        every(journalInterval, journalCost);
        every(workerInterval, workerCost);
        scheduleRound();
        arrive();
        while (now_ < start() + length) {
            deliverDue();
            if (inbox_.empty() && queue_.size() == 0) {
                now_ = events_.begin()->first;
                continue;
            }
            handleInbox();
            takeTurn();
        }
        const double seconds = std::chrono::duration<double> {length - warmUp}.count();
        Outcome outcome;
        outcome.goodput = answered_ / seconds;
        outcome.sentPerAttempt = sent_ / attempts_;
        outcome.worstOther = std::chrono::ceil<Milliseconds>(worstOther_);
        outcome.refusedAtOnce = refused_ / std::max(refused_ + gaveUp_, 1.0);
        return outcome;
    }

private:
    struct Request
    {
        bool question = false;
        int attempts = 0;
    };
    using RequestPtr = std::shared_ptr<Request>;

    /// One attempt of a client at an entry.
    struct Attempt
    {
        RequestPtr request;
        std::size_t entry = 0;
        MonotonicTime sent;
        bool over = false;
    };
    using AttemptPtr = std::shared_ptr<Attempt>;

    /// Ready for the leader's thread.
    struct Item
    {
        MonotonicTime arrived;
        Nanoseconds cost {0};
        AttemptPtr call; // null: the journal, a worker or a round
        bool round = false; // the next one is due some time after it
    };

    static MonotonicTime start()
    {
        return MonotonicTime {} + std::chrono::hours {1};
    }

    bool counts() const
    {
        return now_ >= start() + warmUp;
    }

    void in(Nanoseconds time, std::function<void()> event)
    {
        events_.emplace(now_ + time, std::move(event));
    }

    void every(Nanoseconds interval, Nanoseconds cost)
    {
        in(interval, [this, interval, cost]() {
            inbox_.push_back({now_, cost, nullptr});
            every(interval, cost);
        });
    }

    void scheduleRound()
    {
        in(roundInterval, [this]() { inbox_.push_back({now_, round_, nullptr, true}); });
    }

    void deliverDue()
    {
        const MonotonicTime until = now_;
        while (!events_.empty() && events_.begin()->first <= until) {
            const auto first = events_.begin();
            const std::function<void()> event = first->second;
            now_ = first->first; // when it happened, though the thread was busy
            events_.erase(first);
            event();
        }
        now_ = until;
    }

    void arrive()
    {
        std::exponential_distribution<double> gap {load_ * capacity};
        in(std::chrono::duration_cast<Nanoseconds>(std::chrono::duration<double> {gap(random_)}),
            [this]() {
                const RequestPtr request = std::make_shared<Request>();
                request->question = std::bernoulli_distribution {questionShare}(random_);
                attempt(request);
                arrive();
            });
    }

    void attempt(const RequestPtr &request)
    {
        if (request->attempts++ >= mostAttempts) {
            return;
        }
        const AttemptPtr made = std::make_shared<Attempt>();
        made->request = request;
        made->entry = std::uniform_int_distribution<std::size_t> {0, entries - 1}(random_);
        made->sent = now_;
        attempts_ += counts() ? 1 : 0;
        OpenLimit &limit = limits_.at(made->entry);
        if (ordered_ && !limit.take()) {
            refuse(made, limit.retryAfter());
            return;
        }
        in(patience, [this, made]() { giveUp(made); });
        send(made);
    }

    void send(const AttemptPtr &made)
    {
        sent_ += counts() ? 1 : 0;
        in(hop, [this, made]() { inbox_.push_back({now_, reading, made}); });
        constexpr Milliseconds oneTry {700};
        if (!ordered_) {
            in(oneTry, [this, made]() {
                if (!made->over) {
                    send(made);
                }
            });
        }
    }

    void giveUp(const AttemptPtr &made)
    {
        if (std::exchange(made->over, true)) {
            return;
        }
        gaveUp_ += counts() ? 1 : 0;
        if (ordered_) {
            limits_.at(made->entry).answered(made->sent, now_);
            limits_.at(made->entry).release();
        }
        retry(made->request, Milliseconds {0});
    }

    void refuse(const AttemptPtr &made, Milliseconds retryAfter)
    {
        made->over = true;
        refused_ += counts() ? 1 : 0;
        retry(made->request, std::chrono::ceil<std::chrono::seconds>(retryAfter));
    }

    void retry(const RequestPtr &request, Milliseconds pause)
    {
        std::uniform_int_distribution<int> jitter {100, 1'100};
        in(pause + Milliseconds {jitter(random_)}, [this, request]() { attempt(request); });
    }

    void handleInbox()
    {
        const std::size_t ready = inbox_.size();
        for (std::size_t i = 0; i < ready && now_ < start() + length; ++i) {
            const Item item = inbox_.front();
            inbox_.pop_front();
            if (!item.call) {
                worstOther_ = std::max<Nanoseconds>(worstOther_, now_ - item.arrived);
                now_ += item.cost;
                if (item.round) {
                    scheduleRound();
                }
            } else {
                now_ += item.cost;
                takeIn(item.call);
            }
            deliverDue();
        }
    }

    void takeIn(const AttemptPtr &made)
    {
        if (!ordered_) {
            handle(made);
            return;
        }
        const CallClass callClass =
            made->request->question ? CallClass::Question : CallClass::Submission;
        const std::optional<Milliseconds> refused =
            queue_.add(callClass, {++lastId_, now_, now_ + patience}, now_);
        if (refused) {
            now_ += refusing;
            in(hop, [this, made, wait = *refused]() { answerRefused(made, wait); });
            return;
        }
        waiting_[lastId_] = made;
    }

    void answerRefused(const AttemptPtr &made, Milliseconds wait)
    {
        if (made->over) {
            return;
        }
        limits_.at(made->entry).answered(made->sent, now_);
        limits_.at(made->entry).release();
        refuse(made, wait);
    }

    void takeTurn()
    {
        const MonotonicTime until =
            now_ + turnBudget(std::chrono::duration_cast<Microseconds>(now_ - turnEnded_));
        while (now_ < until) {
            const std::optional<CallQueue::Turn> turn = queue_.next(now_);
            if (!turn) {
                break;
            }
            const auto found = waiting_.find(turn->id);
            const AttemptPtr made = found->second;
            waiting_.erase(found);
            if (!turn->expired) {
                handle(made);
            }
        }
        turnEnded_ = now_;
    }

    void handle(const AttemptPtr &made)
    {
        const bool question = made->request->question;
        now_ += question ? questionCost : submissionCost;
        in(question ? hop : hop + commit, [this, made]() { answer(made); });
    }

    void answer(const AttemptPtr &made)
    {
        if (std::exchange(made->over, true)) {
            return;
        }
        answered_ += counts() ? 1 : 0;
        if (ordered_) {
            limits_.at(made->entry).answered(made->sent, now_);
            limits_.at(made->entry).release();
        }
    }

    double load_;
    bool ordered_;
    Milliseconds round_;
    std::mt19937 random_ {20261204};
    MonotonicTime now_ = start();
    MonotonicTime turnEnded_ = start();
    std::multimap<MonotonicTime, std::function<void()>> events_;
    std::deque<Item> inbox_;
    CallQueue queue_;
    std::map<std::uint64_t, AttemptPtr> waiting_;
    std::uint64_t lastId_ = 0;
    std::vector<OpenLimit> limits_;
    Nanoseconds worstOther_ {0};
    double attempts_ = 0;
    double sent_ = 0;
    double answered_ = 0;
    double refused_ = 0;
    double gaveUp_ = 0;
};

std::string describe(const Outcome &outcome)
{
    return "goodput " + std::to_string(outcome.goodput) + "/s, sent for each attempt "
        + std::to_string(outcome.sentPerAttempt) + ", longest wait of other work "
        + std::to_string(outcome.worstOther.count()) + " ms, refused at once "
        + std::to_string(outcome.refusedAtOnce);
}

} // namespace

TEST_CASE("a leader under three times its load answers as much as at its best")
{
    double best = 0;
    double last = 0;
    for (const double load : {0.5, 1.0, 2.0, 3.0}) {
        const Outcome outcome = Replay {load, true}.play();
        INFO("load " << load << ": " << describe(outcome));
        best = std::max(best, outcome.goodput);
        last = outcome.goodput;
        CHECK(outcome.sentPerAttempt <= 1.1);
        CHECK(outcome.worstOther <= Milliseconds {20});
        if (load > 1) {
            CHECK(outcome.refusedAtOnce >= 0.95);
        }
    }
    CHECK(last >= 0.95 * best);
}

TEST_CASE("a leader that takes calls as they come collapses under twice its load")
{
    const Outcome ordered = Replay {2, true}.play();
    const Outcome outcome = Replay {2, false}.play();
    INFO(describe(outcome));
    CHECK(outcome.goodput < ordered.goodput / 2);
    CHECK(outcome.worstOther > Milliseconds {400}); // an election's time
    CHECK(outcome.sentPerAttempt > 2);
}

TEST_CASE("rounds that take most of the thread's time leave a part of it for calls")
{
    constexpr Milliseconds longRound {200};
    const Outcome outcome = Replay {1, true, longRound}.play();
    INFO(describe(outcome));
    CHECK(outcome.goodput >= 0.1 * capacity);
    CHECK(outcome.refusedAtOnce >= 0.95);
}

} // namespace crocusmill
