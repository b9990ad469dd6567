/// Deadlines on clocks of which only bounds are known.

#include <crocusmill/workerclock.h>

#include <catch2/catch.hpp>
#include <rapidcheck.h>

namespace crocusmill
{

TEST_CASE("without a reading there is no deadline and no lease is known to have expired")
{
    const WorkerClock clock;
    const MonotonicTime now {std::chrono::hours {1}};
    CHECK_FALSE(clock.deadlineAfter(Milliseconds {1'000}, now).has_value());
    CHECK(clock.latestExpiry(WorkerTime {1}) == MonotonicTime::max());
}

TEST_CASE("a lease is never longer than requested and has expired at its latest expiry")
{
    const bool holds = rc::check("bounds hold for every clock within the drift", []() {
        const MonotonicTime start {std::chrono::hours {1}};
        const double rate = 1.0 - *rc::gen::inRange(0, 21) / 1000.0; // up to 2% slow
        const std::int64_t offset = *rc::gen::inRange(0, 1'000'000);
        const auto shown = [&](MonotonicTime at) {
            const std::chrono::duration<double, std::milli> elapsed = at - start;
            return static_cast<double>(offset) + elapsed.count() * rate;
        };
        const MonotonicTime read = start + Milliseconds {*rc::gen::inRange(0, 5'000)};
        const MonotonicTime received = read + Milliseconds {*rc::gen::inRange(0, 3'000)};
        WorkerClock clock;
        clock.recordReading(WorkerTime {static_cast<std::int64_t>(shown(read))}, received);
        const MonotonicTime now = received + Milliseconds {*rc::gen::inRange(0, 8'000)};
        const Milliseconds lease {*rc::gen::inRange(500, 6'000)};
        const WorkerTime deadline = *clock.deadlineAfter(lease, now);
        RC_ASSERT(static_cast<double>(deadline.value()) <= shown(now) + lease.count() + 1);
        RC_ASSERT(shown(clock.latestExpiry(deadline)) >= static_cast<double>(deadline.value()) - 1);
    });
    CHECK(holds);
}

TEST_CASE("an answer that arrives out of order does not set the clock back")
{
    const MonotonicTime now {std::chrono::hours {1}};
    WorkerClock clock;
    clock.recordReading(WorkerTime {5'000}, now);
    clock.recordReading(WorkerTime {4'000}, now + Milliseconds {1});
    CHECK(clock.deadlineAfter(Milliseconds {100}, now)->value() == 5'100);
}

} // namespace crocusmill
