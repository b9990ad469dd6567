/// Steady time across suspensions of the VM and jumps of its time of day.

#include <crocusmill/suspendclock.h>

#include <catch2/catch.hpp>

namespace crocusmill
{

namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Clocks of a VM.
struct Clocks
{
    MonotonicTime steady {std::chrono::hours {5}};
    std::chrono::nanoseconds uptime {std::chrono::hours {6}}; // suspended for an hour before
    std::chrono::system_clock::time_point timeOfDay {std::chrono::hours {480'000}};
    int uptimeReadings = 0;
    SuspendAwareClock clock {[this]() {
        ++uptimeReadings;
        return uptime;
    }};

    void pass(milliseconds time)
    {
        steady += time;
        suspend(time);
    }

    void suspend(milliseconds time)
    {
        uptime += time;
        timeOfDay += time;
    }

    MonotonicTime read()
    {
        return clock.read(steady, timeOfDay);
    }
};

} // namespace

TEST_CASE("a suspended VM held its lease when it woke")
{
    Clocks clocks;
    const MonotonicTime renewedAt = clocks.read();
    constexpr milliseconds lease {360};
    clocks.pass(milliseconds {100});
    CHECK(clocks.read() - renewedAt == milliseconds {100});
    clocks.suspend(seconds {3});
    CHECK(clocks.read() - renewedAt > lease);
    CHECK(clocks.read() - renewedAt == milliseconds {3'100});
}

TEST_CASE("a jump of the time of day is no suspension")
{
    Clocks clocks;
    const MonotonicTime begin = clocks.read();
    for (const milliseconds jump : {milliseconds {1'200'000}, milliseconds {-1'200'000}}) {
        clocks.timeOfDay += jump;
        clocks.pass(milliseconds {50});
        static_cast<void>(clocks.read());
    }
    CHECK(clocks.read() - begin == milliseconds {100});
}

TEST_CASE("the slow clock is read only after the others have moved apart")
{
    Clocks clocks;
    for (int i = 0; i < 1'000; ++i) {
        clocks.pass(milliseconds {1});
        static_cast<void>(clocks.read());
    }
    CHECK(clocks.uptimeReadings == 1);
}

} // namespace crocusmill
