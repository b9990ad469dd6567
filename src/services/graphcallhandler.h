/// Handles calls about queues and graph jobs on the leader.

#pragma once

#include "src/net/loglimiter.h"
#include "src/services/interfaces.h"

#include <crocusmill/customershares.h>
#include <crocusmill/placementreport.h>
#include <crocusmill/settings.h>

#include <functional>
#include <random>

namespace crocusmill
{

/// What a request that was not sent would be recorded as.
struct JudgedRequest
{
    RequestRefusal refusal = RequestRefusal::None;
    Milliseconds retryAfter {0}; // at least; only with BeyondShare
    GraphSpec spec; // with the terms of its queue, if there is one
};

class GraphCallHandler
{
public:
    /// `onChange` is called when jobs have changed and a scheduling round is due.
    GraphCallHandler(Journal &journal, std::function<void()> onChange);

    /// Sets the number of cancels that may be recorded for jobs that were not submitted yet.
    void limitEarlyCancels(std::uint64_t maxEarlyCancels);

    /// Sets what tells whether jobs beyond a customer's share find room that nobody else needs.
    void onSpareRoomAsked(std::function<bool(const ServiceName &)> hasSpareRoom);
    /// Sets the observer of the counts of pending jobs that clients are told.
    void onPendingJobsTold(std::function<void(const QueueName &, std::uint64_t)> observer);

    void handle(const GraphCall &call, const ReplyHandler &done);
    void handle(const CatalogCall &call, const ReplyHandler &done);

    /// Returns what a submission of the request in question would lead to. Records nothing.
    [[nodiscard]] JudgedRequest judge(const PlacementQuestion &question) const;

private:
    /// A call on a queue, from a customer with a known key or on a queue that needs none.
    struct Request
    {
        const Queue &queue;
        GraphId id;
        const Customer *customer = nullptr;
    };

    /// A call that is refused for a limit may succeed once other jobs have ended or been forgotten.
    static constexpr Milliseconds fullRetryAfter {2'000};

    [[nodiscard]] static GraphReply replyWith(GraphOutcome outcome);
    void updateCustomers();
    /// Returns the queue of the recorded job at this host and path. Its route may have been
    /// removed, or a later one with a longer prefix may match the path too. If no such job is
    /// recorded, returns the queue in force with the longest prefix, or null.
    [[nodiscard]] const Queue *findQueue(const std::string &host, const std::string &path) const;
    /// Returns whether a call with the key of `customer`, null for an unknown one, is refused.
    [[nodiscard]] static bool lacksKey(
        const Queue &queue, const Customer *customer, const CustomerDirectory &customers);
    [[nodiscard]] static bool isValid(const GraphId &id);
    /// Returns whether the job would exceed the limit of open tasks.
    [[nodiscard]] bool isFullFor(const GraphSpec &spec) const;
    /// Sets what a job takes from its queue and customer.
    static void setTerms(GraphSpec &spec, const Request &request);
    void submit(const GraphCall &call, const Request &request, const ReplyHandler &done);
    /// Returns the time after which a job beyond its customer's share may be submitted again, if
    /// there is no room for it now.
    [[nodiscard]] std::optional<Milliseconds> refusalOf(const Request &request) const;
    void show(const Request &request, const ReplyHandler &done);
    void cancel(const Request &request, const ReplyHandler &done);
    /// Answers a cancel that has been recorded.
    void onCancelled(const GraphId &id, const ReplyHandler &done);
    void refuseEarlyCancel(const Request &request, const ReplyHandler &done);
    /// Returns whether a job of another queue or customer has the id.
    [[nodiscard]] bool isIdOfOther(const Request &request) const;
    /// Returns whether the job was cancelled before its submission arrived.
    [[nodiscard]] bool isCancelledEarly(const GraphId &id) const;
    void logBeyondShare(const CustomerName &customer, Milliseconds retryAfter);
    void logFull(const Queue &queue, std::uint64_t openTaskCount);
    [[nodiscard]] std::uint64_t pendingJobCount(const Queue &queue) const;
    /// Returns the job if it was accepted at the host and prefix of the queue, from this customer.
    [[nodiscard]] const Graph *find(const Request &request) const;

    Journal &journal_;
    std::function<void()> onChange_;
    std::uint64_t maxEarlyCancels_ = StateSettings {}.maxEarlyCancels;
    LogLimiter fullRecords_; // by queue
    LogLimiter shareRecords_; // by customer
    LogLimiter cancelRecords_; // by queue
    CustomerDirectory customers_;
    DocumentVersion customersVersion_; // of the catalog that customers_ reflects
    CustomerShares shares_;
    std::function<bool(const ServiceName &)> hasSpareRoom_; // may be empty
    std::minstd_rand random_ {std::random_device {}()};
    std::function<void(const QueueName &, std::uint64_t)> onPendingJobsTold_; // may be empty
};

} // namespace crocusmill
