/// Counters, gauges and distributions in the Prometheus text format. Thread-safe.

#pragma once

#include <crocusmill/ids.h>

#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>

namespace crocusmill
{

/// Name and labels of a metric, such as {"requests_total", "outcome=\"answered\""}.
struct MetricName
{
    std::string name;
    std::string labels;

    auto operator<=>(const MetricName &) const = default;
};

class Metrics
{
public:
    Metrics();
    ~Metrics();

    void count(const MetricName &name, std::uint64_t amount = 1);
    void set(const MetricName &name, double value);
    void observe(const MetricName &name, Microseconds time);

    [[nodiscard]] std::string prometheus() const;

private:
    class Distribution;

    mutable std::mutex mutex_;
    std::map<MetricName, std::uint64_t> counters_;
    std::map<MetricName, double> gauges_;
    std::map<MetricName, std::unique_ptr<Distribution>> distributions_;
};

} // namespace crocusmill
