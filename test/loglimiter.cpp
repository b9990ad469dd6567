/// Limits on the volume of log records.

#include "src/net/loglimiter.h"

#include <catch2/catch.hpp>

namespace crocusmill
{

namespace
{

constexpr Milliseconds interval {1'000};
const MonotonicTime start {};

} // namespace

TEST_CASE("one record for each key and interval is admitted, and the next one counts the rest")
{
    LogLimiter limiter {interval};
    CHECK(limiter.admit("w1", start) == 0);
    CHECK_FALSE(limiter.admit("w1", start + interval / 2).has_value());
    CHECK_FALSE(limiter.admit("w1", start + interval - Milliseconds {1}).has_value());
    CHECK(limiter.admit("w2", start + interval / 2) == 0); // of its own
    CHECK(limiter.admit("w1", start + interval) == 2);
    CHECK(limiter.admit("w1", start + 2 * interval) == 0);
}

TEST_CASE("a key that was idle for long starts anew")
{
    LogLimiter limiter {interval};
    CHECK(limiter.admit("w1", start) == 0);
    CHECK_FALSE(limiter.admit("w1", start).has_value());
    CHECK(limiter.admit("w2", start + Milliseconds {120'000}) == 0);
    CHECK(limiter.admit("w1", start + Milliseconds {120'001}) == 0);
}

} // namespace crocusmill
