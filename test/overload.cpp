/// Overload of the leader's control thread, simulated in virtual time. Checks the goodput of
/// clients and how long the work of the journal and of workers waits behind calls.

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
constexpr Milliseconds networkDelay {1};
constexpr Milliseconds callTimeout {2'850};
constexpr Milliseconds commitDelay {30};
constexpr int maxAttempts = 5;
constexpr Milliseconds warmUp {6'000};
constexpr Milliseconds duration {16'000};
// Cost on the control thread, for calls and for other work.
constexpr Microseconds readCost {20};
constexpr Microseconds refuseCost {20};
constexpr Microseconds queryCost {200};
constexpr Microseconds submissionCost {500};
constexpr Microseconds journalCost {50};
constexpr Milliseconds journalInterval {5};
constexpr Microseconds workerCost {150};
constexpr Microseconds workerInterval {1'250};
constexpr Milliseconds defaultRoundCost {4};
constexpr Milliseconds roundInterval {25};
/// Client requests per second that the thread can handle besides other work.
constexpr double capacity = 2'400;
constexpr double queryShare = 0.7;

struct Outcome
{
    double goodput = 0; // client requests answered per second
    double callsPerAttempt = 0; // calls sent to the leader per client attempt
    Milliseconds maxOtherWait {0}; // longest wait of work other than calls
    double earlyRefusalShare = 0; // share of unanswered attempts that were refused, not timed out
};

class Simulation
{
public:
    /// With `isControlled`, calls wait in a CallQueue and entries have an OpenLimit. Otherwise they
    /// are handled in order of arrival, and an entry resends a call that is not answered in 700 ms.
    Simulation(double load, bool isControlled, Milliseconds roundCost = defaultRoundCost)
        : load_(load)
        , isControlled_(isControlled)
        , roundCost_(roundCost)
        , limits_(entries)
    {
    }

    Outcome run()
    {
        scheduleEvery(journalInterval, journalCost);
        scheduleEvery(workerInterval, workerCost);
        scheduleRound();
        scheduleArrival();
        while (now_ < start() + duration) {
            runDueEvents();
            if (inbox_.empty() && queue_.size() == 0) {
                now_ = events_.begin()->first;
                continue;
            }
            handleInbox();
            takeTurn();
        }
        const double seconds = std::chrono::duration<double> {duration - warmUp}.count();
        Outcome outcome;
        outcome.goodput = answered_ / seconds;
        outcome.callsPerAttempt = sent_ / attempts_;
        outcome.maxOtherWait = std::chrono::ceil<Milliseconds>(maxOtherWait_);
        outcome.earlyRefusalShare = refused_ / std::max(refused_ + timedOut_, 1.0);
        return outcome;
    }

private:
    struct Request
    {
        bool isQuery = false;
        int attempts = 0;
    };
    using RequestPtr = std::shared_ptr<Request>;

    /// An attempt of a client, sent through an entry.
    struct Attempt
    {
        RequestPtr request;
        std::size_t entry = 0;
        MonotonicTime sent;
        bool isFinished = false;
    };
    using AttemptPtr = std::shared_ptr<Attempt>;

    /// Work queued for the leader's thread.
    struct WorkItem
    {
        MonotonicTime arrived;
        Nanoseconds cost {0};
        AttemptPtr call; // null for work of the journal, a worker or a round
        bool isRound = false; // schedules the next round when done
    };

    static MonotonicTime start()
    {
        return MonotonicTime {} + std::chrono::hours {1};
    }

    bool isMeasured() const
    {
        return now_ >= start() + warmUp;
    }

    void schedule(Nanoseconds time, std::function<void()> event)
    {
        events_.emplace(now_ + time, std::move(event));
    }

    void scheduleEvery(Nanoseconds interval, Nanoseconds cost)
    {
        schedule(interval, [this, interval, cost]() {
            inbox_.push_back({now_, cost, nullptr});
            scheduleEvery(interval, cost);
        });
    }

    void scheduleRound()
    {
        schedule(roundInterval, [this]() { inbox_.push_back({now_, roundCost_, nullptr, true}); });
    }

    void runDueEvents()
    {
        const MonotonicTime until = now_;
        while (!events_.empty() && events_.begin()->first <= until) {
            const auto first = events_.begin();
            const std::function<void()> event = first->second;
            now_ = first->first; // the event's own time, which may be earlier than `until`
            events_.erase(first);
            event();
        }
        now_ = until;
    }

    void scheduleArrival()
    {
        std::exponential_distribution<double> gap {load_ * capacity};
        schedule(
            std::chrono::duration_cast<Nanoseconds>(std::chrono::duration<double> {gap(random_)}),
            [this]() {
                const RequestPtr request = std::make_shared<Request>();
                request->isQuery = std::bernoulli_distribution {queryShare}(random_);
                startAttempt(request);
                scheduleArrival();
            });
    }

    void startAttempt(const RequestPtr &request)
    {
        if (request->attempts++ >= maxAttempts) {
            return;
        }
        const AttemptPtr attempt = std::make_shared<Attempt>();
        attempt->request = request;
        attempt->entry = std::uniform_int_distribution<std::size_t> {0, entries - 1}(random_);
        attempt->sent = now_;
        attempts_ += isMeasured() ? 1 : 0;
        OpenLimit &limit = limits_.at(attempt->entry);
        if (isControlled_ && !limit.take()) {
            refuse(attempt, limit.retryAfter());
            return;
        }
        schedule(callTimeout, [this, attempt]() { timeOut(attempt); });
        send(attempt);
    }

    void send(const AttemptPtr &attempt)
    {
        sent_ += isMeasured() ? 1 : 0;
        schedule(networkDelay, [this, attempt]() { inbox_.push_back({now_, readCost, attempt}); });
        constexpr Milliseconds resendInterval {700};
        if (!isControlled_) {
            schedule(resendInterval, [this, attempt]() {
                if (!attempt->isFinished) {
                    send(attempt);
                }
            });
        }
    }

    void timeOut(const AttemptPtr &attempt)
    {
        if (std::exchange(attempt->isFinished, true)) {
            return;
        }
        timedOut_ += isMeasured() ? 1 : 0;
        if (isControlled_) {
            limits_.at(attempt->entry).recordAnswer(attempt->sent, now_);
            limits_.at(attempt->entry).release();
        }
        retry(attempt->request, Milliseconds {0});
    }

    void refuse(const AttemptPtr &attempt, Milliseconds retryAfter)
    {
        attempt->isFinished = true;
        refused_ += isMeasured() ? 1 : 0;
        retry(attempt->request, std::chrono::ceil<std::chrono::seconds>(retryAfter));
    }

    void retry(const RequestPtr &request, Milliseconds pause)
    {
        std::uniform_int_distribution<int> jitter {100, 1'100};
        schedule(
            pause + Milliseconds {jitter(random_)}, [this, request]() { startAttempt(request); });
    }

    void handleInbox()
    {
        const std::size_t itemCount = inbox_.size();
        for (std::size_t i = 0; i < itemCount && now_ < start() + duration; ++i) {
            const WorkItem item = inbox_.front();
            inbox_.pop_front();
            if (!item.call) {
                maxOtherWait_ = std::max<Nanoseconds>(maxOtherWait_, now_ - item.arrived);
                now_ += item.cost;
                if (item.isRound) {
                    scheduleRound();
                }
            } else {
                now_ += item.cost;
                enqueueCall(item.call);
            }
            runDueEvents();
        }
    }

    void enqueueCall(const AttemptPtr &attempt)
    {
        if (!isControlled_) {
            handle(attempt);
            return;
        }
        const CallClass callClass =
            attempt->request->isQuery ? CallClass::Query : CallClass::Submission;
        const std::optional<Milliseconds> refused =
            queue_.add(callClass, {++lastId_, now_, now_ + callTimeout}, now_);
        if (refused) {
            now_ += refuseCost;
            schedule(
                networkDelay, [this, attempt, wait = *refused]() { answerRefused(attempt, wait); });
            return;
        }
        waiting_[lastId_] = attempt;
    }

    void answerRefused(const AttemptPtr &attempt, Milliseconds wait)
    {
        if (attempt->isFinished) {
            return;
        }
        limits_.at(attempt->entry).recordAnswer(attempt->sent, now_);
        limits_.at(attempt->entry).release();
        refuse(attempt, wait);
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
            const auto it = waiting_.find(turn->id);
            const AttemptPtr attempt = it->second;
            waiting_.erase(it);
            if (!turn->expired) {
                handle(attempt);
            }
        }
        turnEnded_ = now_;
    }

    void handle(const AttemptPtr &attempt)
    {
        const bool isQuery = attempt->request->isQuery;
        now_ += isQuery ? queryCost : submissionCost;
        schedule(isQuery ? networkDelay : networkDelay + commitDelay,
            [this, attempt]() { answer(attempt); });
    }

    void answer(const AttemptPtr &attempt)
    {
        if (std::exchange(attempt->isFinished, true)) {
            return;
        }
        answered_ += isMeasured() ? 1 : 0;
        if (isControlled_) {
            limits_.at(attempt->entry).recordAnswer(attempt->sent, now_);
            limits_.at(attempt->entry).release();
        }
    }

    double load_;
    bool isControlled_;
    Milliseconds roundCost_;
    std::mt19937 random_ {20261204};
    MonotonicTime now_ = start();
    MonotonicTime turnEnded_ = start();
    std::multimap<MonotonicTime, std::function<void()>> events_;
    std::deque<WorkItem> inbox_;
    CallQueue queue_;
    std::map<std::uint64_t, AttemptPtr> waiting_;
    std::uint64_t lastId_ = 0;
    std::vector<OpenLimit> limits_;
    Nanoseconds maxOtherWait_ {0};
    double attempts_ = 0;
    double sent_ = 0;
    double answered_ = 0;
    double refused_ = 0;
    double timedOut_ = 0;
};

std::string describe(const Outcome &outcome)
{
    return "goodput " + std::to_string(outcome.goodput) + "/s, sent for each attempt "
        + std::to_string(outcome.callsPerAttempt) + ", longest wait of other work "
        + std::to_string(outcome.maxOtherWait.count()) + " ms, refused at once "
        + std::to_string(outcome.earlyRefusalShare);
}

} // namespace

TEST_CASE("goodput at three times the capacity stays near its maximum")
{
    double maxGoodput = 0;
    double lastGoodput = 0;
    for (const double load : {0.5, 1.0, 2.0, 3.0}) {
        const Outcome outcome = Simulation {load, true}.run();
        INFO("load " << load << ": " << describe(outcome));
        maxGoodput = std::max(maxGoodput, outcome.goodput);
        lastGoodput = outcome.goodput;
        CHECK(outcome.callsPerAttempt <= 1.1);
        CHECK(outcome.maxOtherWait <= Milliseconds {20});
        if (load > 1) {
            CHECK(outcome.earlyRefusalShare >= 0.95);
        }
    }
    CHECK(lastGoodput >= 0.95 * maxGoodput);
}

TEST_CASE("without overload control, goodput collapses at twice the capacity")
{
    const Outcome controlled = Simulation {2, true}.run();
    const Outcome outcome = Simulation {2, false}.run();
    INFO(describe(outcome));
    CHECK(outcome.goodput < controlled.goodput / 2);
    CHECK(outcome.maxOtherWait > Milliseconds {400}); // about an election timeout
    CHECK(outcome.callsPerAttempt > 2);
}

TEST_CASE("calls get a part of the thread's time when rounds take most of it")
{
    constexpr Milliseconds longRound {200};
    const Outcome outcome = Simulation {1, true, longRound}.run();
    INFO(describe(outcome));
    CHECK(outcome.goodput >= 0.1 * capacity);
    CHECK(outcome.earlyRefusalShare >= 0.95);
}

} // namespace crocusmill
