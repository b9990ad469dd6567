/// Implementation of Headroom.

#include <crocusmill/headroom.h>

#include <algorithm>
#include <chrono>
#include <cmath>

namespace crocusmill
{

namespace
{

/// Time over which the rates are averaged.
constexpr std::chrono::duration<double> averagingTime {2.0};
/// Urgent work of this time finds room without waiting for other tasks to end.
constexpr double coveredSeconds = 1.0;
constexpr double maxShare = 0.35; // of the cores of a service

} // namespace

void Headroom::notePlaced(std::uint32_t priority, std::uint64_t milliCores, MonotonicTime now)
{
    Rate &rate = rates_[priority];
    const std::chrono::duration<double> passed = now - rate.since;
    rate.milliCoresPerSecond = rate.milliCoresPerSecond * std::exp(-passed / averagingTime)
        + static_cast<double>(milliCores) / averagingTime.count();
    rate.since = now;
}

std::uint64_t Headroom::milliCoresFor(
    std::uint32_t priority, std::uint64_t openMilliCores, MonotonicTime now) const
{
    double perSecond = 0;
    for (auto rate = rates_.begin(); rate != rates_.lower_bound(priority); ++rate) {
        const std::chrono::duration<double> passed = now - rate->second.since;
        perSecond += rate->second.milliCoresPerSecond * std::exp(-passed / averagingTime);
    }
    return static_cast<std::uint64_t>(
        std::min(perSecond * coveredSeconds, maxShare * static_cast<double>(openMilliCores)));
}

} // namespace crocusmill
