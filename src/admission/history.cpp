/// Smoothed run times and arrivals, upstream health and the retry budget.

#include <crocusmill/admission.h>

#include <algorithm>
#include <cmath>

namespace crocusmill
{

namespace
{

constexpr double runWeight = 0.05; // of the newest run
constexpr double stragglerMultiple = 8; // a run counts at most this many times the estimate
constexpr double rateMemorySeconds = 0.5;

constexpr std::uint32_t failuresToPause = 5;
constexpr std::uint32_t successesToForgive = 20;
constexpr std::uint32_t mostDoublings = 6;
constexpr Milliseconds firstPause {500};

constexpr double retryShare = 0.1;
constexpr double mostTokens = 10;

double secondsBetween(MonotonicTime from, MonotonicTime to)
{
    return std::chrono::duration<double>(to - from).count();
}

} // namespace

void ClassHistory::arrived(MonotonicTime now)
{
    const double before = lastArrival_ == MonotonicTime {} ? 0 : arrivalsPerSecond(now);
    rate_ = before + 1 / rateMemorySeconds;
    lastArrival_ = now;
}

void ClassHistory::ran(Milliseconds time)
{
    const double observed = std::max<double>(static_cast<double>(time.count()), 1);
    if (run_ == 0) {
        run_ = observed;
        return;
    }
    run_ += runWeight * (std::min(observed, stragglerMultiple * run_) - run_);
}

double ClassHistory::runMilliseconds() const
{
    return run_;
}

double ClassHistory::arrivalsPerSecond(MonotonicTime now) const
{
    if (lastArrival_ == MonotonicTime {}) {
        return 0;
    }
    return rate_ * std::exp(-secondsBetween(lastArrival_, now) / rateMemorySeconds);
}

double ClassHistory::busySlots(MonotonicTime now) const
{
    constexpr double millisecondsPerSecond = 1000;
    return arrivalsPerSecond(now) * run_ / millisecondsPerSecond;
}

std::uint32_t ServiceLoad::busy() const
{
    return inUse[0] + inUse[1] + inUse[2];
}

void UpstreamHealth::succeeded(const UpstreamId &upstream)
{
    const auto found = records_.find(upstream);
    if (found == records_.end()) {
        return;
    }
    found->second.failuresInRow = 0;
    if (++found->second.successesSince >= successesToForgive) {
        records_.erase(found);
    }
}

void UpstreamHealth::failed(const UpstreamId &upstream, MonotonicTime now)
{
    Record &record = records_[upstream];
    record.successesSince = 0;
    ++record.failuresInRow;
    const bool onProbation = record.pauses > 0;
    if (now < record.pausedUntil || (record.failuresInRow < failuresToPause && !onProbation)) {
        return;
    }
    const std::uint32_t doublings = std::min(record.pauses, mostDoublings);
    record.pausedUntil = now + firstPause * (1U << doublings);
    ++record.pauses;
    record.failuresInRow = 0;
}

bool UpstreamHealth::usable(const UpstreamId &upstream, MonotonicTime now) const
{
    const auto found = records_.find(upstream);
    return found == records_.end() || now >= found->second.pausedUntil;
}

void RetryBudget::firstAttempt()
{
    tokens_ = std::min(mostTokens, tokens_ + retryShare);
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
