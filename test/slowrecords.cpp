/// Tests the run supervisor with a journal that takes longer than a lease to record ends.

#include "test/fakes/supervised.h"

#include <catch2/catch.hpp>

namespace crocusmill
{

using fakes::supervised::Fixture;
using fakes::supervised::task;

TEST_CASE("a worker keeps its lease while its ends wait for their record")
{
    Fixture fixture;
    fixture.startRun();
    fixture.link.answerStart(StartOutcome::Started);
    fixture.tick(Milliseconds {0}); // records the job's start
    fixture.isJournalSlow = true;
    const HoldReport report = Fixture::endedReport(RunEnd::Succeeded, 5);
    fixture.link.answerHold(report);
    REQUIRE(fixture.heldProposals.size() == 1);
    const std::size_t holds = fixture.link.holds.size();
    for (std::size_t i = 1; i <= 3; ++i) { // one lease after another, without acknowledgement
        CHECK(fixture.link.holds.size() == holds + i - 1);
        fixture.tick(Milliseconds {1'100});
        REQUIRE(fixture.link.holds.size() == holds + i);
        CHECK(fixture.link.holds.back().order.deadline.has_value());
        CHECK(fixture.link.holds.back().order.acknowledged == EndNumber {0});
        fixture.link.answerHold(report);
    }
    CHECK(fixture.heldProposals.size() == 1);
    fixture.heldProposals[0]();
    CHECK(fixture.phase() == TaskPhase::Succeeded);
    CHECK_FALSE(fixture.supervisor->hasRun(task));
    CHECK(fixture.link.holds.back().order.acknowledged == EndNumber {5});
}

} // namespace crocusmill
