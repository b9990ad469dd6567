/// Tests of the choice of connections to close when clients open or send too much.

#include <crocusmill/connectiontable.h>

#include <catch2/catch.hpp>

#include <deque>
#include <random>

namespace crocusmill
{

namespace
{

const MonotonicTime start {Milliseconds {1'000'000}};

MonotonicTime at(int ms)
{
    return start + Milliseconds {ms};
}

} // namespace

// Guards against silent connections that keep others out.
TEST_CASE("a new connection takes the place of the one that never had an answer and waits longest")
{
    ConnectionTable table {ByteCount {1'000}};
    const ListenerId listener = table.addListener(3);
    const ConnectionId regular = *table.add(listener, at(0)).id;
    table.setPhase(regular, ConnectionPhase::Handling, at(1));
    table.setPhase(regular, ConnectionPhase::Idle, at(2));
    const ConnectionId silent = *table.add(listener, at(3)).id;
    const ConnectionId slow = *table.add(listener, at(4)).id;
    table.setPhase(slow, ConnectionPhase::Receiving, at(5));
    CHECK(table.add(listener, at(6)).closed == silent);
    CHECK(table.add(listener, at(7)).closed == slow);
    CHECK(table.connectionCount() == 3);
}

// Guards against requests that are cut off although they were received completely.
TEST_CASE("a connection whose request is handled is never closed")
{
    ConnectionTable table {ByteCount {1'000}};
    const ListenerId listener = table.addListener(1);
    const ConnectionId id = *table.add(listener, at(0)).id;
    REQUIRE(table.hold(id, ByteCount {900}).isGranted);
    table.setPhase(id, ConnectionPhase::Handling, at(1));
    CHECK_FALSE(table.add(listener, at(2)).id.has_value());
    CHECK_FALSE(table.closeOne(listener).has_value());
    const ListenerId other = table.addListener(1);
    const ConnectionId late = *table.add(other, at(3)).id;
    CHECK_FALSE(table.hold(late, ByteCount {200}).isGranted);
    CHECK(table.hold(late, ByteCount {100}).isGranted);
}

// Guards against slow senders that keep the memory from requests that arrive at once.
TEST_CASE("slow senders lose their memory to a request that arrives later")
{
    ConnectionTable table {ByteCount {1'000}};
    const ListenerId listener = table.addListener(10);
    const ConnectionId first = *table.add(listener, at(0)).id;
    const ConnectionId second = *table.add(listener, at(1)).id;
    table.setPhase(first, ConnectionPhase::Receiving, at(5));
    table.setPhase(second, ConnectionPhase::Receiving, at(4));
    REQUIRE(table.hold(first, ByteCount {500}).isGranted);
    REQUIRE(table.hold(second, ByteCount {500}).isGranted);
    const ConnectionId ordinary = *table.add(listener, at(6)).id;
    table.setPhase(ordinary, ConnectionPhase::Receiving, at(7));
    const ConnectionTable::Grant grant = table.hold(ordinary, ByteCount {300});
    CHECK(grant.isGranted);
    CHECK(grant.closed == std::vector<ConnectionId> {second});
    CHECK(table.heldBytes() == ByteCount {800});
    CHECK_FALSE(table.hold(second, ByteCount {1}).isGranted);
}

// Guards against a budget that is exceeded, or used up by connections that are gone.
TEST_CASE("the sum of what connections hold stays within the budget")
{
    constexpr std::uint64_t budget = 10'000;
    ConnectionTable table {ByteCount {budget}};
    const ListenerId listener = table.addListener(20);
    std::minstd_rand random {7};
    std::deque<ConnectionId> open;
    for (int step = 0; step < 20'000; ++step) {
        const ConnectionTable::Admission admission = table.add(listener, at(step));
        if (admission.id) {
            open.push_back(*admission.id);
        }
        if (open.size() > 40) {
            table.remove(open.front());
            open.pop_front();
        }
        const ConnectionId id = open[random() % open.size()];
        table.setPhase(id, static_cast<ConnectionPhase>(random() % 4), at(step));
        static_cast<void>(table.hold(id, ByteCount {random() % (2 * budget)}));
        REQUIRE(table.heldBytes().value() <= budget);
        REQUIRE(table.connectionCount() <= 20);
    }
    for (const ConnectionId &id : open) {
        table.remove(id);
    }
    CHECK(table.connectionCount() == 0);
    CHECK(table.heldBytes() == ByteCount {0});
}

} // namespace crocusmill
