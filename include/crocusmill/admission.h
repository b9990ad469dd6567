/// Admission control of an entry: queues requests, assigns them to upstreams and refuses them.
///
/// Each service has a queue with its own policy. Slots come from the entry's SlotPool. No I/O:
/// the caller passes in time and random seeds. Not thread-safe; owned by the control thread.

#pragma once

#include <crocusmill/document.h>
#include <crocusmill/slots.h>

#include <array>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <unordered_map>
#include <vector>

namespace crocusmill
{

using RequestId = StrongValue<struct RequestIdTag, std::uint64_t>;

/// A request that waits for a slot.
struct WaitingRequest
{
    RequestId id;
    ServiceKey service;
    TeamName team;
    std::uint32_t weight = 1;
    SlotCount teamSlots; // maximum slots in use by the team; 0 means no limit
    WorkClass workClass = WorkClass::Quick;
    MonotonicTime arrived;
    MonotonicTime deadline;
    /// Upstreams on which an earlier attempt of this request failed.
    std::vector<UpstreamId> avoid;
};

enum class RefusalReason {
    DeadlineUnreachable = 1, // the estimated wait exceeds the time left
    DeadlinePassed,
    QueueFull,
    NoUpstream,
    NoQuorum, // the slot grant has expired: this VM may be partitioned from the leader
    Draining,
    Cancelled,
};

[[nodiscard]] std::string_view text(RefusalReason reason);

struct Assignment
{
    RequestId request;
    UpstreamId upstream;
};

struct Refusal
{
    RequestId request;
    RefusalReason reason = RefusalReason::QueueFull;
    Milliseconds retryAfter {0};
};

struct Decisions
{
    std::vector<Assignment> assigned;
    std::vector<Refusal> refused;
};

inline constexpr std::size_t workClassCount = 3;

[[nodiscard]] constexpr std::size_t indexOf(WorkClass workClass)
{
    return static_cast<std::size_t>(workClass);
}

/// Smoothed run time and arrival rate of one work class.
class ClassHistory
{
public:
    void recordArrival(MonotonicTime now);
    void recordRun(Milliseconds time);

    /// Returns the smoothed run time, or 0 before the first run. A straggler counts as at most a
    /// fixed multiple of the estimate.
    [[nodiscard]] double runMilliseconds() const;
    [[nodiscard]] double arrivalsPerSecond(MonotonicTime now) const;
    /// Returns the mean number of slots that arrivals keep busy (arrival rate times run time).
    [[nodiscard]] double busySlots(MonotonicTime now) const;

private:
    double meanRun_ = 0; // milliseconds; 0 before the first run
    double arrivalRate_ = 0; // per second, at lastArrival_
    MonotonicTime lastArrival_ {};
};

/// State of a service that its queue policy bases decisions on.
struct ServiceLoad
{
    std::uint32_t slots = 0;
    std::array<std::uint32_t, workClassCount> inUse {};
    std::map<TeamName, std::uint32_t> teamInUse;
    std::array<ClassHistory, workClassCount> history;

    [[nodiscard]] std::uint32_t slotsInUse() const;
};

/// Queue discipline of one service: the order of requests and their limits.
class QueuePolicy
{
public:
    virtual ~QueuePolicy() = default;

    /// Queues the request, or returns why it is refused.
    [[nodiscard]] virtual std::optional<Refusal> offer(
        const WaitingRequest &request, const ServiceLoad &load, MonotonicTime now) = 0;
    /// Removes and returns the next request to run; nullopt when no request may use a free slot.
    [[nodiscard]] virtual std::optional<WaitingRequest> take(
        const ServiceLoad &load, MonotonicTime now) = 0;
    /// Returns a request from take() that could not be placed to the head of the queue.
    virtual void putBack(const WaitingRequest &request) = 0;
    /// Removes and refuses requests whose deadline has passed.
    [[nodiscard]] virtual std::vector<Refusal> expire(MonotonicTime now) = 0;
    /// Removes a request; returns false if it is not queued.
    virtual bool remove(RequestId request) = 0;
    [[nodiscard]] virtual std::vector<RequestId> removeAll() = 0;
    [[nodiscard]] virtual std::size_t size() const = 0;
};

/// Creates a FIFO queue without limits.
[[nodiscard]] std::unique_ptr<QueuePolicy> makeNaiveQueue();
/// Creates a queue that reserves slots for quick work, shares slots between teams by weight and
/// refuses requests that would miss their deadline.
[[nodiscard]] std::unique_ptr<QueuePolicy> makeFairQueue(Emphasis emphasis);

/// Pauses upstreams that fail repeatedly, with exponential backoff.
class UpstreamHealth
{
public:
    void recordSuccess(const UpstreamId &upstream);
    void recordFailure(const UpstreamId &upstream, MonotonicTime now);
    [[nodiscard]] bool isUsable(const UpstreamId &upstream, MonotonicTime now) const;

private:
    struct Record
    {
        std::uint32_t consecutiveFailures = 0;
        std::uint32_t pauseCount = 0;
        std::uint32_t successesSinceFailure = 0;
        MonotonicTime pausedUntil {};
    };

    std::map<UpstreamId, Record> records_;
};

/// Token bucket that limits retries to a share of first attempts.
class RetryBudget
{
public:
    void recordFirstAttempt();
    /// Consumes one retry; returns false if the budget is exhausted.
    [[nodiscard]] bool takeRetry();

private:
    double tokens_ = 0;
};

/// Outcome of an attempt as upstream health sees it; Neutral says nothing about the upstream.
enum class AttemptOutcome { Succeeded, Failed, Neutral };

/// Assigns the requests of all services to upstreams with free slots.
class Admission
{
public:
    Admission(SlotPool &slots, std::uint64_t seed);

    /// Sets the policy of a service and moves its waiting requests to the new queue.
    void setPolicy(const ServiceKey &service, const Policy &policy);
    void setUpstream(const UpstreamId &upstream, const ServiceKey &service);
    void removeUpstream(const UpstreamId &upstream);

    [[nodiscard]] std::optional<Refusal> submit(const WaitingRequest &request, MonotonicTime now);
    /// Removes a waiting request; returns false if it is not queued.
    bool cancel(const ServiceKey &service, RequestId request);
    /// Records the outcome of an attempt. Its slot stays in use until releaseSlot().
    void attemptEnded(
        RequestId request, AttemptOutcome outcome, Milliseconds runTime, MonotonicTime now);
    /// Frees the attempt's slot, once its work no longer runs on the upstream.
    void releaseSlot(RequestId request);

    /// Assigns waiting requests to free slots; refuses all of them if the slot grant has expired.
    [[nodiscard]] Decisions decide(MonotonicTime now);
    /// Refuses requests whose deadline has passed. Scans all waiting requests.
    [[nodiscard]] std::vector<Refusal> expire(MonotonicTime now);
    /// Refuses all waiting requests.
    [[nodiscard]] std::vector<Refusal> refuseAll(RefusalReason reason);

    [[nodiscard]] bool takeRetry(const ServiceKey &service);
    [[nodiscard]] std::vector<DemandLine> demand() const;
    [[nodiscard]] std::size_t waitingCount() const;
    [[nodiscard]] std::size_t runningCount() const;

private:
    struct Candidate
    {
        UpstreamId id;
        SlotHandle slotHandle;
    };
    struct Service
    {
        Policy policy;
        std::unique_ptr<QueuePolicy> queue;
        ServiceLoad load;
        std::vector<Candidate> upstreams;
        RetryBudget retryBudget;
    };
    struct Running
    {
        WaitingRequest request;
        UpstreamId upstream;
    };

    [[nodiscard]] Service &serviceOf(const ServiceKey &key);
    [[nodiscard]] std::optional<UpstreamId> chooseUpstream(
        const Service &service, const WaitingRequest &request, MonotonicTime now);
    [[nodiscard]] std::optional<UpstreamId> chooseRandomUpstream(const Service &service);
    void decideService(Service &service, Decisions &decisions, MonotonicTime now);
    void startAttempt(Service &service, const WaitingRequest &request, const UpstreamId &upstream,
        MonotonicTime now);

    SlotPool &slots_;
    std::mt19937_64 random_;
    UpstreamHealth health_;
    std::map<ServiceKey, Service> services_;
    std::map<UpstreamId, ServiceKey> upstreamService_;
    // Invariant: each element holds one slot of slots_.
    std::unordered_map<RequestId, Running> running_;
};

} // namespace crocusmill
