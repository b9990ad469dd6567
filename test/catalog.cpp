/// Lookup of queues by host and longest prefix.

#include <crocusmill/catalog.h>

#include <catch2/catch.hpp>

namespace crocusmill
{

TEST_CASE("the queue with the longest prefix on the host is found")
{
    Catalog catalog;
    const std::vector<std::pair<std::string, std::string>> routes {
        {"a.test", "/jobs/"}, {"a.test", "/jobs/heavy/"}, {"b.test", "/"}};
    for (const std::pair<std::string, std::string> &route : routes) {
        Queue queue;
        queue.name = QueueName {route.first + route.second};
        queue.host = route.first;
        queue.prefix = route.second;
        catalog.queues.push_back(queue);
    }
    CHECK(catalog.find("a.test", "/jobs/1")->name == QueueName {"a.test/jobs/"});
    CHECK(catalog.find("a.test", "/jobs/heavy/1")->name == QueueName {"a.test/jobs/heavy/"});
    CHECK(catalog.find("a.test", "/other") == nullptr);
    CHECK(catalog.find("c.test", "/jobs/1") == nullptr);
    CHECK(catalog.find("b.test", "/other") != nullptr);
}

} // namespace crocusmill
