/// Metrics with distributions from Boost.Accumulators.

#include "src/net/metrics.h"

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>

#include <array>
#include <sstream>

namespace crocusmill
{

namespace
{

namespace acc = boost::accumulators;

constexpr std::array<double, 3> quantiles {0.5, 0.9, 0.99};
constexpr double microsecondsPerSecond = 1e6;

std::string withLabels(const MetricName &name)
{
    return "crocusmill_" + name.name + (name.labels.empty() ? "" : "{" + name.labels + "}");
}

std::string withQuantile(const MetricName &name, double quantile)
{
    std::ostringstream out;
    out << "crocusmill_" << name.name << '{' << name.labels << (name.labels.empty() ? "" : ",")
        << "quantile=\"" << quantile << "\"}";
    return std::move(out).str();
}

} // namespace

class Metrics::Distribution
{
public:
    Distribution()
        : set_(acc::extended_p_square_probabilities = quantiles)
    {
    }

    void add(double seconds)
    {
        set_(seconds);
    }

    void print(const MetricName &name, std::ostream &out) const
    {
        std::ptrdiff_t index = 0;
        for (const double quantile : quantiles) {
            out << withQuantile(name, quantile) << ' ' << acc::extended_p_square(set_)[index++]
                << '\n';
        }
        out << withLabels({name.name + "_sum", name.labels}) << ' ' << acc::sum(set_) << '\n';
        out << withLabels({name.name + "_count", name.labels}) << ' ' << acc::count(set_) << '\n';
    }

private:
    acc::accumulator_set<double,
        acc::stats<acc::tag::extended_p_square, acc::tag::sum, acc::tag::count>>
        set_;
};

Metrics::Metrics() = default;
Metrics::~Metrics() = default;

void Metrics::count(const MetricName &name, std::uint64_t amount)
{
    const std::lock_guard<std::mutex> lock {mutex_};
    counters_[name] += amount;
}

void Metrics::set(const MetricName &name, double value)
{
    const std::lock_guard<std::mutex> lock {mutex_};
    gauges_[name] = value;
}

void Metrics::observe(const MetricName &name, Microseconds time)
{
    const std::lock_guard<std::mutex> lock {mutex_};
    std::unique_ptr<Distribution> &distribution = distributions_[name];
    if (!distribution) {
        distribution = std::make_unique<Distribution>();
    }
    distribution->add(static_cast<double>(time.count()) / microsecondsPerSecond);
}

std::string Metrics::prometheus() const
{
    std::ostringstream out;
    const std::lock_guard<std::mutex> lock {mutex_};
    for (const std::pair<const MetricName, std::uint64_t> &entry : counters_) {
        out << withLabels(entry.first) << ' ' << entry.second << '\n';
    }
    for (const std::pair<const MetricName, double> &entry : gauges_) {
        out << withLabels(entry.first) << ' ' << entry.second << '\n';
    }
    using Entry = std::pair<const MetricName, std::unique_ptr<Distribution>>;
    for (const Entry &entry : distributions_) {
        entry.second->print(entry.first, out);
    }
    return std::move(out).str();
}

} // namespace crocusmill
