/// Which workers are left out for a while, and which are not.

#include <crocusmill/workerhealth.h>

#include <catch2/catch.hpp>

namespace crocusmill
{

namespace
{

const MonotonicTime now {std::chrono::hours {1}};
const WorkerId bad {"bad"};
constexpr std::size_t fleet = 48;

GraphId job(int number)
{
    return GraphId {"g" + std::to_string(number)};
}

} // namespace

TEST_CASE("a worker that fails everything costs few attempts of many jobs")
{
    // The load: jobs with up to four attempts come one after the other, and the bad worker, always
    // idle, is offered each task first.
    WorkerHealth health;
    int taken = 0;
    for (int number = 0; number < 400; ++number) { // 20 s, 20 a second
        const MonotonicTime at = now + Milliseconds {50} * number;
        if (health.usable(bad, fleet, at)) {
            ++taken;
            health.failed(bad, job(number), at);
        }
    }
    CHECK(taken <= 7); // without a pause: 400
}

TEST_CASE("one job that cannot be done says nothing about its workers")
{
    WorkerHealth health;
    for (int i = 0; i < 10; ++i) {
        health.failed(bad, job(1), now);
    }
    CHECK(health.usable(bad, fleet, now));
    health.failed(bad, job(2), now);
    health.succeeded(bad);
    health.failed(bad, job(3), now);
    health.failed(bad, job(4), now);
    CHECK(health.usable(bad, fleet, now));
    health.failed(bad, job(5), now);
    CHECK_FALSE(health.usable(bad, fleet, now));
}

TEST_CASE("a worker on which tasks stand still is left out, longer each time, until one succeeds")
{
    WorkerHealth health;
    health.stalled(bad, now);
    CHECK_FALSE(health.usable(bad, fleet, now + Milliseconds {1'900}));
    CHECK(health.usable(bad, fleet, now + Milliseconds {2'100}));
    health.stalled(bad, now + Milliseconds {2'100});
    CHECK_FALSE(health.usable(bad, fleet, now + Milliseconds {6'000}));
    health.succeeded(bad);
    health.stalled(bad, now + Milliseconds {9'000});
    CHECK(health.usable(bad, fleet, now + Milliseconds {11'100}));
}

TEST_CASE("no more are left out than the rest can make up for")
{
    WorkerHealth health;
    for (int i = 0; i < 13; ++i) {
        health.stalled(WorkerId {std::to_string(i)}, now);
    }
    CHECK(health.usable(WorkerId {"0"}, fleet, now));
    health.forget(WorkerId {"12"});
    CHECK_FALSE(health.usable(WorkerId {"0"}, fleet, now));
}

} // namespace crocusmill
