/// Handles calls about queues and graph jobs on the leader.

#pragma once

#include "src/net/loglimiter.h"
#include "src/services/interfaces.h"

#include <functional>

namespace crocusmill
{

class GraphCallHandler
{
public:
    /// `onChange` is called when jobs have changed and a scheduling round is due.
    GraphCallHandler(Journal &journal, std::function<void()> onChange);

    /// Sets the observer of the counts of pending jobs that clients are told.
    void onPendingJobsTold(std::function<void(const QueueName &, std::uint64_t)> observer);

    void handle(const GraphCall &call, const ReplyHandler &done);
    void handle(const CatalogCall &call, const ReplyHandler &done);

private:
    void submit(
        const GraphCall &call, const Queue &queue, const GraphId &id, const ReplyHandler &done);
    void show(const Queue &queue, const GraphId &id, const ReplyHandler &done);
    void cancel(const Queue &queue, const GraphId &id, const ReplyHandler &done);
    void logFull(const Queue &queue, std::uint64_t openTaskCount);
    [[nodiscard]] std::uint64_t pendingJobCount(const Queue &queue) const;
    /// Returns the job if it was accepted at the host and prefix of the queue.
    [[nodiscard]] const Graph *find(const Queue &queue, const GraphId &id) const;

    Journal &journal_;
    std::function<void()> onChange_;
    LogLimiter fullRecords_; // by queue
    std::function<void(const QueueName &, std::uint64_t)> onPendingJobsTold_; // may be empty
};

} // namespace crocusmill
