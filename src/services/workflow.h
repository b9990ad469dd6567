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
struct FlowParts
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
    LogIndex seen; // by this entry, when the request arrived
    MonotonicTime deadline;
    WallTime wallDeadline;
};

class Flow
{
public:
    Flow(FlowParts &parts, Forwarder &forwarder, FlowRequest request);

    /// Repeatable work that needs no record; given up when the caller hangs up while it waits.
    [[nodiscard]] asio::awaitable<HttpResponse> runUnrecorded(
        const std::shared_ptr<CallerWatch> &watch);
    /// Work whose steps are recorded; it goes on when the caller hangs up.
    [[nodiscard]] asio::awaitable<HttpResponse> runRecorded();

    /// Records the work, or finds what the key belongs to. Nothing when the answer is in `refusal`.
    struct Admitted
    {
        WorkId work;
        bool isNew = true;
    };
    [[nodiscard]] asio::awaitable<std::optional<Admitted>> admit(
        bool keepRequest, HttpResponse &refusal);
    /// Carries admitted work to its end.
    [[nodiscard]] asio::awaitable<HttpResponse> carryOn(WorkId work);
    /// Waits for the end of work that another flow carries.
    [[nodiscard]] asio::awaitable<HttpResponse> follow(WorkId work, MonotonicTime until);

    /// Sets the headers by which the caller can ask again.
    void identify(HttpResponse &response, const WorkId &work) const;

private:
    /// What is known about all attempts so far, taken together.
    struct Tally
    {
        bool allProvedNotRun = true;
        std::vector<UpstreamId> failed;
    };

    [[nodiscard]] WaitingRequest makeWaiting(const Tally &tally);
    [[nodiscard]] asio::awaitable<DispatchResult> acquire(
        const Tally &tally, const std::shared_ptr<CallerWatch> &watch);
    [[nodiscard]] asio::awaitable<ForwardOutcome> send(const Dispatch &dispatch, bool fresh);
    [[nodiscard]] asio::awaitable<bool> mayRetry();
    [[nodiscard]] HttpRequest makeRequest(const Dispatch &dispatch, const SpanId &span) const;
    void release(const Dispatch &dispatch, AttemptOutcome verdict, Milliseconds ran, bool left);

    [[nodiscard]] asio::awaitable<Result<ApplyReply>> propose(Command command);
    [[nodiscard]] asio::awaitable<bool> recordStart(const WorkId &work, const Dispatch &dispatch);
    [[nodiscard]] asio::awaitable<Execution> giveUp(
        const WorkId &work, std::optional<AttemptId> unsent);
    [[nodiscard]] asio::awaitable<HttpResponse> endUnanswered(
        const WorkId &work, const Refusal &refusal);
    /// Asks until the journal knows how the attempt ended, or the deadline passes.
    [[nodiscard]] asio::awaitable<std::optional<Work>> settle(
        const WorkId &work, const AttemptId &attempt);
    [[nodiscard]] asio::awaitable<std::optional<Work>> query(
        const WorkId &work, std::optional<AttemptId> settle);
    [[nodiscard]] asio::awaitable<void> pause(Milliseconds time);

    [[nodiscard]] HttpResponse answer(HttpResponse response, const WorkId &work);
    [[nodiscard]] HttpResponse storedAnswer(const Work &work);
    [[nodiscard]] HttpResponse refused(
        const Refusal &refusal, Execution execution, const WorkId &work);
    [[nodiscard]] HttpResponse failed(http::status status, const std::string &type,
        const std::string &detail, Execution execution, const WorkId &work);
    void countOutcome(const std::string &outcome);

    FlowParts &parts_;
    Forwarder &forwarder_;
    FlowRequest request_;
    ServiceKey service_;
};

[[nodiscard]] std::string_view text(Execution execution);

/// Answer of ended work, or what is known of it.
[[nodiscard]] HttpResponse describeWork(const Work &work);

} // namespace crocusmill
