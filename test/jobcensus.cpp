/// Counts of jobs that have not begun, and their report.

#include "src/services/jobcensus.h"

#include "test/fakes/callingleader.h"
#include "test/fakes/graphs.h"
#include "test/fakes/logcapture.h"

#include <catch2/catch.hpp>

namespace crocusmill
{

namespace
{

using fakes::CallingLeader;
using fakes::graphOf;
using fakes::LogCapture;
using fakes::quotesQueue;
using fakes::stepOf;
using fakes::valueIn;

const WallTime acceptedAt {Milliseconds {1'000'000}};
const TaskRef firstTask {GraphId {"a"}, 0, 0, 0};

void submit(GraphRegistry &graphs, const GraphSpec &spec)
{
    REQUIRE(graphs.submit(SubmitGraph {spec, acceptedAt}));
}

RunPlacement placementOf(const TaskRef &task)
{
    return {task, RunNumber {1}, WorkerId {"w"}, Incarnation {"1000"}};
}

std::uint64_t askPending(CallingLeader &leader)
{
    GraphCall call;
    call.action = GraphAction::Show;
    call.host = "desk.example";
    call.path = "/quotes/";
    return std::get<GraphReply>(leader.peers.ask(call)).pending.value();
}

bool hasLine(const std::string &text, const std::string &line)
{
    return text.find(line + '\n') != std::string::npos;
}

} // namespace

TEST_CASE("a job has not begun until a worker has reported one of its runs")
{
    GraphRegistry graphs;
    submit(graphs, graphOf("a", {stepOf(2)}));
    submit(graphs, graphOf("b", {stepOf(1)}));
    CHECK(countJobs(graphs, {}, acceptedAt).total.neverPlaced == 2);
    graphs.place(PlaceRuns {{placementOf(firstTask)}});
    const JobCensus census = countJobs(graphs, {}, acceptedAt + longWait);
    CHECK(census.total.open == 2);
    CHECK(census.total.neverPlaced == 1);
    CHECK(census.total.placed == 1);
    CHECK(census.total.waitingLong == 0);
    CHECK(census.queues.at(QueueName {"quotes"}).notBegun() == 2);
    CHECK(countJobs(graphs, {firstTask.graph}, acceptedAt).total.placed == 0);
}

TEST_CASE("a job whose only run never began is counted as waiting again")
{
    GraphRegistry graphs;
    submit(graphs, graphOf("a", {stepOf(1)}));
    graphs.place(PlaceRuns {{placementOf(firstTask)}});
    graphs.end(EndRuns {{{firstTask, RunNumber {1}, RunEnd::NotStarted, {}}}, acceptedAt});
    const WallTime later = acceptedAt + longWait + Milliseconds {1};
    const JobCensus census = countJobs(graphs, {}, later);
    CHECK(census.total.waitingAgain == 1);
    CHECK(census.total.waitingLong == 1);
    CHECK(census.oldest == firstTask.graph);
    CHECK(census.oldestAge == later - acceptedAt);
    // The wall clock was set back.
    CHECK(countJobs(graphs, {}, acceptedAt - longWait).oldestAge == Milliseconds {0});
}

TEST_CASE("recorded failures, successes and checkpoints show that a job has begun")
{
    for (const EndedRun &end : {EndedRun {firstTask, RunNumber {1}, RunEnd::Failed, {}},
             EndedRun {firstTask, RunNumber {1}, RunEnd::Succeeded, {}},
             EndedRun {firstTask, RunNumber {1}, RunEnd::Stopped, Checkpoint {"half"}}}) {
        GraphRegistry graphs;
        submit(graphs, graphOf("a", {stepOf(2)}));
        graphs.place(PlaceRuns {{placementOf(firstTask)}});
        graphs.end(EndRuns {{end}, acceptedAt});
        const JobCensus census = countJobs(graphs, {}, acceptedAt);
        CHECK(census.total.open == 1);
        CHECK(census.total.notBegun() == 0);
    }
}

TEST_CASE("jobs for later times count only as open")
{
    GraphRegistry graphs;
    GraphSpec spec = graphOf("a", {stepOf(1)});
    spec.recurrence.times = 2;
    submit(graphs, spec);
    const JobCensus census = countJobs(graphs, {}, acceptedAt + 2 * longWait);
    CHECK(census.total.open == 1);
    CHECK(census.total.notBegun() == 0);
}

TEST_CASE("an answer below the number of jobs that wait long is reported with what it lacks")
{
    const LogCapture log;
    Metrics metrics;
    JobReport report {metrics};
    JobCensus census;
    JobCounts counts;
    counts.open = 9;
    counts.placed = 6;
    counts.waitingLong = 4;
    census.queues[QueueName {"quotes"}] = counts;
    census.total = counts;
    census.oldest = GraphId {"a"};
    census.oldestAge = Milliseconds {7'500};
    census.earlyCancels = 5;
    report.report(census, Term {3}, LogIndex {17});
    CHECK(log.records("jobs.counted").empty()); // no client asked
    report.recordAnswer(QueueName {"orders"}, 2);
    report.recordAnswer(QueueName {"quotes"}, 8);
    report.recordAnswer(QueueName {"quotes"}, 1);
    report.report(census, Term {3}, LogIndex {17});
    REQUIRE(log.records("jobs.counted").size() == 1);
    const std::string record = log.records("jobs.counted").front();
    CHECK(valueIn(record, "answered") == "3");
    CHECK(valueIn(record, "missing") == "3");
    CHECK(valueIn(record, "placed") == "6");
    CHECK(valueIn(record, "oldest_job") == "\"a\"");
    CHECK(valueIn(record, "oldest_ms") == "7500");
    CHECK(valueIn(record, "queues") == "\"quotes 1/6/4, orders 2/0/0\"");
    CHECK(valueIn(record, "term") == "3");
    CHECK(valueIn(record, "applied") == "17");
    const std::string text = metrics.prometheus();
    CHECK(hasLine(text, "crocusmill_jobs_pending_missing 3"));
    CHECK(hasLine(text, "crocusmill_jobs_placed_not_begun 6"));
    CHECK(hasLine(text, "crocusmill_oldest_pending_job_seconds 7.5"));
    CHECK(hasLine(text, "crocusmill_jobs_cancelled_early 5"));
    report.clearGauges();
    CHECK(hasLine(metrics.prometheus(), "crocusmill_jobs_open 0"));
}

TEST_CASE("the leader reports counts of jobs at most once a second")
{
    const LogCapture log;
    CallingLeader leader;
    leader.installQueue(quotesQueue());
    leader.addWorker("w", 8'000);
    CHECK(leader.submit("00000000000000aa", {stepOf(1)}).outcome == GraphOutcome::Done);
    constexpr int askedCount = 24;
    for (int i = 0; i < askedCount; ++i) {
        static_cast<void>(askPending(leader));
        leader.control.run_for(Milliseconds {50});
    }
    const std::vector<std::string> records = log.records("jobs.counted");
    REQUIRE(!records.empty());
    CHECK(records.size() <= 2);
    // The order was sent, and the worker has not answered it.
    CHECK(valueIn(records.back(), "placed") == "1");
    CHECK(valueIn(log.records("dispatch.load").back(), "starting") == "1");
    leader.link.answerStart(StartOutcome::Started);
    static_cast<void>(askPending(leader));
    leader.control.run_for(Milliseconds {1'100});
    CHECK(valueIn(log.records("jobs.counted").back(), "not_begun") == "0");
    CHECK(valueIn(log.records("jobs.counted").back(), "open") == "1");
    CHECK(valueIn(log.records("dispatch.load").back(), "running") == "1");
}

} // namespace crocusmill
