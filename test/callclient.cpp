/// Tests of CallClient: outcomes of calls and reuse of connections.

#include "src/net/callclient.h"

#include "test/fakes/scriptedpeer.h"

#include <catch2/catch.hpp>

#include <thread>

namespace crocusmill
{

namespace
{

using fakes::httpAnswer;
using fakes::ScriptedAnswer;
using fakes::ScriptedPeer;

constexpr Milliseconds callTimeout {300};
constexpr Milliseconds maxWait {5'000};
constexpr std::size_t maxBodyBytes = 20'000;

struct Fixture
{
    HttpOutcome call(const std::string &body = "{}")
    {
        std::optional<HttpOutcome> outcome;
        begin(body, outcome);
        CHECK_FALSE(outcome.has_value()); // never from within send()
        runUntil([&outcome]() { return outcome.has_value(); });
        return outcome.value_or(HttpOutcome {});
    }

    void begin(const std::string &body, std::optional<HttpOutcome> &outcome)
    {
        client.send(peer.address(), postText(peer.address(), "/hold", "", body),
            std::chrono::steady_clock::now() + callTimeout, [&outcome](const HttpOutcome &result) {
                REQUIRE_FALSE(outcome.has_value()); // called once only
                outcome = result;
            });
    }

    void runUntil(const std::function<bool()> &reached)
    {
        const MonotonicTime end = std::chrono::steady_clock::now() + maxWait;
        while (!reached() && std::chrono::steady_clock::now() < end) {
            context.run_one_for(Milliseconds {20});
        }
        REQUIRE(reached());
    }

    /// Runs the loop for `time`, so that pending events are handled.
    void runFor(Milliseconds time = Milliseconds {30})
    {
        const MonotonicTime end = std::chrono::steady_clock::now() + time;
        while (std::chrono::steady_clock::now() < end) {
            context.run_one_for(Milliseconds {5});
        }
    }

    asio::io_context context {1};
    ScriptedPeer peer {context};
    CallClient client {context, HttpClientLimits {Milliseconds {200}, ByteCount {maxBodyBytes}, 2}};
};

} // namespace

TEST_CASE("consecutive calls use one connection")
{
    Fixture fixture;
    constexpr int calls = 5;
    for (int i = 0; i < calls; ++i) {
        fixture.peer.answer({{httpAnswer("200 OK", std::to_string(i))}});
        const HttpOutcome outcome = fixture.call(std::to_string(i));
        CHECK(outcome.kind == HttpResultKind::Answered);
        CHECK(outcome.response.result() == http::status::ok);
        CHECK(outcome.response.body() == std::to_string(i));
    }
    CHECK(fixture.peer.requests() == std::vector<std::string> {"0", "1", "2", "3", "4"});
    CHECK(fixture.peer.connections() == 1);
}

TEST_CASE("status and body are passed on for every status")
{
    Fixture fixture;
    for (const char *status : {"400 Bad", "409 Conflict", "421 Misdirected", "429 Many",
             "503 Unavailable", "599 Unheard of"}) {
        fixture.peer.answer({{httpAnswer(status, R"({"reason":"fence"})")}});
        const HttpOutcome outcome = fixture.call();
        CHECK(outcome.kind == HttpResultKind::Answered);
        CHECK(outcome.response.result_int() == std::stoul(status));
        CHECK(outcome.response.body() == R"({"reason":"fence"})");
    }
    CHECK(fixture.peer.connections() == 1);
}

TEST_CASE("a response may arrive in pieces of any size")
{
    const std::string body(9'000, 'x');
    const std::string whole = httpAnswer("200 OK", body);
    for (const std::size_t cut : {1UL, 9UL, 17UL, 36UL, 40UL, 2'048UL, 4'096UL, 9'010UL}) {
        INFO(cut);
        Fixture fixture;
        fixture.peer.answer({{whole.substr(0, cut), whole.substr(cut)}, false, Milliseconds {5}});
        fixture.peer.answer({{httpAnswer("200 OK", "next")}});
        const HttpOutcome outcome = fixture.call();
        CHECK(outcome.kind == HttpResultKind::Answered);
        CHECK(outcome.response.body() == body);
        CHECK(fixture.call().response.body() == "next");
        CHECK(fixture.peer.connections() == 1);
    }
}

TEST_CASE("a chunked response is assembled")
{
    Fixture fixture;
    fixture.peer.answer({{"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n",
        "2\r\nde\r\n0\r\n\r\n"}});
    CHECK(fixture.call().response.body() == "abcde");
}

TEST_CASE("a truncated response makes the call fail and is not retried")
{
    const std::string whole = httpAnswer("200 OK", "abcdef");
    for (std::size_t length = 0; length < whole.size(); ++length) {
        INFO(length);
        Fixture fixture;
        fixture.peer.answer({{whole.substr(0, length)}, true});
        CHECK(fixture.call().kind == HttpResultKind::Broken);
        CHECK(fixture.peer.requests().size() == 1); // not sent again
    }
}

TEST_CASE("a response without a length or with invalid syntax makes the call fail")
{
    Fixture fixture;
    fixture.peer.answer({{"HTTP/1.1 200 OK\r\n\r\nabc"}, true});
    CHECK(fixture.call().kind == HttpResultKind::Broken);
    fixture.peer.answer({{"something else\r\n\r\n"}});
    CHECK(fixture.call().kind == HttpResultKind::Broken);
    CHECK(fixture.peer.requests().size() == 2);
}

TEST_CASE("a response above the size limit is reported as too large")
{
    Fixture fixture;
    fixture.peer.answer({{httpAnswer("200 OK", std::string(maxBodyBytes + 1, 'x'))}});
    CHECK(fixture.call().kind == HttpResultKind::TooLarge);
    fixture.peer.answer({{httpAnswer("200 OK", std::string(maxBodyBytes, 'x'))}});
    CHECK(fixture.call().response.body().size() == maxBodyBytes);
}

TEST_CASE("a large request is written in full")
{
    Fixture fixture;
    const std::string body(1'000'000, 'x');
    fixture.peer.answer({{httpAnswer("200 OK", "")}});
    CHECK(fixture.call(body).kind == HttpResultKind::Answered);
    REQUIRE(fixture.peer.requests().size() == 1);
    CHECK(fixture.peer.requests().front() == body);
}

TEST_CASE(
    "an unanswered call times out, and its late response is not taken for that of another call")
{
    Fixture fixture;
    fixture.peer.answer({{httpAnswer("200 OK", "late")}, false, Milliseconds {400}});
    const MonotonicTime began = std::chrono::steady_clock::now();
    CHECK(fixture.call().kind == HttpResultKind::TimedOut);
    CHECK(std::chrono::steady_clock::now() - began >= callTimeout);
    fixture.peer.answer({{httpAnswer("200 OK", "in time")}, false, Milliseconds {150}});
    CHECK(fixture.call().response.body() == "in time");
    CHECK(fixture.peer.connections() == 2);
    fixture.runFor(Milliseconds {200});
}

TEST_CASE("concurrent calls have separate connections and deadlines")
{
    Fixture fixture;
    fixture.peer.answer({}); // silent
    fixture.peer.answer({{httpAnswer("200 OK", "b")}});
    std::optional<HttpOutcome> first;
    std::optional<HttpOutcome> second;
    fixture.begin("1", first);
    fixture.begin("2", second);
    fixture.runUntil([&]() { return first.has_value() && second.has_value(); });
    const bool firstSilent = first->kind == HttpResultKind::TimedOut;
    CHECK(firstSilent != (second->kind == HttpResultKind::TimedOut));
    CHECK((firstSilent ? second : first)->response.body() == "b");
    CHECK(fixture.peer.connections() == 2);
}

TEST_CASE("a call whose deadline has passed is not sent")
{
    Fixture fixture;
    std::optional<HttpOutcome> outcome;
    fixture.client.send(fixture.peer.address(), "x", std::chrono::steady_clock::now(),
        [&outcome](const HttpOutcome &result) { outcome = result; });
    CHECK_FALSE(outcome.has_value());
    fixture.runFor();
    REQUIRE(outcome.has_value());
    CHECK(outcome->kind == HttpResultKind::NotSent);
    CHECK(fixture.peer.connections() == 0);
}

TEST_CASE("a call without a connection is reported as not sent")
{
    Fixture fixture;
    const NodeAddress unreachable = fixture.peer.address();
    fixture.peer.stopAccepting();
    std::optional<HttpOutcome> outcome;
    fixture.client.send(unreachable, postText(unreachable, "/hold", "", "{}"),
        std::chrono::steady_clock::now() + callTimeout,
        [&outcome](const HttpOutcome &result) { outcome = result; });
    fixture.runUntil([&outcome]() { return outcome.has_value(); });
    CHECK(outcome->kind == HttpResultKind::NotSent);
}

TEST_CASE("an idle connection that the peer has closed is not used")
{
    for (const bool closeIsSeen : {true, false}) {
        INFO("the loop has seen the close: " << closeIsSeen);
        Fixture fixture;
        fixture.peer.answer({{httpAnswer("200 OK", "a")}});
        CHECK(fixture.call().kind == HttpResultKind::Answered);
        constexpr Milliseconds longIdle {150};
        std::this_thread::sleep_for(longIdle);
        fixture.peer.closeAll();
        if (closeIsSeen) {
            fixture.runFor();
        }
        fixture.peer.answer({{httpAnswer("200 OK", "b")}});
        CHECK(fixture.call().response.body() == "b");
        CHECK(fixture.peer.requests().size() == 2);
        CHECK(fixture.peer.connections() == 2);
    }
}

TEST_CASE("a call is not resent if the connection closes after the request was written")
{
    Fixture fixture;
    fixture.peer.answer({{httpAnswer("200 OK", "a")}});
    CHECK(fixture.call().kind == HttpResultKind::Answered);
    fixture.peer.answer({{}, true});
    CHECK(fixture.call().kind == HttpResultKind::Broken);
    fixture.runFor();
    CHECK(fixture.peer.requests().size() == 2); // not sent again
}

TEST_CASE("unexpected bytes close their connection")
{
    Fixture fixture;
    fixture.peer.answer({{httpAnswer("200 OK", "a") + httpAnswer("200 OK", "stray")}});
    CHECK(fixture.call().response.body() == "a");
    fixture.peer.answer({{httpAnswer("200 OK", "b")}});
    CHECK(fixture.call().response.body() == "b");
    fixture.peer.answer(
        {{httpAnswer("200 OK", "c"), httpAnswer("200 OK", "stray")}, false, Milliseconds {5}});
    CHECK(fixture.call().response.body() == "c");
    fixture.runFor();
    fixture.peer.answer({{httpAnswer("200 OK", "d")}});
    CHECK(fixture.call().response.body() == "d");
    CHECK(fixture.peer.connections() == 3);
}

TEST_CASE("a connection is reused only if the response allows it and closeIdle() was not called")
{
    Fixture fixture;
    fixture.peer.answer({{"HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"}});
    fixture.peer.answer({{httpAnswer("200 OK", "")}});
    CHECK(fixture.call().kind == HttpResultKind::Answered);
    CHECK(fixture.call().kind == HttpResultKind::Answered);
    CHECK(fixture.peer.connections() == 2);
    fixture.client.closeIdle(fixture.peer.address());
    fixture.peer.answer({{httpAnswer("200 OK", "")}});
    CHECK(fixture.call().kind == HttpResultKind::Answered);
    CHECK(fixture.peer.connections() == 3);
}

TEST_CASE("a callback may start another call, also after a timeout")
{
    Fixture fixture;
    fixture.peer.answer({});
    fixture.peer.answer({{httpAnswer("200 OK", "next")}});
    std::optional<HttpOutcome> next;
    fixture.client.send(fixture.peer.address(), postText(fixture.peer.address(), "/hold", "", "1"),
        std::chrono::steady_clock::now() + callTimeout,
        [&fixture, &next](const HttpOutcome & /*result*/) { fixture.begin("2", next); });
    fixture.runUntil([&next]() { return next.has_value(); });
    CHECK(next->response.body() == "next");
}

TEST_CASE("destroying the client drops pending calls without calling back")
{
    asio::io_context context {1};
    ScriptedPeer peer {context};
    bool isCalled = false;
    {
        CallClient client {context, HttpClientLimits {}};
        client.send(peer.address(), postText(peer.address(), "/hold", "", "1"),
            std::chrono::steady_clock::now() + callTimeout,
            [&isCalled](const HttpOutcome & /*outcome*/) { isCalled = true; });
        context.run_for(Milliseconds {20});
        client.send(peer.address(), postText(peer.address(), "/hold", "", "2"),
            std::chrono::steady_clock::now() + callTimeout,
            [&isCalled](const HttpOutcome & /*outcome*/) { isCalled = true; });
    }
    context.run_for(callTimeout + Milliseconds {50});
    CHECK_FALSE(isCalled);
}

} // namespace crocusmill
