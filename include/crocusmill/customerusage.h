/// What each customer has running, against its limit.
///
/// Load pattern: a customer sends many times its usual, and its tasks would take the workers of all
/// others. What may be running counts: a run takes up its customer's limit from the decision to
/// place it until its end is known, also on a worker that does not answer. Pure; owned by the
/// control thread.

#pragma once

#include <crocusmill/customer.h>

#include <map>
#include <set>

namespace crocusmill
{

class CustomerUsage
{
public:
    void take(const CustomerName &customer, const TaskSize &size);
    void release(const CustomerName &customer, const TaskSize &size);

    [[nodiscard]] ResourceAmount usedBy(const CustomerName &customer) const;
    /// Returns the customers of whose usage something was released since the last call.
    [[nodiscard]] std::set<CustomerName> takeReleased();

private:
    struct Usage
    {
        ResourceAmount amount;
        std::uint64_t taskCount = 0;
    };

    // Invariant: the sum of what was taken and not released; without customers that have nothing.
    std::map<CustomerName, Usage> used_;
    std::set<CustomerName> released_;
};

} // namespace crocusmill
