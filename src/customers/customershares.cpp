/// Token buckets of customers.

#include <crocusmill/customershares.h>

#include <algorithm>
#include <cmath>

namespace crocusmill
{

namespace
{

/// The share of this time may be used at once.
constexpr std::chrono::duration<double> burstTime {1.0};
constexpr double minBurstJobs = 2;

double burstOf(std::uint32_t weight)
{
    return std::max(weight * burstTime.count(), minBurstJobs);
}

} // namespace

double CustomerShares::refilled(const Bucket &bucket, MonotonicTime now)
{
    const std::chrono::duration<double> passed = now - bucket.since;
    return std::min(bucket.jobs + passed.count() * bucket.weight, burstOf(bucket.weight));
}

bool CustomerShares::add(const Customer &customer, MonotonicTime now)
{
    const auto [it, isNew] = buckets_.try_emplace(customer.name);
    Bucket &bucket = it->second;
    bucket.jobs = isNew ? burstOf(customer.weight) : refilled(bucket, now);
    bucket.since = now;
    bucket.weight = customer.weight;
    if (bucket.jobs < 1) {
        return false;
    }
    bucket.jobs -= 1;
    return true;
}

Milliseconds CustomerShares::timeUntilWithin(const Customer &customer, MonotonicTime now) const
{
    const auto it = buckets_.find(customer.name);
    if (it == buckets_.end()) {
        return Milliseconds {0};
    }
    constexpr double millisecondsPerSecond = 1000;
    const double missing = std::max(1 - refilled(it->second, now), 0.0);
    return Milliseconds {static_cast<std::int64_t>(
        std::ceil(missing * millisecondsPerSecond / std::max(customer.weight, 1U)))};
}

void CustomerShares::forgetIdle(MonotonicTime now)
{
    std::erase_if(buckets_, [now](const auto &entry) {
        return refilled(entry.second, now) >= burstOf(entry.second.weight);
    });
}

} // namespace crocusmill
