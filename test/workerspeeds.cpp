/// Slow workers are told from others by the run times of what they run, and recover.

#include <crocusmill/workerspeeds.h>

#include <catch2/catch.hpp>

#include <numeric>
#include <random>

namespace crocusmill
{

namespace
{

constexpr std::size_t workerCount = 40;
constexpr double slowSpeed = 0.55;
constexpr double normalSpeed = 1.2;

WorkerId workerNumber(std::size_t number)
{
    return WorkerId {"w" + std::to_string(number)};
}

/// Replays tasks of six kinds on workers with one slot each. Estimates are off by up to a half, the
/// same way for the eight tasks of a job, and 3 of 100 tasks take seven times as long. Half of the
/// jobs are urgent.
class Load
{
public:
    explicit Load(unsigned seed)
        : random_(seed)
        , speeds_(workerCount, normalSpeed)
        , busyUntil_(workerCount, now_)
    {
    }

    void setSpeed(std::size_t worker, double speed)
    {
        speeds_[worker] = speed;
    }

    void slowDownQuarter()
    {
        std::fill(speeds_.begin(), speeds_.begin() + workerCount / 4, slowSpeed);
    }

    /// Runs one job on random workers, without regard to what they run.
    void runJob()
    {
        startJob();
        for (int task = 0; task < tasksPerJob; ++task) {
            now_ += Milliseconds {20};
            const std::size_t worker =
                std::uniform_int_distribution<std::size_t> {0, workerCount - 1}(random_);
            finish(worker, secondsOfTask() / speeds_[worker]);
        }
    }

    /// Runs the tasks of a job on free workers, chosen by their speeds if `useSpeeds`. Returns the
    /// mean seconds of the tasks of urgent jobs.
    double runPlaced(int jobCount, bool useSpeeds)
    {
        double sum = 0;
        int count = 0;
        for (int i = 0; i < jobCount; ++i) {
            startJob();
            const bool isUrgent = i % 2 == 0;
            for (int task = 0; task < tasksPerJob; ++task) {
                now_ += Milliseconds {150};
                const std::optional<std::size_t> worker = freeWorker(isUrgent, useSpeeds);
                if (!worker) {
                    continue;
                }
                const double seconds = secondsOfTask() / speeds_[*worker];
                busyUntil_[*worker] =
                    now_ + Milliseconds {static_cast<std::int64_t>(seconds * 1'000)};
                finish(*worker, seconds);
                sum += isUrgent ? seconds : 0;
                count += isUrgent ? 1 : 0;
            }
        }
        return sum / count;
    }

    /// Returns how many runs on the worker it takes until it has the class.
    int runsUntil(std::size_t worker, bool isSlow)
    {
        int runs = 0;
        while (speeds.isSlow(workerNumber(worker)) != isSlow && runs < 1'000) {
            runJob();
            startJob();
            finish(worker, secondsOfTask() / speeds_[worker]);
            ++runs;
        }
        return runs;
    }

    WorkerSpeeds speeds;

private:
    static constexpr int tasksPerJob = 8;

    void startJob()
    {
        ++job_;
        kind_ = std::uniform_int_distribution<int> {0, 5}(random_);
        error_ = std::uniform_real_distribution<double> {0.5, 1.5}(random_);
    }

    double secondsOfTask()
    {
        usual_ = std::uniform_real_distribution<double> {1.5, 4}(random_);
        return std::uniform_real_distribution<double> {0, 1}(random_) < 0.03 ? usual_ * 7 : usual_;
    }

    void finish(std::size_t worker, double seconds)
    {
        speeds.record({StepKind {std::to_string(kind_)}, GraphId {std::to_string(job_)},
                          workerNumber(worker), seconds / (usual_ * error_), {}},
            now_);
    }

    std::optional<std::size_t> freeWorker(bool isUrgent, bool useSpeeds)
    {
        std::vector<std::size_t> order(workerCount);
        std::iota(order.begin(), order.end(), 0);
        std::shuffle(order.begin(), order.end(), random_);
        std::optional<std::size_t> best;
        for (const std::size_t worker : order) {
            const bool isBetter = !best || speeds.isSlow(workerNumber(*best)) == isUrgent;
            if (busyUntil_[worker] <= now_ && (!best || (useSpeeds && isBetter))) {
                best = worker;
            }
        }
        return best;
    }

    std::mt19937 random_;
    MonotonicTime now_ {std::chrono::hours {1}};
    std::vector<double> speeds_;
    std::vector<MonotonicTime> busyUntil_;
    int job_ = 0;
    int kind_ = 0;
    double error_ = 1;
    double usual_ = 1; // seconds of the newest task, without a tail
};

const MonotonicTime start {std::chrono::hours {1}};

MeasuredRun runOf(int job, std::size_t worker, double relativeTime)
{
    return {StepKind {"k"}, GraphId {std::to_string(job)}, workerNumber(worker), relativeTime, {}};
}

/// Makes worker 0 slow.
void slowDownFirst(WorkerSpeeds &speeds)
{
    for (int job = 0; job < 200; ++job) {
        const std::size_t worker = static_cast<std::size_t>(job) % 5;
        speeds.record(runOf(job, worker, worker == 0 ? 2 : 1), start);
    }
    REQUIRE(speeds.isSlow(workerNumber(0)));
    REQUIRE(speeds.slowCount() == 1);
}

} // namespace

// Fails if slow workers are missed beside tails and wrong estimates, or others pass for slow.
TEST_CASE("a quarter of slow workers is told from the others")
{
    Load load {GENERATE(range(1U, 11U))};
    load.slowDownQuarter();
    for (int job = 0; job < 300; ++job) { // 60 runs on each worker
        load.runJob();
    }
    std::size_t found = 0;
    for (std::size_t worker = 0; worker < workerCount / 4; ++worker) {
        found += load.speeds.isSlow(workerNumber(worker)) ? 1 : 0;
    }
    CHECK(found >= 9);
    CHECK(load.speeds.slowCount() == found); // no other one
    CHECK(load.speeds.slowestSpeed() > 0.25);
    CHECK(load.speeds.slowestSpeed() < 0.6);
}

// Fails if what is learned does not shorten the run times of urgent tasks.
TEST_CASE("urgent tasks are faster with the speeds than without them")
{
    Load load {7};
    load.slowDownQuarter();
    Load baseline {7};
    baseline.slowDownQuarter();
    static_cast<void>(load.runPlaced(400, true));
    static_cast<void>(baseline.runPlaced(400, false));
    const double with = load.runPlaced(1'000, true);
    const double without = baseline.runPlaced(1'000, false);
    CAPTURE(with, without);
    CHECK(with < without * 0.85);
}

// Fails if noise in estimates and run times passes for a slow worker.
TEST_CASE("without differences no worker is slow")
{
    Load load {GENERATE(range(1U, 11U))};
    for (int job = 0; job < 3'000; ++job) {
        load.runJob();
    }
    CHECK(load.speeds.takeChanges().empty());
}

// Fails if a change is noticed late or not at all.
TEST_CASE("a worker that turns slow is noticed within some runs, and so is its recovery")
{
    Load load {GENERATE(range(1U, 11U))};
    for (int job = 0; job < 300; ++job) {
        load.runJob();
    }
    load.setSpeed(0, slowSpeed);
    CHECK(load.runsUntil(0, true) <= 30);
    CHECK(load.speeds.slowCount() == 1);
    load.setSpeed(0, normalSpeed);
    CHECK(load.runsUntil(0, false) <= 30);
    CHECK(load.speeds.slowCount() == 0);
    CHECK(load.speeds.takeChanges().size() == 2);
}

// Fails if the tasks of one job, whose estimates are off the same way, pass for a slow worker.
TEST_CASE("one job does not make a worker slow")
{
    WorkerSpeeds speeds;
    for (int job = 0; job < 100; ++job) {
        speeds.record(runOf(job, 1 + static_cast<std::size_t>(job) % 5, 1), start);
    }
    for (int task = 0; task < 100; ++task) {
        speeds.record(runOf(1'000, 0, 3), start);
    }
    CHECK_FALSE(speeds.isSlow(workerNumber(0)));
}

// Fails if a worker stays slow for good because it gets no tasks, or a new process inherits its
// speed.
TEST_CASE("a worker without new runs, or with a new process, has an unknown speed")
{
    WorkerSpeeds speeds;
    slowDownFirst(speeds);
    CHECK(speeds.speedOf(workerNumber(0)) == Approx(0.5));
    const bool isReplaced = GENERATE(true, false);
    if (isReplaced) {
        speeds.forget(workerNumber(0));
    } else {
        speeds.expire(start + std::chrono::minutes {1});
        CHECK(speeds.isSlow(workerNumber(0)));
        speeds.expire(start + std::chrono::minutes {3});
    }
    CHECK_FALSE(speeds.isSlow(workerNumber(0)));
    CHECK(speeds.speedOf(workerNumber(0)) == 1);
    CHECK(speeds.slowCount() == 0);
    CHECK(speeds.slowestSpeed() == 1);
    CHECK(speeds.takeChanges().size() == 2);
}

// Fails if slow workers pass for normal once they alone run the work that can wait.
TEST_CASE("a kind that runs on slow workers only does not make them normal")
{
    WorkerSpeeds speeds;
    const auto recordAll = [&speeds](int job, bool isMixed) {
        for (std::size_t worker = 0; worker < 16; ++worker) {
            const bool isSlow = worker < 4;
            MeasuredRun run = runOf(job, worker, isSlow ? 2 : 1);
            run.kind = StepKind {isMixed || !isSlow ? "any" : "waits"};
            speeds.record(run, start);
        }
    };
    for (int job = 0; job < 40; ++job) {
        recordAll(job, true);
    }
    REQUIRE(speeds.slowCount() == 4);
    for (int job = 100; job < 300; ++job) {
        recordAll(job, false);
    }
    CHECK(speeds.slowCount() == 4);
}

} // namespace crocusmill
