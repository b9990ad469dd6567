/// Permissions are kept; tickets expire.

#include <crocusmill/ticketbook.h>

#include <catch2/catch.hpp>

namespace crocusmill
{

TEST_CASE("an answer gives permanent permissions and short-lived tickets")
{
    const MonotonicTime now {std::chrono::hours {1}};
    const TaskRef step {GraphId {"g"}, 0, 0, 0};
    const WorkerId yes {"yes"};
    const WorkerId no {"no"};
    TicketCache cache;
    CHECK_FALSE(cache.hasPendingRequest(step));
    cache.recordRequest(step, {yes, no});
    CHECK(cache.hasPendingRequest(step));
    CHECK(cache.permissionsOf(step).size() == 2);
    CHECK(cache.wasAsked(step, no));
    CHECK_FALSE(cache.isAllowed(step, yes));
    cache.recordAnswer(step, {yes, no}, {{yes, Ticket {"t1"}}}, now, Milliseconds {100});
    CHECK_FALSE(cache.hasPendingRequest(step));
    CHECK(cache.ticket(step, yes, now) == Ticket {"t1"});
    CHECK_FALSE(cache.ticket(step, no, now).has_value());
    CHECK(cache.workersWithTicket(step, now) == std::vector<WorkerId> {yes});
    CHECK(cache.workersWithTicket(step, now + Milliseconds {101}).empty());
    CHECK(cache.allowedWorkers(step) == std::vector<WorkerId> {yes});
    CHECK_FALSE(cache.ticket(step, yes, now + Milliseconds {101}).has_value());
    CHECK(cache.isAllowed(step, yes));

    SECTION("the steps of a worker are those that are allowed on it")
    {
        CHECK(cache.stepsAllowedOn(yes) == std::set<TaskRef> {step});
        CHECK(cache.stepsAllowedOn(no).empty());
        cache.recordRequest(step, {yes, no});
        cache.recordAnswer(step, {yes, no}, {{no, Ticket {"t2"}}}, now, Milliseconds {100});
        CHECK(cache.stepsAllowedOn(yes).empty());
        CHECK(cache.stepsAllowedOn(no) == std::set<TaskRef> {step});
        cache.forget(step.graph);
        CHECK(cache.stepsAllowedOn(no).empty());
    }
    SECTION("an unanswered renewal keeps all permissions")
    {
        cache.recordRequest(step, {yes});
        cache.recordFailure(step, {yes});
        CHECK(cache.isAllowed(step, yes));
        CHECK(cache.wasAsked(step, no));
    }
    SECTION("an unanswered first request may be repeated")
    {
        const WorkerId other {"other"};
        cache.recordRequest(step, {other});
        cache.recordFailure(step, {other});
        CHECK_FALSE(cache.wasAsked(step, other));
    }
    SECTION("an answer after the step was forgotten is dropped")
    {
        cache.recordRequest(step, {yes});
        cache.forget(step.graph);
        cache.recordAnswer(step, {yes}, {{yes, Ticket {"t2"}}}, now, Milliseconds {100});
        CHECK(cache.steps().empty());
    }
}

} // namespace crocusmill
