/// Tests of keys, limits and shares of customers.

#include "test/fakes/callingleader.h"
#include "test/fakes/graphs.h"

#include <crocusmill/customershares.h>
#include <crocusmill/customerusage.h>
#include <crocusmill/graphorder.h>

#include <catch2/catch.hpp>

#include <map>
#include <random>
#include <set>
#include <thread>

namespace crocusmill
{

namespace
{

using fakes::CallingLeader;
using fakes::graphOf;
using fakes::quotesQueue;
using fakes::stepOf;

constexpr Milliseconds someRounds {100};
const MonotonicTime start {Milliseconds {1'000'000}};
const WallTime now {Milliseconds {1'000'000}};

Customer customer(const std::string &name, std::uint32_t weight, std::uint64_t limitCores = 0)
{
    constexpr std::uint64_t milliPerCore = 1000;
    Customer result;
    result.name = CustomerName {name};
    result.keys = {digestOf("key of " + name)};
    result.weight = weight;
    result.limit.milliCores = limitCores * milliPerCore;
    return result;
}

void install(CallingLeader &leader, std::uint64_t version, const std::vector<Customer> &customers)
{
    Catalog catalog;
    catalog.version = DocumentVersion {version};
    catalog.queues = {quotesQueue()};
    catalog.customers = customers;
    static_cast<void>(leader.peers.ask(CatalogCall {catalog}));
}

GraphReply call(CallingLeader &leader, GraphAction action, const std::string &id,
    const std::string &customerName, const std::vector<StepSpec> &steps = {})
{
    GraphCall call;
    call.action = action;
    call.host = "desk.example";
    call.path = "/quotes/" + id;
    if (!customerName.empty()) {
        call.key = digestOf("key of " + customerName);
    }
    if (action == GraphAction::Submit) {
        call.spec = GraphSpec {};
        call.spec->steps = steps;
    }
    return std::get<GraphReply>(leader.peers.ask(call));
}

GraphOutcome submit(CallingLeader &leader, const std::string &id, const std::string &customerName,
    const std::vector<StepSpec> &steps)
{
    return call(leader, GraphAction::Submit, id, customerName, steps).outcome;
}

/// Ends the given starts on the only worker.
void endRuns(CallingLeader &leader, HoldReport &report, std::size_t from, std::size_t upTo)
{
    for (std::size_t i = from; i < upTo; ++i) {
        const StartOrder &order = leader.link.starts[i].order;
        leader.link.starts[i].done(StartOutcome::Started, WorkerTime {1'000});
        report.ended.push_back({EndNumber {report.ended.size() + 1}, order.task, order.run,
            RunEnd::Succeeded, Checkpoint {}});
    }
    leader.link.answerHold(report);
}

} // namespace

// Guards against jobs that run under no key, a withdrawn one or one that nobody ever had.
TEST_CASE("a call without a key that the catalog has is refused, unless its queue is public")
{
    CallingLeader leader;
    install(leader, 1, {customer("litoral", 5)});
    CHECK(submit(leader, "aa", "", {stepOf(1)}) == GraphOutcome::UnknownKey);
    CHECK(submit(leader, "aa", "stranger", {stepOf(1)}) == GraphOutcome::UnknownKey);
    CHECK(leader.journal.state().graphs().openGraphs().empty());
    CHECK(submit(leader, "aa", "litoral", {stepOf(1)}) == GraphOutcome::Done);
    CHECK(call(leader, GraphAction::Show, "aa", "").outcome == GraphOutcome::UnknownKey);
    CHECK(call(leader, GraphAction::Cancel, "aa", "stranger").outcome == GraphOutcome::UnknownKey);
    CHECK(call(leader, GraphAction::Show, "aa", "litoral").outcome == GraphOutcome::Done);
    Customer rekeyed = customer("litoral", 5);
    rekeyed.keys = {digestOf("key of another")};
    install(leader, 2, {rekeyed});
    CHECK(submit(leader, "bb", "litoral", {stepOf(1)}) == GraphOutcome::UnknownKey);
    CHECK(call(leader, GraphAction::Show, "aa", "litoral").outcome == GraphOutcome::UnknownKey);
    CHECK(call(leader, GraphAction::Show, "aa", "another").outcome == GraphOutcome::Done);
    Catalog open;
    open.version = DocumentVersion {3};
    open.queues = {quotesQueue()};
    open.queues[0].isPublic = true;
    open.customers = {rekeyed};
    static_cast<void>(leader.peers.ask(CatalogCall {open}));
    CHECK(submit(leader, "cc", "", {stepOf(1)}) == GraphOutcome::Done);
}

// Guards against one customer that reads or cancels the jobs of another.
TEST_CASE("a job is unknown to other customers, and stays known when its customer is renamed")
{
    CallingLeader leader;
    install(leader, 1, {customer("litoral", 5), customer("arch", 5)});
    REQUIRE(submit(leader, "aa", "litoral", {stepOf(1)}) == GraphOutcome::Done);
    CHECK(call(leader, GraphAction::Show, "aa", "arch").outcome == GraphOutcome::NoJob);
    CHECK(call(leader, GraphAction::Cancel, "aa", "arch").outcome == GraphOutcome::NoJob);
    Customer renamed = customer("litoral", 5);
    renamed.name = CustomerName {"costa"};
    install(leader, 2, {renamed, customer("arch", 5)});
    CHECK(call(leader, GraphAction::Show, "aa", "litoral").outcome == GraphOutcome::Done);
}

// Guards against a customer that has more running than its limit: at any time, under random ends,
// lowered limits and a change of the catalog.
TEST_CASE("what a customer has running stays within its limit")
{
    std::minstd_rand random {20261206};
    for (int round = 0; round < 6; ++round) {
        CallingLeader leader;
        std::uint64_t limitCores = 6;
        std::uint64_t version = 1;
        install(leader, version, {customer("litoral", 1'000, limitCores), customer("arch", 1'000)});
        leader.addWorker("w", 64'000);
        HoldReport report;
        std::size_t ended = 0;
        std::size_t checkedStarts = 0;
        for (int step = 0; step < 12; ++step) {
            const std::string id = std::to_string(step);
            StepSpec spec = stepOf(1 + random() % 4, 1 + random() % 3);
            spec.gang = random() % 3 == 0;
            REQUIRE(submit(leader, "l" + id, "litoral", {spec}) == GraphOutcome::Done);
            REQUIRE(submit(leader, "a" + id, "arch", {stepOf(1)}) == GraphOutcome::Done);
            leader.control.run_for(Milliseconds {40});
            std::uint64_t running = 0;
            for (std::size_t i = ended; i < leader.link.starts.size(); ++i) {
                const TaskRef &task = leader.link.starts[i].order.task;
                const Graph *graph = leader.journal.state().graphs().find(task.graph);
                running += graph->spec.customer == CustomerName {"litoral"}
                    ? graph->spec.steps[0].size.milliCores
                    : 0;
            }
            const bool hasNewStart = leader.link.starts.size() > checkedStarts;
            checkedStarts = leader.link.starts.size();
            if (hasNewStart) {
                INFO("round " << round << ", step " << step);
                CHECK(running <= std::max<std::uint64_t>(limitCores, 6) * 1'000);
            }
            if (random() % 2 == 0) {
                endRuns(leader, report, ended, leader.link.starts.size());
                ended = leader.link.starts.size();
                leader.control.run_for(Milliseconds {40});
            } else if (random() % 3 == 0) {
                limitCores = 3 + random() % 4;
                install(leader, ++version,
                    {customer("litoral", 1'000, limitCores), customer("arch", 1'000)});
            }
        }
        // All that waits runs once there is room: nothing stays blocked.
        install(leader, ++version, {customer("litoral", 1'000), customer("arch", 1'000)});
        for (int i = 0; i < 8; ++i) {
            leader.control.run_for(Milliseconds {40});
            endRuns(leader, report, ended, leader.link.starts.size());
            ended = leader.link.starts.size();
        }
        leader.control.run_for(someRounds);
        CHECK(leader.journal.state().graphs().waitingGraphs().empty());
    }
}

// Guards against steps that wait for their customer's limit and are not tried when it has room.
TEST_CASE("a step at its customer's limit starts once another run of the customer ends")
{
    CallingLeader leader;
    const bool hasTickets = GENERATE(false, true);
    Catalog catalog;
    catalog.version = DocumentVersion {1};
    catalog.queues = {quotesQueue()};
    if (hasTickets) {
        catalog.queues[0].tickets = TicketTiming {};
    }
    catalog.customers = {customer("litoral", 100, 2)};
    static_cast<void>(leader.peers.ask(CatalogCall {catalog}));
    leader.addWorker("w", 64'000);
    for (const std::string id : {"aa", "bb", "cc"}) {
        REQUIRE(submit(leader, id, "litoral", {stepOf(1)}) == GraphOutcome::Done);
    }
    leader.control.run_for(someRounds);
    REQUIRE(leader.link.starts.size() == 2);
    HoldReport report;
    endRuns(leader, report, 0, 1);
    leader.control.run_for(someRounds);
    CHECK(leader.link.starts.size() == 3);
}

// Guards against a leader that takes over and does not count what its predecessor started.
TEST_CASE("a new leader counts the runs that are recorded as placed")
{
    CallingLeader leader;
    const ProposeHandler ignore = [](const Result<ApplyReply> & /*reply*/) {
    };
    InstallCatalog catalog;
    catalog.catalog.version = DocumentVersion {1};
    catalog.catalog.queues = {quotesQueue()};
    catalog.catalog.customers = {customer("litoral", 100, 2)};
    leader.journal.propose(catalog, ignore);
    GraphSpec spec = graphOf("aa", {stepOf(2)});
    spec.customer = CustomerName {"litoral"};
    leader.journal.propose(SubmitGraph {spec, now}, ignore);
    PlaceRuns placed;
    for (std::uint32_t task = 0; task < 2; ++task) {
        placed.placements.push_back(
            {TaskRef {spec.id, 0, 0, task}, RunNumber {1}, WorkerId {"x"}, Incarnation {"1000"}});
    }
    leader.journal.propose(placed, ignore);
    leader.addWorker("w", 64'000); // the first call to the leader in this term
    REQUIRE(submit(leader, "bb", "litoral", {stepOf(1)}) == GraphOutcome::Done);
    leader.control.run_for(someRounds);
    CHECK(leader.link.starts.empty());
}

// Guards against a customer that sends many times its usual and delays those within their shares.
TEST_CASE("jobs beyond a customer's share go after those of others, and use room that is left")
{
    CustomerShares shares;
    const Customer hot = customer("hot", 10);
    const Customer usual = customer("usual", 10);
    constexpr int seconds = 5;
    int hotWithin = 0;
    int usualWithin = 0;
    for (int tick = 0; tick < seconds * 100; ++tick) { // 100 and 8 jobs a second
        const MonotonicTime at = start + Milliseconds {tick * 10};
        hotWithin += shares.add(hot, at) ? 1 : 0;
        usualWithin += tick % 12 == 0 && shares.add(usual, at) ? 1 : 0;
    }
    CHECK(hotWithin <= 10 * seconds + 10);
    CHECK(hotWithin >= 10 * seconds);
    CHECK(usualWithin == (seconds * 100 + 11) / 12);
    const MonotonicTime end = start + std::chrono::seconds {seconds};
    CHECK(shares.timeUntilWithin(hot, end) > Milliseconds {0});
    CHECK(shares.timeUntilWithin(hot, end) <= Milliseconds {100});
    CHECK(shares.timeUntilWithin(usual, end) == Milliseconds {0});
    CHECK(shares.timeUntilWithin(customer("new", 1), end) == Milliseconds {0});

    ReadyStep step {
        TaskRef {GraphId {"g"}, 0, 0, 0}, 0, now, Milliseconds {1'000}, Milliseconds {100}};
    ReadyStep late = step;
    late.accepted = now - Milliseconds {2'000};
    ReadyStep expired = step;
    expired.accepted = now - Milliseconds {9'000};
    ReadyStep surplus = step;
    surplus.isBeyondShare = true;
    CHECK(urgencyOf(step, now) < urgencyOf(late, now));
    CHECK(urgencyOf(late, now) < urgencyOf(surplus, now));
    CHECK(urgencyOf(surplus, now) < urgencyOf(expired, now));
}

// Guards against jobs beyond a share that wait in vain while there is no room.
TEST_CASE("a job beyond its customer's share is refused at once when the workers are full")
{
    CallingLeader leader;
    install(leader, 1, {customer("hot", 2), customer("usual", 2)});
    leader.addWorker("w", 2'000);
    int refused = 0;
    for (int job = 0; job < 20; ++job) {
        const GraphReply reply =
            call(leader, GraphAction::Submit, "h" + std::to_string(job), "hot", {stepOf(1)});
        leader.control.run_for(Milliseconds {20});
        if (reply.outcome == GraphOutcome::Refused) {
            ++refused;
            CHECK(reply.retryAfter > Milliseconds {0});
            CHECK(reply.retryAfter <= Milliseconds {1'000});
        }
    }
    CHECK(refused > 10);
    CHECK(submit(leader, "u", "usual", {stepOf(1)}) == GraphOutcome::Done);
}

// Guards against customers that are forgotten or known again after a restart.
TEST_CASE("customers and the owners of jobs survive a snapshot")
{
    StateMachine machine;
    InstallCatalog command;
    command.catalog.version = DocumentVersion {1};
    command.catalog.queues = {quotesQueue()};
    command.catalog.queues[0].isPublic = true;
    command.catalog.customers = {customer("litoral", 5, 7), customer("arch", 2)};
    machine.apply(command, LogIndex {1});
    GraphSpec spec = graphOf("aa", {stepOf(1)});
    spec.customer = CustomerName {"litoral"};
    spec.isBeyondShare = true;
    machine.apply(SubmitGraph {spec, now}, LogIndex {2});
    const auto check = [](const StateMachine &state) {
        CHECK(state.catalog().queues.at(0).isPublic);
        REQUIRE(state.catalog().customers.size() == 2);
        CHECK(state.catalog().customers[0] == customer("litoral", 5, 7));
        const Graph *graph = state.graphs().find(GraphId {"aa"});
        REQUIRE(graph != nullptr);
        CHECK(graph->spec.customer == CustomerName {"litoral"});
        CHECK(graph->spec.isBeyondShare);
    };
    check(machine);
    StateMachine restored;
    REQUIRE(restored.restore(machine.snapshot()).has_value());
    check(restored);
    CHECK(restored.snapshot() == machine.snapshot());
    // A customer that leaves is kept, without its keys, as long as it has open jobs.
    command.catalog.version = DocumentVersion {2};
    command.catalog.customers = {customer("arch", 2)};
    restored.apply(command, LogIndex {3});
    REQUIRE(restored.catalog().customers.size() == 2);
    CHECK(restored.catalog().customers[1].isRemoved);
    CHECK(restored.catalog().customers[1].keys.empty());
    CHECK(restored.catalog().customers[1].limit == customer("litoral", 5, 7).limit);
    restored.apply(CancelGraph {GraphId {"aa"}, now}, LogIndex {4});
    command.catalog.version = DocumentVersion {3};
    restored.apply(command, LogIndex {5});
    CHECK(restored.catalog().customers.size() == 1);
}

// Guards against records that VMs with an earlier version cannot read although nothing new is in
// them.
TEST_CASE("records without customers have the form of earlier versions")
{
    const std::string spec = encodeCommand(SubmitGraph {graphOf("aa", {stepOf(1)}), now});
    GraphSpec owned = graphOf("aa", {stepOf(1)});
    owned.customer = CustomerName {"litoral"};
    const std::string ownedSpec = encodeCommand(SubmitGraph {owned, now});
    CHECK(ownedSpec.size() == spec.size() + 1 + std::string {"litoral"}.size());
    StateMachine machine;
    InstallCatalog command;
    command.catalog.version = DocumentVersion {1};
    command.catalog.queues = {quotesQueue()};
    machine.apply(command, LogIndex {1});
    machine.apply(SubmitGraph {graphOf("aa", {stepOf(1)}), now}, LogIndex {2});
    const std::string snapshot = machine.snapshot();
    for (const std::string name : {"customers", "isPublic", "customer", "isBeyondShare"}) {
        CHECK(snapshot.find('"' + name + '"') == std::string::npos);
    }
    StateMachine restored;
    REQUIRE(restored.restore(snapshot).has_value());
    CHECK(restored.snapshot() == snapshot);
}

// Guards against usage that drifts away from what runs.
TEST_CASE("the usage of a customer is the sum of what was taken and not released")
{
    CustomerUsage usage;
    const CustomerName name {"litoral"};
    const TaskSize size {1'500, ByteCount {10}, 2};
    usage.take(name, size);
    usage.take(name, size);
    usage.take(CustomerName {}, size);
    CHECK(usage.usedBy(name) == ResourceAmount {3'000, ByteCount {20}, 4});
    CHECK(usage.usedBy(CustomerName {}) == ResourceAmount {});
    usage.release(name, size);
    CHECK(usage.takeReleased() == std::set<CustomerName> {name});
    CHECK(usage.takeReleased().empty());
    usage.release(name, size);
    CHECK(usage.usedBy(name) == ResourceAmount {});
    const ResourceAmount limit {4'000, ByteCount {}, 5};
    CHECK(taskCountWithin(limit, {3'000, ByteCount {99}, 0}, size) == 0);
    CHECK(taskCountWithin(limit, {1'000, ByteCount {99}, 0}, size) == 2);
    CHECK(taskCountWithin(limit, {0, ByteCount {}, 4}, size) == 0);
    CHECK(taskCountWithin(ResourceAmount {}, {1ULL << 50U, ByteCount {}, 0}, size) > 1'000'000);
}

} // namespace crocusmill
