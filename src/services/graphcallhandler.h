/// Answers calls about queues and jobs that are graphs, on the leader.

#pragma once

#include "src/services/interfaces.h"

#include <functional>
#include <map>
#include <optional>

namespace crocusmill
{

class GraphCallHandler
{
public:
    /// `changed` is told when there is something new to decide.
    GraphCallHandler(Journal &journal, std::function<void()> onChange);

    void handle(const GraphCall &call, const ReplyHandler &done);
    void handle(const CatalogCall &call, const ReplyHandler &done);

private:
    void submit(
        const GraphCall &call, const Queue &queue, const GraphId &id, const ReplyHandler &done);
    void show(const Queue &queue, const GraphId &id, const ReplyHandler &done);
    void cancel(const Queue &queue, const GraphId &id, const ReplyHandler &done);
    [[nodiscard]] std::uint64_t pendingJobCount(const QueueName &queue);
    [[nodiscard]] const Graph *find(const Queue &queue, const GraphId &id) const;

    /// Jobs of each queue that have not started.
    struct PendingCounts
    {
        Term term; // a VM that leads again may have missed much
        MonotonicTime countedAt;
        std::map<QueueName, std::uint64_t> jobs;
    };

    Journal &journal_;
    std::optional<PendingCounts> pendingCounts_;
    std::function<void()> onChange_;
};

} // namespace crocusmill
