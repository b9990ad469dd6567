/// Queues found by host and longest prefix.

#include <crocusmill/catalog.h>

#include <catch2/catch.hpp>

namespace crocusmill
{

TEST_CASE("the longest prefix of the host's queues wins")
{
    Catalog catalog;
    const std::vector<std::pair<std::string, std::string>> places {
        {"a.test", "/jobs/"}, {"a.test", "/jobs/heavy/"}, {"b.test", "/"}};
    for (const std::pair<std::string, std::string> &place : places) {
        Queue queue;
        queue.name = QueueName {place.first + place.second};
        queue.host = place.first;
        queue.prefix = place.second;
        catalog.queues.push_back(queue);
    }
    CHECK(catalog.find("a.test", "/jobs/1")->name == QueueName {"a.test/jobs/"});
    CHECK(catalog.find("a.test", "/jobs/heavy/1")->name == QueueName {"a.test/jobs/heavy/"});
    CHECK(catalog.find("a.test", "/other") == nullptr);
    CHECK(catalog.find("c.test", "/jobs/1") == nullptr);
    CHECK(catalog.find("b.test", "/other") != nullptr);
}

} // namespace crocusmill
