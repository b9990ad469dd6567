/// The order of calls on the leader.

#include <crocusmill/callqueue.h>

#include <catch2/catch.hpp>

#include <vector>

namespace crocusmill
{

namespace
{

constexpr Milliseconds callTimeout {2'000};

MonotonicTime at(Milliseconds time)
{
    return MonotonicTime {} + std::chrono::hours {1} + time;
}

/// One queue and calls that come at the test's time.
struct QueueFixture
{
    std::optional<Milliseconds> add(CallClass callClass, Milliseconds limit = callTimeout)
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
    QueueFixture fixture;
    for (const CallClass callClass : {CallClass::Submission, CallClass::Query, CallClass::Cancel,
             CallClass::Change, CallClass::Presence}) {
        REQUIRE_FALSE(fixture.add(callClass));
    }
    std::vector<std::uint64_t> order;
    while (const std::optional<CallQueue::Turn> turn = fixture.queue.next(fixture.now)) {
        order.push_back(turn->id);
    }
    CHECK(order == std::vector<std::uint64_t> {5, 4, 3, 2, 1});
}

TEST_CASE("questions and submissions take turns")
{
    QueueFixture fixture;
    for (const CallClass callClass :
        {CallClass::Query, CallClass::Query, CallClass::Query, CallClass::Submission}) {
        REQUIRE_FALSE(fixture.add(callClass));
    }
    CHECK(fixture.queue.next(fixture.now)->id == 1);
    CHECK(fixture.queue.next(fixture.now)->id == 4);
    CHECK(fixture.queue.next(fixture.now)->id == 2);
    CHECK(fixture.queue.next(fixture.now)->id == 3);
}

TEST_CASE("a call whose caller has given up is not handled")
{
    QueueFixture fixture;
    REQUIRE_FALSE(fixture.add(CallClass::Query, Milliseconds {100}));
    REQUIRE_FALSE(fixture.add(CallClass::Query, Milliseconds {300}));
    fixture.now += Milliseconds {200};
    CHECK(fixture.queue.next(fixture.now)->expired);
    CHECK_FALSE(fixture.queue.next(fixture.now)->expired);
}

TEST_CASE("nothing is refused while there is room")
{
    QueueFixture fixture;
    constexpr int callCount = 500;
    for (int i = 0; i < callCount; ++i) {
        REQUIRE_FALSE(fixture.add(CallClass::Submission));
    }
    fixture.drain(callCount, Milliseconds {1});
    // At a millisecond each, so many are handled in a quarter of their callers' time.
    for (int i = 0; i < callCount; ++i) {
        REQUIRE_FALSE(fixture.add(CallClass::Submission));
    }
}

TEST_CASE("what cannot have its turn in half of its time is refused, with the time to wait")
{
    QueueFixture fixture;
    constexpr int callCount = 400;
    for (int i = 0; i < callCount; ++i) {
        REQUIRE_FALSE(fixture.add(CallClass::Submission));
    }
    fixture.drain(callCount / 2, Milliseconds {10}); // two seconds are waiting
    const std::optional<Milliseconds> retryAfter = fixture.add(CallClass::Submission);
    REQUIRE(retryAfter);
    CHECK(*retryAfter > Milliseconds {1'800});
    CHECK(*retryAfter <= Milliseconds {2'100});
    // Questions have every second turn and none is waiting.
    CHECK_FALSE(fixture.add(CallClass::Query));
    CHECK_FALSE(fixture.add(CallClass::Presence));
    CHECK_FALSE(fixture.add(CallClass::Change));
    CHECK_FALSE(fixture.add(CallClass::Cancel));
}

TEST_CASE("a process that stood still for seconds refuses nothing for that")
{
    QueueFixture fixture;
    constexpr int callCount = 40;
    for (int i = 0; i < callCount; ++i) {
        REQUIRE_FALSE(fixture.add(CallClass::Query));
    }
    fixture.drain(1, Milliseconds {5'000});
    fixture.drain(1, Milliseconds {1});
    CHECK_FALSE(fixture.add(CallClass::Query));
}

TEST_CASE("a queue that has drained accepts again")
{
    QueueFixture fixture;
    constexpr int callCount = 400;
    for (int i = 0; i < callCount; ++i) {
        static_cast<void>(fixture.add(CallClass::Submission));
    }
    fixture.drain(callCount / 2, Milliseconds {10});
    REQUIRE(fixture.add(CallClass::Submission));
    fixture.drain(callCount / 2, Milliseconds {10});
    REQUIRE(fixture.queue.size() == 0);
    CHECK_FALSE(fixture.add(CallClass::Submission));
}

TEST_CASE("calls have a third of a busy thread's time, and never much of it at once")
{
    CHECK(turnBudget(Milliseconds {1}) == Milliseconds {2});
    CHECK(turnBudget(Milliseconds {30}) == Milliseconds {15});
    CHECK(turnBudget(Milliseconds {2'000}) == Milliseconds {25});
}

TEST_CASE("heartbeats that fill the thread do not keep clients from it")
{
    QueueFixture fixture;
    constexpr int callCount = 100;
    for (int i = 0; i < callCount; ++i) {
        REQUIRE_FALSE(fixture.add(CallClass::Presence));
    }
    REQUIRE_FALSE(fixture.add(CallClass::Submission));
    const std::uint64_t submission = fixture.id;
    int turns = 1;
    while (fixture.queue.next(fixture.now)->id != submission) {
        ++turns;
    }
    CHECK(turns <= 4);
}

TEST_CASE("the wait of clients' calls counts what else the thread does")
{
    QueueFixture fixture;
    constexpr int callCount = 100;
    for (int i = 0; i < callCount; ++i) {
        REQUIRE_FALSE(fixture.add(CallClass::Submission));
        for (int k = 0; k < 4; ++k) {
            REQUIRE_FALSE(fixture.add(CallClass::Presence));
        }
    }
    // Each fourth turn of 10 ms is a submission's.
    fixture.drain(callCount * 2, Milliseconds {10});
    CHECK(fixture.queue.expectedWait(CallClass::Submission, fixture.now) > Milliseconds {1'000});
    CHECK(fixture.add(CallClass::Submission));
}

} // namespace crocusmill
