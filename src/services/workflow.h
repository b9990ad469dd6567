/// The path of one request: admission, journal, slot, upstream, answer.
///
/// Runs as coroutines on a traffic thread and asks the control thread for every decision.

#pragma once

#include "src/net/controlloop.h"
#include "src/net/forwarder.h"
#include "src/net/metrics.h"
#include "src/net/tracing.h"
#include "src/services/interfaces.h"

#include <crocusmill/settings.h>

#include <memory>
#include <optional>
#include <string>

namespace crocusmill
{

/// What the flows of all requests share.
struct FlowContext
{
    asio::io_context &control;
    Entry &entry;
    LeaderClient &client;
    Metrics &metrics;
    Tracer &tracer;
    EntrySettings settings;
};

/// A request with what its environment's document says about it.
struct FlowRequest
{
    std::shared_ptr<const RouteTable::Environment> environment;
    Route route;
    StoredRequest request;
    TeamName team;
    std::optional<IdempotencyKey> key;
    TraceContext trace;
    SpanId span; // of the caller's hop
    LogIndex appliedIndex; // by this entry, when the request arrived
    MonotonicTime deadline;
    WallTime wallDeadline;
};

class Flow
{
public:
    Flow(FlowContext &context, Forwarder &forwarder, FlowRequest request);

    /// Repeatable work that needs no record; given up when the caller hangs up while it waits.
    [[nodiscard]] asio::awaitable<HttpResponse> runUnrecorded(
        const std::shared_ptr<CallerWatch> &watch);
    /// Work whose steps are recorded; it goes on when the caller hangs up.
    [[nodiscard]] asio::awaitable<HttpResponse> runRecorded();

    /// Records the work, or finds what the key belongs to. Nothing when the answer is in `refusal`.
    struct AdmissionResult
    {
        WorkId work;
        bool isNew = true;
    };
    [[nodiscard]] asio::awaitable<std::optional<AdmissionResult>> admit(
        bool keepRequest, HttpResponse &refusal);
    /// Carries admitted work to its end.
    [[nodiscard]] asio::awaitable<HttpResponse> executeAdmitted(WorkId work);
    /// Waits for the end of work that another flow carries.
    [[nodiscard]] asio::awaitable<HttpResponse> awaitCompletion(
        WorkId work, MonotonicTime deadline);

    /// Sets the headers by which the caller can ask again.
    void setIdentityHeaders(HttpResponse &response, const WorkId &work) const;

private:
    /// What is known about all attempts so far, taken together.
    struct AttemptHistory
    {
        bool isProvenNotRun = true;
        std::vector<UpstreamId> failedUpstreams;
    };

    [[nodiscard]] WaitingRequest makeWaitingRequest(const AttemptHistory &history);
    [[nodiscard]] asio::awaitable<DispatchResult> acquire(
        const AttemptHistory &history, const std::shared_ptr<CallerWatch> &watch);
    [[nodiscard]] asio::awaitable<ForwardOutcome> send(
        const Dispatch &dispatch, bool useFreshConnection);
    [[nodiscard]] asio::awaitable<bool> takeRetry();
    [[nodiscard]] HttpRequest makeRequest(const Dispatch &dispatch, const SpanId &span) const;
    void release(
        const Dispatch &dispatch, AttemptOutcome outcome, Milliseconds runDuration, bool hasLeft);

    [[nodiscard]] asio::awaitable<Result<ApplyReply>> propose(Command command);
    [[nodiscard]] asio::awaitable<bool> recordStart(const WorkId &work, const Dispatch &dispatch);
    [[nodiscard]] asio::awaitable<Execution> abandon(
        const WorkId &work, std::optional<AttemptId> unsent);
    [[nodiscard]] asio::awaitable<HttpResponse> abandonAndRefuse(
        const WorkId &work, const Refusal &refusal);
    /// Asks until the journal knows how the attempt ended, or the deadline passes.
    [[nodiscard]] asio::awaitable<std::optional<Work>> awaitAttemptEnd(
        const WorkId &work, const AttemptId &attempt);
    [[nodiscard]] asio::awaitable<std::optional<Work>> query(
        const WorkId &work, std::optional<AttemptId> attemptToSettle);
    [[nodiscard]] asio::awaitable<void> pause(Milliseconds time);

    [[nodiscard]] HttpResponse forwardedResponse(HttpResponse response, const WorkId &work);
    [[nodiscard]] HttpResponse storedResponse(const Work &work);
    [[nodiscard]] HttpResponse refusalResponse(
        const Refusal &refusal, Execution execution, const WorkId &work);
    [[nodiscard]] HttpResponse failureResponse(http::status status, const std::string &type,
        const std::string &detail, Execution execution, const WorkId &work);
    void countOutcome(const std::string &outcome);

    FlowContext &context_;
    Forwarder &forwarder_;
    FlowRequest request_;
    ServiceKey service_;
};

[[nodiscard]] std::string_view text(Execution execution);

/// Answer of ended work, or what is known of it.
[[nodiscard]] HttpResponse describeWork(const Work &work);

} // namespace crocusmill
