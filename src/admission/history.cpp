/// Smoothed run times and arrival rates, upstream health and the retry budget.

#include <crocusmill/admission.h>

#include <algorithm>
#include <cmath>

namespace crocusmill
{

namespace
{

constexpr double newestRunWeight = 0.05; // weight of the newest run in the mean
constexpr double maxRunMultiple = 8; // a run counts as at most this multiple of the estimate
constexpr double rateMemorySeconds = 0.5;

constexpr std::uint32_t failuresToPause = 5;
constexpr std::uint32_t successesToForget = 20;
constexpr std::uint32_t maxDoublings = 6;
constexpr Milliseconds initialPause {500};

constexpr double retryShare = 0.1;
constexpr double maxTokens = 10;

double secondsBetween(MonotonicTime from, MonotonicTime to)
{
    return std::chrono::duration<double>(to - from).count();
}

} // namespace

void ClassHistory::recordArrival(MonotonicTime now)
{
    const double previousRate = lastArrival_ == MonotonicTime {} ? 0 : arrivalsPerSecond(now);
    arrivalRate_ = previousRate + 1 / rateMemorySeconds;
    lastArrival_ = now;
}

void ClassHistory::recordRun(Milliseconds time)
{
    const double observed = std::max<double>(static_cast<double>(time.count()), 1);
    if (meanRun_ == 0) {
        meanRun_ = observed;
        return;
    }
    meanRun_ += newestRunWeight * (std::min(observed, maxRunMultiple * meanRun_) - meanRun_);
}

double ClassHistory::runMilliseconds() const
{
    return meanRun_;
}

double ClassHistory::arrivalsPerSecond(MonotonicTime now) const
{
    if (lastArrival_ == MonotonicTime {}) {
        return 0;
    }
    return arrivalRate_ * std::exp(-secondsBetween(lastArrival_, now) / rateMemorySeconds);
}

double ClassHistory::busySlots(MonotonicTime now) const
{
    constexpr double millisecondsPerSecond = 1000;
    return arrivalsPerSecond(now) * meanRun_ / millisecondsPerSecond;
}

std::uint32_t ServiceLoad::slotsInUse() const
{
    return inUse[0] + inUse[1] + inUse[2];
}

void UpstreamHealth::recordSuccess(const UpstreamId &upstream)
{
    const auto it = records_.find(upstream);
    if (it == records_.end()) {
        return;
    }
    it->second.consecutiveFailures = 0;
    if (++it->second.successesSinceFailure >= successesToForget) {
        records_.erase(it);
    }
}

void UpstreamHealth::recordFailure(const UpstreamId &upstream, MonotonicTime now)
{
    Record &record = records_[upstream];
    record.successesSinceFailure = 0;
    ++record.consecutiveFailures;
    const bool onProbation = record.pauseCount > 0;
    if (now < record.pausedUntil
        || (record.consecutiveFailures < failuresToPause && !onProbation)) {
        return;
    }
    const std::uint32_t doublings = std::min(record.pauseCount, maxDoublings);
    record.pausedUntil = now + initialPause * (1U << doublings);
    ++record.pauseCount;
    record.consecutiveFailures = 0;
}

bool UpstreamHealth::isUsable(const UpstreamId &upstream, MonotonicTime now) const
{
    const auto it = records_.find(upstream);
    return it == records_.end() || now >= it->second.pausedUntil;
}

void RetryBudget::recordFirstAttempt()
{
    tokens_ = std::min(maxTokens, tokens_ + retryShare);
}

bool RetryBudget::takeRetry()
{
    if (tokens_ < 1) {
        return false;
    }
    tokens_ -= 1;
    return true;
}

std::string_view text(RefusalReason reason)
{
    switch (reason) {
    case RefusalReason::DeadlineUnreachable:
        return "the estimated wait is longer than the time left";
    case RefusalReason::DeadlinePassed:
        return "the deadline passed before the work could start";
    case RefusalReason::QueueFull:
        return "too many requests wait already";
    case RefusalReason::NoUpstream:
        return "no upstream serves this";
    case RefusalReason::NoQuorum:
        return "this VM has lost contact with the others";
    case RefusalReason::Draining:
        return "this VM is shutting down";
    case RefusalReason::Cancelled:
        return "the request was cancelled";
    }
    return "refused";
}

} // namespace crocusmill
