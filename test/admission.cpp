/// Order, limits and refusals of the queue; health and retries.

#include <crocusmill/admission.h>

#include <catch2/catch.hpp>

namespace crocusmill
{

namespace
{

const ServiceKey service {EnvironmentName {"rocola"}, Stage::Production, ServiceName {"matching"}};

/// One service on upstreams whose slots are all granted to this entry.
struct Desk
{
    explicit Desk(std::uint32_t upstreams, std::uint32_t slots, Policy policy = {})
        : admission(pool, 1)
    {
        std::vector<SlotLine> lines;
        for (std::uint32_t i = 0; i < upstreams; ++i) {
            const UpstreamId id {"u" + std::to_string(i)};
            lines.push_back({id, SlotCount {slots}});
            admission.setUpstream(id, service);
        }
        pool.granted(lines, now, Milliseconds {1'000'000}, now);
        admission.setPolicy(service, policy);
    }

    std::optional<Refusal> submit(WorkClass workClass, Milliseconds deadline = Milliseconds {60000},
        const std::string &team = "", std::uint32_t weight = 1)
    {
        WaitingRequest request;
        request.id = RequestId {++last};
        request.service = service;
        request.team = TeamName {team};
        request.weight = weight;
        request.workClass = workClass;
        request.arrived = now;
        request.deadline = now + deadline;
        return admission.submit(request, now);
    }

    std::vector<Assignment> decide()
    {
        return admission.decide(now).assigned;
    }

    MonotonicTime now {std::chrono::hours {1}};
    SlotPool pool;
    Admission admission;
    std::uint64_t last = 0;
};

} // namespace

TEST_CASE("heavy work never takes the slots kept for quick work")
{
    Desk desk {4, 10};
    for (int i = 0; i < 100; ++i) {
        CHECK_FALSE(desk.submit(WorkClass::Heavy).has_value());
    }
    const std::size_t heavy = desk.decide().size();
    CHECK(heavy < 40);
    CHECK(heavy >= 20);
    CHECK_FALSE(desk.submit(WorkClass::Quick).has_value());
    CHECK(desk.decide().size() == 1);
}

TEST_CASE("the naive queue lets heavy work block quick work")
{
    Desk desk {4, 10, {Emphasis::Packing, Scheduling::Naive}};
    for (int i = 0; i < 100; ++i) {
        static_cast<void>(desk.submit(WorkClass::Heavy));
    }
    CHECK(desk.decide().size() == 40);
    static_cast<void>(desk.submit(WorkClass::Quick));
    CHECK(desk.decide().empty());
}

TEST_CASE("the crest emphasis keeps more slots for quick work")
{
    Desk packing {4, 10, {Emphasis::Packing, Scheduling::Fair}};
    Desk crest {4, 10, {Emphasis::Crest, Scheduling::Fair}};
    for (int i = 0; i < 100; ++i) {
        static_cast<void>(packing.submit(WorkClass::Heavy));
        static_cast<void>(crest.submit(WorkClass::Heavy));
    }
    CHECK(crest.decide().size() < packing.decide().size());
}

TEST_CASE("quick work that would be late is refused at once with a time to come back")
{
    Desk desk {1, 1};
    static_cast<void>(desk.submit(WorkClass::Quick));
    REQUIRE(desk.decide().size() == 1);
    desk.now += Milliseconds {100};
    desk.admission.ended(RequestId {1}, AttemptVerdict::Succeeded, Milliseconds {100}, desk.now);
    desk.admission.slotFree(RequestId {1});
    static_cast<void>(desk.submit(WorkClass::Quick));
    REQUIRE(desk.decide().size() == 1);
    std::optional<Refusal> refusal;
    for (int i = 0; i < 20 && !refusal; ++i) {
        refusal = desk.submit(WorkClass::Quick, Milliseconds {500});
    }
    REQUIRE(refusal.has_value());
    CHECK(refusal->reason == RefusalReason::DeadlineUnreachable);
    CHECK(refusal->retryAfter > Milliseconds {0});
}

TEST_CASE("teams are served by weight")
{
    Desk desk {1, 9};
    for (int i = 0; i < 30; ++i) {
        static_cast<void>(desk.submit(WorkClass::Quick, Milliseconds {60000}, "light", 1));
    }
    for (int i = 0; i < 30; ++i) {
        static_cast<void>(desk.submit(WorkClass::Quick, Milliseconds {60000}, "weighty", 2));
    }
    int weighty = 0;
    for (const Assignment &assignment : desk.decide()) {
        weighty += assignment.request.value() > 30 ? 1 : 0;
    }
    CHECK(weighty == 6);
}

TEST_CASE("deferrable work that has used half its time goes before quick work")
{
    Desk desk {1, 2};
    static_cast<void>(desk.submit(WorkClass::Deferrable, Milliseconds {10'000}));
    desk.now += Milliseconds {6'000};
    for (int i = 0; i < 4; ++i) {
        static_cast<void>(desk.submit(WorkClass::Quick));
    }
    const std::vector<Assignment> assigned = desk.decide();
    REQUIRE_FALSE(assigned.empty());
    CHECK(assigned.front().request == RequestId {1});
}

TEST_CASE("cancelled work leaves the queue and is never assigned")
{
    Desk desk {1, 1};
    static_cast<void>(desk.submit(WorkClass::Quick));
    REQUIRE(desk.decide().size() == 1);
    static_cast<void>(desk.submit(WorkClass::Quick));
    CHECK(desk.admission.cancel(service, RequestId {2}));
    CHECK_FALSE(desk.admission.cancel(service, RequestId {2}));
    desk.admission.slotFree(RequestId {1});
    CHECK(desk.decide().empty());
}

TEST_CASE("an upstream that fails everything is passed over, but not when it is the last")
{
    Desk desk {2, 50};
    const UpstreamId bad {"u0"};
    std::uint64_t sentToBad = 0;
    for (int i = 0; i < 60; ++i) {
        static_cast<void>(desk.submit(WorkClass::Quick));
        for (const Assignment &assignment : desk.decide()) {
            const bool isBad = assignment.upstream == bad;
            sentToBad += isBad ? 1 : 0;
            desk.admission.ended(assignment.request,
                isBad ? AttemptVerdict::Failed : AttemptVerdict::Succeeded, Milliseconds {10},
                desk.now);
            desk.admission.slotFree(assignment.request);
        }
    }
    CHECK(sentToBad <= 10);
    desk.admission.removeUpstream(UpstreamId {"u1"});
    static_cast<void>(desk.submit(WorkClass::Quick));
    CHECK(desk.decide().size() == 1);
}

TEST_CASE("retries stay within a tenth of first attempts")
{
    RetryBudget budget;
    int retries = 0;
    for (int i = 0; i < 1000; ++i) {
        budget.firstAttempt();
        retries += budget.takeRetry() ? 1 : 0;
    }
    CHECK(retries <= 100);
    CHECK(retries >= 95);
}

TEST_CASE("a grant that has run out refuses all that waits")
{
    Desk desk {1, 1};
    static_cast<void>(desk.submit(WorkClass::Quick, Milliseconds {10'000'000}));
    static_cast<void>(desk.submit(WorkClass::Quick, Milliseconds {10'000'000}));
    desk.now += Milliseconds {1'000'001};
    const Decisions decisions = desk.admission.decide(desk.now);
    CHECK(decisions.assigned.empty());
    REQUIRE(decisions.refused.size() == 2);
    CHECK(decisions.refused.front().reason == RefusalReason::NoQuorum);
}

} // namespace crocusmill
