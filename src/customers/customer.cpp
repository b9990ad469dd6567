/// Arithmetic of limits, and lookup of customers.

#include <crocusmill/customer.h>

#include <algorithm>
#include <limits>

namespace crocusmill
{

namespace
{

std::uint64_t countWithin(std::uint64_t limit, std::uint64_t used, std::uint64_t size)
{
    if (limit == 0 || size == 0) {
        return std::numeric_limits<std::uint64_t>::max();
    }
    return used >= limit ? 0 : (limit - used) / size;
}

} // namespace

void ResourceAmount::add(const TaskSize &size)
{
    milliCores += size.milliCores;
    memory = ByteCount {memory.value() + size.memory.value()};
    accelerators += size.accelerators;
}

void ResourceAmount::subtract(const TaskSize &size)
{
    milliCores -= size.milliCores;
    memory = ByteCount {memory.value() - size.memory.value()};
    accelerators -= size.accelerators;
}

std::uint64_t taskCountWithin(
    const ResourceAmount &limit, const ResourceAmount &used, const TaskSize &size)
{
    return std::min({countWithin(limit.milliCores, used.milliCores, size.milliCores),
        countWithin(limit.memory.value(), used.memory.value(), size.memory.value()),
        countWithin(limit.accelerators, used.accelerators, size.accelerators)});
}

CustomerDirectory::CustomerDirectory(std::vector<Customer> customers)
    : customers_(std::move(customers))
{
    for (std::size_t i = 0; i < customers_.size(); ++i) {
        byName_.emplace(customers_[i].name, i);
        for (const Digest &key : customers_[i].keys) {
            byKey_.emplace(key, i);
        }
    }
}

const Customer *CustomerDirectory::findByKey(const Digest &key) const
{
    const auto it = byKey_.find(key);
    return it == byKey_.end() ? nullptr : &customers_[it->second];
}

const Customer *CustomerDirectory::find(const CustomerName &name) const
{
    const auto it = byName_.find(name);
    return it == byName_.end() ? nullptr : &customers_[it->second];
}

bool CustomerDirectory::isEmpty() const
{
    return customers_.empty();
}

const std::vector<Customer> &CustomerDirectory::all() const
{
    return customers_;
}

} // namespace crocusmill
