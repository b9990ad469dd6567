/// Customers: who submits jobs, with which keys, share and limit.
///
/// The catalog defines them. Only digests of their keys are kept outside the operator's document.

#pragma once

#include <crocusmill/taskgraph.h>

#include <cstdint>
#include <unordered_map>
#include <vector>

namespace crocusmill
{

/// Sum of the sizes of many tasks.
struct ResourceAmount
{
    std::uint64_t milliCores = 0;
    ByteCount memory;
    std::uint64_t accelerators = 0;

    bool operator==(const ResourceAmount &) const = default;

    void add(const TaskSize &size);
    void subtract(const TaskSize &size);
};

struct Customer
{
    CustomerName name;
    std::vector<Digest> keys;
    std::uint32_t weight = 1; // jobs per second that it may submit when there is too little room
    ResourceAmount limit; // of what it has running; a resource with zero has no limit
    /// No longer in the operator's document. It has no keys, and its jobs end on its terms.
    bool isRemoved = false;

    bool operator==(const Customer &) const = default;
};

/// Returns how many tasks of this size may run beside `used`.
[[nodiscard]] std::uint64_t taskCountWithin(
    const ResourceAmount &limit, const ResourceAmount &used, const TaskSize &size);

/// Finds the customers of one version of the catalog in constant time.
class CustomerDirectory
{
public:
    CustomerDirectory() = default;
    explicit CustomerDirectory(std::vector<Customer> customers);

    /// Returns null for an unknown key.
    [[nodiscard]] const Customer *findByKey(const Digest &key) const;
    /// Returns null for an unknown name. Includes removed customers.
    [[nodiscard]] const Customer *find(const CustomerName &name) const;
    /// Returns whether calls need a key.
    [[nodiscard]] bool isEmpty() const;
    [[nodiscard]] const std::vector<Customer> &all() const;

private:
    std::vector<Customer> customers_;
    // Indices in customers_.
    std::unordered_map<Digest, std::size_t> byKey_;
    std::unordered_map<CustomerName, std::size_t> byName_;
};

} // namespace crocusmill
