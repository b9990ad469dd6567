/// The path of one request: admission, journal, slot, upstream, response.
///
/// Runs as coroutines on a traffic thread. The control thread makes all decisions.

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

/// Services and settings shared by the flows of all requests.
struct FlowContext
{
    asio::io_context &control;
    Entry &entry;
    LeaderClient &client;
    Metrics &metrics;
    Tracer &tracer;
    EntrySettings settings;
};

/// A request with its route and environment.
struct FlowRequest
{
    std::shared_ptr<const RouteTable::Environment> environment;
    Route route;
    StoredRequest request;
    TeamName team;
    std::optional<IdempotencyKey> key;
    TraceContext trace;
    SpanId span; // of the caller's hop
    LogIndex appliedIndex; // newest one known to this entry when the request arrived
    MonotonicTime deadline;
    WallTime wallDeadline;
};

class Flow
{
public:
    Flow(FlowContext &context, Forwarder &forwarder, FlowRequest request);

    /// Runs repeatable work that needs no record. Cancels it if the caller hangs up while it waits
    /// for a slot.
    [[nodiscard]] asio::awaitable<HttpResponse> runUnrecorded(
        const std::shared_ptr<CallerWatch> &watch);
    /// Runs work whose steps are recorded. It continues if the caller hangs up.
    [[nodiscard]] asio::awaitable<HttpResponse> runRecorded();

    /// `isNew` is false if the idempotency key belongs to work that was admitted earlier.
    struct AdmissionResult
    {
        WorkId work;
        bool isNew = true;
    };
    /// Records the work, or finds the work of the same key. Returns std::nullopt on failure; the
    /// response is then in `refusal`.
    [[nodiscard]] asio::awaitable<std::optional<AdmissionResult>> admit(
        bool keepRequest, HttpResponse &refusal);
    /// Runs admitted work until it is answered or abandoned.
    [[nodiscard]] asio::awaitable<HttpResponse> executeAdmitted(WorkId work);
    /// Waits for the end of work that another flow executes.
    [[nodiscard]] asio::awaitable<HttpResponse> awaitCompletion(
        WorkId work, MonotonicTime deadline);

    /// Sets the work id, idempotency key and trace headers of the response.
    void setIdentityHeaders(HttpResponse &response, const WorkId &work) const;

private:
    /// Summary of all attempts so far.
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
    /// Polls until the journal has the end of the attempt or the deadline passes.
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

/// Returns the stored answer of ended work, or a problem document if there is none.
[[nodiscard]] HttpResponse describeWork(const Work &work);

} // namespace crocusmill
