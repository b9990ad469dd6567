/// Queue with a reserve for quick work, weighted fair sharing between teams and early refusal.

#include <crocusmill/admission.h>

#include <algorithm>
#include <cmath>

namespace crocusmill
{

namespace
{

constexpr std::size_t maxWaiting = 20'000;
constexpr Milliseconds minRetryAfter {100};

/// Parameters by emphasis.
struct Shares
{
    double minQuickShare; // minimum share of slots kept free of long work
    double quickDeviations; // standard deviations added to the expected busy slots
    double quickWaitShare; // maximum expected wait of a quick request, as a share of its time left
};

constexpr Shares packingShares {0.15, 2.0, 0.9};
constexpr Shares crestShares {0.30, 3.0, 0.6};

/// Requests of one class, in one flow per team, served in proportion to the flows' weights.
class ClassQueue
{
public:
    void push(const WaitingRequest &request)
    {
        Flow &flow = flows_[request.team];
        flow.weight = std::max<std::uint32_t>(request.weight, 1);
        if (flow.waiting.empty()) {
            flow.virtualFinish = std::max(flow.virtualFinish, virtualTime_);
        }
        flow.waiting.push_back(request);
        ++size_;
    }

    void pushFront(const WaitingRequest &request)
    {
        Flow &flow = flows_[request.team];
        flow.weight = std::max<std::uint32_t>(request.weight, 1);
        flow.waiting.push_front(request);
        ++size_;
    }

    /// Takes a request from the flow with the lowest virtual time that is below its team's limit.
    std::optional<WaitingRequest> take(const ServiceLoad &load, bool newestFirst)
    {
        Flow *best = nullptr;
        for (std::pair<const TeamName, Flow> &item : flows_) {
            Flow &flow = item.second;
            if (flow.waiting.empty() || isOverTeamLimit(item.first, flow, load)) {
                continue;
            }
            if (best == nullptr || flow.virtualFinish < best->virtualFinish) {
                best = &flow;
            }
        }
        if (best == nullptr) {
            return std::nullopt;
        }
        virtualTime_ = best->virtualFinish;
        best->virtualFinish += 1.0 / best->weight;
        return takeFrom(*best, newestFirst);
    }

    /// Returns whether the first request of a flow has waited more than half of its time.
    [[nodiscard]] bool isOverdue(MonotonicTime now) const
    {
        for (const std::pair<const TeamName, Flow> &item : flows_) {
            if (item.second.waiting.empty()) {
                continue;
            }
            const WaitingRequest &first = item.second.waiting.front();
            if (now - first.arrived > (first.deadline - first.arrived) / 2) {
                return true;
            }
        }
        return false;
    }

    template <typename Predicate> std::size_t removeIf(Predicate predicate)
    {
        std::size_t removed = 0;
        for (std::pair<const TeamName, Flow> &item : flows_) {
            removed += std::erase_if(item.second.waiting, predicate);
        }
        size_ -= removed;
        return removed;
    }

    [[nodiscard]] std::size_t size() const
    {
        return size_;
    }

private:
    struct Flow
    {
        std::deque<WaitingRequest> waiting;
        std::uint32_t weight = 1;
        double virtualFinish = 0; // virtual time at which the last served request finishes
    };

    static bool isOverTeamLimit(const TeamName &team, const Flow &flow, const ServiceLoad &load)
    {
        const std::uint32_t limit = flow.waiting.front().teamSlots.value();
        const auto used = load.teamInUse.find(team);
        return limit > 0 && used != load.teamInUse.end() && used->second >= limit;
    }

    std::optional<WaitingRequest> takeFrom(Flow &flow, bool newestFirst)
    {
        WaitingRequest request =
            std::move(newestFirst ? flow.waiting.back() : flow.waiting.front());
        if (newestFirst) {
            flow.waiting.pop_back();
        } else {
            flow.waiting.pop_front();
        }
        --size_;
        return request;
    }

    std::map<TeamName, Flow> flows_;
    double virtualTime_ = 0;
    std::size_t size_ = 0;
};

class FairQueue final : public QueuePolicy
{
public:
    explicit FairQueue(Emphasis emphasis)
        : shares_(emphasis == Emphasis::Latency ? crestShares : packingShares)
    {
    }

    std::optional<Refusal> offer(
        const WaitingRequest &request, const ServiceLoad &load, MonotonicTime now) override
    {
        const Milliseconds wait = estimatedWait(request.workClass, load, now);
        if (size() >= maxWaiting) {
            return Refusal {request.id, RefusalReason::QueueFull, retryAfter(wait)};
        }
        const bool isQuick = request.workClass == WorkClass::Quick;
        const double maxWaitShare = isQuick ? shares_.quickWaitShare : 1;
        const double remaining = static_cast<double>(
            std::chrono::duration_cast<Milliseconds>(request.deadline - now).count());
        if (static_cast<double>(wait.count()) > remaining * maxWaitShare) {
            return Refusal {request.id, RefusalReason::DeadlineUnreachable, retryAfter(wait)};
        }
        classOf(request.workClass).push(request);
        return std::nullopt;
    }

    std::optional<WaitingRequest> take(const ServiceLoad &load, MonotonicTime now) override
    {
        const std::uint32_t longCap = longWorkCap(load, now);
        const std::uint32_t longInUse =
            load.inUse[indexOf(WorkClass::Heavy)] + load.inUse[indexOf(WorkClass::Deferrable)];
        const bool mayRunLong = longInUse < longCap;
        if (mayRunLong && isDeferrableDue(now)) {
            std::optional<WaitingRequest> dueRequest =
                classOf(WorkClass::Deferrable).take(load, false);
            if (dueRequest) {
                return dueRequest;
            }
        }
        ClassQueue &quick = classOf(WorkClass::Quick);
        std::optional<WaitingRequest> request = quick.take(load, quick.isOverdue(now));
        if (request || !mayRunLong) {
            return request;
        }
        return takeLongWork(load, longCap, now);
    }

    void putBack(const WaitingRequest &request) override
    {
        classOf(request.workClass).pushFront(request);
    }

    std::vector<Refusal> expire(MonotonicTime now) override
    {
        std::vector<Refusal> refused;
        for (ClassQueue &queue : classes_) {
            queue.removeIf([&refused, now](const WaitingRequest &request) {
                if (now < request.deadline) {
                    return false;
                }
                refused.push_back({request.id, RefusalReason::DeadlinePassed, minRetryAfter});
                return true;
            });
        }
        return refused;
    }

    bool remove(RequestId request) override
    {
        std::size_t removed = 0;
        for (ClassQueue &queue : classes_) {
            removed += queue.removeIf(
                [request](const WaitingRequest &waiting) { return waiting.id == request; });
        }
        return removed > 0;
    }

    std::vector<RequestId> removeAll() override
    {
        std::vector<RequestId> ids;
        for (ClassQueue &queue : classes_) {
            queue.removeIf([&ids](const WaitingRequest &request) {
                ids.push_back(request.id);
                return true;
            });
        }
        return ids;
    }

    std::size_t size() const override
    {
        return classes_[0].size() + classes_[1].size() + classes_[2].size();
    }

private:
    ClassQueue &classOf(WorkClass workClass)
    {
        return classes_[indexOf(workClass)];
    }

    /// Returns the slots that heavy and deferrable work may use together; at least one.
    std::uint32_t longWorkCap(const ServiceLoad &load, MonotonicTime now) const
    {
        const double busyQuick = load.history[indexOf(WorkClass::Quick)].busySlots(now);
        // Arrivals are close to Poisson, so the standard deviation of busy slots is the square root
        // of their mean.
        const double expectedQuick = busyQuick + shares_.quickDeviations * std::sqrt(busyQuick);
        const double minReserve = load.slots * shares_.minQuickShare;
        const double maxReserve = load.slots / 2.0; // the reserve must not starve other work
        const double reserved =
            std::min(std::max(expectedQuick, minReserve), std::max(maxReserve, minReserve));
        const std::uint32_t reserve = static_cast<std::uint32_t>(std::ceil(reserved));
        return std::max<std::uint32_t>(load.slots > reserve ? load.slots - reserve : 0, 1);
    }

    /// Returns whether deferrable work goes before quick work, because a request has used half of
    /// its time. This keeps deferrable work from missing its deadline.
    bool isDeferrableDue(MonotonicTime now) const
    {
        return classes_[indexOf(WorkClass::Deferrable)].isOverdue(now);
    }

    std::optional<WaitingRequest> takeLongWork(
        const ServiceLoad &load, std::uint32_t longCap, MonotonicTime now)
    {
        // Deferrable work goes before heavy work until it uses its own share of the slots.
        const double deferrableBusy = load.history[indexOf(WorkClass::Deferrable)].busySlots(now);
        const std::uint32_t share = std::max<std::uint32_t>(
            std::min(static_cast<std::uint32_t>(std::ceil(deferrableBusy)), longCap / 2), 1);
        const bool deferrableFirst = load.inUse[indexOf(WorkClass::Deferrable)] < share;
        const WorkClass first = deferrableFirst ? WorkClass::Deferrable : WorkClass::Heavy;
        const WorkClass second = deferrableFirst ? WorkClass::Heavy : WorkClass::Deferrable;
        std::optional<WaitingRequest> request = classOf(first).take(load, false);
        if (!request) {
            request = classOf(second).take(load, false);
        }
        return request;
    }

    Milliseconds estimatedWait(WorkClass workClass, const ServiceLoad &load, MonotonicTime now)
    {
        const ClassQueue &queue = classOf(workClass);
        const double run = load.history[indexOf(workClass)].runMilliseconds();
        if (queue.size() == 0 || run == 0 || load.slots == 0) {
            return Milliseconds {0};
        }
        std::uint32_t usable = longWorkCap(load, now);
        if (workClass == WorkClass::Quick) {
            const std::uint32_t longInUse =
                load.inUse[indexOf(WorkClass::Heavy)] + load.inUse[indexOf(WorkClass::Deferrable)];
            usable = load.slots > longInUse ? load.slots - longInUse : 1;
        }
        const double wait = static_cast<double>(queue.size()) * run / usable;
        return Milliseconds {static_cast<std::int64_t>(wait)};
    }

    static Milliseconds retryAfter(Milliseconds wait)
    {
        return std::max(wait, minRetryAfter);
    }

    Shares shares_;
    std::array<ClassQueue, workClassCount> classes_;
};

} // namespace

std::unique_ptr<QueuePolicy> makeFairQueue(Emphasis emphasis)
{
    return std::make_unique<FairQueue>(emphasis);
}

} // namespace crocusmill
