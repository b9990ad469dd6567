/// Records about the recovery after a change of leaders.

#include "src/services/recoverysteps.h"

#include "src/net/clock.h"
#include "test/fakes/callingleader.h"
#include "test/fakes/graphs.h"
#include "test/fakes/logcapture.h"

#include <catch2/catch.hpp>

namespace crocusmill
{

namespace
{

using fakes::CallingLeader;
using fakes::LogCapture;
using fakes::quotesQueue;
using fakes::stepOf;
using fakes::valueIn;

const MonotonicTime termStart = processStartedAt + Milliseconds {5'000};
const RecoverySteps::Progress nothingHeard {4, 4, 0, 2, true};

std::vector<std::string> stepsIn(const LogCapture &log)
{
    std::vector<std::string> names;
    for (const std::string &record : log.records("recovery.step")) {
        names.push_back(valueIn(record, "step"));
    }
    return names;
}

} // namespace

TEST_CASE("each step is recorded once, with its time since the term and the process began")
{
    const LogCapture log;
    RecoverySteps steps {FencingToken {7}, termStart};
    steps.reach(RecoveryStep::OrderSent, termStart + Milliseconds {250});
    steps.reach(RecoveryStep::OrderSent, termStart + Milliseconds {900});
    REQUIRE(log.records("recovery.step").size() == 1);
    const std::string record = log.records("recovery.step").front();
    CHECK(valueIn(record, "step") == "\"order_sent\"");
    CHECK(valueIn(record, "term_ms") == "250");
    CHECK(valueIn(record, "process_ms") == "5250");
    CHECK(valueIn(record, "term") == "7");
}

TEST_CASE("missing steps are reported once a second and for a limited time")
{
    const LogCapture log;
    RecoverySteps steps {FencingToken {7}, termStart};
    const MonotonicTime end = termStart + Milliseconds {120'000};
    for (MonotonicTime now = termStart; now < end; now += Milliseconds {100}) {
        if (steps.isWatching(now)) {
            steps.update(nothingHeard, false, now);
        }
    }
    const std::vector<std::string> records = log.records("recovery.waiting");
    CHECK(records.size() == 30);
    REQUIRE(!records.empty());
    CHECK(valueIn(records.front(), "missing").find("worker_heard hold_answered") == 1);
    CHECK(valueIn(records.front(), "unheard") == "4");
    CHECK(valueIn(records.front(), "adopted") == "2");
    CHECK(valueIn(records.front(), "can_order") == "true");
    CHECK(log.records("recovery.step").empty());
}

TEST_CASE("half and all of the workers are separate steps, and none is reached without workers")
{
    const LogCapture log;
    RecoverySteps steps {FencingToken {7}, termStart};
    steps.update({0, 0, 0, 1, true}, false, termStart);
    CHECK(stepsIn(log).empty());
    steps.update({4, 1, 2, 1, true}, true, termStart);
    CHECK(stepsIn(log)
        == std::vector<std::string> {"\"catalog_in_force\"", "\"half_of_workers_open\""});
    steps.update({4, 0, 4, 0, true}, true, termStart);
    CHECK(stepsIn(log).size() == 4);
}

TEST_CASE("a leader records its steps from the first worker to the first end")
{
    const LogCapture log;
    CallingLeader leader;
    leader.installQueue(quotesQueue());
    leader.addWorker("w", 8'000);
    CHECK(leader.submit("00000000000000aa", {stepOf(1)}).outcome == GraphOutcome::Done);
    leader.control.run_for(Milliseconds {200});
    REQUIRE(leader.link.starts.size() == 1);
    const StartOrder order = leader.link.starts.back().order;
    leader.link.answerStart(StartOutcome::Started);
    HoldReport report;
    report.running.push_back({order.task, order.run, {}, 50});
    leader.link.answerHold(report);
    report.running.clear();
    report.ended.push_back({EndNumber {1}, order.task, order.run, RunEnd::Succeeded, {}});
    leader.link.answerHold(report);
    leader.control.run_for(Milliseconds {200});
    const std::vector<std::string> reached = stepsIn(log);
    for (const char *step : {"worker_heard", "hold_answered", "half_of_workers_open",
             "all_workers_open", "adopted_runs_reported", "catalog_in_force", "placement_recorded",
             "order_sent", "start_answered", "run_listed", "end_recorded"}) {
        const std::string quoted = std::string {"\""} + step + "\"";
        CAPTURE(step);
        CHECK(std::count(reached.begin(), reached.end(), quoted) == 1);
    }
}

} // namespace crocusmill
