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
constexpr std::chrono::duration<double> coveredTime {1.0};
constexpr double maxShare = 0.35; // of the cores of a service

} // namespace

void Headroom::notePlaced(
    std::uint32_t priority, std::uint64_t milliCores, Milliseconds slack, MonotonicTime now)
{
    Rate &rate = rates_[priority];
    const std::chrono::duration<double> passed = now - rate.since;
    const double decay = std::exp(-passed / averagingTime);
    const double added = static_cast<double>(milliCores) / averagingTime.count();
    const std::chrono::duration<double> pressingSlack =
        std::max<std::chrono::duration<double>>(slack, coveredTime);
    rate.milliCoresPerSecond = rate.milliCoresPerSecond * decay + added;
    rate.pressingMilliCoresPerSecond =
        rate.pressingMilliCoresPerSecond * decay + added * std::sqrt(coveredTime / pressingSlack);
    rate.since = now;
}

std::uint64_t Headroom::milliCoresFor(
    std::uint32_t priority, std::uint64_t openMilliCores, bool canWait, MonotonicTime now) const
{
    double perSecond = 0;
    for (auto rate = rates_.begin(); rate != rates_.lower_bound(priority); ++rate) {
        const std::chrono::duration<double> passed = now - rate->second.since;
        perSecond +=
            (canWait ? rate->second.milliCoresPerSecond : rate->second.pressingMilliCoresPerSecond)
            * std::exp(-passed / averagingTime);
    }
    return static_cast<std::uint64_t>(
        std::min(perSecond * coveredTime.count(), maxShare * static_cast<double>(openMilliCores)));
}

} // namespace crocusmill
