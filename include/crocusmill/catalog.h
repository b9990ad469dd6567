/// Queues that accept jobs, as configured by operators.

#pragma once

#include <crocusmill/ids.h>
#include <crocusmill/taskgraph.h>

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
};

struct Catalog
{
    DocumentVersion version; // zero: none in force yet
    std::vector<Queue> queues;
    /// Document as sent by the operator, returned to operators that read it.
    std::string source;

    /// Returns the queue of `host` with the longest prefix of `path`, or null.
    [[nodiscard]] const Queue *find(std::string_view host, std::string_view path) const;
    [[nodiscard]] const Queue *find(const QueueName &name) const;
};

/// Puts a catalog in force unless the current version is the same or higher.
struct InstallCatalog
{
    static constexpr const char *kind = "install_catalog";
    Catalog catalog;
};

} // namespace crocusmill
