/// Order, refusal and expiry of calls to the leader.

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

/// A call queue with virtual time.
struct QueueFixture
{
    std::optional<Milliseconds> add(CallClass callClass, Milliseconds limit = callTimeout)
    {
        return queue.add(callClass, {++id, now, now + limit}, now);
    }

    /// Handles `count` calls that take `cost` each.
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

TEST_CASE("calls are handled by class priority, not by arrival")
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

TEST_CASE("queries and submissions alternate")
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

TEST_CASE("a call whose caller has timed out is marked as expired")
{
    QueueFixture fixture;
    REQUIRE_FALSE(fixture.add(CallClass::Query, Milliseconds {100}));
    REQUIRE_FALSE(fixture.add(CallClass::Query, Milliseconds {300}));
    fixture.now += Milliseconds {200};
    CHECK(fixture.queue.next(fixture.now)->expired);
    CHECK_FALSE(fixture.queue.next(fixture.now)->expired);
}

TEST_CASE("nothing is refused while the expected wait is short")
{
    QueueFixture fixture;
    constexpr int callCount = 500;
    for (int i = 0; i < callCount; ++i) {
        REQUIRE_FALSE(fixture.add(CallClass::Submission));
    }
    fixture.drain(callCount, Milliseconds {1});
    // At 1 ms each, 500 calls are handled within a quarter of their timeout.
    for (int i = 0; i < callCount; ++i) {
        REQUIRE_FALSE(fixture.add(CallClass::Submission));
    }
}

TEST_CASE("a submission that would wait over half of its timeout is refused with a retry delay")
{
    QueueFixture fixture;
    constexpr int callCount = 400;
    for (int i = 0; i < callCount; ++i) {
        REQUIRE_FALSE(fixture.add(CallClass::Submission));
    }
    fixture.drain(callCount / 2, Milliseconds {10}); // leaves calls worth 2 s
    const std::optional<Milliseconds> retryAfter = fixture.add(CallClass::Submission);
    REQUIRE(retryAfter);
    CHECK(*retryAfter > Milliseconds {1'800});
    CHECK(*retryAfter <= Milliseconds {2'100});
    // Queries get every second turn and none is waiting.
    CHECK_FALSE(fixture.add(CallClass::Query));
    CHECK_FALSE(fixture.add(CallClass::Presence));
    CHECK_FALSE(fixture.add(CallClass::Change));
    CHECK_FALSE(fixture.add(CallClass::Cancel));
}

TEST_CASE("a pause of the process for seconds causes no refusals")
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

TEST_CASE("a drained queue accepts calls again")
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

TEST_CASE("calls get a third of a busy thread's time, at most 25 ms at once")
{
    CHECK(turnBudget(Milliseconds {1}) == Milliseconds {2});
    CHECK(turnBudget(Milliseconds {30}) == Milliseconds {15});
    CHECK(turnBudget(Milliseconds {2'000}) == Milliseconds {25});
}

TEST_CASE("a flood of heartbeats does not starve client calls")
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

TEST_CASE("the expected wait of client calls includes other work of the thread")
{
    QueueFixture fixture;
    constexpr int callCount = 100;
    for (int i = 0; i < callCount; ++i) {
        REQUIRE_FALSE(fixture.add(CallClass::Submission));
        for (int k = 0; k < 4; ++k) {
            REQUIRE_FALSE(fixture.add(CallClass::Presence));
        }
    }
    // Every fourth turn of 10 ms goes to a submission.
    fixture.drain(callCount * 2, Milliseconds {10});
    CHECK(fixture.queue.expectedWait(CallClass::Submission, fixture.now) > Milliseconds {1'000});
    CHECK(fixture.add(CallClass::Submission));
}

} // namespace crocusmill
