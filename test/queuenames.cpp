/// Jobs whose queue is removed, renamed or replaced by another queue of the same name.

#include "test/fakes/callingleader.h"
#include "test/fakes/graphs.h"
#include "test/fakes/queueanswers.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <algorithm>
#include <map>
#include <string>

namespace crocusmill
{

namespace
{

using fakes::CallingLeader;
using fakes::graphOf;
using fakes::JournalView;
using fakes::quotesQueue;
using fakes::stepOf;

constexpr Milliseconds someRounds {200};
const std::string job = "00000000000000aa";
const std::string otherJob = "00000000000000bb";
const WallTime now {Milliseconds {1'000'000}};

Queue quotesNamed(const std::string &name)
{
    Queue queue = quotesQueue();
    queue.name = QueueName {name};
    return queue;
}

void install(CallingLeader &leader, std::uint64_t version, const std::vector<Queue> &queues)
{
    Catalog catalog;
    catalog.version = DocumentVersion {version};
    catalog.queues = queues;
    static_cast<void>(leader.peers.ask(CatalogCall {catalog}));
}

GraphReply call(
    CallingLeader &leader, GraphAction action, const Queue &queue, const std::string &id)
{
    GraphCall call;
    call.action = action;
    call.host = queue.host;
    call.path = queue.prefix + id;
    return std::get<GraphReply>(leader.peers.ask(call));
}

GraphReply show(const StateMachine &state, const std::string &prefix, const std::string &id)
{
    JournalView journal {state};
    GraphCallHandler handler {journal, []() {
                              }};
    GraphCall call;
    call.host = "desk.example";
    call.path = prefix + id;
    GraphReply answer;
    handler.handle(call,
        [&answer](const Result<Reply> &reply) { answer = std::get<GraphReply>(reply.value()); });
    return answer;
}

/// Ends all runs that were ordered so far and are not in the report yet.
void endRuns(CallingLeader &leader, HoldReport &report)
{
    for (std::size_t i = report.ended.size(); i < leader.link.starts.size(); ++i) {
        const StartOrder &order = leader.link.starts[i].order;
        leader.link.starts[i].done(StartOutcome::Started, WorkerTime {1'000});
        report.ended.push_back(
            {EndNumber {i + 1}, order.task, order.run, RunEnd::Succeeded, Checkpoint {}});
    }
    leader.link.answerHold(report);
}

std::vector<StepSpec> twoSteps()
{
    StepSpec second = stepOf(1);
    second.after = {0};
    return {stepOf(1), second};
}

} // namespace

// Guards against replicas that run out of memory by jobs that clients submit faster than they end.
TEST_CASE("more tasks were accepted than replicas can hold")
{
    constexpr std::uint32_t tasksPerJob = 50'000;
    constexpr int maxJobs = 6; // 300,000 tasks
    CallingLeader leader;
    install(leader, 1, {quotesNamed("quotes")});
    StepSpec wide = stepOf(tasksPerJob);
    wide.size.milliCores = 1'000'000'000; // fits no worker
    for (int i = 0; i < maxJobs; ++i) {
        REQUIRE(leader.submit("00000000000000b" + std::to_string(i), {wide}).outcome
            == GraphOutcome::Done);
    }
    const GraphReply refused = leader.submit(job, {stepOf(1)});
    CHECK(refused.outcome == GraphOutcome::Refused);
    CHECK(refused.retryAfter > Milliseconds {0});
    CHECK(
        call(leader, GraphAction::Show, quotesNamed("quotes"), job).outcome == GraphOutcome::NoJob);
    CHECK(call(leader, GraphAction::Cancel, quotesNamed("quotes"), "00000000000000b0").outcome
        == GraphOutcome::Done);
    CHECK(leader.submit(job, {stepOf(1)}).outcome == GraphOutcome::Done);
    CHECK(leader.submit(std::string(65, 'a'), {stepOf(1)}).outcome == GraphOutcome::InvalidId);
    CHECK(leader.submit("", {stepOf(1)}).outcome == GraphOutcome::InvalidId);
}

// Guards against accepted jobs that are answered as unknown, are not cancelled and do not count as
// waiting once their route has come back under another name.
TEST_CASE("jobs were unknown after their route was removed and came back under another name")
{
    CallingLeader leader;
    const Queue before = quotesNamed("quotes");
    const Queue after = quotesNamed("prices");
    install(leader, 1, {before});
    CHECK(leader.submit(job, {stepOf(1)}).outcome == GraphOutcome::Done);
    const bool isRemovedBetween = GENERATE(true, false);
    if (isRemovedBetween) {
        install(leader, 5, {});
        CHECK(call(leader, GraphAction::Show, before, job).outcome == GraphOutcome::Done);
        CHECK(call(leader, GraphAction::Show, before, "").outcome == GraphOutcome::NoQueue);
        CHECK(leader.submit(otherJob, {stepOf(1)}).outcome == GraphOutcome::NoQueue);
    }
    install(leader, 9, {after});
    CHECK(call(leader, GraphAction::Show, after, job).state == GraphState::Open);
    CHECK(call(leader, GraphAction::Show, after, job).outcome == GraphOutcome::Done);
    CHECK(call(leader, GraphAction::Show, after, "").pending == 1);
    CHECK(leader.submit(job, {stepOf(1)}).outcome == GraphOutcome::Done); // again, not a new job
    CHECK(call(leader, GraphAction::Show, after, "").pending == 1);
    CHECK(call(leader, GraphAction::Cancel, after, job).outcome == GraphOutcome::Done);
    CHECK(call(leader, GraphAction::Show, after, job).state == GraphState::Cancelled);
}

// Guards against starts that workers refuse for ever, since the steps of jobs whose route was
// removed or renamed were taken for steps without tickets.
TEST_CASE("steps were started without tickets after their route was removed or renamed")
{
    CallingLeader leader;
    Queue before = quotesNamed("quotes");
    before.tickets = TicketTiming {};
    Queue after = quotesNamed("prices");
    after.tickets = TicketTiming {};
    install(leader, 1, {before});
    leader.addWorker("w", 8'000);
    leader.office.validity = Milliseconds {400};
    CHECK(leader.submit(job, twoSteps()).outcome == GraphOutcome::Done);
    leader.control.run_for(leader.office.validity); // the ticket of the second step expires as well
    REQUIRE(leader.link.starts.size() == 1);
    const bool comesBack = GENERATE(true, false);
    install(leader, 5, {});
    if (comesBack) {
        install(leader, 9, {after});
    }
    HoldReport report;
    endRuns(leader, report);
    leader.control.run_for(someRounds);
    REQUIRE(leader.link.starts.size() == 2);
    CHECK(leader.link.starts.back().order.ticket == Ticket {"ticket"});
}

// Guards against jobs that are shown and counted at the address of another queue, which has taken
// the name of theirs.
TEST_CASE("jobs of a route were shown at another address that had taken its name")
{
    CallingLeader leader;
    const Queue quotes = quotesNamed("quotes");
    Queue other = quotesNamed("quotes");
    other.prefix = "/orders/";
    install(leader, 1, {quotes});
    CHECK(leader.submit(job, {stepOf(1)}).outcome == GraphOutcome::Done);
    install(leader, 5, {other});
    CHECK(call(leader, GraphAction::Show, other, job).outcome == GraphOutcome::NoJob);
    CHECK(call(leader, GraphAction::Show, other, "").pending == 0);
    install(leader, 9, {other, quotesNamed("prices")});
    CHECK(call(leader, GraphAction::Show, quotes, job).outcome == GraphOutcome::Done);
    CHECK(call(leader, GraphAction::Show, quotes, "").pending == 1);
}

// Guards against accepted jobs that are answered as unknown, are not cancelled or are accepted a
// second time once another route matches their path.
TEST_CASE("jobs were unknown once another route matched their path")
{
    CallingLeader leader;
    const Queue quotes = quotesNamed("quotes");
    Queue other = quotesNamed("other");
    const bool isShorter = GENERATE(true, false);
    other.prefix = isShorter ? "/" : "/quotes/0000";
    install(leader, 1, isShorter ? std::vector {quotes, other} : std::vector {quotes});
    CHECK(leader.submit(job, {stepOf(1)}).outcome == GraphOutcome::Done);
    install(leader, 5, isShorter ? std::vector {other} : std::vector {quotes, other});
    CHECK(call(leader, GraphAction::Show, quotes, job).state == GraphState::Open);
    CHECK(call(leader, GraphAction::Show, quotes, job).outcome == GraphOutcome::Done);
    CHECK(leader.submit(job, {stepOf(1)}).outcome == GraphOutcome::Done);
    CHECK(leader.journal.state().graphs().openGraphs().size() == 1);
    CHECK(call(leader, GraphAction::Show, quotes, "00" + otherJob).outcome == GraphOutcome::NoJob);
    CHECK(call(leader, GraphAction::Cancel, quotes, job).outcome == GraphOutcome::Done);
    CHECK(call(leader, GraphAction::Show, quotes, job).state == GraphState::Cancelled);
}

// Guards against clients that are told that their job was accepted, while only another queue's job
// of the same id is recorded.
TEST_CASE("a job with the id of another queue's job was answered as accepted")
{
    CallingLeader leader;
    const Queue quotes = quotesNamed("quotes");
    Queue other = quotesNamed("other");
    other.prefix = "/orders/";
    install(leader, 1, {quotes, other});
    CHECK(call(leader, GraphAction::Submit, other, job).outcome == GraphOutcome::Done);
    CHECK(leader.submit(job, {stepOf(1)}).outcome == GraphOutcome::InvalidId);
    CHECK(call(leader, GraphAction::Show, quotes, job).outcome == GraphOutcome::NoJob);
    CHECK(call(leader, GraphAction::Submit, other, job).outcome == GraphOutcome::Done); // again
    const Queue renamed = quotesNamed("orders");
    install(leader, 5, {renamed});
    CHECK(leader.submit(job, {stepOf(1)}).outcome == GraphOutcome::InvalidId);
    CHECK(call(leader, GraphAction::Show, other, job).outcome == GraphOutcome::Done);
}

TEST_CASE("two routes that swap their names keep their jobs")
{
    CallingLeader leader;
    const Queue quotes = quotesNamed("quotes");
    Queue orders = quotesNamed("orders");
    orders.prefix = "/orders/";
    install(leader, 1, {quotes, orders});
    CHECK(leader.submit(job, {stepOf(1)}).outcome == GraphOutcome::Done);
    Queue swappedQuotes = quotes;
    swappedQuotes.name = orders.name;
    Queue swappedOrders = orders;
    swappedOrders.name = quotes.name;
    install(leader, 2, {swappedQuotes, swappedOrders});
    CHECK(call(leader, GraphAction::Show, quotes, job).outcome == GraphOutcome::Done);
    CHECK(call(leader, GraphAction::Show, quotes, "").pending == 1);
    CHECK(call(leader, GraphAction::Show, orders, job).outcome == GraphOutcome::NoJob);
    CHECK(call(leader, GraphAction::Show, orders, "").pending == 0);
}

TEST_CASE("removed queues are kept while they have jobs, and in snapshots")
{
    StateMachine machine;
    std::uint64_t index = 0;
    const auto installVersion = [&](std::uint64_t version, const std::vector<Queue> &queues) {
        machine.apply(
            InstallCatalog {{DocumentVersion {version}, queues, {}, {}}}, LogIndex {++index});
    };
    installVersion(1, {quotesNamed("quotes")});
    machine.apply(SubmitGraph {graphOf(job, {stepOf(1)}), now}, LogIndex {++index});
    installVersion(2, {});
    installVersion(3, {});
    CHECK(machine.catalog().removedQueues.size() == 1);
    StateMachine restored;
    REQUIRE(restored.restore(machine.snapshot()).has_value());
    CHECK(restored.catalog().queues.empty());
    REQUIRE(restored.catalog().removedQueues.size() == 1);
    CHECK(restored.catalog().removedQueues[0].prefix == "/quotes/");
    CHECK(restored.snapshot() == machine.snapshot());
    CHECK(show(restored, "/quotes/", job).outcome == GraphOutcome::Done);
    CHECK(show(restored, "/quotes/", otherJob).outcome == GraphOutcome::NoQueue);
    CHECK(show(restored, "removed:/quotes/", job).outcome == GraphOutcome::NoQueue);
    machine.apply(CancelGraph {GraphId {job}, now}, LogIndex {++index});
    machine.apply(ForgetEnded {now + Milliseconds {1}}, LogIndex {++index});
    installVersion(4, {});
    CHECK(machine.catalog().removedQueues.empty());
}

TEST_CASE("a job that is recorded after the removal of its route keeps its address")
{
    StateMachine machine;
    machine.apply(
        InstallCatalog {{DocumentVersion {1}, {quotesNamed("quotes")}, {}, {}}}, LogIndex {1});
    machine.apply(InstallCatalog {{DocumentVersion {2}, {}, {}, {}}}, LogIndex {2});
    machine.apply(SubmitGraph {graphOf(job, {stepOf(1)}), now}, LogIndex {3});
    machine.apply(
        InstallCatalog {{DocumentVersion {3}, {quotesNamed("prices")}, {}, {}}}, LogIndex {4});
    CHECK(show(machine, "/quotes/", job).outcome == GraphOutcome::Done);
}

TEST_CASE("jobs stay at the address where they were accepted, whatever the routes are named")
{
    CHECK(rc::check([]() {
        const std::vector<std::string> names {"a", "b", "c"};
        const std::vector<std::string> prefixes =
            *rc::gen::element(std::vector<std::string> {"/x/", "/y/", "/z/"},
                std::vector<std::string> {"/x/", "/x/y/", "/x/y/j"});
        StateMachine machine;
        std::uint64_t index = 0;
        std::map<std::string, std::string> prefixOfJob;
        std::map<std::string, std::string> nameAt; // routes in force: prefix, name
        const int changes = *rc::gen::inRange(2, 12);
        for (int version = 1; version <= changes; ++version) {
            nameAt.clear();
            std::vector<std::string> free = names;
            InstallCatalog command;
            command.catalog.version = DocumentVersion {static_cast<std::uint64_t>(version)};
            for (const std::string &prefix : prefixes) {
                const std::size_t pick = *rc::gen::inRange<std::size_t>(0, names.size() + 1);
                if (pick < free.size()) {
                    Queue queue = quotesNamed(free[pick]);
                    queue.prefix = prefix;
                    command.catalog.queues.push_back(queue);
                    nameAt[prefix] = free[pick];
                    free.erase(free.begin() + static_cast<std::ptrdiff_t>(pick));
                }
            }
            machine.apply(command, LogIndex {++index});
            for (const std::pair<const std::string, std::string> &route : nameAt) {
                const std::string id = "job" + std::to_string(prefixOfJob.size());
                GraphSpec spec = graphOf(id, {stepOf(1)});
                spec.queue = QueueName {route.second};
                machine.apply(SubmitGraph {spec, now}, LogIndex {++index});
                prefixOfJob[id] = route.first;
            }
            if (*rc::gen::inRange(0, 3) == 0) {
                StateMachine restored;
                RC_ASSERT(restored.restore(machine.snapshot()).has_value());
                machine = std::move(restored);
            }
            for (const std::string &prefix : prefixes) {
                std::uint64_t accepted = 0;
                for (const std::pair<const std::string, std::string> &entry : prefixOfJob) {
                    const bool isHere = entry.second == prefix;
                    accepted += isHere ? 1 : 0;
                    const std::string path = prefix + entry.first;
                    const bool isRouted = std::any_of(nameAt.begin(), nameAt.end(),
                        [&path](const std::pair<const std::string, std::string> &route) {
                            return path.starts_with(route.first);
                        });
                    const GraphOutcome unknown =
                        isRouted ? GraphOutcome::NoJob : GraphOutcome::NoQueue;
                    RC_ASSERT(show(machine, prefix, entry.first).outcome
                        == (isHere ? GraphOutcome::Done : unknown));
                }
                if (nameAt.contains(prefix)) {
                    RC_ASSERT(show(machine, prefix, "").pending == accepted);
                }
            }
        }
    }));
}

} // namespace crocusmill
