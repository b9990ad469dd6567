/// Calls over kept connections: what became of each is told truthfully.

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

constexpr Milliseconds limit {300};
constexpr Milliseconds guard {5'000};
constexpr std::size_t mostBody = 20'000;

struct Site
{
    HttpOutcome call(const std::string &body = "{}")
    {
        std::optional<HttpOutcome> outcome;
        begin(body, outcome);
        CHECK_FALSE(outcome.has_value()); // never from within the call
        until([&outcome]() { return outcome.has_value(); });
        return outcome.value_or(HttpOutcome {});
    }

    void begin(const std::string &body, std::optional<HttpOutcome> &outcome)
    {
        client.send(peer.address(), postText(peer.address(), "/hold", "", body),
            std::chrono::steady_clock::now() + limit, [&outcome](const HttpOutcome &told) {
                REQUIRE_FALSE(outcome.has_value()); // once
                outcome = told;
            });
    }

    void until(const std::function<bool()> &reached)
    {
        const MonotonicTime end = std::chrono::steady_clock::now() + guard;
        while (!reached() && std::chrono::steady_clock::now() < end) {
            context.run_one_for(Milliseconds {20});
        }
        REQUIRE(reached());
    }

    /// Lets everything happen that is on its way.
    void settle(Milliseconds time = Milliseconds {30})
    {
        const MonotonicTime end = std::chrono::steady_clock::now() + time;
        while (std::chrono::steady_clock::now() < end) {
            context.run_one_for(Milliseconds {5});
        }
    }

    asio::io_context context {1};
    ScriptedPeer peer {context};
    CallClient client {context, HttpClientLimits {Milliseconds {200}, ByteCount {mostBody}, 2}};
};

} // namespace

TEST_CASE("a call is one request and one answer over a kept connection")
{
    Site site;
    constexpr int calls = 5;
    for (int i = 0; i < calls; ++i) {
        site.peer.answer({{httpAnswer("200 OK", std::to_string(i))}});
        const HttpOutcome outcome = site.call(std::to_string(i));
        CHECK(outcome.kind == HttpSending::Answered);
        CHECK(outcome.response.result() == http::status::ok);
        CHECK(outcome.response.body() == std::to_string(i));
    }
    CHECK(site.peer.requests() == std::vector<std::string> {"0", "1", "2", "3", "4"});
    CHECK(site.peer.connections() == 1);
}

TEST_CASE("each status comes through with its body")
{
    Site site;
    for (const char *status : {"400 Bad", "409 Conflict", "421 Misdirected", "429 Many",
             "503 Unavailable", "599 Unheard of"}) {
        site.peer.answer({{httpAnswer(status, R"({"reason":"fence"})")}});
        const HttpOutcome outcome = site.call();
        CHECK(outcome.kind == HttpSending::Answered);
        CHECK(outcome.response.result_int() == std::stoul(status));
        CHECK(outcome.response.body() == R"({"reason":"fence"})");
    }
    CHECK(site.peer.connections() == 1);
}

TEST_CASE("an answer may come in pieces of any size")
{
    const std::string body(9'000, 'x');
    const std::string whole = httpAnswer("200 OK", body);
    for (const std::size_t cut : {1UL, 9UL, 17UL, 36UL, 40UL, 2'048UL, 4'096UL, 9'010UL}) {
        INFO(cut);
        Site site;
        site.peer.answer({{whole.substr(0, cut), whole.substr(cut)}, false, Milliseconds {5}});
        site.peer.answer({{httpAnswer("200 OK", "next")}});
        const HttpOutcome outcome = site.call();
        CHECK(outcome.kind == HttpSending::Answered);
        CHECK(outcome.response.body() == body);
        CHECK(site.call().response.body() == "next");
        CHECK(site.peer.connections() == 1);
    }
}

TEST_CASE("an answer in chunks is put together")
{
    Site site;
    site.peer.answer({{"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n",
        "2\r\nde\r\n0\r\n\r\n"}});
    CHECK(site.call().response.body() == "abcde");
}

TEST_CASE("a cut answer is no answer")
{
    const std::string whole = httpAnswer("200 OK", "abcdef");
    for (std::size_t length = 0; length < whole.size(); ++length) {
        INFO(length);
        Site site;
        site.peer.answer({{whole.substr(0, length)}, true});
        CHECK(site.call().kind == HttpSending::Broken);
        CHECK(site.peer.requests().size() == 1); // never sent again
    }
}

TEST_CASE("an answer whose end cannot be told is no answer")
{
    Site site;
    site.peer.answer({{"HTTP/1.1 200 OK\r\n\r\nabc"}, true});
    CHECK(site.call().kind == HttpSending::Broken);
    site.peer.answer({{"something else\r\n\r\n"}});
    CHECK(site.call().kind == HttpSending::Broken);
    CHECK(site.peer.requests().size() == 2);
}

TEST_CASE("an answer larger than allowed is told apart")
{
    Site site;
    site.peer.answer({{httpAnswer("200 OK", std::string(mostBody + 1, 'x'))}});
    CHECK(site.call().kind == HttpSending::TooLarge);
    site.peer.answer({{httpAnswer("200 OK", std::string(mostBody, 'x'))}});
    CHECK(site.call().response.body().size() == mostBody);
}

TEST_CASE("a large request is written in full")
{
    Site site;
    const std::string body(1'000'000, 'x');
    site.peer.answer({{httpAnswer("200 OK", "")}});
    CHECK(site.call(body).kind == HttpSending::Answered);
    REQUIRE(site.peer.requests().size() == 1);
    CHECK(site.peer.requests().front() == body);
}

TEST_CASE("an unanswered call times out, and its answer comes too late for any other")
{
    Site site;
    site.peer.answer({{httpAnswer("200 OK", "late")}, false, Milliseconds {400}});
    const MonotonicTime began = std::chrono::steady_clock::now();
    CHECK(site.call().kind == HttpSending::TimedOut);
    CHECK(std::chrono::steady_clock::now() - began >= limit);
    site.peer.answer({{httpAnswer("200 OK", "in time")}, false, Milliseconds {150}});
    CHECK(site.call().response.body() == "in time");
    CHECK(site.peer.connections() == 2);
    site.settle(Milliseconds {200});
}

TEST_CASE("calls at once have connections and deadlines of their own")
{
    Site site;
    site.peer.answer({}); // silent
    site.peer.answer({{httpAnswer("200 OK", "b")}});
    std::optional<HttpOutcome> first;
    std::optional<HttpOutcome> second;
    site.begin("1", first);
    site.begin("2", second);
    site.until([&]() { return first.has_value() && second.has_value(); });
    const bool firstSilent = first->kind == HttpSending::TimedOut;
    CHECK(firstSilent != (second->kind == HttpSending::TimedOut));
    CHECK((firstSilent ? second : first)->response.body() == "b");
    CHECK(site.peer.connections() == 2);
}

TEST_CASE("a call whose time is up before it begins is not sent")
{
    Site site;
    std::optional<HttpOutcome> outcome;
    site.client.send(site.peer.address(), "x", std::chrono::steady_clock::now(),
        [&outcome](const HttpOutcome &told) { outcome = told; });
    CHECK_FALSE(outcome.has_value());
    site.settle();
    REQUIRE(outcome.has_value());
    CHECK(outcome->kind == HttpSending::NotSent);
    CHECK(site.peer.connections() == 0);
}

TEST_CASE("without a connection nothing is sent")
{
    Site site;
    const NodeAddress nobody = site.peer.address();
    site.peer.stopAccepting();
    std::optional<HttpOutcome> outcome;
    site.client.send(nobody, postText(nobody, "/hold", "", "{}"),
        std::chrono::steady_clock::now() + limit,
        [&outcome](const HttpOutcome &told) { outcome = told; });
    site.until([&outcome]() { return outcome.has_value(); });
    CHECK(outcome->kind == HttpSending::NotSent);
}

TEST_CASE("a kept connection that its peer has closed is passed over")
{
    for (const bool seen : {true, false}) {
        INFO("the loop has seen it: " << seen);
        Site site;
        site.peer.answer({{httpAnswer("200 OK", "a")}});
        CHECK(site.call().kind == HttpSending::Answered);
        constexpr Milliseconds longIdle {150};
        std::this_thread::sleep_for(longIdle);
        site.peer.closeAll();
        if (seen) {
            site.settle();
        }
        site.peer.answer({{httpAnswer("200 OK", "b")}});
        CHECK(site.call().response.body() == "b");
        CHECK(site.peer.requests().size() == 2);
        CHECK(site.peer.connections() == 2);
    }
}

TEST_CASE("a connection that closes once the request was written leaves the call unanswered")
{
    Site site;
    site.peer.answer({{httpAnswer("200 OK", "a")}});
    CHECK(site.call().kind == HttpSending::Answered);
    site.peer.answer({{}, true});
    CHECK(site.call().kind == HttpSending::Broken);
    site.settle();
    CHECK(site.peer.requests().size() == 2); // and not three
}

TEST_CASE("bytes that nobody asked for end their connection")
{
    Site site;
    site.peer.answer({{httpAnswer("200 OK", "a") + httpAnswer("200 OK", "stray")}});
    CHECK(site.call().response.body() == "a");
    site.peer.answer({{httpAnswer("200 OK", "b")}});
    CHECK(site.call().response.body() == "b");
    site.peer.answer(
        {{httpAnswer("200 OK", "c"), httpAnswer("200 OK", "stray")}, false, Milliseconds {5}});
    CHECK(site.call().response.body() == "c");
    site.settle();
    site.peer.answer({{httpAnswer("200 OK", "d")}});
    CHECK(site.call().response.body() == "d");
    CHECK(site.peer.connections() == 3);
}

TEST_CASE("a connection is kept only where the answer allows it")
{
    Site site;
    site.peer.answer({{"HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"}});
    site.peer.answer({{httpAnswer("200 OK", "")}});
    CHECK(site.call().kind == HttpSending::Answered);
    CHECK(site.call().kind == HttpSending::Answered);
    CHECK(site.peer.connections() == 2);
    site.client.forget(site.peer.address());
    site.peer.answer({{httpAnswer("200 OK", "")}});
    CHECK(site.call().kind == HttpSending::Answered);
    CHECK(site.peer.connections() == 3);
}

TEST_CASE("a call may begin where another ends, also after a timeout")
{
    Site site;
    site.peer.answer({});
    site.peer.answer({{httpAnswer("200 OK", "next")}});
    std::optional<HttpOutcome> next;
    site.client.send(site.peer.address(), postText(site.peer.address(), "/hold", "", "1"),
        std::chrono::steady_clock::now() + limit,
        [&site, &next](const HttpOutcome & /*told*/) { site.begin("2", next); });
    site.until([&next]() { return next.has_value(); });
    CHECK(next->response.body() == "next");
}

TEST_CASE("calls under way go silently with their client")
{
    asio::io_context context {1};
    ScriptedPeer peer {context};
    bool told = false;
    {
        CallClient client {context, HttpClientLimits {}};
        client.send(peer.address(), postText(peer.address(), "/hold", "", "1"),
            std::chrono::steady_clock::now() + limit,
            [&told](const HttpOutcome & /*outcome*/) { told = true; });
        context.run_for(Milliseconds {20});
        client.send(peer.address(), postText(peer.address(), "/hold", "", "2"),
            std::chrono::steady_clock::now() + limit,
            [&told](const HttpOutcome & /*outcome*/) { told = true; });
    }
    context.run_for(limit + Milliseconds {50});
    CHECK_FALSE(told);
}

} // namespace crocusmill
