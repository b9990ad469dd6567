/// Which jobs are within the share of their customer.
///
/// Load pattern: a customer sends many times its usual for seconds, others their usual. Each
/// customer has a share of `weight` jobs per second, with a short burst. What it sends beyond that
/// goes after the jobs of others that are within their shares, so it takes only room that nobody
/// else needs. Pure; owned by the control thread.

#pragma once

#include <crocusmill/customer.h>

#include <unordered_map>

namespace crocusmill
{

class CustomerShares
{
public:
    /// Counts a submitted job. Returns whether it is within the customer's share.
    [[nodiscard]] bool add(const Customer &customer, MonotonicTime now);
    /// Returns the time until the next job is within the share; zero if it is now.
    [[nodiscard]] Milliseconds timeUntilWithin(const Customer &customer, MonotonicTime now) const;
    /// Removes customers whose share is unused.
    void forgetIdle(MonotonicTime now);

private:
    struct Bucket
    {
        double jobs = 0; // that are within the share now
        MonotonicTime since;
        std::uint32_t weight = 0;
    };

    [[nodiscard]] static double refilled(const Bucket &bucket, MonotonicTime now);

    std::unordered_map<CustomerName, Bucket> buckets_;
};

} // namespace crocusmill
