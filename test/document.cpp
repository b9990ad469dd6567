/// Tests of the parser of environment documents.

#include <crocusmill/document.h>

#include <catch2/catch.hpp>
#include <rapidcheck.h>

namespace crocusmill
{

namespace
{

const std::string validDocument = R"({"name": "rocola", "version": 1, "hosts": ["Rocola.test"],
 "services": [{"name": "matching"}],
 "routes": [
  {"method": "POST", "path": "/quotes", "service": "matching", "class": "quick",
   "repeatable": true, "deadline_ms": 2000},
  {"method": "POST", "path": "/quotes/slow", "service": "matching", "class": "heavy"}],
 "teams": [{"name": "litoral", "weight": 2, "quota": {"slots": 100, "cores": 9}}],
 "policy": {"emphasis": "crest"}})";

Faults faultsOf(const std::string &json)
{
    const Checked<Document> checked = parseDocument(json);
    REQUIRE(std::holds_alternative<Faults>(checked));
    return std::get<Faults>(checked);
}

} // namespace

TEST_CASE("all fields of a valid document are read")
{
    const Checked<Document> checked = parseDocument(validDocument);
    REQUIRE(std::holds_alternative<Document>(checked));
    const Document &document = std::get<Document>(checked);
    CHECK(document.hosts.front() == "rocola.test");
    CHECK(document.teams.front().slotQuota == SlotCount {100});
    CHECK(document.policy.emphasis == Emphasis::Latency);
    CHECK(document.routes.front().deadline == Milliseconds {2000});
}

TEST_CASE("the route with the longest path prefix matches, on whole segments only")
{
    const Document document = std::get<Document>(parseDocument(validDocument));
    CHECK(document.findRoute("POST", "/quotes")->workClass == WorkClass::Quick);
    CHECK(document.findRoute("POST", "/quotes/7?a=b")->workClass == WorkClass::Quick);
    CHECK(document.findRoute("POST", "/quotes/slow/1")->workClass == WorkClass::Heavy);
    CHECK(document.findRoute("POST", "/quotesque") == nullptr);
    CHECK(document.findRoute("GET", "/quotes") == nullptr);
}

TEST_CASE("every fault is reported in one pass with its pointer")
{
    const Faults faults = faultsOf(R"({"name": "", "version": 0, "hosts": ["a", "a"],
        "services": [{"name": "s"}], "routes": [{"method": "GET", "path": "x",
        "service": "other", "class": "swift", "extra~/": 1}], "colour": "red"})");
    std::vector<std::string> pointers;
    for (const Fault &fault : faults) {
        pointers.push_back(fault.pointer);
    }
    const std::vector<std::string> expected {"/name", "/version", "/hosts/1", "/routes/0/path",
        "/routes/0/class", "/routes/0/extra~0~1", "/routes/0/service", "/colour"};
    CHECK(pointers == expected);
}

TEST_CASE("invalid JSON is one fault at the root")
{
    CHECK(faultsOf("{").front().kind == FaultKind::Malformed);
    CHECK(faultsOf("[]").front().kind == FaultKind::WrongType);
}

TEST_CASE("arbitrary bytes do not crash the parser")
{
    CHECK(rc::check([](const std::string &bytes) { static_cast<void>(parseDocument(bytes)); }));
    CHECK(rc::check([](std::size_t at, char byte) {
        std::string mutated = validDocument;
        mutated[at % mutated.size()] = byte;
        static_cast<void>(parseDocument(mutated));
    }));
}

TEST_CASE("a digest is SHA-256 in hex")
{
    CHECK(digestOf("abc").value()
        == "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad");
}

} // namespace crocusmill
