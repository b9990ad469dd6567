/// Tests of CallScheduler on an event loop that has other work.

#include "src/net/clock.h"
#include "src/services/callscheduler.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <thread>
#include <vector>

namespace crocusmill
{

namespace
{

constexpr Milliseconds callTimeout {5'000};

void busyWait(Milliseconds time)
{
    const MonotonicTime deadline = monotonicNow() + time;
    while (monotonicNow() < deadline) { }
}

} // namespace

TEST_CASE("other work of the event loop does not wait for all queued calls")
{
    asio::io_context control;
    CallScheduler scheduler {control};
    constexpr int callCount = 200;
    int handled = 0;
    int dropped = 0;
    for (int i = 0; i < callCount; ++i) {
        scheduler.add(CallClass::Query, callTimeout,
            {[&handled]() {
                 ++handled;
                 busyWait(Milliseconds {1});
             },
                [](Milliseconds /*retryAfter*/) {},
                [&dropped]() {
                    ++dropped;
                }});
    }
    // This handler runs after one turn, which handles a few calls.
    int handledBefore = callCount;
    asio::post(control, [&]() { handledBefore = handled; });
    control.run();
    CHECK(handledBefore < 10);
    CHECK(handled == callCount);
    CHECK(dropped == 0);
}

TEST_CASE("a call that times out before its turn is dropped unhandled")
{
    asio::io_context control;
    CallScheduler scheduler {control};
    bool handled = false;
    bool dropped = false;
    scheduler.add(CallClass::Submission, Milliseconds {5},
        {[&handled]() { handled = true; }, [](Milliseconds /*retryAfter*/) {},
            [&dropped]() {
                dropped = true;
            }});
    std::this_thread::sleep_for(Milliseconds {10});
    control.run();
    CHECK_FALSE(handled);
    CHECK(dropped);
}

TEST_CASE("calls that would wait for more than half of their timeout are refused on arrival")
{
    asio::io_context control;
    CallScheduler scheduler {control};
    constexpr Milliseconds timeout {200};
    constexpr int callCount = 400;
    int handled = 0;
    std::vector<Milliseconds> refused;
    for (int i = 0; i < callCount; ++i) {
        scheduler.add(CallClass::Submission, timeout,
            {[&handled]() {
                 ++handled;
                 busyWait(Milliseconds {1});
             },
                [&refused](Milliseconds retryAfter) { refused.push_back(retryAfter); },
                []() {
                }});
        if (i == callCount / 2) {
            control.run_for(timeout / 2); // the cost of a call is known from now on
        }
    }
    CHECK_FALSE(refused.empty());
    CHECK(std::all_of(refused.begin(), refused.end(),
        [](Milliseconds retryAfter) { return retryAfter >= Milliseconds {1}; }));
    scheduler.stop();
}

TEST_CASE("held calls are handled after the hold ends")
{
    asio::io_context control;
    CallScheduler scheduler {control};
    bool isHeld = true;
    scheduler.holdWhile([&isHeld]() { return isHeld; });
    int handled = 0;
    bool refused = false;
    constexpr int callCount = 50;
    const auto addMany = [&]() {
        for (int i = 0; i < callCount; ++i) {
            scheduler.add(CallClass::Submission, callTimeout,
                {[&handled]() { ++handled; }, [&refused](Milliseconds /*wait*/) { refused = true; },
                    []() {
                    }});
        }
    };
    addMany();
    control.run_for(Milliseconds {100});
    CHECK(handled == 0);
    addMany();
    isHeld = false;
    control.run_for(Milliseconds {100});
    CHECK(handled == 2 * callCount);
    CHECK_FALSE(refused);
}

TEST_CASE("no call is handled after stop()")
{
    asio::io_context control;
    CallScheduler scheduler {control};
    bool handled = false;
    bool dropped = false;
    const CallScheduler::CallHandlers handlers {[&handled]() { handled = true; },
        [](Milliseconds /*retryAfter*/) {},
        [&dropped]() {
            dropped = true;
        }};
    scheduler.add(CallClass::Presence, callTimeout, handlers);
    scheduler.stop();
    scheduler.add(CallClass::Presence, callTimeout, handlers);
    control.run();
    CHECK_FALSE(handled);
    CHECK(dropped);
}

} // namespace crocusmill
