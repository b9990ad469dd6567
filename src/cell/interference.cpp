/// Comparison of the run times of a kind beside another kind with those without it.

#include <crocusmill/interference.h>

#include <algorithm>
#include <cmath>
#include <functional>
#include <utility>

namespace crocusmill
{

namespace
{

/// Bounds the memory: 64 x 64 pairs with 2 x 32 jobs of 40 bytes take 11 MB.
constexpr std::size_t maxKinds = 64;
constexpr std::size_t maxJobs = 32;
/// A run counts as beside a kind if that ran for at least this part of it. A kind that doubles the
/// time of another makes a run with this overlap 1.33 times as long.
constexpr double minSharedPart = 0.5;
/// A run counts as without a kind if that ran for less than this part of it.
constexpr double maxUnsharedPart = 0.1;
/// Smaller effects do not pay for the worse fit of tasks to workers.
constexpr double minRatio = 1.25;
/// A found pair is discarded if its newest jobs show less than this.
constexpr double minConfirmedRatio = 1.12;
/// Jobs on each side of the comparison.
constexpr std::size_t minJobs = 16;
/// A slow worker alone must not show as a pair.
constexpr std::size_t minWorkers = 4;
/// The difference in standard errors, first for a pair to be suspected, then for other jobs to
/// confirm it. Up to 4,096 pairs are compared again with each run, so that some pass the first
/// comparison by chance: without the second one, even with 5, at least 8 of 200 replays of ten
/// minutes without any effect found a pair; with both, none.
constexpr double minSuspicion = 4;
constexpr double minConfirmation = 3;
/// Pairs whose tasks are kept apart yield no samples. After this time they may run together again,
/// which costs the slowdown of about `minJobs` jobs if the pair still interferes.
constexpr Milliseconds retention {300'000};
/// Bounds the relative time of a run, so that a tail or a clock error cannot dominate its job.
constexpr double maxRelativeTime = 4;
/// Of normally distributed values: the standard deviation relative to the median deviation, and the
/// standard error of the median relative to that of the mean.
constexpr double deviationFactor = 1.4826;
constexpr double medianErrorFactor = 1.2533;

double medianOf(std::vector<double> values)
{
    const auto middle = values.begin() + static_cast<std::ptrdiff_t>(values.size() / 2);
    std::nth_element(values.begin(), middle, values.end());
    return *middle;
}

/// Returns the standard error of the difference of the medians. The deviations of both sides are
/// pooled: those of one side alone are too few to tell how much its values vary.
double errorOf(const std::vector<double> &left, double leftMedian, const std::vector<double> &right,
    double rightMedian)
{
    std::vector<double> deviations;
    deviations.reserve(left.size() + right.size());
    for (const double value : left) {
        deviations.push_back(std::abs(value - leftMedian));
    }
    for (const double value : right) {
        deviations.push_back(std::abs(value - rightMedian));
    }
    const double perValue = medianErrorFactor * deviationFactor * medianOf(std::move(deviations));
    return perValue
        * std::sqrt(1 / static_cast<double>(left.size()) + 1 / static_cast<double>(right.size()));
}

} // namespace

void Interference::record(const MeasuredRun &run, MonotonicTime now)
{
    if (!track(run.kind, now)) {
        return;
    }
    std::vector<StepKind> beside;
    for (const std::pair<const StepKind, double> &companion : run.companions) {
        if (companion.second >= minSharedPart && track(companion.first, now)) {
            beside.push_back(companion.first);
        }
    }
    std::map<StepKind, Pair> &pairs = kinds_.at(run.kind).pairs;
    const auto partOf = [&run](const StepKind &kind) {
        const auto found = run.companions.find(kind);
        return found == run.companions.end() ? 0.0 : found->second;
    };
    // A run beside kinds that are known to slow it down tells nothing about the other ones, which
    // may often run beside the same kinds. It counts for the strongest of the known ones.
    const StepKind *strongest = nullptr;
    for (const std::pair<const StepKind, Pair> &entry : pairs) {
        const bool isCause = entry.second.isFound && partOf(entry.first) >= maxUnsharedPart;
        if (isCause && (strongest == nullptr || entry.second.ratio > pairs.at(*strongest).ratio)) {
            strongest = &entry.first;
        }
    }
    if (strongest != nullptr) {
        if (partOf(*strongest) >= minSharedPart) {
            Pair &pair = pairs.at(*strongest);
            addSample(pair.beside, run, now);
            evaluate(run.kind, *strongest, pair);
        }
        return;
    }
    for (const StepKind &companion : beside) {
        addSample(pairs[companion].beside, run, now);
    }
    for (std::pair<const StepKind, Pair> &entry : pairs) {
        if (partOf(entry.first) < maxUnsharedPart) {
            addSample(entry.second.without, run, now);
        }
    }
    for (const StepKind &companion : beside) {
        evaluate(run.kind, companion, pairs.at(companion));
    }
}

/// Returns whether the kind is tracked. A kind beyond the bound replaces one that was not seen
/// within the retention period, or is ignored.
bool Interference::track(const StepKind &kind, MonotonicTime now)
{
    const auto known = kinds_.find(kind);
    if (known != kinds_.end()) {
        known->second.lastSeenAt = now;
        return true;
    }
    if (kinds_.size() >= maxKinds) {
        const auto oldest = std::min_element(kinds_.begin(), kinds_.end(),
            [](const std::pair<const StepKind, Kind> &left,
                const std::pair<const StepKind, Kind> &right) {
                return left.second.lastSeenAt < right.second.lastSeenAt;
            });
        if (now - oldest->second.lastSeenAt <= retention) {
            return false;
        }
        remove(StepKind {oldest->first});
    }
    kinds_[kind].lastSeenAt = now;
    return true;
}

void Interference::remove(const StepKind &kind)
{
    for (std::pair<const StepKind, Kind> &entry : kinds_) {
        std::map<StepKind, Pair> &pairs = entry.second.pairs;
        for (std::pair<const StepKind, Pair> &pair : pairs) {
            if (entry.first == kind || pair.first == kind) {
                setFound(entry.first, pair.first, pair.second, false);
            }
        }
        pairs.erase(kind);
    }
    kinds_.erase(kind);
}

void Interference::addSample(JobSamples &samples, const MeasuredRun &run, MonotonicTime now)
{
    const double value =
        std::log(std::clamp(run.relativeTime, 1 / maxRelativeTime, maxRelativeTime));
    const std::size_t job = std::hash<GraphId> {}(run.job);
    const auto known = std::find_if(samples.begin(), samples.end(),
        [job](const JobSample &sample) { return sample.job == job; });
    if (known != samples.end()) {
        ++known->runs;
        known->meanLog += (value - known->meanLog) / known->runs;
        known->at = now;
        return;
    }
    if (samples.size() >= maxJobs) {
        samples.erase(samples.begin());
    }
    samples.push_back({job, std::hash<WorkerId> {}(run.worker), value, 1, now});
}

void Interference::evaluate(const StepKind &slowed, const StepKind &companion, Pair &pair)
{
    std::vector<double> beside;
    std::set<std::size_t> workers;
    for (const JobSample &sample : pair.beside) {
        beside.push_back(sample.meanLog);
        workers.insert(sample.worker);
    }
    if (beside.size() < minJobs || pair.without.size() < minJobs || workers.size() < minWorkers) {
        return;
    }
    std::vector<double> without;
    for (const JobSample &sample : pair.without) {
        without.push_back(sample.meanLog);
    }
    const double usual = medianOf(without);
    if (pair.isFound) {
        // The newest jobs decide, so that an effect that has ended is noticed soon.
        const std::vector<double> newest {beside.end() - minJobs, beside.end()};
        pair.ratio = std::exp(medianOf(newest) - usual);
        if (pair.ratio < minConfirmedRatio) {
            setFound(slowed, companion, pair, false);
        }
        return;
    }
    const double median = medianOf(beside);
    const double error = errorOf(beside, median, without, usual);
    pair.ratio = std::exp(median - usual);
    const double required = pair.isSuspected ? minConfirmation : minSuspicion;
    const bool isSlower = pair.ratio >= minRatio && median - usual >= required * error;
    if (isSlower && pair.isSuspected) {
        setFound(slowed, companion, pair, true);
    } else if (isSlower) {
        pair.beside.clear(); // the confirmation comes from other runs
    }
    pair.isSuspected = isSlower && !pair.isFound;
}

void Interference::setFound(
    const StepKind &slowed, const StepKind &companion, Pair &pair, bool isFound)
{
    if (pair.isFound == isFound) {
        return;
    }
    pair.isFound = isFound;
    pairCount_ += isFound ? 1 : -1;
    changes_.push_back({slowed, companion, pair.ratio, isFound});
    if (!isFound) {
        pair.isSuspected = false;
        pair.beside.clear(); // it takes new evidence to find the pair again
    }
}

void Interference::expire(MonotonicTime now)
{
    for (std::pair<const StepKind, Kind> &kind : kinds_) {
        for (std::pair<const StepKind, Pair> &entry : kind.second.pairs) {
            Pair &pair = entry.second;
            std::erase_if(pair.beside,
                [now](const JobSample &sample) { return now - sample.at > retention; });
            std::erase_if(pair.without,
                [now](const JobSample &sample) { return now - sample.at > retention; });
            if (pair.beside.empty()) {
                setFound(kind.first, entry.first, pair, false);
            }
        }
    }
}

std::set<StepKind> Interference::kindsInterferingWith(const StepKind &kind) const
{
    std::set<StepKind> kinds;
    if (pairCount_ == 0) {
        return kinds;
    }
    for (const std::pair<const StepKind, Kind> &slowed : kinds_) {
        for (const std::pair<const StepKind, Pair> &entry : slowed.second.pairs) {
            if (entry.second.isFound && slowed.first == kind) {
                kinds.insert(entry.first);
            } else if (entry.second.isFound && entry.first == kind) {
                kinds.insert(slowed.first);
            }
        }
    }
    return kinds;
}

std::size_t Interference::pairCount() const
{
    return pairCount_;
}

std::vector<InterferenceChange> Interference::takeChanges()
{
    return std::exchange(changes_, {});
}

} // namespace crocusmill
