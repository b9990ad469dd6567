/// How many calls are open to the leader.

#include <crocusmill/openlimit.h>

#include <catch2/catch.hpp>

namespace crocusmill
{

namespace
{

constexpr Milliseconds soon {30};
constexpr Milliseconds late {900};

/// A leader that answers all that is open at once, `delay` after it was sent.
struct Rounds
{
    void play(int rounds, Milliseconds delay)
    {
        for (int i = 0; i < rounds; ++i) {
            const MonotonicTime sent = now;
            while (limit.open() < limit.limit()) {
                static_cast<void>(limit.take());
            }
            now += delay;
            while (limit.open() > 0) {
                limit.answered(sent, now);
                limit.release();
            }
        }
    }

    OpenLimit limit;
    MonotonicTime now = MonotonicTime {} + std::chrono::hours {1};
};

} // namespace

TEST_CASE("calls up to the limit are open at a time")
{
    OpenLimit limit {{2, 1, 10, Milliseconds {500}, 0.5}};
    CHECK(limit.take());
    CHECK(limit.take());
    CHECK_FALSE(limit.take());
    limit.release();
    CHECK(limit.take());
}

TEST_CASE("late answers of one round lower the limit once")
{
    Rounds rounds;
    const std::size_t before = rounds.limit.limit();
    rounds.play(1, late);
    CHECK(rounds.limit.limit() < before);
    CHECK(rounds.limit.limit() * 2 > before);
}

TEST_CASE("the limit falls under a slow leader, never to nothing, and comes back")
{
    Rounds rounds;
    const std::size_t before = rounds.limit.limit();
    constexpr int many = 40;
    rounds.play(many, late);
    CHECK(rounds.limit.limit() == 4);
    CHECK(rounds.limit.retryAfter() > Milliseconds {800});
    CHECK(rounds.limit.retryAfter() <= late);
    rounds.play(5 * many, soon);
    CHECK(rounds.limit.limit() >= before);
}

TEST_CASE("a limit that is not used does not grow")
{
    OpenLimit limit;
    const std::size_t before = limit.limit();
    MonotonicTime now = MonotonicTime {} + std::chrono::hours {1};
    constexpr int many = 10'000;
    for (int i = 0; i < many; ++i) {
        REQUIRE(limit.take());
        now += soon;
        limit.answered(now - soon, now);
        limit.release();
    }
    CHECK(limit.limit() == before);
}

} // namespace crocusmill
