/// When workers are paused, and for how long.

#include <crocusmill/workerhealth.h>

#include <catch2/catch.hpp>

namespace crocusmill
{

namespace
{

const MonotonicTime now {std::chrono::hours {1}};
const WorkerId bad {"bad"};
constexpr std::size_t workerCount = 48;

GraphId job(int number)
{
    return GraphId {"g" + std::to_string(number)};
}

} // namespace

TEST_CASE("a worker that fails everything uses up few attempts")
{
    // Jobs with up to four attempts arrive one after the other. The bad worker is always idle, so
    // each task is offered to it first.
    WorkerHealth health;
    int attemptCount = 0;
    for (int number = 0; number < 400; ++number) { // 20 s, 20 jobs per second
        const MonotonicTime at = now + Milliseconds {50} * number;
        if (health.isUsable(bad, workerCount, at)) {
            ++attemptCount;
            health.recordFailure(bad, job(number), at);
        }
    }
    CHECK(attemptCount <= 7); // without a pause: 400
}

TEST_CASE("failures of a single job do not pause a worker")
{
    WorkerHealth health;
    for (int i = 0; i < 10; ++i) {
        health.recordFailure(bad, job(1), now);
    }
    CHECK(health.isUsable(bad, workerCount, now));
    health.recordFailure(bad, job(2), now);
    health.recordSuccess(bad);
    health.recordFailure(bad, job(3), now);
    health.recordFailure(bad, job(4), now);
    CHECK(health.isUsable(bad, workerCount, now));
    health.recordFailure(bad, job(5), now);
    CHECK_FALSE(health.isUsable(bad, workerCount, now));
}

TEST_CASE("a worker with stalled tasks is paused, longer each time, until a task succeeds")
{
    WorkerHealth health;
    health.recordStall(bad, now);
    CHECK_FALSE(health.isUsable(bad, workerCount, now + Milliseconds {1'900}));
    CHECK(health.isUsable(bad, workerCount, now + Milliseconds {2'100}));
    health.recordStall(bad, now + Milliseconds {2'100});
    CHECK_FALSE(health.isUsable(bad, workerCount, now + Milliseconds {6'000}));
    health.recordSuccess(bad);
    health.recordStall(bad, now + Milliseconds {9'000});
    CHECK(health.isUsable(bad, workerCount, now + Milliseconds {11'100}));
}

TEST_CASE("pauses do not apply while more than a quarter of the workers is paused")
{
    WorkerHealth health;
    for (int i = 0; i < 13; ++i) {
        health.recordStall(WorkerId {std::to_string(i)}, now);
    }
    CHECK(health.isUsable(WorkerId {"0"}, workerCount, now));
    health.forget(WorkerId {"12"});
    CHECK_FALSE(health.isUsable(WorkerId {"0"}, workerCount, now));
}

} // namespace crocusmill
