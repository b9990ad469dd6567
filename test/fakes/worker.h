/// Fake worker that announces itself when told to and keeps the tasks that the reply starts.

#pragma once

#include "test/live/cluster.h"

#include <boost/json.hpp>

#include <map>
#include <string>
#include <tuple>

namespace crocusmill::fakes
{

class Worker
{
public:
    using Key = std::tuple<std::string, std::int64_t, std::int64_t>; // job, task, attempt

    Worker(const live::Cluster &cluster, std::string id, int cores)
        : cluster_(cluster)
        , id_(std::move(id))
        , cores_(cores)
    {
    }

    /// Announces once through the entry `vm` and applies the starts and stops in the reply. Returns
    /// false without a successful reply.
    bool announce(std::uint32_t vm)
    {
        const live::HttpReply reply =
            cluster_.call(vm, "PUT", "/v1/workers/" + id_, announcementBody());
        if (reply.status != 200) {
            return false;
        }
        const boost::json::value json = boost::json::parse(reply.body);
        for (const boost::json::value &order : json.at("start").as_array()) {
            const Key key = keyOf(order);
            if (!tasks.contains(key)) {
                tasks[key] = "running";
                milliCores_[key] = order.at("size").at("millicores").as_int64();
                overCapacityStarts += reserved() > 1000LL * cores_ ? 1 : 0;
                ++started[std::get<0>(key) + "/" + std::to_string(std::get<1>(key))];
            }
        }
        for (const boost::json::value &order : json.at("stop").as_array()) {
            tasks.erase(keyOf(order));
        }
        return true;
    }

    void finishAll(const std::string &state)
    {
        for (std::pair<const Key, std::string> &entry : tasks) {
            entry.second = state;
        }
    }

    std::size_t runningCount() const
    {
        std::size_t count = 0;
        for (const std::pair<const Key, std::string> &entry : tasks) {
            count += entry.second == "running" ? 1 : 0;
        }
        return count;
    }

    std::map<Key, std::string> tasks;
    /// Number of starts that exceeded this worker's cores.
    int overCapacityStarts = 0;
    std::map<std::string, int> started;

private:
    static Key keyOf(const boost::json::value &order)
    {
        return {std::string {order.at("job").as_string()}, order.at("task").as_int64(),
            order.at("attempt").as_int64()};
    }

    std::int64_t reserved() const
    {
        std::int64_t total = 0;
        for (const std::pair<const Key, std::string> &entry : tasks) {
            total += entry.second == "running" ? milliCores_.at(entry.first) : 0;
        }
        return total;
    }

    std::string announcementBody() const
    {
        boost::json::array reports;
        for (const std::pair<const Key, std::string> &entry : tasks) {
            reports.push_back(boost::json::object {{"job", std::get<0>(entry.first)},
                {"task", std::get<1>(entry.first)}, {"attempt", std::get<2>(entry.first)},
                {"state", entry.second}});
        }
        const boost::json::object body {{"availability_zone", "zone-" + id_}, {"rack", "rack"},
            {"incarnation", "one"},
            {"capacity", boost::json::object {{"cores", cores_}, {"memory_bytes", 1'000'000'000}}},
            {"tasks", std::move(reports)}};
        return boost::json::serialize(body);
    }

    const live::Cluster &cluster_;
    std::string id_;
    int cores_;
    std::map<Key, std::int64_t> milliCores_;
};

} // namespace crocusmill::fakes
