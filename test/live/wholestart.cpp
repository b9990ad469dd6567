/// Tests of the start of a whole cell after all VMs have lost power, with jobs in every state.
///
/// Each case prints when each step of the start was reached, in milliseconds from the start of the
/// processes.

#include "src/net/clock.h"
#include "test/live/platformcell.h"
#include "test/live/platformworkers.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <iostream>

namespace crocusmill::live
{

namespace
{

/// The platform's bound on the time from the return of all machines to regular service.
constexpr Milliseconds recoveryBound {12'000};
constexpr std::uint32_t replicaCount = 5;
constexpr std::uint32_t entryCount = 2;

struct Losses
{
    std::vector<std::uint32_t> folders; // VMs whose data folder is lost
    bool delaysStarts = false; // start orders before the loss are carried out late
    Milliseconds downTime {600};
};

class WholeStart
{
public:
    explicit WholeStart(std::uint8_t network)
        : workers_(network, optionsFor(network))
        , cell_(network, {replicaCount, entryCount, workers_.office()})
    {
        cell_.startAll();
        REQUIRE(cell_.installQueue());
        REQUIRE(eventually([this]() { return runJob("5a00000000000000"); }));
    }

    void run(const Losses &losses)
    {
        constexpr Milliseconds lateDelay {2'500};
        if (losses.delaysStarts) {
            workers_.delayStarts(lateDelay);
        }
        submitBacklog();
        cell_.killAll();
        workers_.delayStarts(std::nullopt);
        for (const std::uint32_t vm : losses.folders) {
            cell_.deleteFolder(vm);
        }
        std::this_thread::sleep_for(losses.downTime);
        startedAt_ = monotonicNow();
        startedAtUtc_ = wallTimeNow();
        cell_.startAll();
        measureFirstJob();
        measureBacklog();
        print();
        CHECK(workers_.repeatedCount() == 0);
    }

private:
    static PlatformOptions optionsFor(std::uint8_t network)
    {
        PlatformOptions options;
        options.control = PlatformCell::control(network, replicaCount);
        return options;
    }

    /// Returns the body of a job with one step of `tasks` tasks of one core each.
    static std::string jobOf(std::uint32_t tasks)
    {
        return R"({"spec":"x","steps":[{"count":)" + std::to_string(tasks)
            + R"(,"cpu":1000,"mem_mb":16,"estimate_ms":1500}]})";
    }

    bool submit(std::uint32_t entry, const std::string &id, std::uint32_t tasks)
    {
        return cell_.call(entry, "POST", "/jobs/" + id, jobOf(tasks)).status == 200;
    }

    bool isDone(std::uint32_t entry, const std::string &id)
    {
        const HttpReply reply = cell_.call(entry, "GET", "/jobs/" + id);
        return reply.status == 200 && reply.body.find("done") != std::string::npos;
    }

    bool runJob(const std::string &id)
    {
        return submit(0, id, 1)
            && eventually([this, &id]() { return isDone(0, id); }, Milliseconds {3'000});
    }

    /// Hands in about twice as many tasks as fit at once.
    void submitBacklog()
    {
        constexpr std::uint32_t jobCount = 64;
        constexpr std::uint32_t tasksPerJob = 4;
        for (std::uint32_t number = 0; number < jobCount; ++number) {
            const std::string id = "bac0000000000" + std::to_string(100 + number);
            if (submit(number % entryCount, id, tasksPerJob)) {
                backlog_.push_back(id);
            }
        }
        REQUIRE(backlog_.size() > jobCount / 2);
    }

    Milliseconds elapsed(MonotonicTime at) const
    {
        return std::chrono::duration_cast<Milliseconds>(at - startedAt_);
    }

    /// Hands in small jobs until one is accepted by each entry and done.
    void measureFirstJob()
    {
        for (std::uint32_t entry = 0; entry < entryCount; ++entry) {
            const std::string id = "f1057000000000" + std::to_string(10 + entry);
            REQUIRE(eventually([&]() { return submit(entry, id, 1); }));
            addStep("first job accepted by entry " + std::to_string(entry), monotonicNow());
            REQUIRE(eventually([&]() { return isDone(entry, id); }));
            addStep("this job done", monotonicNow());
        }
    }

    void measureBacklog()
    {
        CHECK(eventually([this]() {
            return std::all_of(backlog_.begin(), backlog_.end(),
                [this](const std::string &id) { return isDone(0, id); });
        }));
        addStep("all jobs accepted before the loss done", monotonicNow());
    }

    void addStep(const std::string &name, MonotonicTime at)
    {
        INFO(name);
        CHECK(elapsed(at) < recoveryBound);
        steps_.emplace_back(elapsed(at), name);
    }

    /// Adds the first and the last record of the event.
    void addLogged(const std::string &event)
    {
        std::vector<std::int64_t> times;
        for (const PlatformCell::LogLine &line : cell_.linesSinceStart(event)) {
            times.push_back((line.time - startedAtUtc_).count());
        }
        if (times.empty()) {
            return;
        }
        const auto [first, last] = std::minmax_element(times.begin(), times.end());
        steps_.emplace_back(Milliseconds {*first},
            event + ", " + std::to_string(times.size()) + " times, last at "
                + std::to_string(*last));
    }

    void addWorkerSteps()
    {
        std::map<std::string, MonotonicTime> firstHolds;
        std::optional<MonotonicTime> firstOrder;
        std::optional<MonotonicTime> firstHeartbeat;
        for (const WorkerEvent &event : workers_.eventsSince(startedAt_)) {
            if (event.kind == WorkerEvent::Kind::Hold) {
                firstHolds.emplace(event.worker, event.at);
            } else if (event.kind == WorkerEvent::Kind::Heartbeat && !firstHeartbeat) {
                firstHeartbeat = event.at;
            } else if (event.kind == WorkerEvent::Kind::Start && !firstOrder) {
                firstOrder = event.at;
            }
        }
        REQUIRE((firstOrder && firstHeartbeat && !firstHolds.empty()));
        addStep("first heartbeat of a worker accepted", *firstHeartbeat);
        addStep("first start order", *firstOrder);
        MonotonicTime lastHold {};
        for (const std::pair<const std::string, MonotonicTime> &hold : firstHolds) {
            lastHold = std::max(lastHold, hold.second);
        }
        addStep(std::to_string(firstHolds.size()) + " workers called", lastHold);
    }

    void print()
    {
        addWorkerSteps();
        for (const char *event : {"journal.opened", "journal.leading", "dispatch.took_over",
                 "vm.readiness", "leader.lease_lapsed", "journal.voter_added"}) {
            addLogged(event);
        }
        std::sort(steps_.begin(), steps_.end());
        for (const std::pair<Milliseconds, std::string> &step : steps_) {
            std::cout << "    " << step.first.count() << " ms: " << step.second << '\n';
        }
    }

    PlatformWorkers workers_;
    PlatformCell cell_;
    MonotonicTime startedAt_ {};
    WallTime startedAtUtc_ {};
    std::vector<std::string> backlog_;
    std::vector<std::pair<Milliseconds, std::string>> steps_;
};

} // namespace

TEST_CASE("service is back in time after all VMs lost power")
{
    WholeStart {51}.run({});
}

TEST_CASE("service is back in time after all VMs lost power and two their disks")
{
    WholeStart {52}.run({{2, 4}});
}

TEST_CASE("service is back in time after all VMs lost power while start orders were late")
{
    WholeStart {53}.run({{1}, true});
}

} // namespace crocusmill::live
