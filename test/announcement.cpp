/// Tests of the parsers of announcements and jobs.

#include <crocusmill/announcement.h>

#include <catch2/catch.hpp>
#include <rapidcheck.h>

namespace crocusmill
{

namespace
{

const std::string validAnnouncement = R"({"environment": "rocola", "service": "matching",
 "address": {"ip": "127.0.0.1", "port": 9000}, "slots": 8, "connections": 60,
 "availability_zone": "a", "rack": "r", "incarnation": "i1", "state": "draining",
 "running": ["e-1"], "finished": [{"attempt": "e-2", "status": 200}]})";

} // namespace

TEST_CASE("all fields of an upstream's announcement are read")
{
    const Checked<Announcement> checked = parseAnnouncement(UpstreamId {"u"}, validAnnouncement);
    REQUIRE(std::holds_alternative<Announcement>(checked));
    const Announcement &announcement = std::get<Announcement>(checked);
    CHECK(announcement.mode == UpstreamMode::Draining);
    CHECK(announcement.running.front() == AttemptId {"e-1"});
    CHECK(announcement.finished.front().status == 200);
}

TEST_CASE("a job's cores may be given as whole cores and thousandths")
{
    const Checked<SubmitJob> job =
        parseJob(R"({"class": "batch", "size": {"cores": 2, "millicores": 500}})");
    REQUIRE(std::holds_alternative<SubmitJob>(job));
    CHECK(std::get<SubmitJob>(job).size.milliCores == 2500);
}

TEST_CASE("faults of announcements have JSON pointers")
{
    const Checked<Announcement> checked = parseAnnouncement(UpstreamId {"u"},
        R"({"environment": "rocola", "service": "matching", "slots": -1, "incarnation": "i",
        "finished": [{"status": 1000}]})");
    REQUIRE(std::holds_alternative<Faults>(checked));
    std::vector<std::string> pointers;
    for (const Fault &fault : std::get<Faults>(checked)) {
        pointers.push_back(fault.pointer);
    }
    const std::vector<std::string> expected {
        "/address", "/slots", "/finished/0/attempt", "/finished/0/status"};
    CHECK(pointers == expected);
}

TEST_CASE("arbitrary bytes do not crash the parsers")
{
    CHECK(rc::check([](std::size_t at, char byte) {
        std::string mutated = validAnnouncement;
        mutated[at % mutated.size()] = byte;
        static_cast<void>(parseAnnouncement(UpstreamId {"u"}, mutated));
        static_cast<void>(parseWorkerAnnouncement(WorkerId {"w"}, mutated));
        static_cast<void>(parseJob(mutated));
    }));
}

} // namespace crocusmill
