/// Order, limits and refusals of queues; upstream health and retry budget.

#include <crocusmill/admission.h>

#include <catch2/catch.hpp>

namespace crocusmill
{

namespace
{

const ServiceKey service {EnvironmentName {"rocola"}, Stage::Production, ServiceName {"matching"}};

/// A service with upstreams whose slots are all granted to this entry.
struct AdmissionFixture
{
    explicit AdmissionFixture(std::uint32_t upstreams, std::uint32_t slots, Policy policy = {})
        : admission(pool, 1)
    {
        std::vector<SlotLine> lines;
        for (std::uint32_t i = 0; i < upstreams; ++i) {
            const UpstreamId id {"u" + std::to_string(i)};
            lines.push_back({id, SlotCount {slots}});
            admission.setUpstream(id, service);
        }
        pool.applyGrant(lines, now, Milliseconds {1'000'000}, now);
        admission.setPolicy(service, policy);
    }

    std::optional<Refusal> submit(WorkClass workClass, Milliseconds deadline = Milliseconds {60000},
        const std::string &team = "", std::uint32_t weight = 1)
    {
        WaitingRequest request;
        request.id = RequestId {++lastId};
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
    std::uint64_t lastId = 0;
};

} // namespace

TEST_CASE("heavy work never takes the slots kept for quick work")
{
    AdmissionFixture fixture {4, 10};
    for (int i = 0; i < 100; ++i) {
        CHECK_FALSE(fixture.submit(WorkClass::Heavy).has_value());
    }
    const std::size_t heavyCount = fixture.decide().size();
    CHECK(heavyCount < 40);
    CHECK(heavyCount >= 20);
    CHECK_FALSE(fixture.submit(WorkClass::Quick).has_value());
    CHECK(fixture.decide().size() == 1);
}

TEST_CASE("the naive queue lets heavy work block quick work")
{
    AdmissionFixture fixture {4, 10, {Emphasis::Packing, Scheduling::Naive}};
    for (int i = 0; i < 100; ++i) {
        static_cast<void>(fixture.submit(WorkClass::Heavy));
    }
    CHECK(fixture.decide().size() == 40);
    static_cast<void>(fixture.submit(WorkClass::Quick));
    CHECK(fixture.decide().empty());
}

TEST_CASE("the crest emphasis keeps more slots for quick work")
{
    AdmissionFixture packing {4, 10, {Emphasis::Packing, Scheduling::Fair}};
    AdmissionFixture crest {4, 10, {Emphasis::Latency, Scheduling::Fair}};
    for (int i = 0; i < 100; ++i) {
        static_cast<void>(packing.submit(WorkClass::Heavy));
        static_cast<void>(crest.submit(WorkClass::Heavy));
    }
    CHECK(crest.decide().size() < packing.decide().size());
}

TEST_CASE("quick work that would miss its deadline is refused at once with a retry delay")
{
    AdmissionFixture fixture {1, 1};
    static_cast<void>(fixture.submit(WorkClass::Quick));
    REQUIRE(fixture.decide().size() == 1);
    fixture.now += Milliseconds {100};
    fixture.admission.attemptEnded(
        RequestId {1}, AttemptOutcome::Succeeded, Milliseconds {100}, fixture.now);
    fixture.admission.releaseSlot(RequestId {1});
    static_cast<void>(fixture.submit(WorkClass::Quick));
    REQUIRE(fixture.decide().size() == 1);
    std::optional<Refusal> refusal;
    for (int i = 0; i < 20 && !refusal; ++i) {
        refusal = fixture.submit(WorkClass::Quick, Milliseconds {500});
    }
    REQUIRE(refusal.has_value());
    CHECK(refusal->reason == RefusalReason::DeadlineUnreachable);
    CHECK(refusal->retryAfter > Milliseconds {0});
}

TEST_CASE("teams are served by weight")
{
    AdmissionFixture fixture {1, 9};
    for (int i = 0; i < 30; ++i) {
        static_cast<void>(fixture.submit(WorkClass::Quick, Milliseconds {60000}, "light", 1));
    }
    for (int i = 0; i < 30; ++i) {
        static_cast<void>(fixture.submit(WorkClass::Quick, Milliseconds {60000}, "weighty", 2));
    }
    int weighty = 0;
    for (const Assignment &assignment : fixture.decide()) {
        weighty += assignment.request.value() > 30 ? 1 : 0;
    }
    CHECK(weighty == 6);
}

TEST_CASE("deferrable work that has used half of its time goes before quick work")
{
    AdmissionFixture fixture {1, 2};
    static_cast<void>(fixture.submit(WorkClass::Deferrable, Milliseconds {10'000}));
    fixture.now += Milliseconds {6'000};
    for (int i = 0; i < 4; ++i) {
        static_cast<void>(fixture.submit(WorkClass::Quick));
    }
    const std::vector<Assignment> assigned = fixture.decide();
    REQUIRE_FALSE(assigned.empty());
    CHECK(assigned.front().request == RequestId {1});
}

TEST_CASE("cancelled work is removed from the queue and never assigned")
{
    AdmissionFixture fixture {1, 1};
    static_cast<void>(fixture.submit(WorkClass::Quick));
    REQUIRE(fixture.decide().size() == 1);
    static_cast<void>(fixture.submit(WorkClass::Quick));
    CHECK(fixture.admission.cancel(service, RequestId {2}));
    CHECK_FALSE(fixture.admission.cancel(service, RequestId {2}));
    fixture.admission.releaseSlot(RequestId {1});
    CHECK(fixture.decide().empty());
}

TEST_CASE("an upstream that fails every attempt is avoided unless it is the only one left")
{
    AdmissionFixture fixture {2, 50};
    const UpstreamId bad {"u0"};
    std::uint64_t sentToBad = 0;
    for (int i = 0; i < 60; ++i) {
        static_cast<void>(fixture.submit(WorkClass::Quick));
        for (const Assignment &assignment : fixture.decide()) {
            const bool isBad = assignment.upstream == bad;
            sentToBad += isBad ? 1 : 0;
            fixture.admission.attemptEnded(assignment.request,
                isBad ? AttemptOutcome::Failed : AttemptOutcome::Succeeded, Milliseconds {10},
                fixture.now);
            fixture.admission.releaseSlot(assignment.request);
        }
    }
    CHECK(sentToBad <= 10);
    fixture.admission.removeUpstream(UpstreamId {"u1"});
    static_cast<void>(fixture.submit(WorkClass::Quick));
    CHECK(fixture.decide().size() == 1);
}

TEST_CASE("retries stay within a tenth of first attempts")
{
    RetryBudget budget;
    int retries = 0;
    for (int i = 0; i < 1000; ++i) {
        budget.recordFirstAttempt();
        retries += budget.takeRetry() ? 1 : 0;
    }
    CHECK(retries <= 100);
    CHECK(retries >= 95);
}

TEST_CASE("all waiting requests are refused when the grant has expired")
{
    AdmissionFixture fixture {1, 1};
    static_cast<void>(fixture.submit(WorkClass::Quick, Milliseconds {10'000'000}));
    static_cast<void>(fixture.submit(WorkClass::Quick, Milliseconds {10'000'000}));
    fixture.now += Milliseconds {1'000'001};
    const Decisions decisions = fixture.admission.decide(fixture.now);
    CHECK(decisions.assigned.empty());
    REQUIRE(decisions.refused.size() == 2);
    CHECK(decisions.refused.front().reason == RefusalReason::NoQuorum);
}

} // namespace crocusmill
