/// Tests the timeout that follows the answer times of earlier calls.

#include <crocusmill/answertimeout.h>

#include <catch2/catch.hpp>

namespace crocusmill
{

TEST_CASE("the timeout follows answer times within its limits")
{
    AnswerTimeout times;
    CHECK(times.timeout() == Milliseconds {400}); // nothing is known yet
    constexpr int callCount = 64;
    for (int i = 0; i < callCount; ++i) {
        times.recordAnswer(Microseconds {2'000});
    }
    CHECK(times.timeout() == Milliseconds {100});
    for (int i = 0; i < callCount; ++i) {
        times.recordAnswer(Microseconds {i % 2 == 0 ? 120'000 : 180'000});
    }
    CHECK(times.timeout() > Milliseconds {180});
    for (int i = 0; i < callCount; ++i) {
        times.recordAnswer(Microseconds {900'000});
    }
    CHECK(times.timeout() == Milliseconds {400});
}

TEST_CASE("the timeout of repeated calls grows, as answers may be slower than it")
{
    AnswerTimeout times;
    times.recordAnswer(Microseconds {30'000});
    CHECK(times.timeout(0) == Milliseconds {100});
    CHECK(times.timeout(1) == Milliseconds {100});
    CHECK(times.timeout(2) == Milliseconds {200});
    CHECK(times.timeout(1'000) == Milliseconds {400});
}

} // namespace crocusmill
