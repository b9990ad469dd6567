/// Handles calls about queues and graph jobs on the leader.

#pragma once

#include "src/net/loglimiter.h"
#include "src/services/interfaces.h"

#include <crocusmill/customershares.h>

#include <functional>
#include <random>

namespace crocusmill
{

class GraphCallHandler
{
public:
    /// `onChange` is called when jobs have changed and a scheduling round is due.
    GraphCallHandler(Journal &journal, std::function<void()> onChange);

    /// Sets the observer of the counts of pending jobs that clients are told.
    /// Sets what tells whether jobs beyond a customer's share find room that nobody else needs.
    void onSpareRoomAsked(std::function<bool(const ServiceName &)> hasSpareRoom);
    void onPendingJobsTold(std::function<void(const QueueName &, std::uint64_t)> observer);

    void handle(const GraphCall &call, const ReplyHandler &done);
    void handle(const CatalogCall &call, const ReplyHandler &done);

private:
    /// A call on a queue, from a customer with a known key or on a queue that needs none.
    struct Request
    {
        const Queue &queue;
        GraphId id;
        const Customer *customer = nullptr;
    };

    void updateCustomers();
    void submit(const GraphCall &call, const Request &request, const ReplyHandler &done);
    /// Returns the time after which a job beyond its customer's share may be submitted again, if
    /// there is no room for it now.
    [[nodiscard]] std::optional<Milliseconds> refusalOf(const Request &request) const;
    void show(const Request &request, const ReplyHandler &done);
    void cancel(const Request &request, const ReplyHandler &done);
    void logBeyondShare(const CustomerName &customer, Milliseconds retryAfter);
    void logFull(const Queue &queue, std::uint64_t openTaskCount);
    [[nodiscard]] std::uint64_t pendingJobCount(const Queue &queue) const;
    /// Returns the job if it was accepted at the host and prefix of the queue, from this customer.
    [[nodiscard]] const Graph *find(const Request &request) const;

    Journal &journal_;
    std::function<void()> onChange_;
    LogLimiter fullRecords_; // by queue
    LogLimiter shareRecords_; // by customer
    CustomerDirectory customers_;
    DocumentVersion customersVersion_; // of the catalog that customers_ reflects
    CustomerShares shares_;
    std::function<bool(const ServiceName &)> hasSpareRoom_; // may be empty
    std::minstd_rand random_ {std::random_device {}()};
    std::function<void(const QueueName &, std::uint64_t)> onPendingJobsTold_; // may be empty
};

} // namespace crocusmill
