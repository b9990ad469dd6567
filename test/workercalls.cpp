/// Tests of calls to workers: the outcome of each response, and of a missing one.

#include "platform/services.h"
#include "src/services/interfaces.h"
#include "src/services/workerlink.h"
#include "test/fakes/logcapture.h"
#include "test/fakes/scriptedpeer.h"

#include <boost/json.hpp>
#include <catch2/catch.hpp>

#include <sys/resource.h>

namespace crocusmill::platform
{

namespace
{

using fakes::httpAnswer;
using fakes::ScriptedPeer;

constexpr Milliseconds callTimeout {300};
const TaskRef task {GraphId {"5c0e7a21d94b36f8"}, 0, 1, 17};

struct Fixture
{
    Fixture()
        : service(makeWorkerCalls({context, {}, metrics, {}}))
        , link(dynamic_cast<WorkerLink *>(service.get()))
        , worker {WorkerId {"i-1"}, Incarnation {"9"}, peer.address()}
    {
    }

    template <typename T> T waitFor(const std::optional<T> &result)
    {
        const MonotonicTime deadline = std::chrono::steady_clock::now() + 10 * callTimeout;
        while (!result && std::chrono::steady_clock::now() < deadline) {
            context.run_one_for(callTimeout);
        }
        REQUIRE(result.has_value());
        return *result;
    }

    StartOutcome start()
    {
        StartOrder order;
        order.task = task;
        order.run = RunNumber {2};
        order.payload = "say \"no\"\n";
        std::optional<StartOutcome> result;
        link->start(worker, order, callTimeout,
            [this, &result](StartOutcome outcome, std::optional<WorkerTime> reading) {
                result = outcome;
                clock = reading;
            });
        return waitFor(result);
    }

    StopOutcome stop()
    {
        std::optional<StopOutcome> result;
        link->stop(worker, task, RunNumber {2}, FencingToken {7}, callTimeout,
            [&result](StopOutcome outcome) { result = outcome; });
        return waitFor(result);
    }

    HoldOutcome hold()
    {
        HoldOrder order;
        order.fence = FencingToken {7};
        order.acknowledged = EndNumber {57};
        order.deadline = WorkerTime {486'000};
        order.wait = Milliseconds {100};
        std::optional<HoldOutcome> result;
        link->hold(worker, order, callTimeout,
            [&result](const HoldOutcome &outcome) { result = outcome; });
        return waitFor(result);
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

TEST_CASE("the response to a start determines its outcome")
{
    Fixture fixture;
    fixture.answer("200 OK", R"({"clock_ms":5})");
    CHECK(fixture.start() == StartOutcome::Started);
    CHECK(fixture.clock == WorkerTime {5});
    fixture.answer("409 Conflict", R"({"clock_ms":6,"reason":"fence"})");
    CHECK(fixture.start() == StartOutcome::Fenced);
    CHECK(fixture.clock == WorkerTime {6});
    fixture.answer("409 Conflict", R"({"reason":"old"})");
    CHECK(fixture.start() == StartOutcome::Superseded);
    CHECK_FALSE(fixture.clock.has_value());
    fixture.answer("421 Misdirected", "");
    CHECK(fixture.start() == StartOutcome::OtherIncarnation);
    for (const char *status : {"400 Bad", "429 Many", "503 Unavailable"}) {
        fixture.answer(status, "");
        CHECK(fixture.start() == StartOutcome::Refused);
    }
    fixture.answer("500 Fault", "");
    CHECK(fixture.start() == StartOutcome::Unanswered);
    CHECK(fixture.peer.connections() == 1);
    const boost::json::value sent = boost::json::parse(fixture.peer.requests().front());
    CHECK(sent.at("spec").as_string() == "say \"no\"\n");
    CHECK(sent.at("task").as_string() == "5c0e7a21d94b36f8.0.1.17");
    CHECK(sent.at("run").to_number<int>() == 2);
}

TEST_CASE("a start without a response may be executed, one without a connection cannot")
{
    Fixture fixture;
    fixture.peer.answer({{"HTTP/1.1 200"}, true});
    CHECK(fixture.start() == StartOutcome::Unanswered);
    CHECK(fixture.start() == StartOutcome::Unanswered); // no response until the timeout
    CHECK(fixture.peer.requests().size() == 2);
    fixture.peer.stopAccepting();
    CHECK(fixture.start() == StartOutcome::NotSent);
}

TEST_CASE("the response to a stop determines its outcome")
{
    Fixture fixture;
    fixture.answer("200 OK", R"({"clock_ms":5})");
    CHECK(fixture.stop() == StopOutcome::Answered);
    fixture.answer("409 Conflict", R"({"reason":"fence"})");
    CHECK(fixture.stop() == StopOutcome::Fenced);
    fixture.answer("421 Misdirected", "");
    CHECK(fixture.stop() == StopOutcome::OtherIncarnation);
    fixture.answer("500 Fault", "");
    CHECK(fixture.stop() == StopOutcome::Unanswered);
    CHECK(fixture.peer.requests().front()
        == R"({"task":"5c0e7a21d94b36f8.0.1.17","run":2,"fence":7})");
}

TEST_CASE("the response to a hold determines its outcome")
{
    Fixture fixture;
    fixture.answer(
        "200 OK", R"({"clock_ms":5,"born":9,"running":[["5c0e7a21d94b36f8.0.1.17",2,"",4]]})");
    const HoldOutcome whole = fixture.hold();
    CHECK_FALSE(whole.error.has_value());
    CHECK(whole.clock == WorkerTime {5});
    CHECK(whole.report.running.at(0).task == task);
    fixture.answer("421 Misdirected", "");
    CHECK(fixture.hold().error == HoldError::OtherIncarnation);
    fixture.answer("409 Conflict", R"({"reason":"fence"})");
    CHECK(fixture.hold().error == HoldError::Fenced);
    fixture.answer("200 OK", "{");
    CHECK(fixture.hold().error == HoldError::Unanswered);
    fixture.answer("503 Unavailable", "{}");
    CHECK(fixture.hold().error == HoldError::Unanswered);
    CHECK(fixture.hold().error == HoldError::Unanswered); // no response until the timeout
    CHECK(fixture.peer.requests().front()
        == R"({"fence":7,"ack_cursor":57,"deadline_ms":486000,"wait_ms":100})");
}

TEST_CASE("a refused connection is told apart from one that this VM could not open")
{
    Fixture fixture;
    SECTION("this VM has no free descriptor")
    {
        rlimit limit {};
        REQUIRE(getrlimit(RLIMIT_NOFILE, &limit) == 0);
        const rlimit none {0, limit.rlim_max};
        REQUIRE(setrlimit(RLIMIT_NOFILE, &none) == 0);
        const HoldOutcome outcome = fixture.hold();
        REQUIRE(setrlimit(RLIMIT_NOFILE, &limit) == 0);
        CHECK(outcome.error == HoldError::NotSent);
    }
    SECTION("nothing listens at the worker's address")
    {
        fixture.peer.stopAccepting();
        CHECK(fixture.hold().error == HoldError::Refused);
    }
}

TEST_CASE("a worker that answers each hold unreadably gets one log record a second")
{
    const fakes::LogCapture log;
    Fixture fixture;
    const MonotonicTime startedAt = std::chrono::steady_clock::now();
    constexpr int holdCount = 20;
    for (int i = 0; i < holdCount; ++i) {
        fixture.answer("503 Unavailable", "{}");
        CHECK(fixture.hold().error == HoldError::Unanswered);
    }
    const std::chrono::seconds elapsed =
        std::chrono::ceil<std::chrono::seconds>(std::chrono::steady_clock::now() - startedAt);
    const std::vector<std::string> records = log.records("worker.list_unreadable");
    REQUIRE(!records.empty());
    CHECK(records.size() <= static_cast<std::size_t>(elapsed.count()));
    CHECK(fakes::valueIn(records.front(), "status") == "503");
    CHECK(fakes::valueIn(records.front(), "left_out") == "0");
}

} // namespace crocusmill::platform
