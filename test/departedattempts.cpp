/// Tests what the leader takes as the end of an attempt whose answer was lost.

#include "src/services/leadership.h"

#include <catch2/catch.hpp>

namespace crocusmill
{

namespace
{

const UpstreamId upstream {"u"};
const AttemptId attempt {"e-1"};
const Incarnation incarnation {"i"};

struct Fixture
{
    void announce(const Incarnation &process, const std::vector<AttemptId> &running)
    {
        now += Milliseconds {100};
        Announcement announcement;
        announcement.id = upstream;
        announcement.incarnation = process;
        announcement.slots = SlotCount {1};
        announcement.running = running;
        leadership.directory.onAnnouncement(announcement, now);
        leadership.lastAnnouncedAt[upstream] = now;
    }

    /// Returns whether the entry of the attempt is told that it has departed.
    bool hasDeparted()
    {
        now += Milliseconds {100};
        return !leadership.findDepartedAttempts({{attempt, upstream, incarnation}}, now).empty();
    }

    void becomeSilent()
    {
        now += Milliseconds {10'000};
        leadership.directory.markSilentGone(now);
    }

    MonotonicTime now {std::chrono::hours {1}};
    StateMachine state;
    Leadership leadership {
        Term {1}, TimeSettings {}, state, [](const Command &, const ProposeHandler &) {}, now};
};

} // namespace

TEST_CASE("an attempt has departed once its upstream no longer lists it, or is another process")
{
    Fixture fixture;
    fixture.announce(incarnation, {attempt});
    CHECK_FALSE(fixture.hasDeparted());
    if (GENERATE(true, false)) {
        fixture.announce(incarnation, {});
    } else {
        fixture.announce(Incarnation {"j"}, {});
    }
    CHECK(fixture.hasDeparted());
}

// Guards against more attempts on an upstream than its slots: one that is cut off runs on, and
// comes back with the attempt whose slot was given to another.
TEST_CASE("the slot of an attempt was freed as soon as its upstream was silent", "[.][silence]")
{
    Fixture fixture;
    fixture.announce(incarnation, {attempt});
    CHECK_FALSE(fixture.hasDeparted());
    fixture.becomeSilent();
    CHECK_FALSE(fixture.hasDeparted());
    fixture.announce(incarnation, {attempt});
    CHECK_FALSE(fixture.hasDeparted());
}

} // namespace crocusmill
