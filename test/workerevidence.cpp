/// Tests which events the run supervisor takes as evidence about workers and their runs.

#include "test/fakes/supervised.h"

#include <catch2/catch.hpp>

#include <thread>

namespace crocusmill
{

namespace
{

using fakes::stepOf;
using fakes::supervised::firstIncarnation;
using fakes::supervised::Fixture;
using fakes::supervised::secondIncarnation;
using fakes::supervised::task;
using fakes::supervised::wall;
using fakes::supervised::worker;

void pause()
{
    std::this_thread::sleep_for(Milliseconds {3}); // the next hold gets a later send time
}

} // namespace

TEST_CASE("a start is ordered only while this VM holds its lease as leader")
{
    Fixture fixture;
    fixture.receiveHeartbeat();
    fixture.link.answerHold({});
    fixture.supervisor->reserve({task, RunNumber {1}, worker, firstIncarnation}, stepOf(1));
    fixture.recordPlacement();
    fixture.canSendOrders = false; // its lease has lapsed while the placement was recorded
    fixture.supervisor->start(task, std::nullopt, monotonicNow());
    CHECK(fixture.link.starts.empty());
    fixture.canSendOrders = true;
    fixture.tick(Milliseconds {100});
    REQUIRE(fixture.link.starts.size() == 1);
    CHECK(fixture.link.starts[0].order.run == RunNumber {1});
}

} // namespace crocusmill
