/// Finds kinds of tasks that slow each other down when they run on the same worker.
///
/// Load pattern: tasks of some kinds need the same unreported resource of a machine, such as memory
/// bandwidth, and take twice as long beside each other. Estimates are off by a half, the same way
/// for all tasks of a job, and 3 of 100 tasks take seven times as long. So the median over jobs of
/// the run times beside a kind is compared with the median of those without it. Pure; owned by the
/// control thread.

#pragma once

#include <crocusmill/measuredrun.h>

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <vector>

namespace crocusmill
{

/// A pair of kinds that was found or discarded.
struct InterferenceChange
{
    StepKind slowed;
    StepKind companion;
    double ratio = 1; // run time beside the companion relative to that without it
    bool isFound = false;
};

class Interference
{
public:
    void record(const MeasuredRun &run, MonotonicTime now);
    /// Discards the pairs that were not confirmed within the retention period.
    void expire(MonotonicTime now);

    /// Returns the kinds that slow this kind down or are slowed down by it.
    [[nodiscard]] std::set<StepKind> kindsInterferingWith(const StepKind &kind) const;
    /// Returns the number of pairs, each counted in the direction of its effect.
    [[nodiscard]] std::size_t pairCount() const;
    /// Returns the changes since the previous call.
    [[nodiscard]] std::vector<InterferenceChange> takeChanges();

private:
    /// The runs of one job.
    struct JobSample
    {
        std::size_t job = 0; // hash
        std::size_t worker = 0; // hash, of the first run
        double meanLog = 0; // of the relative times
        std::uint32_t runs = 0;
        MonotonicTime at {}; // of the last run
    };

    // Invariant: the newest jobs, in the order of their first run, at most maxJobs of them.
    using JobSamples = std::vector<JobSample>;

    struct Pair
    {
        JobSamples beside;
        JobSamples without;
        bool isSuspected = false; // other runs have yet to confirm it
        bool isFound = false;
        double ratio = 1; // as of the last evaluation
    };

    struct Kind
    {
        MonotonicTime lastSeenAt {};
        std::map<StepKind, Pair> pairs; // by the companion
    };

    [[nodiscard]] bool track(const StepKind &kind, MonotonicTime now);
    static void addSample(JobSamples &samples, const MeasuredRun &run, MonotonicTime now);
    void evaluate(const StepKind &slowed, const StepKind &companion, Pair &pair);
    void setFound(const StepKind &slowed, const StepKind &companion, Pair &pair, bool isFound);
    void remove(const StepKind &kind);

    // Invariant: at most maxKinds, and the companions of all pairs are among them.
    std::map<StepKind, Kind> kinds_;
    std::size_t pairCount_ = 0; // Invariant: the number of found pairs in kinds_.
    std::vector<InterferenceChange> changes_;
};

} // namespace crocusmill
