/// Answers calls about queues and jobs that are graphs, on the leader.

#pragma once

#include "src/services/dispatcher.h"
#include "src/services/interfaces.h"

namespace crocusmill
{

class GraphDesk
{
public:
    GraphDesk(Journal &journal, const std::shared_ptr<Dispatcher> &dispatcher);

    void handle(const GraphCall &call, const ReplyHandler &done);
    void handle(const CatalogCall &call, const ReplyHandler &done);

private:
    void submit(
        const GraphCall &call, const Queue &queue, const GraphId &id, const ReplyHandler &done);
    void show(const Queue &queue, const GraphId &id, const ReplyHandler &done) const;
    void cancel(const Queue &queue, const GraphId &id, const ReplyHandler &done);
    [[nodiscard]] std::uint64_t pending(const QueueName &queue) const;
    [[nodiscard]] const Graph *find(const Queue &queue, const GraphId &id) const;

    Journal &journal_;
    // Null where this VM does not lead.
    const std::shared_ptr<Dispatcher> &dispatcher_;
};

} // namespace crocusmill
