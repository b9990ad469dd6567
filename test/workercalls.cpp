/// Calls to workers: what became of an order as it shows from the answer, or from none.

#include "platform/services.h"
#include "src/services/interfaces.h"
#include "src/services/workerlink.h"
#include "test/fakes/scriptedpeer.h"

#include <boost/json.hpp>
#include <catch2/catch.hpp>

namespace crocusmill::platform
{

namespace
{

using fakes::httpAnswer;
using fakes::ScriptedPeer;

constexpr Milliseconds limit {300};
const TaskRef task {GraphId {"5c0e7a21d94b36f8"}, 0, 1, 17};

struct Site
{
    Site()
        : service(makeWorkerCalls({context, {}, metrics, {}}))
        , link(dynamic_cast<WorkerLink *>(service.get()))
        , worker {WorkerId {"i-1"}, Incarnation {"9"}, peer.address()}
    {
    }

    template <typename T> T until(const std::optional<T> &told)
    {
        const MonotonicTime end = std::chrono::steady_clock::now() + 10 * limit;
        while (!told && std::chrono::steady_clock::now() < end) {
            context.run_one_for(limit);
        }
        REQUIRE(told.has_value());
        return *told;
    }

    StartOutcome start()
    {
        StartOrder order;
        order.task = task;
        order.run = RunNumber {2};
        order.payload = "say \"no\"\n";
        std::optional<StartOutcome> told;
        link->start(worker, order, limit,
            [this, &told](StartOutcome outcome, std::optional<WorkerTime> shown) {
                told = outcome;
                clock = shown;
            });
        return until(told);
    }

    StopOutcome stop()
    {
        std::optional<StopOutcome> told;
        link->stop(worker, task, RunNumber {2}, FencingToken {7}, limit,
            [&told](StopOutcome outcome) { told = outcome; });
        return until(told);
    }

    HoldOutcome hold()
    {
        HoldOrder order;
        order.fence = FencingToken {7};
        order.acknowledged = EndNumber {57};
        order.deadline = WorkerTime {486'000};
        order.wait = Milliseconds {100};
        std::optional<HoldOutcome> told;
        link->hold(worker, order, limit, [&told](const HoldOutcome &outcome) { told = outcome; });
        return until(told);
    }

    void answer(const std::string &status, const std::string &body)
    {
        peer.answer({{httpAnswer(status, body)}});
    }

    asio::io_context context {1};
    Metrics metrics;
    ScriptedPeer peer {context};
    std::unique_ptr<Service> service;
    WorkerLink *link;
    WorkerEndpoint worker;
    std::optional<WorkerTime> clock;
};

} // namespace

TEST_CASE("a start is told by its answer")
{
    Site site;
    site.answer("200 OK", R"({"clock_ms":5})");
    CHECK(site.start() == StartOutcome::Started);
    CHECK(site.clock == WorkerTime {5});
    site.answer("409 Conflict", R"({"clock_ms":6,"reason":"fence"})");
    CHECK(site.start() == StartOutcome::Fenced);
    CHECK(site.clock == WorkerTime {6});
    site.answer("409 Conflict", R"({"reason":"old"})");
    CHECK(site.start() == StartOutcome::Superseded);
    CHECK_FALSE(site.clock.has_value());
    site.answer("421 Misdirected", "");
    CHECK(site.start() == StartOutcome::OtherIncarnation);
    for (const char *status : {"400 Bad", "429 Many", "503 Unavailable"}) {
        site.answer(status, "");
        CHECK(site.start() == StartOutcome::Refused);
    }
    site.answer("500 Fault", "");
    CHECK(site.start() == StartOutcome::Unanswered);
    CHECK(site.peer.connections() == 1);
    const boost::json::value sent = boost::json::parse(site.peer.requests().front());
    CHECK(sent.at("spec").as_string() == "say \"no\"\n");
    CHECK(sent.at("task").as_string() == "5c0e7a21d94b36f8.0.1.17");
    CHECK(sent.at("run").to_number<int>() == 2);
}

TEST_CASE("a start without an answer may be carried out, and one without a connection may not")
{
    Site site;
    site.peer.answer({{"HTTP/1.1 200"}, true});
    CHECK(site.start() == StartOutcome::Unanswered);
    CHECK(site.start() == StartOutcome::Unanswered); // silent until the limit
    CHECK(site.peer.requests().size() == 2);
    site.peer.stopAccepting();
    CHECK(site.start() == StartOutcome::NotSent);
}

TEST_CASE("a stop is told by its answer")
{
    Site site;
    site.answer("200 OK", R"({"clock_ms":5})");
    CHECK(site.stop() == StopOutcome::Answered);
    site.answer("409 Conflict", R"({"reason":"fence"})");
    CHECK(site.stop() == StopOutcome::Fenced);
    site.answer("421 Misdirected", "");
    CHECK(site.stop() == StopOutcome::OtherIncarnation);
    site.answer("500 Fault", "");
    CHECK(site.stop() == StopOutcome::Unanswered);
    CHECK(
        site.peer.requests().front() == R"({"task":"5c0e7a21d94b36f8.0.1.17","run":2,"fence":7})");
}

TEST_CASE("a hold is told by its answer")
{
    Site site;
    site.answer(
        "200 OK", R"({"clock_ms":5,"born":9,"running":[["5c0e7a21d94b36f8.0.1.17",2,"",4]]})");
    const HoldOutcome whole = site.hold();
    CHECK_FALSE(whole.error.has_value());
    CHECK(whole.clock == WorkerTime {5});
    CHECK(whole.report.running.at(0).task == task);
    site.answer("421 Misdirected", "");
    CHECK(site.hold().error == HoldError::OtherIncarnation);
    site.answer("409 Conflict", R"({"reason":"fence"})");
    CHECK(site.hold().error == HoldError::Fenced);
    site.answer("200 OK", "{");
    CHECK(site.hold().error == HoldError::Unanswered);
    site.answer("503 Unavailable", "{}");
    CHECK(site.hold().error == HoldError::Unanswered);
    CHECK(site.hold().error == HoldError::Unanswered); // silent until the limit
    CHECK(site.peer.requests().front()
        == R"({"fence":7,"ack_cursor":57,"deadline_ms":486000,"wait_ms":100})");
}

} // namespace crocusmill::platform
