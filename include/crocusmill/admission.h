/// Which waiting request runs next, on which upstream, and which is refused.
///
/// Each service has a queue with a policy of its own; the slots come from the entry's SlotPool.
/// Pure: time and random seeds are passed in. Not thread-safe; owned by the control thread.

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
    SlotCount teamSlots; // zero: no limit
    WorkClass workClass = WorkClass::Quick;
    MonotonicTime arrived;
    MonotonicTime deadline;
    /// Upstreams that failed this request before.
    std::vector<UpstreamId> avoid;
};

enum class RefusalReason {
    DeadlineUnreachable = 1, // the estimated wait is longer than what is left
    DeadlinePassed,
    QueueFull,
    NoUpstream,
    NoQuorum, // the grant has run out: this VM may be cut off
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

/// Run times and arrivals of one class, smoothed.
class ClassHistory
{
public:
    void recordArrival(MonotonicTime now);
    void recordRun(Milliseconds time);

    /// Estimated from recent runs; stragglers count at most a fixed multiple of the estimate.
    [[nodiscard]] double runMilliseconds() const;
    [[nodiscard]] double arrivalsPerSecond(MonotonicTime now) const;
    /// Slots that arrivals keep busy on average.
    [[nodiscard]] double busySlots(MonotonicTime now) const;

private:
    double meanRun_ = 0; // zero: nothing observed yet
    double arrivalRate_ = 0;
    MonotonicTime lastArrival_ {};
};

/// What a policy sees of its service.
struct ServiceLoad
{
    std::uint32_t slots = 0;
    std::array<std::uint32_t, workClassCount> inUse {};
    std::map<TeamName, std::uint32_t> teamInUse;
    std::array<ClassHistory, workClassCount> history;

    [[nodiscard]] std::uint32_t slotsInUse() const;
};

/// Order and limits of one service's queue.
class QueuePolicy
{
public:
    virtual ~QueuePolicy() = default;

    /// Queues the request or refuses it at once.
    [[nodiscard]] virtual std::optional<Refusal> offer(
        const WaitingRequest &request, const ServiceLoad &load, MonotonicTime now) = 0;
    /// Removes and returns the request that runs next, if one may use a free slot.
    [[nodiscard]] virtual std::optional<WaitingRequest> take(
        const ServiceLoad &load, MonotonicTime now) = 0;
    /// Puts back at the head what take() returned and could not be placed.
    virtual void putBack(const WaitingRequest &request) = 0;
    /// Removes those whose deadline has passed.
    [[nodiscard]] virtual std::vector<Refusal> expire(MonotonicTime now) = 0;
    /// Removes one; false when it is not here.
    virtual bool remove(RequestId request) = 0;
    [[nodiscard]] virtual std::vector<RequestId> removeAll() = 0;
    [[nodiscard]] virtual std::size_t size() const = 0;
};

/// First come first served, without limits.
[[nodiscard]] std::unique_ptr<QueuePolicy> makeNaiveQueue();
/// Slots kept for quick work, weights between teams, early refusal.
[[nodiscard]] std::unique_ptr<QueuePolicy> makeFairQueue(Emphasis emphasis);

/// Takes upstreams that fail everything out of use, with growing pauses.
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

/// Retries allowed as a share of first attempts.
class RetryBudget
{
public:
    void recordFirstAttempt();
    /// Takes one retry; false when the budget is used up.
    [[nodiscard]] bool takeRetry();

private:
    double tokens_ = 0;
};

/// How an attempt ended, as far as policy is concerned.
enum class AttemptOutcome { Succeeded, Failed, Neutral };

class Admission
{
public:
    Admission(SlotPool &slots, std::uint64_t seed);

    /// Sets the policy of a service; requests that wait there are offered to the new one.
    void setPolicy(const ServiceKey &service, const Policy &policy);
    void setUpstream(const UpstreamId &upstream, const ServiceKey &service);
    void removeUpstream(const UpstreamId &upstream);

    [[nodiscard]] std::optional<Refusal> submit(const WaitingRequest &request, MonotonicTime now);
    /// Takes a waiting request out. True when it waited.
    bool cancel(const ServiceKey &service, RequestId request);
    /// The attempt has ended; its slot stays taken until slotFree().
    void attemptEnded(
        RequestId request, AttemptOutcome outcome, Milliseconds ran, MonotonicTime now);
    /// The attempt's work has left the upstream.
    void releaseSlot(RequestId request);

    /// Everything that can be decided now.
    [[nodiscard]] Decisions decide(MonotonicTime now);
    /// Refuses what waited past its deadline; it costs a look at all that waits.
    [[nodiscard]] std::vector<Refusal> expire(MonotonicTime now);
    /// Refuses all that waits.
    [[nodiscard]] std::vector<Refusal> refuseAll(RefusalReason reason);

    [[nodiscard]] bool takeRetry(const ServiceKey &service);
    [[nodiscard]] std::vector<DemandLine> demand() const;
    [[nodiscard]] std::size_t waitingCount() const;
    [[nodiscard]] std::size_t runningCount() const;

private:
    struct Candidate
    {
        UpstreamId id;
        SlotHandle slots;
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
    // Invariant: one slot of slots_ is taken for each element.
    std::unordered_map<RequestId, Running> running_;
};

} // namespace crocusmill
