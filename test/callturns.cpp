/// Turns of calls on a loop that has other work.

#include "src/services/callturns.h"

#include "src/net/clock.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <thread>
#include <vector>

namespace crocusmill
{

namespace
{

constexpr Milliseconds patience {5'000};

void spend(Milliseconds time)
{
    const MonotonicTime until = monotonicNow() + time;
    while (monotonicNow() < until) { }
}

} // namespace

TEST_CASE("other work of the loop does not wait for all calls")
{
    asio::io_context control;
    CallTurns turns {control};
    constexpr int many = 200;
    int handled = 0;
    int dropped = 0;
    for (int i = 0; i < many; ++i) {
        turns.add(CallClass::Query, patience,
            {[&handled]() {
                 ++handled;
                 spend(Milliseconds {1});
             },
                [](Milliseconds /*retryAfter*/) {},
                [&dropped]() {
                    ++dropped;
                }});
    }
    // What comes now is behind one turn, which takes a few calls.
    int handledBefore = many;
    asio::post(control, [&]() { handledBefore = handled; });
    control.run();
    CHECK(handledBefore < 10);
    CHECK(handled == many);
    CHECK(dropped == 0);
}

TEST_CASE("a call whose caller gave up before its turn is dropped unread")
{
    asio::io_context control;
    CallTurns turns {control};
    bool handled = false;
    bool dropped = false;
    turns.add(CallClass::Submission, Milliseconds {5},
        {[&handled]() { handled = true; }, [](Milliseconds /*retryAfter*/) {},
            [&dropped]() {
                dropped = true;
            }});
    std::this_thread::sleep_for(Milliseconds {10});
    control.run();
    CHECK_FALSE(handled);
    CHECK(dropped);
}

TEST_CASE("calls that wait for more than half of their time are refused when they come")
{
    asio::io_context control;
    CallTurns turns {control};
    constexpr Milliseconds limit {200};
    constexpr int many = 400;
    int handled = 0;
    std::vector<Milliseconds> refused;
    for (int i = 0; i < many; ++i) {
        turns.add(CallClass::Submission, limit,
            {[&handled]() {
                 ++handled;
                 spend(Milliseconds {1});
             },
                [&refused](Milliseconds retryAfter) { refused.push_back(retryAfter); },
                []() {
                }});
        if (i == many / 2) {
            control.run_for(limit / 2); // the cost of a call is known from now on
        }
    }
    CHECK_FALSE(refused.empty());
    CHECK(std::all_of(refused.begin(), refused.end(),
        [](Milliseconds retryAfter) { return retryAfter >= Milliseconds {1}; }));
    turns.stop();
}

TEST_CASE("calls that are held back have their turn afterwards")
{
    asio::io_context control;
    CallTurns turns {control};
    bool holds = true;
    turns.holdWhile([&holds]() { return holds; });
    int handled = 0;
    bool refused = false;
    constexpr int many = 50;
    const auto addMany = [&]() {
        for (int i = 0; i < many; ++i) {
            turns.add(CallClass::Submission, patience,
                {[&handled]() { ++handled; }, [&refused](Milliseconds /*wait*/) { refused = true; },
                    []() {
                    }});
        }
    };
    addMany();
    control.run_for(Milliseconds {100});
    CHECK(handled == 0);
    addMany();
    holds = false;
    control.run_for(Milliseconds {100});
    CHECK(handled == 2 * many);
    CHECK_FALSE(refused);
}

TEST_CASE("after the stop nothing is handled")
{
    asio::io_context control;
    CallTurns turns {control};
    bool handled = false;
    bool dropped = false;
    const CallTurns::Work work {[&handled]() { handled = true; },
        [](Milliseconds /*retryAfter*/) {},
        [&dropped]() {
            dropped = true;
        }};
    turns.add(CallClass::Presence, patience, work);
    turns.stop();
    turns.add(CallClass::Presence, patience, work);
    control.run();
    CHECK_FALSE(handled);
    CHECK(dropped);
}

} // namespace crocusmill
