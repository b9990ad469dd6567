/// Submission, status and counting of graph jobs.

#include "src/services/graphcallhandler.h"

#include "src/net/clock.h"
#include "src/net/log.h"

namespace crocusmill
{

namespace
{

/// The platform's ids have 16 digits.
constexpr std::size_t maxIdBytes = 64;
/// Each open task takes some 200 bytes in every replica.
constexpr std::uint64_t maxOpenTasks = 300'000;
constexpr Milliseconds fullRecordInterval {1'000}; // between log records about one queue

} // namespace

GraphCallHandler::GraphCallHandler(Journal &journal, std::function<void()> onChange)
    : journal_(journal)
    , onChange_(std::move(onChange))
    , fullRecords_(fullRecordInterval)
    , shareRecords_(fullRecordInterval)
    , cancelRecords_(fullRecordInterval)
{
}

GraphReply GraphCallHandler::replyWith(GraphOutcome outcome)
{
    GraphReply reply;
    reply.outcome = outcome;
    return reply;
}

void GraphCallHandler::limitEarlyCancels(std::uint64_t maxEarlyCancels)
{
    maxEarlyCancels_ = maxEarlyCancels;
}

void GraphCallHandler::onPendingJobsTold(
    std::function<void(const QueueName &, std::uint64_t)> observer)
{
    onPendingJobsTold_ = std::move(observer);
}

void GraphCallHandler::onSpareRoomAsked(std::function<bool(const ServiceName &)> hasSpareRoom)
{
    hasSpareRoom_ = std::move(hasSpareRoom);
}

void GraphCallHandler::updateCustomers()
{
    const Catalog &catalog = journal_.state().catalog();
    if (catalog.version != customersVersion_) {
        customersVersion_ = catalog.version;
        customers_ = CustomerDirectory {catalog.customers};
        shares_.forgetIdle(monotonicNow());
    }
}

void GraphCallHandler::handle(const GraphCall &call, const ReplyHandler &done)
{
    const Catalog &catalog = journal_.state().catalog();
    if (catalog.version == DocumentVersion {}) {
        done(Reply {replyWith(GraphOutcome::NoCatalog)});
        return;
    }
    const Queue *queue = findQueue(call.host, call.path);
    if (queue == nullptr) {
        logInfo("queue.unknown",
            {{"host", call.host}, {"path", call.path}, {"catalog", catalog.version.value()}});
        done(Reply {replyWith(GraphOutcome::NoQueue)});
        return;
    }
    updateCustomers();
    const Customer *customer = call.key ? customers_.findByKey(*call.key) : nullptr;
    if (lacksKey(*queue, customer, customers_)) {
        done(Reply {replyWith(GraphOutcome::UnknownKey)});
        return;
    }
    const Request request {*queue, GraphId {call.path.substr(queue->prefix.size())}, customer};
    switch (call.action) {
    case GraphAction::Submit:
        submit(call, request, done);
        return;
    case GraphAction::Show:
        show(request, done);
        return;
    case GraphAction::Cancel:
        cancel(request, done);
        return;
    }
}

const Queue *GraphCallHandler::findQueue(const std::string &host, const std::string &path) const
{
    const StateMachine &state = journal_.state();
    const Catalog &catalog = state.catalog();
    for (const Queue *queue : catalog.findAll(host, path)) {
        const Graph *graph = state.graphs().find(GraphId {path.substr(queue->prefix.size())});
        if (graph != nullptr && catalog.queueOfJobs(graph->spec.queue) == queue) {
            return queue;
        }
    }
    return catalog.find(host, path);
}

bool GraphCallHandler::lacksKey(
    const Queue &queue, const Customer *customer, const CustomerDirectory &customers)
{
    return customer == nullptr && !customers.isEmpty() && !queue.isPublic;
}

bool GraphCallHandler::isValid(const GraphId &id)
{
    return !id.value().empty() && id.value().size() <= maxIdBytes;
}

bool GraphCallHandler::isFullFor(const GraphSpec &spec) const
{
    return journal_.state().graphs().openTaskCount() + taskCountOf(spec) > maxOpenTasks;
}

void GraphCallHandler::setTerms(GraphSpec &spec, const Request &request)
{
    const Queue &queue = request.queue;
    spec.id = request.id;
    spec.queue = queue.name;
    spec.service = queue.service;
    spec.priority = queue.priority;
    spec.attempts = queue.attempts;
    spec.slackFactor = queue.slackFactor;
    spec.aim = queue.aim;
    if (request.customer != nullptr) {
        spec.customer = request.customer->name;
    }
}

void GraphCallHandler::submit(
    const GraphCall &call, const Request &request, const ReplyHandler &done)
{
    const GraphId &id = request.id;
    const Queue &queue = request.queue;
    if (isCancelledEarly(id)) {
        logInfo("job.submitted_after_cancel", {{"job", id.value()}});
        done(Reply {replyWith(GraphOutcome::NoJob)});
        return;
    }
    if (isIdOfOther(request)) {
        logInfo("job.id_in_use", {{"job", id.value()}, {"queue", queue.name.value()}});
        done(Reply {replyWith(GraphOutcome::InvalidId)});
        return;
    }
    if (journal_.state().graphs().find(id) != nullptr) {
        logInfo("job.submitted_again", {{"job", id.value()}});
        done(Reply {replyWith(GraphOutcome::Done)});
        return;
    }
    if (!isValid(id)) {
        done(Reply {replyWith(GraphOutcome::InvalidId)});
        return;
    }
    if (call.spec && isFullFor(*call.spec)) {
        logFull(queue, journal_.state().graphs().openTaskCount());
        GraphReply refusal = replyWith(GraphOutcome::Refused);
        refusal.retryAfter = fullRetryAfter;
        done(Reply {refusal});
        return;
    }
    if (const std::optional<Milliseconds> retryAfter = refusalOf(request)) {
        GraphReply refusal = replyWith(GraphOutcome::Refused);
        std::uniform_int_distribution<std::int64_t> jitter {0, retryAfter->count()};
        refusal.retryAfter = *retryAfter + Milliseconds {jitter(random_)};
        logBeyondShare(request.customer->name, refusal.retryAfter);
        done(Reply {refusal});
        return;
    }
    SubmitGraph command;
    command.spec = call.spec.value_or(GraphSpec {});
    setTerms(command.spec, request);
    if (request.customer != nullptr) {
        command.spec.isBeyondShare = !shares_.add(*request.customer, monotonicNow());
    }
    command.at = wallTimeNow();
    journal_.propose(command,
        [this, id, done, name = queue.name, customer = command.spec.customer,
            isBeyondShare = command.spec.isBeyondShare](const Result<ApplyReply> &reply) {
            if (!reply) {
                done(reply.error());
                return;
            }
            if (isCancelledEarly(id)) { // the cancel was recorded meanwhile
                logInfo("job.submitted_after_cancel", {{"job", id.value()}});
                done(Reply {replyWith(GraphOutcome::NoJob)});
                return;
            }
            logInfo("job.accepted",
                {{"job", id.value()}, {"queue", name.value()}, {"again", reply.value().repeated},
                    {"customer", customer.value()}, {"beyond_share", isBeyondShare}});
            onChange_();
            done(Reply {replyWith(GraphOutcome::Done)});
        });
}

std::optional<Milliseconds> GraphCallHandler::refusalOf(const Request &request) const
{
    if (request.customer == nullptr || !hasSpareRoom_ || hasSpareRoom_(request.queue.service)) {
        return std::nullopt;
    }
    const Milliseconds wait = shares_.timeUntilWithin(*request.customer, monotonicNow());
    return wait == Milliseconds {0} ? std::nullopt : std::optional<Milliseconds> {wait};
}

void GraphCallHandler::logFull(const Queue &queue, std::uint64_t openTaskCount)
{
    const std::optional<std::uint64_t> leftOut =
        fullRecords_.admit(queue.name.value(), monotonicNow());
    if (leftOut) {
        logWarning("job.refused_full",
            {{"queue", queue.name.value()}, {"open_tasks", openTaskCount}, {"left_out", *leftOut}});
    }
}

void GraphCallHandler::logBeyondShare(const CustomerName &customer, Milliseconds retryAfter)
{
    const std::optional<std::uint64_t> leftOut =
        shareRecords_.admit(customer.value(), monotonicNow());
    if (leftOut) {
        logInfo("job.refused_beyond_share",
            {{"customer", customer.value()},
                {"retry_ms", static_cast<std::uint64_t>(retryAfter.count())},
                {"left_out", *leftOut}});
    }
}

const Graph *GraphCallHandler::find(const Request &request) const
{
    const Graph *graph = journal_.state().graphs().find(request.id);
    if (graph == nullptr) {
        return nullptr;
    }
    const bool isOfQueue = graph->spec.queue == request.queue.name
        || journal_.state().catalog().queueOfJobs(graph->spec.queue) == &request.queue;
    // A customer may come back under another name, so jobs of one that is gone belong to whoever
    // knows their ids.
    const Customer *owner = customers_.find(graph->spec.customer);
    const bool isOwner =
        owner != nullptr && request.customer != nullptr && request.customer->name == owner->name;
    const bool isOfOther = owner != nullptr && !owner->isRemoved && !isOwner;
    return isOfQueue && !isOfOther ? graph : nullptr;
}

void GraphCallHandler::show(const Request &request, const ReplyHandler &done)
{
    GraphReply reply;
    if (request.id.value().empty()) {
        reply.pending = pendingJobCount(request.queue);
        if (onPendingJobsTold_) {
            onPendingJobsTold_(request.queue.name, *reply.pending);
        }
        done(Reply {reply});
        return;
    }
    const Graph *graph = find(request);
    if (graph == nullptr) {
        const Graph *other = journal_.state().graphs().find(request.id);
        logInfo("job.unknown",
            {{"job", request.id.value()}, {"queue", request.queue.name.value()},
                {"recorded_queue", other == nullptr ? "" : other->spec.queue.value()},
                {"recorded_customer", other == nullptr ? "" : other->spec.customer.value()},
                {"applied", journal_.consensus()->appliedIndex().value()}});
        done(Reply {replyWith(GraphOutcome::NoJob)});
        return;
    }
    reply.state = graph->state;
    reply.started = graph->started;
    done(Reply {reply});
}

/// A job whose queue is not known any more may be that of the request.
bool GraphCallHandler::isIdOfOther(const Request &request) const
{
    const Graph *graph = journal_.state().graphs().find(request.id);
    return graph != nullptr && find(request) == nullptr
        && journal_.state().catalog().queueOfJobs(graph->spec.queue) != nullptr;
}

std::uint64_t GraphCallHandler::pendingJobCount(const Queue &queue) const
{
    const std::map<QueueName, std::set<GraphId>> &unstarted =
        journal_.state().graphs().unstartedGraphs();
    std::uint64_t count = 0;
    for (const QueueName &name : journal_.state().catalog().jobNamesOf(queue)) {
        const auto found = unstarted.find(name);
        count += found == unstarted.end() ? 0 : found->second.size();
    }
    return count;
}

void GraphCallHandler::handle(const CatalogCall &call, const ReplyHandler &done)
{
    if (!call.install) {
        const Catalog &catalog = journal_.state().catalog();
        done(Reply {CatalogReply {catalog.version, catalog.source}});
        return;
    }
    const DocumentVersion version = call.install->version;
    journal_.propose(
        InstallCatalog {*call.install}, [this, version, done](const Result<ApplyReply> &reply) {
            if (!reply) {
                done(reply.error());
                return;
            }
            const DocumentVersion inForce = journal_.state().catalog().version;
            const std::size_t removed = journal_.state().catalog().removedQueues.size();
            logInfo("catalog.installed",
                {{"version", version.value()}, {"in_force", inForce.value()},
                    {"changed", !reply.value().repeated},
                    {"removed_queues", std::uint64_t {removed}}});
            done(Reply {CatalogReply {inForce, {}}});
        });
}

} // namespace crocusmill
