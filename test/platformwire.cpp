/// Tests of reading and writing the platform's messages and of the adapter's settings.

#include "platform/settings.h"
#include "platform/wire.h"

#include <catch2/catch.hpp>

namespace crocusmill::platform
{

namespace
{

std::string catalogWith(const std::string &route)
{
    return R"({"version":7,"routes":[)" + route
        + R"(],"services":[{"name":"s1"}],"limits":{"max_body_bytes":262144}})";
}

std::string routeWith(const std::string &service, const std::string &prefix, int timeout)
{
    return R"({"name":"r)" + prefix + R"(","host":"a.example","prefix":")" + prefix
        + R"(","kind":"unsafe","timeout_ms":)" + std::to_string(timeout)
        + R"(,"slo_ms":1000,"prio":1,"service":")" + service
        + R"(","attempts":3,"slack_factor":2.2,)"
          R"("hint":{"decision_ms":520.0,"period_ms":7.4,"validity_ms":1500}})";
}

std::error_code catalogError(const std::string &body)
{
    const Result<Catalog> read = readCatalog(body);
    return read ? std::error_code {} : read.error();
}

HttpResponse response(http::status status, const std::string &body)
{
    HttpResponse result {status, 11};
    result.body() = body;
    return result;
}

} // namespace

TEST_CASE("a document of queues is converted to a catalog")
{
    const std::string body = catalogWith(routeWith("s1", "/q/", 3000));
    const Result<Catalog> read = readCatalog(body);
    REQUIRE(read.has_value());
    CHECK(read.value().version == DocumentVersion {7});
    CHECK(read.value().source == body);
    const Queue &queue = read.value().queues.at(0);
    CHECK(queue.attempts == 3);
    CHECK(queue.aim == Milliseconds {1000});
    REQUIRE(queue.tickets.has_value());
    CHECK(queue.tickets->decision == Milliseconds {520});
    CHECK(queue.tickets->perWorker == Microseconds {7'400});
}

// Guards against jobs that make every replica store as much as a client likes to send.
TEST_CASE("a job with more text than clients may send was accepted")
{
    const auto jobWith = [](const std::string &payload, const std::string &step) {
        return R"({"spec":")" + payload + R"(","steps":[{"count":1,"cpu":1000)" + step + "}]}";
    };
    CHECK(readJob(jobWith(std::string(4'000, 'x'), "")).has_value());
    CHECK_FALSE(readJob(jobWith(std::string(4'001, 'x'), "")).has_value());
    CHECK(readJob(jobWith("x", R"(,"image":")" + std::string(256, 'i') + '"')).has_value());
    for (const std::string name : {"image", "constraints", "affinity"}) {
        const std::string step = ",\"" + name + "\":\"" + std::string(257, 'i') + '"';
        CHECK_FALSE(readJob(jobWith("x", step)).has_value());
    }
    std::string dependencies = "0";
    for (int i = 0; i < 300; ++i) {
        dependencies += ",0";
    }
    CHECK_FALSE(readJob(
        R"({"spec":"x","steps":[{"count":1},{"count":1,"depends_on":[)" + dependencies + "]}]}")
                    .has_value());
}

TEST_CASE("a document's customers are converted, with digests of their keys")
{
    const auto withCustomers = [](const std::string &customers) {
        return R"({"version":7,"routes":[],"services":[{"name":"s1"}],"tenants":[)" + customers
            + "]}";
    };
    const std::string first = R"({"name":"a","api_keys":["k1","k2"],"prio":1,"weight":76,)"
                              R"("max_count":{"cpu":14400541,"mem_mb":47980234,"gpu":3}})";
    const Result<Catalog> read = readCatalog(withCustomers(first));
    REQUIRE(read.has_value());
    REQUIRE(read.value().customers.size() == 1);
    const Customer &customer = read.value().customers[0];
    CHECK(customer.name == CustomerName {"a"});
    CHECK(customer.keys == std::vector<Digest> {digestOf("k1"), digestOf("k2")});
    CHECK(customer.weight == 76);
    CHECK(customer.limit.milliCores == 14'400'541);
    CHECK(customer.limit.memory == ByteCount {47'980'234ULL * 1024 * 1024});
    CHECK(customer.limit.accelerators == 3);
    CHECK(catalogError(withCustomers(first + R"(,{"name":"b","api_keys":["k2"],"weight":1})"))
        == WireError::DuplicateKey);
    CHECK(catalogError(withCustomers(R"({"name":"b","api_keys":["k"],"weight":0})"))
        == WireError::MissingWeight);
    for (const std::string odd :
        {R"({"api_keys":["k"],"weight":1})", R"({"name":"b","api_keys":[3],"weight":1})",
            R"({"name":"b","weight":-1})", R"({"name":"b","weight":1,"max_count":{"cpu":-1}})",
            R"("b")", R"({"name":"b","weight":1,"max_count":{"cpu":"many"}})"}) {
        INFO(odd);
        CHECK(catalogError(withCustomers(odd)) == WireError::Unreadable);
    }
}

TEST_CASE("an invalid document is rejected with the reason")
{
    const std::string good = routeWith("s1", "/q/", 3000);
    CHECK(catalogError(catalogWith(routeWith("s2", "/q/", 3000))) == WireError::UnknownService);
    CHECK(catalogError(catalogWith(good + "," + good)) == WireError::DuplicateRoute);
    CHECK(catalogError(catalogWith(routeWith("s1", "/q/", 0))) == WireError::MissingTimeout);
    const std::string document = catalogWith(good);
    for (std::size_t length = 0; length < document.size(); ++length) {
        CHECK(catalogError(document.substr(0, length)) == WireError::Unreadable);
    }
    CHECK(catalogError(R"({"routes":[],"services":[]})") == WireError::Unreadable);
    CHECK(catalogError(R"({"version":"7","routes":[],"services":[]})") == WireError::Unreadable);
}

TEST_CASE("a job is read with all requirements of its steps")
{
    const Result<GraphSpec> read = readJob(
        R"({"spec":"text","steps":[{"count":4,"cpu":500,"mem_mb":256,"estimate_ms":900,)"
        R"("affinity":"r1-3"},{"count":20,"cpu":2000,"depends_on":[0],"saves_progress":true,)"
        R"("gang":true,"anti_affinity":2,"constraints":"a"}]})");
    REQUIRE(read.has_value());
    const GraphSpec &spec = read.value();
    REQUIRE(spec.steps.size() == 2);
    CHECK(spec.payload == "text");
    CHECK(spec.steps[0].size.milliCores == 500);
    CHECK(spec.steps[0].size.memory == ByteCount {256ULL * 1024 * 1024});
    CHECK(spec.steps[0].dataRack == RackId {"r1-3"});
    CHECK(spec.steps[1].after == std::vector<std::uint32_t> {0});
    CHECK(spec.steps[1].checkpoints);
    CHECK(spec.steps[1].gang);
    CHECK(spec.steps[1].mostPerWorker == 2);
    CHECK(spec.steps[1].label == WorkerLabel {"a"});
}

TEST_CASE("an invalid job is unreadable")
{
    for (const char *body :
        {"", "[]", "{}", R"({"spec":"x","steps":[]})", R"({"steps":[{"count":0}]})",
            R"({"steps":[{"count":-1}]})", R"({"steps":[{"count":1,"depends_on":[0]}]})",
            R"({"steps":[{"count":1.5}]})", R"({"steps":[{"count":1,"cpu":"2"}]})"}) {
        INFO(body);
        CHECK_FALSE(readJob(body).has_value());
    }
}

TEST_CASE("a heartbeat is read whole or rejected")
{
    const WorkerId id {"i-1"};
    const std::string good =
        R"({"service":"s1","addr":"10.1.0.9:8080","zone":"z","state":"ready","seq":4,)"
        R"("born":1781102616921,"clock_ms":482113,"labels":["a","r1-3"],)"
        R"("capacity":{"cpu":16000,"mem_mb":1,"gpu":0}})";
    const Result<WorkerHeartbeat> read = readHeartbeat(id, good);
    REQUIRE(read.has_value());
    CHECK(read.value().incarnation == Incarnation {"1781102616921"});
    CHECK(read.value().rack == RackId {"r1-3"});
    CHECK(read.value().clock == WorkerTime {482113});
    CHECK_FALSE(read.value().draining);
    const auto replaced = [&good](const std::string &from, const std::string &to) {
        std::string changed = good;
        return changed.replace(changed.find(from), from.size(), to);
    };
    CHECK_FALSE(readHeartbeat(id, replaced("ready", "resting")).has_value());
    CHECK_FALSE(readHeartbeat(id, replaced("10.1.0.9:8080", "10.1.0.9")).has_value());
    CHECK_FALSE(readHeartbeat(id, replaced("16000", "\"many\"")).has_value());
    CHECK_FALSE(readHeartbeat(id, replaced(R"("born":1781102616921,)", "")).has_value());
    CHECK(readHeartbeat(id, replaced("ready", "draining")).value().draining);
}

TEST_CASE("a worker's response to a start maps to its outcome")
{
    std::optional<WorkerTime> clock;
    CHECK(readStartResponse(response(http::status::ok, R"({"clock_ms":5})"), clock)
        == StartOutcome::Started);
    CHECK(clock == WorkerTime {5});
    const auto conflict = [&clock](const std::string &reason) {
        return readStartResponse(
            response(http::status::conflict, R"({"clock_ms":5,"reason":")" + reason + "\"}"),
            clock);
    };
    CHECK(conflict("fence") == StartOutcome::Fenced);
    CHECK(conflict("old") == StartOutcome::Superseded);
    CHECK(conflict("late") == StartOutcome::Refused);
    CHECK(conflict("ticket") == StartOutcome::Refused);
    CHECK(readStartResponse(response(http::status::service_unavailable, ""), clock)
        == StartOutcome::Refused);
    CHECK(readStartResponse(response(http::status::misdirected_request, ""), clock)
        == StartOutcome::OtherIncarnation);
    CHECK(readStartResponse(response(http::status::internal_server_error, ""), clock)
        == StartOutcome::Unanswered);
}

TEST_CASE("start orders and hold reports use the same task names")
{
    StartOrder order;
    order.task = {GraphId {"5c0e7a21d94b36f8"}, 0, 1, 17};
    order.run = RunNumber {2};
    order.fence = FencingToken {7};
    order.ticket = Ticket {"t"};
    const std::string body = writeStartRequest(order);
    CHECK(body.find(R"("task":"5c0e7a21d94b36f8.0.1.17")") != std::string::npos);
    CHECK(body.find("checkpoint_id") == std::string::npos);
    const Result<HoldOutcome> read = readHoldResponse(response(http::status::ok,
        R"({"clock_ms":482113,"born":9,"running":[["5c0e7a21d94b36f8.0.1.17",2,"0b",41,3]],)"
        R"("finished":[[58,"5c0e7a21d94b36f8.0.1.9",1,"done",""],)"
        R"([59,"5c0e7a21d94b36f8.0.1.8",1,"failed",""],[60,"5c0e7a21d94b36f8.0.1.7",1,"lapsed",""]]})"));
    REQUIRE(read.has_value());
    const HoldReport &report = read.value().report;
    CHECK(report.running.at(0).task == order.task);
    CHECK(report.running.at(0).saved == Checkpoint {"0b"});
    CHECK(report.ended.at(0).number == EndNumber {58});
    CHECK(report.ended.at(0).end == RunEnd::Succeeded);
    CHECK(report.ended.at(1).end == RunEnd::Failed);
    CHECK(report.ended.at(2).end == RunEnd::Stopped);
    // A row that names no task is counted, and is not among the runs.
    const Result<HoldOutcome> foreign =
        readHoldResponse(response(http::status::ok, R"({"running":[["x",2,"",41]]})"));
    REQUIRE(foreign.has_value());
    CHECK(foreign.value().report.foreignRows == 1);
    CHECK(foreign.value().report.running.empty());
    // A run that ended in an unknown way has ended and did not succeed.
    const std::string unknownEnd = R"({"finished":[[1,"5c0e7a21d94b36f8.0.1.9",1,"vanished",""]]})";
    const Result<HoldOutcome> other = readHoldResponse(response(http::status::ok, unknownEnd));
    REQUIRE(other.has_value());
    CHECK(other.value().report.ended.at(0).end == RunEnd::Stopped);
}

TEST_CASE("the adapter's settings report each fault")
{
    CHECK(parseAddress("10.1.0.9:80") == NodeAddress {"10.1.0.9", 80});
    CHECK_FALSE(parseAddress("10.1.0.9").has_value());
    CHECK_FALSE(parseAddress("10.1.0.9:x").has_value());
    CHECK_FALSE(parseAddress("10.1.0.9:0").has_value());
    const Checked<AdapterSettings> wrong = parseAdapterSettings(R"({"front":"nowhere","more":1})");
    REQUIRE(std::holds_alternative<Faults>(wrong));
    CHECK(std::get<Faults>(wrong).size() == 2);
    const Checked<AdapterSettings> right =
        parseAdapterSettings(R"({"control":"10.1.0.13:8161","ticket_office":"10.200.1.9:8169"})");
    REQUIRE(std::holds_alternative<AdapterSettings>(right));
    CHECK(std::get<AdapterSettings>(right).control == NodeAddress {"10.1.0.13", 8161});
    CHECK(std::get<AdapterSettings>(right).ticketOffice == NodeAddress {"10.200.1.9", 8169});
    CHECK_FALSE(std::get<AdapterSettings>(right).front.has_value());
}

} // namespace crocusmill::platform
