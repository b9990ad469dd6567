/// Time of day of a process while the system's time of day jumps.

#include <crocusmill/slewedclock.h>

#include <catch2/catch.hpp>

namespace crocusmill
{

namespace
{

using std::chrono::hours;
using std::chrono::minutes;
using std::chrono::seconds;

const WallTime start {hours {480'000}};

} // namespace

TEST_CASE("the time of day does not jump with the system's and does not run back")
{
    const Milliseconds jump =
        GENERATE(Milliseconds {seconds {2}}, Milliseconds {minutes {20}}, Milliseconds {hours {24}},
            -Milliseconds {seconds {2}}, -Milliseconds {minutes {20}}, -Milliseconds {hours {24}});
    SlewedClock clock {seconds {5}, start};
    WallTime last = start;
    constexpr Milliseconds tick {10};
    const Milliseconds jumpBegins = seconds {2};
    const Milliseconds jumpEnds = seconds {10};
    for (Milliseconds passed = tick; passed <= seconds {20}; passed += tick) {
        const bool isJumped = passed >= jumpBegins && passed < jumpEnds;
        const WallTime read =
            clock.read(seconds {5} + passed, start + passed + (isJumped ? jump : Milliseconds {0}));
        CHECK(read >= last);
        // Eight seconds with a wrong system clock move the time by a twentieth of that.
        CHECK(std::chrono::abs(read - (start + passed)) <= Milliseconds {401});
        last = read;
    }
    CHECK(std::chrono::abs(last - (start + seconds {20})) <= Milliseconds {1});
}

TEST_CASE("a lasting difference to the system's time of day is made up for")
{
    SlewedClock clock {seconds {0}, start};
    for (seconds passed {1}; passed <= seconds {50}; ++passed) {
        static_cast<void>(clock.read(passed, start + passed + seconds {2}));
    }
    CHECK(clock.systemLead() == Milliseconds {0});
}

TEST_CASE("the time in which the VM was suspended counts")
{
    SlewedClock clock {seconds {0}, start};
    CHECK(clock.read(minutes {3}, start + minutes {3}) == start + minutes {3});
}

} // namespace crocusmill
