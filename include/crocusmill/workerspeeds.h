/// Estimates the relative speeds of workers, which no worker reports.
///
/// Load pattern: a quarter of the workers runs at 0.55 of the nominal speed and the others at 1.2,
/// estimates are off by a half, the same way for all tasks of a job, and 3 of 100 tasks take seven
/// times as long. So the run times on a worker are compared with those of the same kind of task on
/// the other workers, by medians. Pure; owned by the control thread.

#pragma once

#include <crocusmill/measuredrun.h>

#include <cstddef>
#include <deque>
#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

namespace crocusmill
{

/// A worker whose class has changed.
struct WorkerSpeedChange
{
    WorkerId worker;
    double speed = 1;
    bool isSlow = false;
};

class WorkerSpeeds
{
public:
    /// Records a run whose `relativeTime` is relative to its estimate.
    void record(const MeasuredRun &run, MonotonicTime now);
    /// Drops the history of a worker.
    void forget(const WorkerId &worker);
    /// Drops runs that are older than the retention period.
    void expire(MonotonicTime now);

    /// Returns the speed relative to the typical worker, 1 if it is unknown.
    [[nodiscard]] double speedOf(const WorkerId &worker) const;
    /// Returns whether the speed is clearly below 0.8.
    [[nodiscard]] bool isSlow(const WorkerId &worker) const;
    /// Returns whether the worker is slow, or seems so by fewer runs than isSlow() asks for. A
    /// wrong guess only changes which of the workers with room is taken.
    [[nodiscard]] bool isLikelySlow(const WorkerId &worker) const;
    [[nodiscard]] std::size_t likelySlowCount() const;
    [[nodiscard]] std::size_t slowCount() const;
    /// Returns the lowest speed of the slow workers, 1 if there are none.
    [[nodiscard]] double slowestSpeed() const;
    /// Returns the changes since the previous call.
    [[nodiscard]] std::vector<WorkerSpeedChange> takeChanges();

private:
    struct Sample
    {
        std::size_t job = 0; // hash
        double log = 0; // of the relative time, compared with that of the kind on other workers
        MonotonicTime at {};
    };

    struct Worker
    {
        std::deque<Sample> samples; // Invariant: the newest, at most maxWorkerSamples
        double logSpeed = 0;
        bool isSlow = false;
        bool isLikelySlow = false;
    };

    struct KindSample
    {
        WorkerId worker;
        std::size_t job = 0; // hash
        double log = 0; // of the time relative to the estimate
        MonotonicTime at {};
    };

    /// The newest runs of a kind, at most maxKindSamples.
    using Kind = std::deque<KindSample>;

    [[nodiscard]] Kind *findOrAddKind(const StepKind &kind, MonotonicTime now);
    [[nodiscard]] std::optional<double> usualLogOf(
        const Kind &kind, const WorkerId &worker, std::size_t job) const;
    void evaluate(const WorkerId &id, Worker &worker);
    void setSlow(const WorkerId &id, Worker &worker, bool isSlow);
    void setLikelySlow(Worker &worker, bool isLikelySlow);

    // Invariant: at most maxKinds.
    std::map<StepKind, Kind> kinds_;
    std::unordered_map<WorkerId, Worker> workers_;
    /// Mean deviation of the runs of a worker from its median.
    double meanDeviation_ = 0.5; // until it is learned, more than that of usual loads
    std::size_t slowCount_ = 0; // Invariant: the number of slow workers in workers_.
    std::size_t likelySlowCount_ = 0; // Invariant: as slowCount_, of those that are likely slow
    std::vector<WorkerSpeedChange> changes_;
};

} // namespace crocusmill
