/// Sums of the sizes of runs by customer.

#include <crocusmill/customerusage.h>

#include <utility>

namespace crocusmill
{

void CustomerUsage::take(const CustomerName &customer, const TaskSize &size)
{
    if (customer.value().empty()) {
        return;
    }
    Usage &usage = used_[customer];
    usage.amount.add(size);
    ++usage.taskCount;
}

void CustomerUsage::release(const CustomerName &customer, const TaskSize &size)
{
    const auto it = used_.find(customer);
    if (it == used_.end()) {
        return;
    }
    it->second.amount.subtract(size);
    released_.insert(customer);
    if (--it->second.taskCount == 0) {
        used_.erase(it);
    }
}

ResourceAmount CustomerUsage::usedBy(const CustomerName &customer) const
{
    const auto it = used_.find(customer);
    return it == used_.end() ? ResourceAmount {} : it->second.amount;
}

std::set<CustomerName> CustomerUsage::takeReleased()
{
    return std::exchange(released_, {});
}

} // namespace crocusmill
