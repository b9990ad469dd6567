/// Tests of the explanation of placements: what it says is what then happens, and asking changes
/// nothing.

#include "test/fakes/explained.h"
#include "test/fakes/graphs.h"

#include <random>

namespace crocusmill
{

namespace
{

using fakes::CallingLeader;
using fakes::quotesQueue;
using fakes::stepOf;

using fakes::ask;
using fakes::checkPrediction;
using fakes::questionAbout;
using fakes::reasonIn;
using fakes::Request;
using fakes::someRounds;
using fakes::startableIn;
using fakes::stepOfReport;
using fakes::submit;
using fakes::workersWith;

void install(CallingLeader &leader, const std::vector<Queue> &queues,
    const std::vector<Customer> &customers = {})
{
    Catalog catalog;
    catalog.version = DocumentVersion {1};
    catalog.queues = queues;
    catalog.customers = customers;
    static_cast<void>(leader.peers.ask(CatalogCall {catalog}));
}

Customer customer(const std::string &name, std::uint32_t weight, std::uint64_t limitMilliCores = 0)
{
    Customer result;
    result.name = CustomerName {name};
    result.keys = {digestOf("key of " + name)};
    result.weight = weight;
    result.limit.milliCores = limitMilliCores;
    return result;
}

void addWorker(CallingLeader &leader, const std::string &id, std::uint32_t milliCores,
    const std::string &service, const std::vector<WorkerLabel> &labels)
{
    HeartbeatCall call;
    call.heartbeat.id = WorkerId {id};
    call.heartbeat.incarnation = Incarnation {"1000"};
    call.heartbeat.sequence = 1;
    call.heartbeat.service = ServiceName {service};
    call.heartbeat.labels = labels;
    call.heartbeat.capacity.milliCores = milliCores;
    static_cast<void>(leader.peers.ask(call));
    leader.link.answerHold({});
}

void drainWorker(CallingLeader &leader, const std::string &id, std::uint32_t milliCores)
{
    HeartbeatCall call;
    call.heartbeat.id = WorkerId {id};
    call.heartbeat.incarnation = Incarnation {"1000"};
    call.heartbeat.sequence = 2;
    call.heartbeat.service = ServiceName {"matching"};
    call.heartbeat.capacity.milliCores = milliCores;
    call.heartbeat.draining = true;
    static_cast<void>(leader.peers.ask(call));
}

} // namespace

// Guards against an explanation that names another worker or another number of tasks than start.
TEST_CASE("a request that fits is said to start on the worker that then gets it")
{
    CallingLeader leader;
    install(leader, {quotesQueue()});
    leader.addWorker("large", 8'000);
    leader.addWorker("small", 2'000);
    leader.control.run_for(someRounds);
    const boost::json::object report =
        checkPrediction(leader, {"/quotes/aa", {stepOf(2)}, {}}, "none");
    CHECK(report.at("queue").as_string() == "quotes");
    CHECK(report.at("service").as_string() == "matching");
    CHECK(workersWith(report, "can_take") == 2);
    checkPrediction(leader, {"/quotes/bb", {stepOf(20)}, {}}, "no_room");
}

// Guards against an explanation that says a request is accepted while it is refused, or the
// reverse.
TEST_CASE("a request is said to be refused exactly when its submission is")
{
    CallingLeader leader;
    const Request known {"/quotes/aa", {stepOf(1)}, "litoral"};
    const auto refusalOf = [&leader](const Request &request) {
        const boost::json::object report = ask(leader, questionAbout(request));
        const std::string refusal {report.at("refusal").as_string()};
        CHECK(report.at("accepted").as_bool() == (refusal == "none"));
        const GraphOutcome outcome = submit(leader, request).outcome;
        CHECK((outcome == GraphOutcome::Done) == (refusal == "none"));
        return std::make_pair(refusal, outcome);
    };
    using Refusal = std::pair<std::string, GraphOutcome>;
    CHECK(refusalOf(known) == Refusal {"no_catalog", GraphOutcome::NoCatalog});
    install(leader, {quotesQueue()}, {customer("litoral", 1)});
    leader.control.run_for(someRounds);
    CHECK(refusalOf({"/other/aa", {stepOf(1)}, "litoral"})
        == Refusal {"no_queue", GraphOutcome::NoQueue});
    CHECK(refusalOf({"/quotes/aa", {stepOf(1)}, {}})
        == Refusal {"unknown_customer", GraphOutcome::UnknownKey});
    CHECK(refusalOf({"/quotes/aa", {stepOf(1)}, "stranger"})
        == Refusal {"unknown_customer", GraphOutcome::UnknownKey});
    CHECK(refusalOf({"/quotes/", {stepOf(1)}, "litoral"})
        == Refusal {"invalid_id", GraphOutcome::InvalidId});
    CHECK(refusalOf(known) == Refusal {"none", GraphOutcome::Done});
    CHECK(refusalOf(known) == Refusal {"none", GraphOutcome::Done}); // the same job again
    // A worker that one job fills: the customer's next jobs are beyond its share.
    addWorker(leader, "w", 1'000, "matching", {});
    leader.control.run_for(someRounds);
    Refusal last;
    for (int job = 0; job < 5; ++job) {
        last = refusalOf({"/quotes/b" + std::to_string(job), {stepOf(1)}, "litoral"});
    }
    CHECK(last == Refusal {"beyond_share", GraphOutcome::Refused});
}

// Guards against an explanation that overlooks the limit of open tasks.
TEST_CASE("a request beyond the limit of open tasks is said to be refused")
{
    CallingLeader leader;
    install(leader, {quotesQueue()});
    const std::vector<StepSpec> steps(5, stepOf(10'000));
    for (int job = 0; job < 6; ++job) {
        REQUIRE(submit(leader, {"/quotes/a" + std::to_string(job), steps, {}}).outcome
            == GraphOutcome::Done);
    }
    const Request request {"/quotes/b", {stepOf(1)}, {}};
    const boost::json::object report = ask(leader, questionAbout(request));
    CHECK(report.at("refusal").as_string() == "too_many_open_tasks");
    CHECK(submit(leader, request).outcome == GraphOutcome::Refused);
}

// Guards against a reason that is not the one that holds the step back.
TEST_CASE("workers that cannot take a step are counted by what rules them out")
{
    CallingLeader leader;
    install(leader, {quotesQueue()});
    SECTION("no worker")
    {
        checkPrediction(leader, {"/quotes/aa", {stepOf(1)}, {}}, "not_open");
    }
    SECTION("not open")
    {
        leader.addWorker("w", 8'000);
        drainWorker(leader, "w", 8'000);
        leader.control.run_for(someRounds);
        const boost::json::object report =
            checkPrediction(leader, {"/quotes/aa", {stepOf(1)}, {}}, "not_open");
        CHECK(workersWith(report, "not_open") == 1);
    }
    SECTION("other service")
    {
        addWorker(leader, "w", 8'000, "clearing", {});
        leader.control.run_for(someRounds);
        const boost::json::object report =
            checkPrediction(leader, {"/quotes/aa", {stepOf(1)}, {}}, "other_service");
        CHECK(workersWith(report, "other_service") == 1);
    }
    SECTION("label")
    {
        addWorker(leader, "w", 8'000, "matching", {WorkerLabel {"disk"}});
        leader.control.run_for(someRounds);
        StepSpec step = stepOf(1);
        step.label = WorkerLabel {"disk"};
        checkPrediction(leader, {"/quotes/aa", {step}, {}}, "none");
        step.label = WorkerLabel {"tape"};
        const boost::json::object report =
            checkPrediction(leader, {"/quotes/bb", {step}, {}}, "label");
        CHECK(workersWith(report, "label") == 1);
    }
    SECTION("too small")
    {
        leader.addWorker("w", 8'000);
        leader.control.run_for(someRounds);
        const boost::json::object report =
            checkPrediction(leader, {"/quotes/aa", {stepOf(1, 9)}, {}}, "too_small");
        CHECK(workersWith(report, "too_small") == 1);
    }
    SECTION("no room")
    {
        leader.addWorker("w", 8'000);
        leader.control.run_for(someRounds);
        checkPrediction(leader, {"/quotes/aa", {stepOf(7)}, {}}, "none");
        const boost::json::object report =
            checkPrediction(leader, {"/quotes/bb", {stepOf(1, 2)}, {}}, "no_room");
        CHECK(workersWith(report, "no_room") == 1);
        StepSpec gang = stepOf(2);
        gang.gang = true;
        const boost::json::object ofGang =
            checkPrediction(leader, {"/quotes/cc", {gang}, {}}, "no_room");
        CHECK(workersWith(ofGang, "can_take") == 1);
    }
    SECTION("limit per worker")
    {
        leader.addWorker("w", 8'000);
        leader.control.run_for(someRounds);
        StepSpec step = stepOf(3);
        step.mostPerWorker = 2;
        checkPrediction(leader, {"/quotes/aa", {step}, {}}, "per_worker_limit");
        const boost::json::object recorded = ask(leader, placementQuestionAbout(GraphId {"aa"}));
        CHECK(workersWith(recorded, "per_worker_limit") == 1);
        CHECK(stepOfReport(recorded).at("waiting").to_number<std::uint64_t>() == 1);
    }
}

// Guards against an explanation that promises a start for which the ticket is missing.
TEST_CASE("a step that needs tickets is said to wait for them until the answer has come")
{
    CallingLeader leader;
    Queue queue = quotesQueue();
    queue.tickets = TicketTiming {};
    install(leader, {queue});
    leader.addWorker("w", 8'000);
    leader.control.run_for(someRounds);
    leader.office.answeredAtOnce = 0;
    const boost::json::object report =
        checkPrediction(leader, {"/quotes/aa", {stepOf(1)}, {}}, "no_ticket");
    CHECK(workersWith(report, "no_ticket") == 1);
    REQUIRE(leader.office.heldAnswers.size() == 1);
    leader.office.heldAnswers[0]();
    const boost::json::object ready = ask(leader, placementQuestionAbout(GraphId {"aa"}));
    CHECK(startableIn(ready) == 1);
    CHECK(reasonIn(ready) == "none");
    leader.control.run_for(someRounds);
    CHECK(leader.link.starts.size() == 1);
}

// Guards against an explanation without the limit that holds the step back.
TEST_CASE("a step at its customer's limit is said to be held back by it")
{
    CallingLeader leader;
    install(leader, {quotesQueue()}, {customer("litoral", 100, 2'500), customer("arch", 100)});
    leader.addWorker("w", 64'000);
    leader.control.run_for(someRounds);
    const boost::json::object report =
        checkPrediction(leader, {"/quotes/aa", {stepOf(3)}, "litoral"}, "customer_limit");
    CHECK(startableIn(report) == 2);
    const boost::json::object &limit = report.at("customer_limit").as_array().at(0).as_object();
    CHECK(limit.at("resource").as_string() == "milli_cores");
    CHECK(limit.at("limit").to_number<std::uint64_t>() == 2'500);
    CHECK(limit.at("used").to_number<std::uint64_t>() == 0);
    checkPrediction(leader, {"/quotes/bb", {stepOf(1)}, "litoral"}, "customer_limit");
    StepSpec gang = stepOf(2);
    gang.gang = true;
    checkPrediction(leader, {"/quotes/cc", {gang}, "litoral"}, "customer_limit");
    checkPrediction(leader, {"/quotes/dd", {stepOf(3)}, "arch"}, "none");
}

// Guards against an explanation that counts cores which are kept for more urgent queues.
TEST_CASE("a step for which too few cores are left beside the headroom is said to wait for it")
{
    CallingLeader leader;
    Queue bulk = quotesQueue();
    bulk.name = QueueName {"bulk"};
    bulk.prefix = "/bulk/";
    bulk.priority = 5;
    install(leader, {quotesQueue(), bulk});
    leader.addWorker("w", 10'000);
    leader.control.run_for(someRounds);
    checkPrediction(leader, {"/quotes/aa", {stepOf(6)}, {}}, "none");
    // The six tasks keep three of the four free cores at first, and more than two for 0.8 seconds.
    const boost::json::object report =
        checkPrediction(leader, {"/bulk/bb", {stepOf(2)}, {}}, "headroom");
    CHECK(workersWith(report, "can_take") == 1);
}

// Guards against a place in the order that differs from the order in which steps are tried.
TEST_CASE("the position of a step counts the steps that go before it")
{
    CallingLeader leader;
    Queue bulk = quotesQueue();
    bulk.name = QueueName {"bulk"};
    bulk.prefix = "/bulk/";
    bulk.priority = 5;
    Queue quotes = quotesQueue();
    quotes.aim = bulk.aim = Milliseconds {60'000};
    install(leader, {quotes, bulk});
    for (const std::string path : {"/bulk/aa", "/bulk/bb", "/quotes/cc"}) {
        REQUIRE(submit(leader, {path, {stepOf(1)}, {}}).outcome == GraphOutcome::Done);
        leader.control.run_for(Milliseconds {40});
    }
    const auto positionOf = [&leader](const std::string &question) {
        const boost::json::object report = ask(leader, question);
        CHECK(stepOfReport(report).at("prospect").as_string() == "in_time");
        return stepOfReport(report).at("position").to_number<std::uint64_t>();
    };
    CHECK(positionOf(placementQuestionAbout(GraphId {"cc"})) == 1);
    CHECK(positionOf(placementQuestionAbout(GraphId {"aa"})) == 2);
    CHECK(positionOf(placementQuestionAbout(GraphId {"bb"})) == 3);
    CHECK(positionOf(questionAbout({"/quotes/dd", {stepOf(1)}, {}})) == 2);
    CHECK(positionOf(questionAbout({"/bulk/ee", {stepOf(1)}, {}})) == 4);
}

// Guards against steps that are explained before they are ready, and against an unbounded answer.
TEST_CASE("only ready steps are explained, and at most sixteen of them")
{
    CallingLeader leader;
    install(leader, {quotesQueue()});
    leader.control.run_for(someRounds);
    std::vector<StepSpec> steps(20, stepOf(1));
    steps[19].after = {0};
    const boost::json::object report = ask(leader, questionAbout({"/quotes/aa", steps, {}}));
    CHECK(report.at("steps").as_array().size() == 16);
    CHECK(report.at("omitted_steps").to_number<std::uint64_t>() == 3);
    CHECK(report.at("unready_steps").to_number<std::uint64_t>() == 1);
    const Reply unknown = leader.peers.ask(
        OperatorCall {OperatorAction::Explain, placementQuestionAbout(GraphId {"zz"})});
    CHECK_FALSE(std::get<OperatorReply>(unknown).found);
}

// Guards against explanations that hold only for the cases above.
TEST_CASE("explanations and submissions agree on random workers and jobs")
{
    std::minstd_rand random {20261206};
    for (int round = 0; round < 4; ++round) {
        CallingLeader leader;
        install(
            leader, {quotesQueue()}, {customer("litoral", 1'000, 9'000), customer("arch", 1'000)});
        const int workers = 1 + static_cast<int>(random() % 6);
        for (int i = 0; i < workers; ++i) {
            const std::vector<WorkerLabel> labels(random() % 2, WorkerLabel {"disk"});
            addWorker(leader, "w" + std::to_string(i),
                static_cast<std::uint32_t>(1 + random() % 8) * 1'000, "matching", labels);
        }
        leader.control.run_for(someRounds);
        for (int job = 0; job < 8; ++job) {
            StepSpec step = stepOf(1 + random() % 4, 1 + random() % 3);
            step.gang = random() % 3 == 0;
            step.label = WorkerLabel {random() % 4 == 0 ? "disk" : ""};
            step.mostPerWorker = random() % 3;
            const Request request {
                "/quotes/" + std::to_string(job), {step}, random() % 2 == 0 ? "litoral" : "arch"};
            const boost::json::object report = ask(leader, questionAbout(request));
            const std::size_t before = leader.link.starts.size();
            REQUIRE(submit(leader, request).outcome == GraphOutcome::Done);
            leader.control.run_for(Milliseconds {60});
            INFO("round " << round << ", job " << job);
            CHECK(startableIn(report) == leader.link.starts.size() - before);
            CHECK((reasonIn(report) == "none") == (startableIn(report) == step.tasks));
        }
    }
}

// Guards against a leader that relies on the checks of other VMs.
TEST_CASE("the leader refuses a question that it cannot read")
{
    CallingLeader leader;
    CHECK_THROWS_AS(
        leader.peers.ask(OperatorCall {OperatorAction::Explain, "{"}), std::system_error);
}

} // namespace crocusmill
