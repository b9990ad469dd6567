/// Limits and use of customers in the scheduling rounds.

#include "src/net/log.h"
#include "src/services/dispatcher.h"

#include <boost/json.hpp>

#include <algorithm>

namespace crocusmill
{

namespace
{

/// Steps that are attempted again when their customer releases something. Each such step that finds
/// no room under the limit costs one attempt.
constexpr std::size_t maxUnblockedSteps = 8;
/// A service with less than this share of its cores free has no room for jobs beyond a share.
constexpr double minSpareShare = 0.1;
constexpr std::size_t maxReportedCustomers = 64;

} // namespace

void Dispatcher::updateCustomers()
{
    customers_ = CustomerDirectory {parts_.journal.state().catalog().customers};
    stepsAtLimit_.clear(); // all waiting jobs are refreshed
    queue_.retryAll();
}

/// Returns the demand with only as many tasks as the limit of its customer allows.
StepDemand Dispatcher::limitToCustomer(StepDemand demand, const Graph &graph) const
{
    const Customer *customer = customers_.find(graph.spec.customer);
    if (customer == nullptr) {
        return demand;
    }
    const std::uint64_t tasks = taskCountWithin(
        customer->limit, supervisor_->usage().usedBy(customer->name), demand.spec->size);
    if (demand.spec->gang && tasks < demand.waiting.size()) {
        demand.waiting.clear();
    }
    demand.waiting.resize(std::min<std::size_t>(demand.waiting.size(), tasks));
    return demand;
}

void Dispatcher::blockAtLimit(const Urgency &urgency, const CustomerName &customer)
{
    queue_.block(urgency.step);
    stepsAtLimit_[customer].insert(urgency);
}

void Dispatcher::unblockBelowLimit()
{
    for (const CustomerName &customer : supervisor_->usage().takeReleased()) {
        const auto blocked = stepsAtLimit_.find(customer);
        if (blocked == stepsAtLimit_.end()) {
            continue;
        }
        std::set<Urgency> &steps = blocked->second;
        for (std::size_t i = 0; i < maxUnblockedSteps && !steps.empty(); ++i) {
            queue_.unblock(steps.begin()->step);
            steps.erase(steps.begin());
        }
        if (steps.empty()) {
            stepsAtLimit_.erase(blocked);
        }
    }
}

bool Dispatcher::hasSpareRoom(const ServiceName &service) const
{
    const Fleet &fleet = supervisor_->fleet();
    const double open = static_cast<double>(fleet.openMilliCores(service));
    const double used = static_cast<double>(fleet.usedMilliCores(service));
    return used <= open * (1 - minSpareShare);
}

void Dispatcher::reportCustomers()
{
    constexpr double milliPerCore = 1000;
    std::size_t count = 0;
    for (const Customer &customer : customers_.all()) {
        if (++count > maxReportedCustomers) {
            return;
        }
        const std::string label = "customer=\"" + customer.name.value() + "\"";
        const ResourceAmount used = supervisor_->usage().usedBy(customer.name);
        const auto blocked = stepsAtLimit_.find(customer.name);
        parts_.metrics.set(
            {"customer_cores", label}, static_cast<double>(used.milliCores) / milliPerCore);
        parts_.metrics.set({"customer_steps_at_limit", label},
            blocked == stepsAtLimit_.end() ? 0.0 : static_cast<double>(blocked->second.size()));
    }
}

std::string Dispatcher::listCustomers()
{
    boost::json::array list;
    for (const Customer &customer : customers_.all()) {
        const ResourceAmount used = supervisor_->usage().usedBy(customer.name);
        const auto blocked = stepsAtLimit_.find(customer.name);
        list.push_back(boost::json::object {{"customer", customer.name.value()},
            {"weight", customer.weight}, {"removed", customer.isRemoved},
            {"milli_cores", used.milliCores}, {"milli_cores_limit", customer.limit.milliCores},
            {"memory_bytes", used.memory.value()},
            {"memory_bytes_limit", customer.limit.memory.value()},
            {"accelerators", used.accelerators},
            {"accelerators_limit", customer.limit.accelerators},
            {"steps_at_limit",
                std::uint64_t {blocked == stepsAtLimit_.end() ? 0 : blocked->second.size()}}});
    }
    return boost::json::serialize(list);
}

} // namespace crocusmill
