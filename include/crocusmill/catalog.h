/// Queues that accept jobs, as configured by operators.

#pragma once

#include <crocusmill/customer.h>
#include <crocusmill/ids.h>
#include <crocusmill/taskgraph.h>

#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace crocusmill
{

/// Ticket timing of a queue whose steps need a ticket for each worker.
struct TicketTiming
{
    Milliseconds decision {0}; // base duration of one ticket call
    Microseconds perWorker {0}; // added duration for each worker in the call
    Milliseconds validity {0};
};

struct Queue
{
    QueueName name;
    std::string host;
    std::string prefix; // of request paths
    ServiceName service; // whose workers run the tasks
    std::uint32_t priority = 0; // lower runs first
    std::uint32_t attempts = 1;
    double slackFactor = 1;
    Milliseconds aim {0};
    Milliseconds timeout {0}; // of one request
    std::optional<TicketTiming> tickets;
    bool isPublic = false; // needs no key

    /// Returns whether clients reach both queues by the same host and prefix.
    [[nodiscard]] bool hasSameAddress(const Queue &other) const;
};

/// The jobs that are recorded with the queue name `from` are to be recorded with `to`, as another
/// queue has taken their name.
struct QueueRenaming
{
    QueueName from;
    QueueName to;
};

/// Jobs are recorded with the name that their queue had when they were accepted. Host and prefix
/// identify a queue to its clients, and a later version may use another name for them.
struct Catalog
{
    DocumentVersion version; // zero: none in force yet
    std::vector<Queue> queues;
    /// Document as sent by the operator, returned to operators that read it.
    std::string source;
    /// Queues that are not in the document any more, as they were last. They accept no jobs. Theirs
    /// run on their terms and stay reachable at their address.
    // Invariant: none has the name of another removed queue or of one in `queues`.
    std::vector<Queue> removedQueues;
    /// Empty: calls need no keys. Includes removed customers that have open jobs.
    std::vector<Customer> customers;

    /// Returns the queue of `host` with the longest prefix of `path`, or null.
    [[nodiscard]] const Queue *find(std::string_view host, std::string_view path) const;
    [[nodiscard]] const Queue *find(const QueueName &name) const;
    /// Returns the queues of `host`, removed ones too, whose prefix `path` begins with, the longest
    /// prefix first.
    [[nodiscard]] std::vector<const Queue *> findAll(
        std::string_view host, std::string_view path) const;
    /// Returns the queue of the jobs that are recorded with `name`: the one that now has the
    /// address of the queue they were accepted at. While there is none, returns the removed queue.
    /// Returns null for an unknown name.
    [[nodiscard]] const Queue *queueOfJobs(const QueueName &name) const;
    /// Returns the names with which jobs of `queue`, an element of `queues`, may be recorded.
    [[nodiscard]] std::vector<QueueName> jobNamesOf(const Queue &queue) const;

    /// Adds the customers of `previous` that this version lacks and for which `hasOpenJobs` returns
    /// true, as removed ones.
    void keepCustomersOf(
        const Catalog &previous, const std::function<bool(const CustomerName &)> &hasOpenJobs);
    /// Puts `next` in force. Queues that it lacks become removed queues; those removed before are
    /// dropped unless `hasJobs`. Returns the names to replace in the recorded jobs.
    std::vector<QueueRenaming> replaceWith(
        Catalog next, const std::function<bool(const QueueName &)> &hasJobs);
};

/// Puts a catalog in force unless the current version is the same or higher.
struct InstallCatalog
{
    static constexpr const char *kind = "install_catalog";
    Catalog catalog;
};

} // namespace crocusmill
