/// The leader's answers to questions about placements.

#include "src/net/clock.h"
#include "src/services/dispatchcallhandler.h"
#include "src/wire/json.h"

namespace crocusmill
{

/// Makes the checks of handle() and submit(), in the same order.
JudgedRequest GraphCallHandler::judge(const PlacementQuestion &question) const
{
    JudgedRequest judged;
    judged.spec = question.spec;
    const Catalog &catalog = journal_.state().catalog();
    if (catalog.version == DocumentVersion {}) {
        judged.refusal = RequestRefusal::NoCatalog;
        return judged;
    }
    const Queue *queue = findQueue(question.host, question.path);
    if (queue == nullptr) {
        judged.refusal = RequestRefusal::NoQueue;
        return judged;
    }
    const CustomerDirectory customers {catalog.customers};
    const Customer *customer = customers.find(question.customer);
    if (customer != nullptr && customer->isRemoved) {
        customer = nullptr; // it has no key any more
    }
    const Request request {*queue, GraphId {question.path.substr(queue->prefix.size())}, customer};
    setTerms(judged.spec, request);
    if (lacksKey(*queue, customer, customers)) {
        judged.refusal = RequestRefusal::UnknownCustomer;
    } else if (isCancelledEarly(request.id)) {
        judged.refusal = RequestRefusal::CancelledEarly;
    } else if (isIdOfOther(request) || !isValid(request.id)) {
        judged.refusal = RequestRefusal::InvalidId;
    } else if (journal_.state().graphs().find(request.id) != nullptr) {
        judged.refusal = RequestRefusal::None;
    } else if (isFullFor(judged.spec)) {
        judged.refusal = RequestRefusal::TooManyOpenTasks;
    } else if (const std::optional<Milliseconds> retryAfter = refusalOf(request)) {
        judged.refusal = RequestRefusal::BeyondShare;
        judged.retryAfter = *retryAfter;
    } else if (customer != nullptr) {
        judged.spec.isBeyondShare =
            shares_.timeUntilWithin(*customer, monotonicNow()) > Milliseconds {0};
    }
    return judged;
}

void DispatchCallHandler::explain(const std::string &question, const ReplyHandler &done) const
{
    const Checked<PlacementQuestion> checked = parsePlacementQuestion(question);
    const PlacementQuestion *asked = std::get_if<PlacementQuestion>(&checked);
    if (asked == nullptr) {
        done(CodecError::Malformed);
        return;
    }
    const WallTime wall = wallTimeNow();
    PlacementReport report;
    report.job = asked->job;
    GraphRegistry unsent; // holds the request as if it had been recorded
    if (asked->job.value().empty()) {
        const JudgedRequest judged = graphs_.judge(*asked);
        report.job = judged.spec.id;
        report.queue = judged.spec.queue;
        report.service = judged.spec.service;
        report.customer = judged.spec.customer;
        report.refusal = judged.refusal;
        report.retryAfter = judged.retryAfter;
        if (judged.refusal != RequestRefusal::None) {
            done(Reply {OperatorReply {true, encodeReport(report)}});
            return;
        }
        static_cast<void>(unsent.submit(SubmitGraph {judged.spec, wall}));
    }
    const Graph *recorded = journal_.state().graphs().find(report.job);
    const Graph *graph = recorded == nullptr ? unsent.find(report.job) : recorded;
    if (graph == nullptr) {
        done(Reply {OperatorReply {false, {}}});
        return;
    }
    const Queue *queue = journal_.state().catalog().queueOfJobs(graph->spec.queue);
    report.isRecorded = recorded != nullptr;
    report.queue = graph->spec.queue;
    report.service = graph->spec.service;
    report.customer = graph->spec.customer;
    report.state = graph->state;
    report.needsTickets = queue != nullptr && queue->tickets;
    if (dispatcher_) {
        report.placement = dispatcher_->explain(*graph, monotonicNow(), wall);
    }
    done(Reply {OperatorReply {true, encodeReport(report)}});
}

} // namespace crocusmill
