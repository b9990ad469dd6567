/// Adaptive limit of open calls to the leader.

#include <crocusmill/openlimit.h>

#include <catch2/catch.hpp>

namespace crocusmill
{

namespace
{

constexpr Milliseconds shortDelay {30};
constexpr Milliseconds longDelay {900};

/// A leader that answers all open calls `delay` after they were sent.
struct LeaderSimulation
{
    void run(int rounds, Milliseconds delay)
    {
        for (int i = 0; i < rounds; ++i) {
            const MonotonicTime sent = now;
            while (limit.openCount() < limit.limit()) {
                static_cast<void>(limit.take());
            }
            now += delay;
            while (limit.openCount() > 0) {
                limit.recordAnswer(sent, now);
                limit.release();
            }
        }
    }

    OpenLimit limit;
    MonotonicTime now = MonotonicTime {} + std::chrono::hours {1};
};

} // namespace

TEST_CASE("no more calls than the limit are open at a time")
{
    OpenLimit limit {{2, 1, 10, Milliseconds {500}, 0.5}};
    CHECK(limit.take());
    CHECK(limit.take());
    CHECK_FALSE(limit.take());
    limit.release();
    CHECK(limit.take());
}

TEST_CASE("late answers of one round trip lower the limit once")
{
    LeaderSimulation leader;
    const std::size_t before = leader.limit.limit();
    leader.run(1, longDelay);
    CHECK(leader.limit.limit() < before);
    CHECK(leader.limit.limit() * 2 > before);
}

TEST_CASE("the limit falls to its minimum under a slow leader and recovers")
{
    LeaderSimulation leader;
    const std::size_t before = leader.limit.limit();
    constexpr int roundCount = 40;
    leader.run(roundCount, longDelay);
    CHECK(leader.limit.limit() == 4);
    CHECK(leader.limit.retryAfter() > Milliseconds {800});
    CHECK(leader.limit.retryAfter() <= longDelay);
    leader.run(5 * roundCount, shortDelay);
    CHECK(leader.limit.limit() >= before);
}

TEST_CASE("a limit that is not used up does not grow")
{
    OpenLimit limit;
    const std::size_t before = limit.limit();
    MonotonicTime now = MonotonicTime {} + std::chrono::hours {1};
    constexpr int callCount = 10'000;
    for (int i = 0; i < callCount; ++i) {
        REQUIRE(limit.take());
        now += shortDelay;
        limit.recordAnswer(now - shortDelay, now);
        limit.release();
    }
    CHECK(limit.limit() == before);
}

} // namespace crocusmill
