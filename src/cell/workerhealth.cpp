/// Pauses of workers that do no good.

#include <crocusmill/workerhealth.h>

#include <algorithm>

namespace crocusmill
{

namespace
{

/// Jobs that must have failed in a row: two may be bad ones, three hardly ever are.
constexpr std::size_t failuresToPause = 3;
/// About the length of a short disturbance; a second one in a row lasts twice as long.
constexpr Milliseconds firstPause {2'000};
constexpr std::uint32_t mostDoublings = 3;
/// At most one worker in so many is left out.
constexpr std::size_t workersPerPause = 4;

} // namespace

void WorkerHealth::succeeded(const WorkerId &worker)
{
    const auto found = records_.find(worker);
    if (found != records_.end()) {
        found->second.failedInRow.clear();
        found->second.pauses = 0;
    }
}

void WorkerHealth::failed(const WorkerId &worker, const GraphId &graph, MonotonicTime now)
{
    Record &record = records_[worker];
    record.failedInRow.insert(graph);
    // After a pause, the first failure shows that nothing has changed.
    const std::size_t enough = record.pauses > 0 ? 1 : failuresToPause;
    if (now >= record.pausedUntil && record.failedInRow.size() >= enough) {
        pause(record, now);
    }
}

void WorkerHealth::stalled(const WorkerId &worker, MonotonicTime now)
{
    Record &record = records_[worker];
    if (now >= record.pausedUntil) {
        pause(record, now);
    }
}

void WorkerHealth::pause(Record &record, MonotonicTime now)
{
    record.failedInRow.clear();
    record.pausedUntil = now + firstPause * (1U << std::min(record.pauses, mostDoublings));
    ++record.pauses;
}

void WorkerHealth::forget(const WorkerId &worker)
{
    records_.erase(worker);
}

std::size_t WorkerHealth::paused(MonotonicTime now) const
{
    return static_cast<std::size_t>(std::count_if(
        records_.begin(), records_.end(), [now](const std::pair<const WorkerId, Record> &known) {
            return now < known.second.pausedUntil;
        }));
}

bool WorkerHealth::usable(const WorkerId &worker, std::size_t workers, MonotonicTime now) const
{
    const auto found = records_.find(worker);
    const bool isPaused = found != records_.end() && now < found->second.pausedUntil;
    return !isPaused || paused(now) * workersPerPause > workers;
}

} // namespace crocusmill
