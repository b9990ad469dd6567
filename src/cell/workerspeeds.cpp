/// Comparison of the run times on a worker with those on the other workers.

#include <crocusmill/workerspeeds.h>

#include <algorithm>
#include <cmath>
#include <functional>
#include <set>
#include <utility>

namespace crocusmill
{

namespace
{

/// Bounds the memory of the kinds, to 64 x 256 runs. With 64 runs of a kind, which are few jobs
/// with few errors of estimates, the usual time varied so much that normal workers passed for slow.
constexpr std::size_t maxKinds = 64;
constexpr std::size_t maxKindSamples = 256;
/// A worker that turns slow is noticed once half of its samples are new, and its recovery once half
/// of the newest half are. A worker with ten tasks of three seconds ends 16 within five seconds.
constexpr std::size_t maxWorkerSamples = 32;
/// What the usual time of a kind takes, on other workers.
constexpr std::size_t minKindSamples = 8;
constexpr std::size_t minOtherWorkers = 3;
constexpr std::size_t minJobSamples = 3; // for the usual time of the job
/// The estimates of all tasks of a job are off the same way.
constexpr std::size_t minWorkerJobs = 16;
/// Slower workers make tasks late that have a slack of a quarter.
constexpr double slowSpeed = 0.8;
/// A slow worker counts as normal again from here, so that its class does not alternate.
constexpr double normalSpeed = 0.9;
/// Difference from the typical speed in standard errors. Each run of each of hundreds of workers is
/// another chance to pass for slow: with 5, and 12 jobs, normal workers did in 3 of 120 replays of
/// up to 24,000 runs; with 6, and 16 jobs, in none.
constexpr double minConfidence = 6;
/// For isLikelySlow(). A worker ends the tasks of five jobs within a few seconds.
constexpr std::size_t minLikelyJobs = 5;
constexpr double minLikelyConfidence = 3.5;
/// A slow worker that gets no tasks yields no samples. After this time its speed is unknown again.
constexpr Milliseconds retention {120'000};
/// Bounds the relative time of a run, so that a clock error cannot count without limit.
constexpr double maxRelativeTime = 16;
/// Weight of a run in the mean deviation, and the bound on its own deviation: a tail counts little.
constexpr double deviationWeight = 1.0 / 256;
constexpr double maxDeviation = 1;
/// Of normally distributed values: the standard deviation relative to the mean deviation, and the
/// standard error of the median relative to that of the mean.
constexpr double deviationFactor = 1.2533;
constexpr double medianErrorFactor = 1.2533;

double medianOf(std::vector<double> values)
{
    const auto middle = values.begin() + static_cast<std::ptrdiff_t>(values.size() / 2);
    std::nth_element(values.begin(), middle, values.end());
    return *middle;
}

} // namespace

void WorkerSpeeds::record(const MeasuredRun &run, MonotonicTime now)
{
    Kind *kind = findOrAddKind(run.kind, now);
    if (kind == nullptr) {
        return;
    }
    const double log = std::log(std::clamp(run.relativeTime, 1 / maxRelativeTime, maxRelativeTime));
    const std::size_t job = std::hash<GraphId> {}(run.job);
    const std::optional<double> usual = usualLogOf(*kind, run.worker, job);
    kind->push_back({run.worker, job, log, now});
    if (kind->size() > maxKindSamples) {
        kind->pop_front();
    }
    if (!usual) {
        return;
    }
    Worker &worker = workers_[run.worker];
    worker.samples.push_back({job, log - *usual, now});
    if (worker.samples.size() > maxWorkerSamples) {
        worker.samples.pop_front();
    }
    evaluate(run.worker, worker);
    const double deviation = std::min(std::abs(log - *usual + worker.logSpeed), maxDeviation);
    meanDeviation_ += (deviation - meanDeviation_) * deviationWeight;
}

/// Returns null if there are too many kinds. A kind beyond the bound replaces one that was not seen
/// within the retention period.
WorkerSpeeds::Kind *WorkerSpeeds::findOrAddKind(const StepKind &kind, MonotonicTime now)
{
    const auto known = kinds_.find(kind);
    if (known != kinds_.end()) {
        return &known->second;
    }
    if (kinds_.size() >= maxKinds) {
        expire(now);
    }
    return kinds_.size() >= maxKinds ? nullptr : &kinds_[kind];
}

/// Returns the usual time of the kind on a typical worker, by its runs on the other workers; by
/// those of the same job if there are some, since their estimates are off the same way. The times
/// are corrected for what is known of the workers: work that can wait runs on slow ones.
std::optional<double> WorkerSpeeds::usualLogOf(
    const Kind &kind, const WorkerId &worker, std::size_t job) const
{
    std::vector<double> logs;
    logs.reserve(kind.size());
    std::vector<double> logsOfJob;
    std::set<std::size_t> others;
    for (const KindSample &sample : kind) {
        if (sample.worker == worker) {
            continue;
        }
        const auto found = slowCount_ == 0 ? workers_.end() : workers_.find(sample.worker);
        const bool isKnownSlow = found != workers_.end() && found->second.isSlow;
        logs.push_back(sample.log + (isKnownSlow ? found->second.logSpeed : 0));
        if (sample.job == job) {
            logsOfJob.push_back(logs.back());
        }
        if (others.size() < minOtherWorkers) {
            others.insert(std::hash<WorkerId> {}(sample.worker));
        }
    }
    if (logs.size() < minKindSamples || others.size() < minOtherWorkers) {
        return std::nullopt;
    }
    return medianOf(std::move(logsOfJob.size() >= minJobSamples ? logsOfJob : logs));
}

void WorkerSpeeds::evaluate(const WorkerId &id, Worker &worker)
{
    std::vector<double> logs;
    std::set<std::size_t> jobs;
    for (const Sample &sample : worker.samples) {
        logs.push_back(sample.log);
        jobs.insert(sample.job);
    }
    const double error = medianErrorFactor * deviationFactor * meanDeviation_
        / std::sqrt(static_cast<double>(std::max<std::size_t>(jobs.size(), 1)));
    if (jobs.size() >= minLikelyJobs) {
        const double log = -medianOf(logs);
        setLikelySlow(worker, log < std::log(slowSpeed) && log < -minLikelyConfidence * error);
    }
    if (jobs.size() < minWorkerJobs) {
        return;
    }
    if (worker.isSlow) {
        const std::vector<double> newest {logs.end() - minWorkerJobs, logs.end()};
        worker.logSpeed = -medianOf(newest);
        if (worker.logSpeed >= std::log(normalSpeed)) {
            setSlow(id, worker, false);
            worker.samples.erase(worker.samples.begin(), worker.samples.end() - minWorkerJobs);
        }
        return;
    }
    worker.logSpeed = -medianOf(std::move(logs));
    const bool isSlow =
        worker.logSpeed < std::log(slowSpeed) && worker.logSpeed < -minConfidence * error;
    setSlow(id, worker, isSlow);
}

void WorkerSpeeds::setSlow(const WorkerId &id, Worker &worker, bool isSlow)
{
    if (worker.isSlow != isSlow) {
        worker.isSlow = isSlow;
        slowCount_ += isSlow ? 1 : -1;
        changes_.push_back({id, std::exp(worker.logSpeed), isSlow});
    }
}

void WorkerSpeeds::setLikelySlow(Worker &worker, bool isLikelySlow)
{
    if (worker.isLikelySlow != isLikelySlow) {
        worker.isLikelySlow = isLikelySlow;
        likelySlowCount_ += isLikelySlow ? 1 : -1;
    }
}

void WorkerSpeeds::forget(const WorkerId &worker)
{
    const auto found = workers_.find(worker);
    if (found != workers_.end()) {
        found->second.logSpeed = 0;
        setSlow(worker, found->second, false);
        setLikelySlow(found->second, false);
        workers_.erase(found);
    }
    for (std::pair<const StepKind, Kind> &kind : kinds_) {
        std::erase_if(
            kind.second, [&worker](const KindSample &sample) { return sample.worker == worker; });
    }
}

void WorkerSpeeds::expire(MonotonicTime now)
{
    const auto isOld = [now](const auto &sample) {
        return now - sample.at > retention;
    };
    for (std::pair<const StepKind, Kind> &kind : kinds_) {
        std::erase_if(kind.second, isOld);
    }
    std::erase_if(
        kinds_, [](const std::pair<const StepKind, Kind> &kind) { return kind.second.empty(); });
    for (std::pair<const WorkerId, Worker> &entry : workers_) {
        Worker &worker = entry.second;
        std::erase_if(worker.samples, isOld);
        if (worker.samples.empty()) {
            worker.logSpeed = 0;
            setSlow(entry.first, worker, false);
            setLikelySlow(worker, false);
        }
    }
    std::erase_if(workers_, [](const std::pair<const WorkerId, Worker> &entry) {
        return entry.second.samples.empty();
    });
}

double WorkerSpeeds::speedOf(const WorkerId &worker) const
{
    const auto found = workers_.find(worker);
    return found == workers_.end() ? 1 : std::exp(found->second.logSpeed);
}

bool WorkerSpeeds::isSlow(const WorkerId &worker) const
{
    const auto found = workers_.find(worker);
    return found != workers_.end() && found->second.isSlow;
}

bool WorkerSpeeds::isLikelySlow(const WorkerId &worker) const
{
    const auto found = workers_.find(worker);
    return found != workers_.end() && (found->second.isSlow || found->second.isLikelySlow);
}

std::size_t WorkerSpeeds::likelySlowCount() const
{
    return likelySlowCount_ + slowCount_;
}

std::size_t WorkerSpeeds::slowCount() const
{
    return slowCount_;
}

double WorkerSpeeds::slowestSpeed() const
{
    double slowest = 1;
    for (const std::pair<const WorkerId, Worker> &entry : workers_) {
        slowest =
            entry.second.isSlow ? std::min(slowest, std::exp(entry.second.logSpeed)) : slowest;
    }
    return slowest;
}

std::vector<WorkerSpeedChange> WorkerSpeeds::takeChanges()
{
    return std::exchange(changes_, {});
}

} // namespace crocusmill
