/// Lookup of queues, and what becomes of queues that a new version of the catalog lacks.

#include <crocusmill/catalog.h>

#include <algorithm>
#include <map>
#include <set>
#include <utility>

namespace crocusmill
{

namespace
{

/// Decides what becomes of the queues that a new version of the catalog lacks.
class RemovedQueues
{
public:
    RemovedQueues(const Catalog &current, const Catalog &next)
        : next_(next)
    {
        for (const Queue &queue : next.queues) {
            nextByName_.try_emplace(queue.name, &queue);
            usedNames_.insert(queue.name);
        }
        for (const Queue &queue : current.queues) {
            ++currentNameCounts_[queue.name];
            usedNames_.insert(queue.name);
        }
        for (const Queue &queue : current.removedQueues) {
            usedNames_.insert(queue.name);
        }
    }

    /// Keeps the queue unless the next version has it too.
    void add(Queue queue, bool hasJobs)
    {
        const auto found = nextByName_.find(queue.name);
        if (found != nextByName_.end()) {
            // Jobs of queues that share a name cannot be told apart, so they follow the name.
            const auto count = currentNameCounts_.find(queue.name);
            const bool isNameShared = count != currentNameCounts_.end() && count->second > 1;
            if (!hasJobs || isNameShared || found->second->hasSameAddress(queue)) {
                return;
            }
            const QueueName name = unusedName(queue.name);
            renamings_.push_back({queue.name, name});
            queue.name = name;
        }
        if (keptNames_.insert(queue.name).second) {
            queues_.push_back(std::move(queue));
        }
    }

    [[nodiscard]] const std::vector<Queue> &queues() const
    {
        return queues_;
    }

    [[nodiscard]] const std::vector<QueueRenaming> &renamings() const
    {
        return renamings_;
    }

private:
    [[nodiscard]] QueueName unusedName(const QueueName &name)
    {
        QueueName unused = name;
        do {
            unused = QueueName {unused.value() + "@" + std::to_string(next_.version.value())};
        } while (!usedNames_.insert(unused).second);
        return unused;
    }

    const Catalog &next_;
    std::map<QueueName, const Queue *> nextByName_;
    std::map<QueueName, std::size_t> currentNameCounts_; // without removed queues
    std::set<QueueName> usedNames_;
    std::set<QueueName> keptNames_;
    std::vector<Queue> queues_;
    std::vector<QueueRenaming> renamings_;
};

const Queue *findByName(const std::vector<Queue> &queues, const QueueName &name)
{
    const auto it = std::find_if(
        queues.begin(), queues.end(), [&name](const Queue &queue) { return queue.name == name; });
    return it == queues.end() ? nullptr : &*it;
}

} // namespace

bool Queue::hasSameAddress(const Queue &other) const
{
    return host == other.host && prefix == other.prefix;
}

const Queue *Catalog::find(std::string_view host, std::string_view path) const
{
    const Queue *best = nullptr;
    for (const Queue &queue : queues) {
        const bool matches = queue.host == host && path.starts_with(queue.prefix);
        if (matches && (best == nullptr || queue.prefix.size() > best->prefix.size())) {
            best = &queue;
        }
    }
    return best;
}

std::vector<const Queue *> Catalog::findAll(std::string_view host, std::string_view path) const
{
    std::vector<const Queue *> found;
    for (const std::vector<Queue> *candidates : {&queues, &removedQueues}) {
        for (const Queue &queue : *candidates) {
            if (queue.host == host && path.starts_with(queue.prefix)) {
                found.push_back(&queue);
            }
        }
    }
    std::stable_sort(found.begin(), found.end(), [](const Queue *left, const Queue *right) {
        return left->prefix.size() > right->prefix.size();
    });
    return found;
}

const Queue *Catalog::find(const QueueName &name) const
{
    return findByName(queues, name);
}

const Queue *Catalog::queueOfJobs(const QueueName &name) const
{
    if (const Queue *queue = find(name)) {
        return queue;
    }
    const Queue *removed = findByName(removedQueues, name);
    if (removed == nullptr) {
        return nullptr;
    }
    const auto successor = std::find_if(queues.begin(), queues.end(),
        [removed](const Queue &queue) { return queue.hasSameAddress(*removed); });
    return successor == queues.end() ? removed : &*successor;
}

std::vector<QueueName> Catalog::jobNamesOf(const Queue &queue) const
{
    std::vector<QueueName> names {queue.name};
    for (const Queue &removed : removedQueues) {
        if (removed.hasSameAddress(queue)) {
            names.push_back(removed.name);
        }
    }
    return names;
}

void Catalog::keepCustomersOf(
    const Catalog &previous, const std::function<bool(const CustomerName &)> &hasOpenJobs)
{
    std::set<CustomerName> names;
    for (const Customer &customer : customers) {
        names.insert(customer.name);
    }
    for (const Customer &customer : previous.customers) {
        if (!names.contains(customer.name) && hasOpenJobs(customer.name)) {
            customers.push_back(customer);
            customers.back().keys.clear();
            customers.back().isRemoved = true;
        }
    }
}

std::vector<QueueRenaming> Catalog::replaceWith(
    Catalog next, const std::function<bool(const QueueName &)> &hasJobs)
{
    RemovedQueues removed {*this, next};
    for (const Queue &queue : removedQueues) {
        if (hasJobs(queue.name)) {
            removed.add(queue, true);
        }
    }
    // Those without jobs too: a job that was submitted at the same time may be recorded after this
    // version.
    for (const Queue &queue : queues) {
        removed.add(queue, hasJobs(queue.name));
    }
    next.removedQueues = removed.queues();
    *this = std::move(next);
    return removed.renamings();
}

} // namespace crocusmill
