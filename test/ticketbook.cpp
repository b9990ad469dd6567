/// What was allowed is kept; tickets grow old.

#include <crocusmill/ticketbook.h>

#include <catch2/catch.hpp>

namespace crocusmill
{

TEST_CASE("an answer allows some workers for good and gives tickets for a while")
{
    const MonotonicTime now {std::chrono::hours {1}};
    const TaskRef step {GraphId {"g"}, 0, 0, 0};
    const WorkerId yes {"yes"};
    const WorkerId no {"no"};
    TicketBook book;
    CHECK_FALSE(book.isAsking(step));
    book.asked(step, {yes, no});
    CHECK(book.isAsking(step));
    CHECK(book.askedFor(step).size() == 2);
    CHECK(book.wasAsked(step, no));
    CHECK_FALSE(book.isAllowed(step, yes));
    book.answered(step, {yes, no}, {{yes, Ticket {"t1"}}}, now + Milliseconds {100});
    CHECK_FALSE(book.isAsking(step));
    CHECK(book.ticket(step, yes, now) == Ticket {"t1"});
    CHECK_FALSE(book.ticket(step, no, now).has_value());
    CHECK(book.withTicket(step, now) == std::vector<WorkerId> {yes});
    CHECK(book.withTicket(step, now + Milliseconds {101}).empty());
    CHECK(book.allowed(step) == std::vector<WorkerId> {yes});
    CHECK_FALSE(book.ticket(step, yes, now + Milliseconds {101}).has_value());
    CHECK(book.isAllowed(step, yes));

    SECTION("a worker's steps are those that are allowed there")
    {
        CHECK(book.allowedOn(yes) == std::set<TaskRef> {step});
        CHECK(book.allowedOn(no).empty());
        book.asked(step, {yes, no});
        book.answered(step, {yes, no}, {{no, Ticket {"t2"}}}, now + Milliseconds {100});
        CHECK(book.allowedOn(yes).empty());
        CHECK(book.allowedOn(no) == std::set<TaskRef> {step});
        book.forget(step.graph);
        CHECK(book.allowedOn(no).empty());
    }
    SECTION("a renewal that stays unanswered loses nothing")
    {
        book.asked(step, {yes});
        book.unanswered(step, {yes});
        CHECK(book.isAllowed(step, yes));
        CHECK(book.wasAsked(step, no));
    }
    SECTION("a first question that stays unanswered may be asked again")
    {
        const WorkerId other {"other"};
        book.asked(step, {other});
        book.unanswered(step, {other});
        CHECK_FALSE(book.wasAsked(step, other));
    }
    SECTION("an answer after the step was forgotten is dropped")
    {
        book.asked(step, {yes});
        book.forget(step.graph);
        book.answered(step, {yes}, {{yes, Ticket {"t2"}}}, now + Milliseconds {100});
        CHECK(book.steps().empty());
    }
}

} // namespace crocusmill
