/// Tests of AnnouncementCache.

#include "src/services/announcementcache.h"

#include <catch2/catch.hpp>

namespace crocusmill
{

namespace
{

constexpr Milliseconds forwardInterval {1'000};
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

/// A cache with one forwarded announcement.
struct Fixture
{
    Fixture()
    {
        cache.recordForwarded(announcement(), number, start);
    }

    AnnouncementCache cache {forwardInterval};
};

} // namespace

TEST_CASE("an unchanged announcement is answered locally and listed in the next beat")
{
    Fixture fixture;
    REQUIRE(fixture.cache.tryAnswer(announcement(), start).has_value());
    CHECK(fixture.cache.takeHeardNumbers() == std::vector<std::uint32_t> {number});
    CHECK(fixture.cache.takeHeardNumbers().empty());
}

TEST_CASE("an unchanged announcement is forwarded again after the interval")
{
    Fixture fixture;
    const MonotonicTime before = start + forwardInterval - Milliseconds {1};
    CHECK(fixture.cache.tryAnswer(announcement(), before).has_value());
    CHECK_FALSE(fixture.cache.tryAnswer(announcement(), start + forwardInterval).has_value());
}

TEST_CASE("every change that the leader acts on is forwarded")
{
    Fixture fixture;
    AnnounceCall changed = announcement();
    changed.announcement.slots = SlotCount {4};
    CHECK_FALSE(fixture.cache.tryAnswer(changed, start).has_value());
    changed = announcement();
    changed.announcement.mode = UpstreamMode::Draining;
    CHECK_FALSE(fixture.cache.tryAnswer(changed, start).has_value());
    changed = announcement();
    changed.announcement.running.emplace_back("e-1");
    CHECK_FALSE(fixture.cache.tryAnswer(changed, start).has_value());
    changed = announcement();
    changed.farewell = true;
    CHECK_FALSE(fixture.cache.tryAnswer(changed, start).has_value());
    fixture.cache.clear();
    CHECK_FALSE(fixture.cache.tryAnswer(announcement(), start).has_value());
}

} // namespace crocusmill
