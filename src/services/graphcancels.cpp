/// Cancels of jobs, also of those whose submission has not arrived yet.

#include "src/net/clock.h"
#include "src/net/log.h"
#include "src/services/graphcallhandler.h"

namespace crocusmill
{

namespace
{

std::string_view text(GraphState state)
{
    switch (state) {
    case GraphState::Open:
        return "open";
    case GraphState::Succeeded:
        return "succeeded";
    case GraphState::Failed:
        return "failed";
    case GraphState::Cancelled:
        return "cancelled";
    }
    return "unknown";
}

} // namespace

bool GraphCallHandler::isCancelledEarly(const GraphId &id) const
{
    const Graph *graph = journal_.state().graphs().find(id);
    return graph != nullptr && !graph->isSubmitted();
}

/// The cancel of an unknown job is recorded as well: its submission may still be on the way, held
/// up by an entry or a connection, and its client no longer wants the job.
void GraphCallHandler::cancel(const Request &request, const ReplyHandler &done)
{
    if (find(request) == nullptr) {
        const GraphRegistry &graphs = journal_.state().graphs();
        // Of another queue or customer, or cancelled early before.
        const bool isRecorded = graphs.find(request.id) != nullptr;
        if (isRecorded || !isValid(request.id)) {
            done(Reply {replyWith(GraphOutcome::NoJob)});
            return;
        }
        if (graphs.earlyCancelCount() >= maxEarlyCancels_) {
            refuseEarlyCancel(request, done);
            return;
        }
    }
    journal_.propose(CancelGraph {request.id, wallTimeNow()},
        [this, id = request.id, done](const Result<ApplyReply> &reply) {
            if (!reply) {
                done(reply.error());
                return;
            }
            onCancelled(id, done);
        });
}

void GraphCallHandler::onCancelled(const GraphId &id, const ReplyHandler &done)
{
    if (isCancelledEarly(id)) {
        logInfo("job.cancelled_early", {{"job", id.value()}});
        done(Reply {replyWith(GraphOutcome::NoJob)});
        return;
    }
    const Graph *graph = journal_.state().graphs().find(id);
    logInfo("job.cancelled",
        {{"job", id.value()}, {"state", graph == nullptr ? "unknown" : text(graph->state)}});
    onChange_();
    done(Reply {replyWith(GraphOutcome::Done)});
}

void GraphCallHandler::refuseEarlyCancel(const Request &request, const ReplyHandler &done)
{
    const QueueName &queue = request.queue.name;
    const std::optional<std::uint64_t> leftOut =
        cancelRecords_.admit(queue.value(), monotonicNow());
    if (leftOut) {
        logWarning("job.cancel_refused",
            {{"queue", queue.value()}, {"early_cancels", maxEarlyCancels_},
                {"left_out", *leftOut}});
    }
    GraphReply refusal = replyWith(GraphOutcome::Refused);
    refusal.retryAfter = fullRetryAfter;
    done(Reply {refusal});
}

} // namespace crocusmill
