/// The order of calls on the leader.

#include <crocusmill/callqueue.h>

#include <catch2/catch.hpp>

#include <vector>

namespace crocusmill
{

namespace
{

constexpr Milliseconds patience {2'000};

MonotonicTime at(Milliseconds time)
{
    return MonotonicTime {} + std::chrono::hours {1} + time;
}

/// One queue and calls that come at the test's time.
struct Calls
{
    std::optional<Milliseconds> add(CallClass callClass, Milliseconds limit = patience)
    {
        return queue.add(callClass, {++id, now, now + limit}, now);
    }

    /// Handles calls that take `cost` each.
    void drain(int count, Milliseconds cost)
    {
        for (int i = 0; i < count; ++i) {
            static_cast<void>(queue.next(now));
            now += cost;
        }
    }

    CallQueue queue;
    std::uint64_t id = 0;
    MonotonicTime now = at(Milliseconds {0});
};

} // namespace

TEST_CASE("what keeps the cell alive goes before what was there earlier")
{
    Calls calls;
    for (const CallClass callClass : {CallClass::Submission, CallClass::Question, CallClass::Cancel,
             CallClass::Change, CallClass::Presence}) {
        REQUIRE_FALSE(calls.add(callClass));
    }
    std::vector<std::uint64_t> order;
    while (const std::optional<CallQueue::Turn> turn = calls.queue.next(calls.now)) {
        order.push_back(turn->id);
    }
    CHECK(order == std::vector<std::uint64_t> {5, 4, 3, 2, 1});
}

TEST_CASE("questions and submissions take turns")
{
    Calls calls;
    for (const CallClass callClass :
        {CallClass::Question, CallClass::Question, CallClass::Question, CallClass::Submission}) {
        REQUIRE_FALSE(calls.add(callClass));
    }
    CHECK(calls.queue.next(calls.now)->id == 1);
    CHECK(calls.queue.next(calls.now)->id == 4);
    CHECK(calls.queue.next(calls.now)->id == 2);
    CHECK(calls.queue.next(calls.now)->id == 3);
}

TEST_CASE("a call whose caller has given up is not handled")
{
    Calls calls;
    REQUIRE_FALSE(calls.add(CallClass::Question, Milliseconds {100}));
    REQUIRE_FALSE(calls.add(CallClass::Question, Milliseconds {300}));
    calls.now += Milliseconds {200};
    CHECK(calls.queue.next(calls.now)->expired);
    CHECK_FALSE(calls.queue.next(calls.now)->expired);
}

TEST_CASE("nothing is refused while there is room")
{
    Calls calls;
    constexpr int many = 500;
    for (int i = 0; i < many; ++i) {
        REQUIRE_FALSE(calls.add(CallClass::Submission));
    }
    calls.drain(many, Milliseconds {1});
    // At a millisecond each, so many are handled in a quarter of their callers' time.
    for (int i = 0; i < many; ++i) {
        REQUIRE_FALSE(calls.add(CallClass::Submission));
    }
}

TEST_CASE("what cannot have its turn in half of its time is refused, with the time to wait")
{
    Calls calls;
    constexpr int many = 400;
    for (int i = 0; i < many; ++i) {
        REQUIRE_FALSE(calls.add(CallClass::Submission));
    }
    calls.drain(many / 2, Milliseconds {10}); // two seconds are waiting
    const std::optional<Milliseconds> retryAfter = calls.add(CallClass::Submission);
    REQUIRE(retryAfter);
    CHECK(*retryAfter > Milliseconds {1'800});
    CHECK(*retryAfter <= Milliseconds {2'100});
    // Questions have every second turn and none is waiting.
    CHECK_FALSE(calls.add(CallClass::Question));
    CHECK_FALSE(calls.add(CallClass::Presence));
    CHECK_FALSE(calls.add(CallClass::Change));
    CHECK_FALSE(calls.add(CallClass::Cancel));
}

TEST_CASE("a process that stood still for seconds refuses nothing for that")
{
    Calls calls;
    constexpr int few = 40;
    for (int i = 0; i < few; ++i) {
        REQUIRE_FALSE(calls.add(CallClass::Question));
    }
    calls.drain(1, Milliseconds {5'000});
    calls.drain(1, Milliseconds {1});
    CHECK_FALSE(calls.add(CallClass::Question));
}

TEST_CASE("a queue that has drained accepts again")
{
    Calls calls;
    constexpr int many = 400;
    for (int i = 0; i < many; ++i) {
        static_cast<void>(calls.add(CallClass::Submission));
    }
    calls.drain(many / 2, Milliseconds {10});
    REQUIRE(calls.add(CallClass::Submission));
    calls.drain(many / 2, Milliseconds {10});
    REQUIRE(calls.queue.size() == 0);
    CHECK_FALSE(calls.add(CallClass::Submission));
}

TEST_CASE("calls have a third of a busy thread's time, and never much of it at once")
{
    CHECK(turnBudget(Milliseconds {1}) == Milliseconds {2});
    CHECK(turnBudget(Milliseconds {30}) == Milliseconds {15});
    CHECK(turnBudget(Milliseconds {2'000}) == Milliseconds {25});
}

TEST_CASE("heartbeats that fill the thread do not keep clients from it")
{
    Calls calls;
    constexpr int many = 100;
    for (int i = 0; i < many; ++i) {
        REQUIRE_FALSE(calls.add(CallClass::Presence));
    }
    REQUIRE_FALSE(calls.add(CallClass::Submission));
    const std::uint64_t submission = calls.id;
    int turns = 1;
    while (calls.queue.next(calls.now)->id != submission) {
        ++turns;
    }
    CHECK(turns <= 4);
}

TEST_CASE("the wait of clients' calls counts what else the thread does")
{
    Calls calls;
    constexpr int many = 100;
    for (int i = 0; i < many; ++i) {
        REQUIRE_FALSE(calls.add(CallClass::Submission));
        for (int k = 0; k < 4; ++k) {
            REQUIRE_FALSE(calls.add(CallClass::Presence));
        }
    }
    // Each fourth turn of 10 ms is a submission's.
    calls.drain(many * 2, Milliseconds {10});
    CHECK(calls.queue.expectedWait(CallClass::Submission, calls.now) > Milliseconds {1'000});
    CHECK(calls.add(CallClass::Submission));
}

} // namespace crocusmill
