/// Answers calls about queues and jobs that are graphs, on the leader.

#pragma once

#include "src/services/interfaces.h"

#include <functional>
#include <map>
#include <optional>

namespace crocusmill
{

class GraphDesk
{
public:
    /// `changed` is told when there is something new to decide.
    GraphDesk(Journal &journal, std::function<void()> changed);

    void handle(const GraphCall &call, const ReplyHandler &done);
    void handle(const CatalogCall &call, const ReplyHandler &done);

private:
    void submit(
        const GraphCall &call, const Queue &queue, const GraphId &id, const ReplyHandler &done);
    void show(const Queue &queue, const GraphId &id, const ReplyHandler &done);
    void cancel(const Queue &queue, const GraphId &id, const ReplyHandler &done);
    [[nodiscard]] std::uint64_t pending(const QueueName &queue);
    [[nodiscard]] const Graph *find(const Queue &queue, const GraphId &id) const;

    /// Jobs of each queue that have not started.
    struct Pending
    {
        Term term; // a VM that leads again may have missed much
        MonotonicTime countedAt;
        std::map<QueueName, std::uint64_t> jobs;
    };

    Journal &journal_;
    std::optional<Pending> pending_;
    std::function<void()> changed_;
};

} // namespace crocusmill
