/// Kinds that slow each other down are found from finished runs, kept apart, and forgotten.

#include <crocusmill/interference.h>

#include <catch2/catch.hpp>

#include <algorithm>
#include <optional>
#include <random>

namespace crocusmill
{

namespace
{

StepKind kindNumber(int number)
{
    return StepKind {"k" + std::to_string(number)};
}

const StepKind first = kindNumber(0);
const StepKind second = kindNumber(1);

struct LoadSettings
{
    bool hasEffect = true; // the first two kinds double each other's time
    bool keepsApart = true;
    int kindCount = 6;
    unsigned seed = 1;
};

struct LoadResult
{
    double meanSeconds = 0; // run time of the tasks
    double meanStretch = 0; // run time relative to the time alone
    int refused = 0; // tasks without a worker although one had room
    std::vector<InterferenceChange> changes;
};

/// Replays jobs of four tasks on workers with four slots each. Estimates are off by up to a half,
/// the same way for all tasks of a job, and 3 of 100 tasks take seven times as long.
class Load
{
public:
    explicit Load(const LoadSettings &settings)
        : settings_(settings)
        , random_(settings.seed)
        , workers_(workerCount)
    {
    }

    LoadResult run(std::chrono::seconds duration)
    {
        LoadResult result;
        sumSeconds_ = sumStretch_ = 0;
        taskCount_ = 0;
        const MonotonicTime end = now_ + duration;
        while (now_ < end) {
            now_ += step;
            if (std::uniform_real_distribution<double> {0, 1}(random_) < jobsPerStep) {
                addJob(result);
            }
            advance();
            interference_.expire(now_);
        }
        result.meanSeconds = sumSeconds_ / taskCount_;
        result.meanStretch = sumStretch_ / taskCount_;
        result.changes = interference_.takeChanges();
        return result;
    }

    void setEffect(bool hasEffect)
    {
        settings_.hasEffect = hasEffect;
    }

    [[nodiscard]] const Interference &interference() const
    {
        return interference_;
    }

private:
    struct Task
    {
        StepKind kind;
        GraphId job;
        double seconds = 0; // alone
        double estimate = 0;
        double done = 0; // seconds of its work
        double elapsed = 0;
        std::map<StepKind, double> besideSeconds;
    };

    static constexpr Milliseconds step {100};
    static constexpr double stepSeconds = 0.1;
    static constexpr double jobsPerStep = 0.45; // about two thirds of the slots
    static constexpr std::size_t workerCount = 24;
    static constexpr std::size_t slotCount = 4;

    void addJob(LoadResult &result)
    {
        constexpr int tasksPerJob = 4;
        const int kind = std::uniform_int_distribution<int> {0, settings_.kindCount - 1}(random_);
        const double error = std::uniform_real_distribution<double> {0.5, 1.5}(random_);
        const GraphId job {"g" + std::to_string(++jobCount_)};
        for (int i = 0; i < tasksPerJob; ++i) {
            Task task;
            task.kind = kindNumber(kind);
            task.job = job;
            const double usual = std::uniform_real_distribution<double> {1.5, 4}(random_);
            const bool isTail = std::uniform_real_distribution<double> {0, 1}(random_) < 0.03;
            task.seconds = isTail ? usual * 7 : usual;
            task.estimate = usual * error;
            place(std::move(task), result);
        }
    }

    /// Best fit among workers with room; those with interfering tasks come last.
    void place(Task task, LoadResult &result)
    {
        const std::set<StepKind> apart = settings_.keepsApart
            ? interference_.kindsInterferingWith(task.kind)
            : std::set<StepKind> {};
        std::vector<Task> *best = nullptr;
        std::pair<bool, std::size_t> bestRank;
        // Otherwise equal workers are chosen at random, as task sizes vary in a real load.
        std::shuffle(order_.begin(), order_.end(), random_);
        bool hasRoom = false;
        for (const std::size_t index : order_) {
            std::vector<Task> &worker = workers_[index];
            hasRoom = hasRoom || worker.size() < slotCount;
            const bool interferes = std::any_of(worker.begin(), worker.end(),
                [&apart](const Task &other) { return apart.contains(other.kind); });
            const std::pair rank {interferes, slotCount - worker.size()};
            if (worker.size() < slotCount && (best == nullptr || rank < bestRank)) {
                best = &worker;
                bestRank = rank;
            }
        }
        if (best != nullptr) {
            best->push_back(std::move(task));
        } else {
            result.refused += hasRoom ? 1 : 0;
        }
    }

    void advance()
    {
        for (std::size_t index = 0; index < workers_.size(); ++index) {
            std::vector<Task> &worker = workers_[index];
            std::map<StepKind, int> counts;
            for (const Task &task : worker) {
                ++counts[task.kind];
            }
            for (Task &task : worker) {
                advance(task, counts);
            }
            std::erase_if(worker, [this, index](const Task &task) {
                if (task.done >= task.seconds) {
                    finish(task, index);
                }
                return task.done >= task.seconds;
            });
        }
    }

    void advance(Task &task, const std::map<StepKind, int> &counts) const
    {
        const bool isSlowed = settings_.hasEffect
            && ((task.kind == first && counts.contains(second))
                || (task.kind == second && counts.contains(first)));
        task.done += isSlowed ? stepSeconds / 2 : stepSeconds;
        task.elapsed += stepSeconds;
        for (const std::pair<const StepKind, int> &entry : counts) {
            if (entry.first != task.kind || entry.second > 1) {
                task.besideSeconds[entry.first] += stepSeconds;
            }
        }
    }

    void finish(const Task &task, std::size_t worker)
    {
        sumSeconds_ += task.elapsed;
        sumStretch_ += task.elapsed / task.seconds;
        ++taskCount_;
        MeasuredRun run {task.kind, task.job, WorkerId {"w" + std::to_string(worker)},
            task.elapsed / task.estimate, {}};
        for (const std::pair<const StepKind, double> &entry : task.besideSeconds) {
            run.companions[entry.first] = entry.second / task.elapsed;
        }
        interference_.record(run, now_);
    }

    LoadSettings settings_;
    std::mt19937 random_;
    Interference interference_;
    std::vector<std::vector<Task>> workers_;
    std::vector<std::size_t> order_ = []() {
        std::vector<std::size_t> order(workerCount);
        for (std::size_t i = 0; i < workerCount; ++i) {
            order[i] = i;
        }
        return order;
    }();
    MonotonicTime now_ {std::chrono::hours {1}};
    int jobCount_ = 0;
    double sumSeconds_ = 0;
    double sumStretch_ = 0;
    int taskCount_ = 0;
};

constexpr std::chrono::minutes learningTime {3};
constexpr std::chrono::minutes measuredTime {4};

/// Returns whether only the pair of the first two kinds was ever found.
bool areOnlyFirstTwo(const std::vector<InterferenceChange> &changes)
{
    return std::all_of(changes.begin(), changes.end(), [](const InterferenceChange &change) {
        return std::pair {std::min(change.slowed, change.companion),
                   std::max(change.slowed, change.companion)}
        == std::pair {first, second};
    });
}

/// A run of the first kind, beside the second one or alone.
MeasuredRun runOf(int job, int worker, double relativeTime, bool isBeside)
{
    MeasuredRun run {first, GraphId {"g" + std::to_string(job)},
        WorkerId {"w" + std::to_string(worker)}, relativeTime, {}};
    if (isBeside) {
        run.companions[second] = 1;
    }
    return run;
}

const MonotonicTime start {std::chrono::hours {1}};

} // namespace

// Fails if pairs are not found beside tails and wrong estimates, or if what was found does not
// shorten the run times.
TEST_CASE("two kinds that double each other's time are found and kept apart")
{
    const unsigned seed = GENERATE(1U, 2U, 3U, 4U, 5U);
    LoadSettings settings;
    settings.seed = seed;
    Load load {settings};
    settings.keepsApart = false;
    Load baseline {settings};
    const LoadResult learning = load.run(learningTime);
    (void)baseline.run(learningTime);
    CAPTURE(seed, learning.changes.size());
    CHECK(areOnlyFirstTwo(learning.changes));
    CHECK(load.interference().kindsInterferingWith(first) == std::set<StepKind> {second});
    CHECK(load.interference().kindsInterferingWith(second) == std::set<StepKind> {first});
    const LoadResult with = load.run(measuredTime);
    const LoadResult without = baseline.run(measuredTime);
    CAPTURE(with.meanSeconds, without.meanSeconds, with.meanStretch, without.meanStretch);
    CHECK(areOnlyFirstTwo(with.changes));
    CHECK(with.refused == 0);
    // The part of the stretch beyond the time alone.
    CHECK(with.meanStretch - 1 < (without.meanStretch - 1) / 3);
}

// Fails if noise in estimates and run times passes for an effect.
TEST_CASE("without an effect no pair is found")
{
    LoadSettings settings;
    settings.hasEffect = false;
    settings.seed = GENERATE(range(1U, 21U));
    settings.kindCount = 12;
    Load load {settings};
    const LoadResult result = load.run(std::chrono::minutes {10});
    CHECK(result.changes.empty());
    CHECK(load.interference().pairCount() == 0);
}

// Fails if a pair is kept although its kinds no longer slow each other down.
TEST_CASE("a pair is discarded when the effect has ended")
{
    LoadSettings settings;
    settings.keepsApart = false;
    Load load {settings};
    (void)load.run(learningTime);
    REQUIRE(load.interference().pairCount() == 2);
    load.setEffect(false);
    const LoadResult result = load.run(std::chrono::minutes {2});
    CHECK(load.interference().pairCount() == 0);
    CHECK(result.changes.size() == 2);
    (void)load.run(std::chrono::minutes {5});
    CHECK(load.interference().pairCount() == 0);
}

// Fails if kinds that are kept apart, so that they yield no samples, are kept apart for good.
TEST_CASE("a pair without new samples is discarded after the retention period")
{
    Interference interference;
    for (int job = 0; job < 40; ++job) {
        interference.record(runOf(job, job, 2, true), start);
        interference.record(runOf(100 + job, job, 1, false), start);
    }
    REQUIRE(interference.pairCount() == 1);
    interference.expire(start + std::chrono::minutes {4});
    CHECK(interference.pairCount() == 1);
    interference.expire(start + std::chrono::minutes {6});
    CHECK(interference.pairCount() == 0);
    CHECK(interference.kindsInterferingWith(first).empty());
    CHECK(interference.takeChanges().size() == 2);
}

// Fails if a slow worker, or one job with a wrong estimate, passes for an effect of a companion.
TEST_CASE("a pair needs several workers and jobs")
{
    const bool hasOneWorker = GENERATE(true, false);
    Interference interference;
    for (int i = 0; i < 200; ++i) {
        const int job = hasOneWorker ? i : 0;
        interference.record(runOf(job, hasOneWorker ? 0 : i, 2, true), start);
        interference.record(runOf(1'000 + i, i, 1, false), start);
    }
    CHECK(interference.pairCount() == 0);
}

// Fails if a kind that often runs beside the cause of a slowdown is taken for the cause for good.
TEST_CASE("a kind that only runs beside the cause is not kept apart")
{
    const StepKind bystander = kindNumber(2);
    Interference interference;
    MonotonicTime now = start;
    for (int job = 0; job < 400; ++job) {
        now += Milliseconds {500};
        MeasuredRun run = runOf(job, job % 8, 2.0 + (job % 3) * 0.1, true);
        if (job % 10 > 0) {
            run.companions[bystander] = 1;
        }
        interference.record(run, now);
        interference.record(runOf(1'000 + job, job % 8, 1.0 + (job % 3) * 0.1, false), now);
        MeasuredRun beside = runOf(2'000 + job, job % 8, 1.0 + (job % 3) * 0.1, false);
        beside.companions[bystander] = 1;
        if (job > 100) {
            interference.record(beside, now);
        }
    }
    CHECK(interference.kindsInterferingWith(first) == std::set<StepKind> {second});
}

// Fails if kinds without bound, such as a new queue for each job, use memory without bound or stop
// the learning for good.
TEST_CASE("kinds beyond the bound are ignored until others have not been seen for a while")
{
    Interference interference;
    for (int number = 100; number < 1'000; ++number) {
        MeasuredRun run = runOf(number, number, 1, false);
        run.kind = kindNumber(number);
        interference.record(run, start);
    }
    const auto recordPair = [&interference](MonotonicTime now) {
        for (int job = 0; job < 40; ++job) {
            interference.record(runOf(job, job, 2, true), now);
            interference.record(runOf(100 + job, job, 1, false), now);
        }
    };
    recordPair(start);
    CHECK(interference.pairCount() == 0);
    recordPair(start + std::chrono::minutes {6});
    CHECK(interference.pairCount() == 1);
}

TEST_CASE("an image and a queue of the same name are different kinds")
{
    StepSpec withImage;
    withImage.image = ImageName {"a/0"};
    const QueueName queue {"a"};
    CHECK(kindOf(withImage, queue, 0) == kindOf(withImage, QueueName {"b"}, 3));
    CHECK(kindOf(withImage, queue, 0) != kindOf({}, queue, 0));
    CHECK(kindOf({}, queue, 0) != kindOf({}, queue, 1));
}

} // namespace crocusmill
