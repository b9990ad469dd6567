/// The leader notices a slow worker from the runs on it and places tasks accordingly.

#include "test/fakes/callingleader.h"
#include "test/fakes/graphs.h"

#include <catch2/catch.hpp>

namespace crocusmill
{

namespace
{

using fakes::CallingLeader;
using fakes::quotesQueue;
using fakes::stepOf;

constexpr Milliseconds someRounds {100};
constexpr std::size_t workerCount = 5;
constexpr int learningJobs = 24;

/// Lists all started runs on the workers that `isChosen` as succeeded.
void endRuns(CallingLeader &leader, const std::function<bool(const WorkerId &)> &isChosen)
{
    std::map<WorkerId, HoldReport> reports;
    for (const fakes::FakeWorkerLink::StartCall &call : leader.link.starts) {
        HoldReport &report = reports[call.worker.id];
        report.incarnation = call.worker.incarnation;
        report.ended.push_back({EndNumber {report.ended.size() + 1}, call.order.task,
            call.order.run, RunEnd::Succeeded, Checkpoint {}});
    }
    for (const std::pair<const WorkerId, HoldReport> &entry : reports) {
        for (std::size_t i = leader.link.holds.size(); isChosen(entry.first) && i-- > 0;) {
            if (leader.link.holds[i].worker.id == entry.first) {
                const WorkerLink::HoldHandler done = leader.link.holds[i].done;
                done({std::nullopt, WorkerTime {1'000}, entry.second});
                break;
            }
        }
    }
}

} // namespace

// Fails if the leader's choice does not use what its supervisor has observed.
TEST_CASE("a step in time avoids a slow worker, and one that can wait takes it")
{
    // The estimate is 1 s. With a factor of 1.5 the job ends in time only on a worker that is not
    // slow, with 100 also on a slow one, and with 0 on none.
    const double slackFactor = GENERATE(1.5, 100.0, 0.0);
    const bool isInTime = slackFactor == 1.5;
    // Best fit takes the first of equal workers, so that the choice differs from it.
    const WorkerId slow {isInTime ? "w0" : "w4"};
    CallingLeader leader;
    REQUIRE(leader.started);
    Queue queue = quotesQueue();
    queue.slackFactor = slackFactor;
    leader.installQueue(queue);
    for (std::size_t number = 0; number < workerCount; ++number) {
        leader.addWorker("w" + std::to_string(number), 100'000);
    }
    const ImageName image {"render"};
    StepSpec spread = stepOf(workerCount);
    spread.image = image;
    spread.mostPerWorker = 1;
    for (int job = 0; job < learningJobs; ++job) {
        const std::string id = std::to_string(job);
        leader.submit(std::string(16 - id.size(), '0') + id, {spread});
    }
    leader.control.run_for(someRounds);
    REQUIRE(leader.link.starts.size() == workerCount * learningJobs);
    for (std::size_t i = 0; i < workerCount * learningJobs; ++i) {
        leader.link.starts[i].done(StartOutcome::Started, WorkerTime {1'000});
    }
    leader.control.run_for(Milliseconds {150});
    endRuns(leader, [&slow](const WorkerId &worker) { return worker != slow; });
    leader.control.run_for(Milliseconds {350});
    endRuns(leader, [&slow](const WorkerId &worker) { return worker == slow; });
    leader.control.run_for(Milliseconds {1'100}); // until the next report
    CHECK(leader.metrics.prometheus().find("workers_slow 1") != std::string::npos);
    StepSpec single = stepOf(1);
    single.image = image;
    leader.submit("00000000000000ff", {single});
    leader.control.run_for(someRounds);
    REQUIRE(leader.link.starts.size() == workerCount * learningJobs + 1);
    CHECK(leader.link.starts.back().worker.id == (isInTime ? WorkerId {"w1"} : slow));
}

} // namespace crocusmill
