/// Slot grants, checked against the attempts that run, with lost replies and dead entries.

#include <crocusmill/slots.h>

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <random>

namespace crocusmill
{

namespace
{

const ServiceKey service {EnvironmentName {"rocola"}, Stage::Production, ServiceName {"matching"}};
constexpr SlotTimes times {Milliseconds {3000}, Milliseconds {500}};

UpstreamSlots announcement(std::uint32_t number, std::uint32_t slots)
{
    UpstreamSlots upstream;
    upstream.id = UpstreamId {"u" + std::to_string(number)};
    upstream.service = service;
    upstream.slots = SlotCount {slots};
    upstream.incarnation = Incarnation {"i"};
    return upstream;
}

/// An entry with its pool that sends heartbeats to a ledger.
struct FakeEntry
{
    EntryEpoch epoch;
    SlotPool pool;
    bool full = true;
    std::uint64_t attemptCount = 0;

    void sendHeartbeat(
        SlotLedger &ledger, MonotonicTime now, std::uint32_t wanted, bool isReplyLost)
    {
        if (!full && !ledger.hasEntry(epoch)) {
            full = true; // the leader asks for a full report
            return;
        }
        const std::vector<SlotLine> held = pool.report(full, now);
        ledger.updateEntry(epoch, full, held, {{service, wanted}}, now);
        const std::vector<SlotLine> lines = ledger.grant(epoch, now);
        full = isReplyLost;
        if (!isReplyLost) {
            pool.acknowledge(held);
            pool.applyGrant(lines, now, times.grantLife, now);
        }
    }
};

std::uint32_t totalLimit(const SlotPool &pool, std::uint32_t upstreams)
{
    std::uint32_t total = 0;
    for (std::uint32_t i = 0; i < upstreams; ++i) {
        total += pool.limit(UpstreamId {"u" + std::to_string(i)});
    }
    return total;
}

} // namespace

TEST_CASE("slots follow demand and every entry keeps at least one")
{
    MonotonicTime now {std::chrono::hours {1}};
    SlotLedger ledger {times, now};
    now += Milliseconds {4000};
    for (std::uint32_t i = 0; i < 10; ++i) {
        ledger.updateUpstream(announcement(i, 8), now);
    }
    FakeEntry busy {EntryEpoch {"busy"}, {}, true, 0};
    FakeEntry idle {EntryEpoch {"idle"}, {}, true, 0};
    for (int round = 0; round < 6; ++round) {
        busy.sendHeartbeat(ledger, now, 100, false);
        idle.sendHeartbeat(ledger, now, 0, false);
        now += Milliseconds {250};
    }
    CHECK(totalLimit(busy.pool, 10) + totalLimit(idle.pool, 10) == 80);
    CHECK(totalLimit(idle.pool, 10) >= 1);
    CHECK(totalLimit(busy.pool, 10) >= 70);
    for (int round = 0; round < 6; ++round) {
        idle.sendHeartbeat(ledger, now, 100, false);
        busy.sendHeartbeat(ledger, now, 0, false);
        now += Milliseconds {250};
    }
    CHECK(totalLimit(idle.pool, 10) >= 70);
}

TEST_CASE("a new leader grants nothing new until earlier grants have expired")
{
    MonotonicTime now {std::chrono::hours {1}};
    SlotLedger ledger {times, now};
    ledger.updateUpstream(announcement(0, 8), now);
    FakeEntry entry {EntryEpoch {"e"}, {}, true, 0};
    entry.pool.applyGrant({{UpstreamId {"u0"}, SlotCount {3}}}, now, times.grantLife, now);
    entry.sendHeartbeat(ledger, now, 50, false);
    CHECK(entry.pool.limit(UpstreamId {"u0"}) == 3);
    now += Milliseconds {3600};
    entry.sendHeartbeat(ledger, now, 50, false);
    CHECK(entry.pool.limit(UpstreamId {"u0"}) == 8);
}

TEST_CASE("a draining upstream gets no new work after the next heartbeat")
{
    MonotonicTime now {std::chrono::hours {1}};
    SlotLedger ledger {times, now};
    now += Milliseconds {4000};
    UpstreamSlots upstream = announcement(0, 8);
    ledger.updateUpstream(upstream, now);
    FakeEntry entry {EntryEpoch {"e"}, {}, true, 0};
    entry.sendHeartbeat(ledger, now, 50, false);
    REQUIRE(entry.pool.acquire(upstream.id, now).has_value());
    upstream.draining = true;
    ledger.updateUpstream(upstream, now);
    entry.sendHeartbeat(ledger, now, 50, true); // the reply is lost, so the next one repeats it
    entry.sendHeartbeat(ledger, now, 50, false);
    CHECK(entry.pool.acquire(upstream.id, now).error() == SlotError::NoneFree);
}

TEST_CASE("an expired grant is not used")
{
    MonotonicTime now {std::chrono::hours {1}};
    SlotPool pool;
    pool.applyGrant({{UpstreamId {"u0"}, SlotCount {3}}}, now, times.grantLife, now);
    now += times.grantLife;
    CHECK(pool.acquire(UpstreamId {"u0"}, now).error() == SlotError::GrantExpired);
}

TEST_CASE("no upstream ever runs more attempts than its declared slots")
{
    const bool passed = rc::check([]() {
        std::mt19937_64 random {
            *rc::gen::resize(rc::kNominalSize, rc::gen::arbitrary<std::uint64_t>())};
        constexpr std::uint32_t upstreamCount = 3;
        constexpr std::uint32_t slots = 4;
        MonotonicTime now {std::chrono::hours {1}};
        std::unique_ptr<SlotLedger> ledger = std::make_unique<SlotLedger>(times, now);
        std::vector<UpstreamSlots> upstreams;
        for (std::uint32_t i = 0; i < upstreamCount; ++i) {
            upstreams.push_back(announcement(i, slots));
        }
        std::vector<FakeEntry> entries(3);
        std::uint64_t nextEpoch = 0;
        for (FakeEntry &entry : entries) {
            entry.epoch = EntryEpoch {"e" + std::to_string(nextEpoch++)};
        }
        for (int step = 0; step < 600; ++step) {
            now += Milliseconds {random() % 200};
            FakeEntry &entry = entries[random() % entries.size()];
            UpstreamSlots &upstream = upstreams[random() % upstreamCount];
            const std::uint64_t action = random() % 100;
            if (action < 35) {
                entry.sendHeartbeat(
                    *ledger, now, static_cast<std::uint32_t>(random() % 40), random() % 5 == 0);
            } else if (action < 70) {
                if (entry.pool.acquire(upstream.id, now)) {
                    upstream.running.push_back(makeAttemptId(entry.epoch, entry.attemptCount++));
                }
            } else if (action < 85 && !upstream.running.empty()) {
                const AttemptId ended = upstream.running[random() % upstream.running.size()];
                std::erase(upstream.running, ended);
                for (FakeEntry &candidate : entries) {
                    if (candidate.epoch == epochOf(ended)) {
                        candidate.pool.release(upstream.id);
                    }
                }
            } else if (action < 97) {
                ledger->updateUpstream(upstream, now);
            } else if (action < 99) {
                // The entry dies; its attempts continue to run.
                entry = FakeEntry {EntryEpoch {"e" + std::to_string(nextEpoch++)}, {}, true, 0};
            } else if (random() % 4 == 0) {
                ledger = std::make_unique<SlotLedger>(times, now);
                for (FakeEntry &known : entries) {
                    known.full = true;
                }
            }
            ledger->expire(now);
            for (const UpstreamSlots &known : upstreams) {
                RC_ASSERT(known.running.size() <= slots);
            }
        }
    });
    CHECK(passed);
}

} // namespace crocusmill
