/// Pauses after consecutive failures, doubled while the worker does not recover.

#include <crocusmill/workerhealth.h>

#include <algorithm>

namespace crocusmill
{

namespace
{

/// Consecutive failures of different jobs. Two jobs may be broken, three hardly ever are.
constexpr std::size_t minFailuresToPause = 3;
/// About the length of a short disturbance. Each further pause without a success lasts twice as
/// long.
constexpr Milliseconds firstPauseDuration {2'000};
constexpr std::uint32_t maxDoublings = 3;
/// Pauses apply while at most one worker in this many is paused.
constexpr std::size_t minWorkersPerPause = 4;

} // namespace

void WorkerHealth::recordSuccess(const WorkerId &worker)
{
    const auto it = records_.find(worker);
    if (it != records_.end()) {
        it->second.consecutiveFailures.clear();
        it->second.pauseCount = 0;
    }
}

void WorkerHealth::recordFailure(const WorkerId &worker, const GraphId &graph, MonotonicTime now)
{
    Record &record = records_[worker];
    record.consecutiveFailures.insert(graph);
    // The first failure after a pause shows that the worker has not recovered.
    const std::size_t requiredFailures = record.pauseCount > 0 ? 1 : minFailuresToPause;
    if (now >= record.pausedUntil && record.consecutiveFailures.size() >= requiredFailures) {
        pause(record, now);
    }
}

void WorkerHealth::recordStall(const WorkerId &worker, MonotonicTime now)
{
    Record &record = records_[worker];
    if (now >= record.pausedUntil) {
        pause(record, now);
    }
}

void WorkerHealth::pause(Record &record, MonotonicTime now)
{
    record.consecutiveFailures.clear();
    record.pausedUntil =
        now + firstPauseDuration * (1U << std::min(record.pauseCount, maxDoublings));
    ++record.pauseCount;
}

void WorkerHealth::forget(const WorkerId &worker)
{
    records_.erase(worker);
}

std::size_t WorkerHealth::pausedCount(MonotonicTime now) const
{
    return static_cast<std::size_t>(std::count_if(
        records_.begin(), records_.end(), [now](const std::pair<const WorkerId, Record> &item) {
            return now < item.second.pausedUntil;
        }));
}

bool WorkerHealth::isUsable(
    const WorkerId &worker, std::size_t workerCount, MonotonicTime now) const
{
    const auto it = records_.find(worker);
    const bool isPaused = it != records_.end() && now < it->second.pausedUntil;
    return !isPaused || pausedCount(now) * minWorkersPerPause > workerCount;
}

} // namespace crocusmill
