/// The queues that jobs are handed to, as operators have them in force.

#pragma once

#include <crocusmill/ids.h>
#include <crocusmill/taskgraph.h>

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace crocusmill
{

/// A queue whose steps need a ticket for each worker.
struct TicketTiming
{
    Milliseconds decision {0}; // time of one call
    Microseconds perWorker {0}; // and more for each worker named
    Milliseconds validity {0};
};

struct Queue
{
    QueueName name;
    std::string host;
    std::string prefix; // of paths
    ServiceName service; // whose workers run the tasks
    std::uint32_t priority = 0; // lower goes first
    std::uint32_t attempts = 1;
    double slackFactor = 1;
    Milliseconds aim {0};
    Milliseconds timeout {0}; // of one request
    std::optional<TicketTiming> tickets;
};

struct Catalog
{
    DocumentVersion version; // zero: none in force yet
    std::vector<Queue> queues;
    /// The document as the operator sent it, for reading it back.
    std::string source;

    /// The queue with the longest prefix that `path` begins with; null when there is none.
    [[nodiscard]] const Queue *find(std::string_view host, std::string_view path) const;
    [[nodiscard]] const Queue *find(const QueueName &name) const;
};

/// Puts a catalog in force unless the version in force is the same or higher.
struct InstallCatalog
{
    static constexpr const char *kind = "install_catalog";
    Catalog catalog;
};

} // namespace crocusmill
