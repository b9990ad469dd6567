/// Announcements that an entry answers itself.

#include "src/services/quietupstreams.h"

#include <catch2/catch.hpp>

namespace crocusmill
{

namespace
{

constexpr Milliseconds passOnEvery {1'000};
constexpr std::uint32_t number = 7;
const MonotonicTime start {std::chrono::hours {1}};

AnnounceCall announcement()
{
    AnnounceCall call;
    call.announcement.id = UpstreamId {"u"};
    call.announcement.slots = SlotCount {8};
    call.announcement.incarnation = Incarnation {"i"};
    return call;
}

/// An entry that passed one announcement on.
struct Entry
{
    Entry()
    {
        quiet.passedOn(announcement(), number, start);
    }

    QuietUpstreams quiet {passOnEvery};
};

} // namespace

TEST_CASE("an unchanged announcement is answered here and told in the next beat")
{
    Entry entry;
    REQUIRE(entry.quiet.answer(announcement(), start).has_value());
    CHECK(entry.quiet.takeHeard() == std::vector<std::uint32_t> {number});
    CHECK(entry.quiet.takeHeard().empty());
}

TEST_CASE("what another entry passed on meanwhile is corrected within the interval")
{
    Entry entry;
    const MonotonicTime before = start + passOnEvery - Milliseconds {1};
    CHECK(entry.quiet.answer(announcement(), before).has_value());
    CHECK_FALSE(entry.quiet.answer(announcement(), start + passOnEvery).has_value());
}

TEST_CASE("whatever the leader acts on is passed on")
{
    Entry entry;
    AnnounceCall changed = announcement();
    changed.announcement.slots = SlotCount {4};
    CHECK_FALSE(entry.quiet.answer(changed, start).has_value());
    changed = announcement();
    changed.announcement.mode = UpstreamMode::Draining;
    CHECK_FALSE(entry.quiet.answer(changed, start).has_value());
    changed = announcement();
    changed.announcement.running.emplace_back("e-1");
    CHECK_FALSE(entry.quiet.answer(changed, start).has_value());
    changed = announcement();
    changed.farewell = true;
    CHECK_FALSE(entry.quiet.answer(changed, start).has_value());
    entry.quiet.forgetAll();
    CHECK_FALSE(entry.quiet.answer(announcement(), start).has_value());
}

} // namespace crocusmill
