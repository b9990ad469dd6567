/// Gangs that need tickets, beside small tasks that take any room: with claims and without.

#include "test/fakes/graphs.h"

#include <crocusmill/roomclaims.h>

#include <catch2/catch.hpp>

#include <algorithm>
#include <optional>
#include <random>

namespace crocusmill
{

namespace
{

using fakes::stepOf;

constexpr Milliseconds tick {10};
constexpr Milliseconds day {60'000};
constexpr std::size_t workerCount = 100;
constexpr std::uint32_t milliCoresPerWorker = 16'000;
constexpr std::size_t laneCount = 4; // requests for tickets that are answered at the same time
constexpr Milliseconds decision {450};
constexpr Milliseconds decisionPerWorker {6};
constexpr Milliseconds validity {1'500};
constexpr double allowedShare = 0.25;
constexpr std::size_t maxAskedWorkers = 60;

WorkerId workerOf(std::size_t number)
{
    return WorkerId {"w" + std::to_string(number)};
}

struct Gang
{
    StepDemand demand;
    Milliseconds handedIn {0};
    std::map<WorkerId, std::optional<Milliseconds>> asked; // until when allowed; none: not allowed
    std::optional<Milliseconds> answerAt; // of the pending request
    std::vector<WorkerId> pendingWorkers;
    int requests = 0;
};

struct Outcome
{
    std::size_t handedIn = 0;
    std::size_t placed = 0;
    std::size_t requests = 0;
    Milliseconds waited {0}; // sum over the placed gangs
};

/// Replays a day of gangs and small tasks.
class Replay
{
public:
    Replay(std::uint64_t seed, bool hasClaims)
        : random_(seed)
        , hasClaims_(hasClaims)
    {
        for (std::size_t i = 0; i < workerCount; ++i) {
            FleetWorker worker;
            worker.id = workerOf(i);
            worker.service = ServiceName {"matching"};
            worker.capacity = {milliCoresPerWorker, ByteCount {1}, 0};
            worker.isOpen = true;
            fleet_.setWorker(worker);
        }
    }

    Outcome run()
    {
        for (Milliseconds now {0}; now < day; now += tick) {
            endTasks(now);
            if (random_() % 1000 < 12) { // each 10 ms
                addGang(now);
            }
            for (int i = 0; i < 6; ++i) {
                placeSmallTask(now);
            }
            for (Gang &gang : waiting_) {
                tryGang(gang, now);
            }
            std::erase_if(waiting_, [](const Gang &gang) { return gang.demand.waiting.empty(); });
        }
        return outcome_;
    }

private:
    struct Running
    {
        Milliseconds endsAt;
        WorkerId worker;
        TaskRef task;
        StepSpec spec;
    };

    void start(const TaskRef &step, const StepSpec &spec, const std::vector<FleetChoice> &chosen,
        Milliseconds endsAt)
    {
        TaskRef task = step;
        for (const FleetChoice &choice : chosen) {
            task.task = choice.task;
            fleet_.take(choice.worker, task, spec);
            running_.push_back({endsAt, choice.worker, task, spec});
        }
    }

    void endTasks(Milliseconds now)
    {
        std::erase_if(running_, [this, now](const Running &run) {
            if (run.endsAt <= now) {
                fleet_.release(run.worker, run.task, run.spec);
            }
            return run.endsAt <= now;
        });
    }

    void placeSmallTask(Milliseconds now)
    {
        smallStep_.size.milliCores = 1'400;
        StepDemand demand;
        demand.step = {GraphId {"small" + std::to_string(++lastId_)}, 0, 0, 0};
        demand.service = ServiceName {"matching"};
        demand.spec = &smallStep_;
        demand.waiting = {0};
        start(demand.step, smallStep_, fleet_.choose(demand), now + Milliseconds {1'500});
    }

    void addGang(Milliseconds now)
    {
        gangStep_ = stepOf(12);
        gangStep_.size.milliCores = 4'500;
        gangStep_.gang = true;
        Gang gang;
        gang.demand.step = {GraphId {"gang" + std::to_string(++lastId_)}, 0, 0, 0};
        gang.demand.service = ServiceName {"matching"};
        gang.demand.spec = &gangStep_;
        for (std::uint32_t task = 0; task < gangStep_.tasks; ++task) {
            gang.demand.waiting.push_back(task);
        }
        gang.handedIn = now;
        waiting_.push_back(std::move(gang));
        ++outcome_.handedIn;
    }

    std::vector<WorkerId> allowedUntil(const Gang &gang, Milliseconds until) const
    {
        std::vector<WorkerId> workers;
        for (const auto &[worker, validUntil] : gang.asked) {
            if (validUntil && *validUntil >= until) {
                workers.push_back(worker);
            }
        }
        return workers;
    }

    void takeAnswer(Gang &gang)
    {
        for (const WorkerId &worker : gang.pendingWorkers) {
            const std::size_t drawn =
                std::hash<std::string> {}(worker.value() + gang.demand.step.graph.value()) % 1000;
            const bool isAllowed = static_cast<double>(drawn) < allowedShare * 1000;
            gang.asked[worker] =
                isAllowed ? std::optional {*gang.answerAt + validity} : std::nullopt;
        }
        gang.answerAt.reset();
        --busyLanes_;
    }

    void ask(Gang &gang, std::vector<WorkerId> workers, Milliseconds now)
    {
        const std::int64_t count = static_cast<std::int64_t>(workers.size());
        gang.answerAt = now + decision + decisionPerWorker * count;
        gang.pendingWorkers = std::move(workers);
        ++gang.requests;
        ++busyLanes_;
    }

    void tryGang(Gang &gang, Milliseconds now)
    {
        if (gang.answerAt && *gang.answerAt > now) {
            return;
        }
        if (gang.answerAt) {
            takeAnswer(gang);
        }
        claims_.release(gang.demand.step);
        const std::vector<FleetChoice> chosen =
            fleet_.chooseAmong(gang.demand, allowedUntil(gang, now));
        if (!chosen.empty()) {
            start(gang.demand.step, gangStep_, chosen, now + Milliseconds {4'000});
            gang.demand.waiting.clear();
            ++outcome_.placed;
            outcome_.requests += static_cast<std::size_t>(gang.requests);
            outcome_.waited += now - gang.handedIn;
            return;
        }
        if (busyLanes_ >= laneCount) {
            return;
        }
        const std::vector<FleetChoice> renewed =
            fleet_.chooseAmong(gang.demand, allowedUntil(gang, Milliseconds::min()));
        std::set<WorkerId> workers;
        for (const FleetChoice &choice : renewed) {
            workers.insert(choice.worker);
        }
        if (workers.empty()) {
            fleet_.visitEligible(gang.demand, [&](const FleetWorker &worker) {
                if (!gang.asked.contains(worker.id)) {
                    workers.insert(worker.id);
                }
                return workers.size() < maxAskedWorkers;
            });
        } else if (hasClaims_) {
            claims_.claim(gang.demand, renewed);
        }
        if (!workers.empty()) {
            ask(gang, {workers.begin(), workers.end()}, now);
        }
    }

    std::mt19937_64 random_;
    bool hasClaims_;
    Fleet fleet_;
    RoomClaims claims_ {fleet_};
    StepSpec smallStep_ = stepOf(1);
    StepSpec gangStep_;
    std::vector<Gang> waiting_; // in the order of arrival
    std::vector<Running> running_;
    std::size_t busyLanes_ = 0;
    std::uint64_t lastId_ = 0;
    Outcome outcome_;
};

} // namespace

TEST_CASE("gangs are placed with fewer requests for tickets if they keep the room that they found")
{
    Outcome claiming;
    Outcome naive;
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        for (const bool hasClaims : {true, false}) {
            const Outcome day = Replay {seed, hasClaims}.run();
            Outcome &sum = hasClaims ? claiming : naive;
            sum.handedIn += day.handedIn;
            sum.placed += day.placed;
            sum.requests += day.requests;
            sum.waited += day.waited;
        }
    }
    INFO("placed " << claiming.placed << " and " << naive.placed << " of " << claiming.handedIn
                   << ", requests " << claiming.requests << " and " << naive.requests << ", waited "
                   << claiming.waited.count() << " and " << naive.waited.count() << " ms");
    REQUIRE(claiming.handedIn == naive.handedIn);
    CHECK(claiming.placed > naive.placed);
    CHECK(claiming.requests * naive.placed < naive.requests * claiming.placed);
}

TEST_CASE("a claim takes up room until it is released")
{
    Fleet fleet;
    FleetWorker worker;
    worker.id = workerOf(1);
    worker.service = ServiceName {"matching"};
    worker.capacity = {2'000, ByteCount {1}, 0};
    worker.isOpen = true;
    fleet.setWorker(worker);
    const StepSpec spec = stepOf(2);
    const TaskRef step {GraphId {"g"}, 0, 0, 0};
    RoomClaims claims {fleet};
    StepDemand demand;
    demand.step = step;
    demand.service = worker.service;
    demand.spec = &spec;
    demand.waiting = {0, 1};
    claims.claim(demand, {{0, worker.id, {}}, {1, worker.id, {}}});
    CHECK(fleet.freeCapacityOn(worker.id).milliCores == 0);
    CHECK((claims.contains(step) && claims.size() == 1));
    SECTION("by the step")
    {
        claims.release(step);
        claims.release(step);
    }
    SECTION("by the job")
    {
        claims.release(GraphId {"h"});
        CHECK(claims.contains(step));
        claims.release(step.graph);
    }
    CHECK(claims.size() == 0);
    CHECK(fleet.freeCapacityOn(worker.id).milliCores == 2'000);
}

TEST_CASE("room that a step claims again is no gain for others")
{
    Fleet fleet;
    for (std::size_t number = 1; number <= 2; ++number) {
        FleetWorker worker;
        worker.id = workerOf(number);
        worker.service = ServiceName {"matching"};
        worker.capacity = {2'000, ByteCount {1}, 0};
        worker.isOpen = true;
        fleet.setWorker(worker);
    }
    const StepSpec spec = stepOf(2);
    StepDemand demand;
    demand.step = {GraphId {"g"}, 0, 0, 0};
    demand.spec = &spec;
    demand.waiting = {0, 1};
    RoomClaims claims {fleet};
    claims.claim(demand, {{0, workerOf(1), {}}, {1, workerOf(2), {}}});
    static_cast<void>(fleet.takeGains());
    const std::vector<FleetChoice> withdrawn = claims.withdraw(demand.step);
    CHECK(fleet.freeCapacityOn(workerOf(1)).milliCores == 2'000);
    claims.claim(demand, {{0, workerOf(1), {}}, {1, workerOf(1), {}}});
    claims.noteGains(demand.step, withdrawn);
    CHECK(fleet.takeGains().workers == std::set<WorkerId> {workerOf(2)});
}

TEST_CASE("gangs collect room for at most a quarter of the cores, and give it back after a while")
{
    const MonotonicTime start {std::chrono::hours {1}};
    Fleet fleet;
    FleetWorker worker;
    worker.id = workerOf(1);
    worker.service = ServiceName {"matching"};
    worker.capacity = {16'000, ByteCount {1}, 0};
    worker.isOpen = true;
    fleet.setWorker(worker);
    StepSpec gang = stepOf(4);
    gang.gang = true;
    StepDemand demand;
    demand.step = {GraphId {"g"}, 0, 0, 0};
    demand.service = worker.service;
    demand.spec = &gang;
    demand.waiting = {0, 1, 2, 3};
    RoomClaims claims {fleet};
    REQUIRE(claims.canCollect(demand));
    claims.collect(demand, {{0, worker.id, {}}}, start);
    StepDemand other = demand;
    other.step.graph = GraphId {"h"};
    CHECK_FALSE(claims.canCollect(other));
    // A later attempt that finds more room does not begin anew.
    static_cast<void>(fleet.takeGains());
    const std::vector<FleetChoice> withdrawn = claims.withdraw(demand.step);
    CHECK(fleet.freeCapacityOn(worker.id).milliCores == 16'000);
    claims.collect(demand, {{0, worker.id, {}}, {1, worker.id, {}}}, start + Milliseconds {1'000});
    claims.noteGains(demand.step, withdrawn);
    CHECK(fleet.takeGains().workers.empty());
    claims.releaseCollectedBefore(start);
    CHECK(claims.contains(demand.step));
    claims.releaseCollectedBefore(start + Milliseconds {1});
    CHECK_FALSE(claims.contains(demand.step));
    CHECK(fleet.freeCapacityOn(worker.id).milliCores == 16'000);
    CHECK(fleet.takeGains().workers.size() == 1);
}

} // namespace crocusmill
