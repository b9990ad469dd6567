/// Random days for the number of waiting jobs: workers that refuse, answer late or not at all, and
/// leaders that change. What workers have begun is the oracle.

#include "src/net/log.h"
#include "test/fakes/graphs.h"
#include "test/fakes/queueanswers.h"
#include "test/fakes/simulatedleader.h"

#include <catch2/catch.hpp>

#include <cstdlib>

namespace crocusmill
{

namespace
{

using fakes::catalogOf;
using fakes::graphOf;
using fakes::pendingCountOf;
using fakes::RunRules;
using fakes::SimulatedJournal;
using fakes::SimulatedLeader;
using fakes::SimulatedWorkers;
using fakes::Simulation;
using fakes::stepOf;

/// One day: a backlog of jobs and faults for a while, then a calm phase in which the backlog goes
/// on. At each check the leader's count of each queue is compared with the jobs of which no worker
/// has begun a task:
/// - MIXED: at a calm moment of the leader the count is under half of those that were accepted more
///   than 5 s before;
/// - LOW: the count is below those that the leader's state has as open;
/// - HIGH: the count is above them although all workers have been calm and could report.
class Day
{
public:
    explicit Day(std::uint64_t seed)
        : simulation_(seed)
    {
        workers_.onHeartbeat = [this](const WorkerHeartbeat &heartbeat, bool leaves) {
            forwardHeartbeat(heartbeat, leaves);
        };
    }

    std::vector<std::string> run()
    {
        for (int i = 0; i < initialWorkerCount; ++i) {
            workers_.boot(newWorker());
        }
        newLeader({});
        leader_->propose(catalogOf(queues_), [](const Result<ApplyReply> & /*reply*/) {});
        for (int i = 0; i < jobCount; ++i) {
            simulation_.after(
                simulation_.randomDuration(200, lastSubmission), [this]() { submit(newJob()); });
        }
        scheduleFault();
        scheduleCheck();
        simulation_.runUntil(start_ + faultDuration + calmDuration);
        return violations_;
    }

    /// Number of checks at calm moments with jobs that had waited for more than 5 s.
    [[nodiscard]] int ruleChecks() const
    {
        return ruleCheckCount_;
    }

    /// Number of checks in which the count had to be exact and was not zero.
    [[nodiscard]] int exactChecks() const
    {
        return exactCheckCount_;
    }

private:
    static constexpr int initialWorkerCount = 4;
    static constexpr int jobCount = 70;
    static constexpr int lastSubmission = 40'000; // milliseconds
    static constexpr Milliseconds faultDuration {28'000};
    static constexpr Milliseconds calmDuration {25'000};
    static constexpr Milliseconds checkInterval {250};
    static constexpr Milliseconds retryDelay {200};
    /// A job is due to be counted this long after its acceptance.
    static constexpr Milliseconds visibleDelay {5'000};
    /// The leader is calm this long after the last fault of a leader or the journal.
    static constexpr Milliseconds leaderCalmDelay {3'000};
    /// All outcomes are known this long after the last fault of a worker: leases have passed.
    static constexpr Milliseconds workerCalmDelay {10'000};
    /// A start may be unknown to clients for this long. Answers may be lost and asked for again.
    static constexpr Milliseconds reportDelay {2'000};

    struct Job
    {
        QueueName queue;
        std::optional<MonotonicTime> acceptedAt;
        bool isCancelRequested = false;
    };

    WorkerId newWorker()
    {
        return WorkerId {"w" + std::to_string(++createdWorkerCount_)};
    }

    GraphSpec newJob()
    {
        StepSpec wide = stepOf(3, 2);
        StepSpec second = stepOf(1, 2);
        second.after = {0};
        StepSpec gang = stepOf(2, 2);
        gang.gang = true;
        const std::vector<std::vector<StepSpec>> kinds {
            {stepOf(1, 3)}, {wide}, {stepOf(2), second}, {gang}};
        const auto kind = static_cast<std::size_t>(
            simulation_.randomNumber(0, static_cast<int>(kinds.size()) - 1));
        GraphSpec spec = graphOf("j" + std::to_string(++createdJobCount_), kinds[kind]);
        spec.queue = queues_[static_cast<std::size_t>(
            simulation_.randomNumber(0, static_cast<int>(queues_.size()) - 1))];
        return spec;
    }

    void submit(const GraphSpec &spec)
    {
        if (!leader_) {
            simulation_.after(retryDelay, [this, spec]() { submit(spec); });
            return;
        }
        if (jobs_.try_emplace(spec.id, Job {spec.queue, std::nullopt, false}).second) {
            rules_.onJobSubmitted(spec);
            if (simulation_.chance(10)) {
                simulation_.after(
                    simulation_.randomDuration(500, 9'000), [this, id = spec.id]() { cancel(id); });
            }
        }
        leader_->propose(
            SubmitGraph {spec, {}}, [this, id = spec.id](const Result<ApplyReply> &reply) {
                Job &job = jobs_.at(id);
                if (reply && !job.acceptedAt) {
                    job.acceptedAt = simulation_.now();
                }
            });
        // The client submits the job again without an acknowledgement; the id keeps it one job.
        simulation_.after(Milliseconds {3'000}, [this, spec]() {
            if (!jobs_.at(spec.id).acceptedAt) {
                submit(spec);
            }
        });
    }

    void cancel(const GraphId &id)
    {
        jobs_.at(id).isCancelRequested = true;
        if (!leader_) {
            simulation_.after(retryDelay, [this, id]() { cancel(id); });
            return;
        }
        leader_->propose(CancelGraph {id, {}}, [this, id](const Result<ApplyReply> &reply) {
            if (!reply || reply.value().error != StateError::None) {
                simulation_.after(retryDelay, [this, id]() { cancel(id); });
            }
        });
    }

    void forwardHeartbeat(const WorkerHeartbeat &heartbeat, bool leaves)
    {
        const std::shared_ptr<SimulatedLeader> leader = leader_;
        if (!leader || !leader->canSendOrders()) {
            return;
        }
        leader->post([this, leader, heartbeat, leaves]() {
            if (!leader->isLeader()) {
                return;
            }
            if (leaves) {
                leader->supervisor->onWorkerLeaving(heartbeat.id, heartbeat.incarnation,
                    simulation_.now(), [](FarewellOutcome /*outcome*/) {});
            } else {
                leader->supervisor->onHeartbeat(heartbeat, simulation_.now());
            }
        });
    }

    void newLeader(const std::vector<WorkerHeartbeat> &knownWorkers)
    {
        leader_ = std::make_shared<SimulatedLeader>(simulation_, journal_, workers_, ++term_);
        leaders_.push_back(leader_);
        leader_->becomeLeader(knownWorkers, simulation_.chance(50));
        disturbLeader(Milliseconds {0});
    }

    void changeLeader()
    {
        const std::shared_ptr<SimulatedLeader> previousLeader = leader_;
        leader_.reset();
        std::vector<WorkerHeartbeat> knownWorkers = previousLeader->supervisor->callableWorkers();
        if (simulation_.chance(50)) {
            previousLeader->losePower();
            knownWorkers.clear();
        } else {
            previousLeader->depose();
        }
        simulation_.after(simulation_.randomDuration(0, 2'500),
            [this, knownWorkers]() { newLeader(knownWorkers); });
    }

    void disturbLeader(Milliseconds span)
    {
        leaderCalmAt_ = std::max(leaderCalmAt_, simulation_.now() + span + leaderCalmDelay);
        workersCalmAt_ = std::max(workersCalmAt_, simulation_.now() + span + workerCalmDelay);
    }

    void disturbWorkers(Milliseconds span)
    {
        workersCalmAt_ = std::max(workersCalmAt_, simulation_.now() + span + workerCalmDelay);
    }

    void scheduleFault()
    {
        simulation_.after(simulation_.randomDuration(500, 5'000), [this]() {
            if (simulation_.now() < start_ + faultDuration) {
                injectFault();
                scheduleFault();
            }
        });
    }

    void injectFault()
    {
        const Milliseconds span = simulation_.randomDuration(500, 9'000);
        switch (simulation_.randomNumber(0, 9)) {
        case 0:
        case 1:
            if (leader_) {
                changeLeader();
            }
            return;
        case 2:
            if (leader_) {
                leader_->blockLoop(span / 3);
                disturbLeader(span / 3);
            }
            return;
        case 3:
            if (leader_) {
                leader_->loseLease(span);
                disturbLeader(span);
            }
            return;
        case 4:
            journal_.slowDown(span / 3);
            disturbLeader(span / 3);
            return;
        default:
            disturbWorkers(span);
            injectWorkerFault(simulation_.randomNumber(0, 4), span);
        }
    }

    /// Most faults meet several workers at once, sometimes all.
    void injectWorkerFault(int kind, Milliseconds span)
    {
        const int share = simulation_.chance(40) ? 100 : 40;
        for (const WorkerId &worker : workers_.aliveWorkers()) {
            if (!simulation_.chance(share)) {
                continue;
            }
            switch (kind) {
            case 0:
                workers_.disconnect(worker, span);
                break;
            case 1:
                workers_.slowDown(worker, span);
                break;
            case 2:
                workers_.refuseStarts(worker, span);
                break;
            case 3:
                workers_.crash(worker);
                scheduleReplacement(simulation_.chance(50) ? worker : newWorker());
                return; // one at a time
            default:
                workers_.leave(worker);
                disturbWorkers(Milliseconds {6'000});
                scheduleReplacement(newWorker());
                return;
            }
        }
    }

    void scheduleReplacement(const WorkerId &worker)
    {
        simulation_.after(
            simulation_.randomDuration(300, 3'000), [this, worker]() { workers_.boot(worker); });
    }

    void scheduleCheck()
    {
        simulation_.after(checkInterval, [this]() {
            const bool hasCatalog =
                leader_ && leader_->state.catalog().version != DocumentVersion {};
            for (const QueueName &queue : queues_) {
                if (hasCatalog) {
                    check(queue);
                }
            }
            scheduleCheck();
        });
    }

    void check(const QueueName &queue)
    {
        const MonotonicTime now = simulation_.now();
        const bool isLeaderCalm =
            now >= leaderCalmAt_ && journal_.lastCommitAt() <= now + retryDelay;
        const std::uint64_t pending = pendingCountOf(leader_->state, queue);
        std::uint64_t due = 0; // accepted long ago and not begun
        std::uint64_t least = 0; // open in the leader's state and not begun
        std::uint64_t most = 0;
        for (const auto &[id, job] : jobs_) {
            if (job.queue != queue) {
                continue;
            }
            const std::optional<MonotonicTime> begunAt = rules_.firstStartOf(id);
            const bool isOpen = leader_->state.graphs().openGraphs().contains(id);
            const bool isDue = job.acceptedAt && now - *job.acceptedAt > visibleDelay;
            due += isDue && !job.isCancelRequested && !begunAt ? 1 : 0;
            least += isOpen && !begunAt ? 1 : 0;
            const bool isUnreported =
                begunAt && (now - *begunAt < reportDelay || rules_.areStartersGone(id));
            most += isOpen && (!begunAt || isUnreported) ? 1 : 0;
        }
        ruleCheckCount_ += isLeaderCalm && due > 0 ? 1 : 0;
        if (isLeaderCalm && pending * 2 < due) {
            report("MIXED", queue, pending, due);
        }
        if (pending < least) {
            report("LOW", queue, pending, least);
        }
        const bool areOutcomesKnown = isLeaderCalm && now >= workersCalmAt_;
        exactCheckCount_ += areOutcomesKnown && least > 0 ? 1 : 0;
        if (areOutcomesKnown && pending > most) {
            report("HIGH", queue, pending, most);
        }
    }

    void report(
        const char *rule, const QueueName &queue, std::uint64_t pending, std::uint64_t expected)
    {
        violations_.push_back(std::string {rule} + " " + queue.value() + " at "
            + std::to_string((simulation_.now() - start_) / Milliseconds {1})
            + " ms: " + std::to_string(pending) + " jobs are said to wait, "
            + std::to_string(expected) + " do");
    }

    const std::vector<QueueName> queues_ {QueueName {"quotes"}, QueueName {"orders"}};
    Simulation simulation_;
    MonotonicTime start_ = simulation_.now();
    RunRules rules_;
    SimulatedJournal journal_ {simulation_};
    SimulatedWorkers workers_ {simulation_, rules_};
    std::shared_ptr<SimulatedLeader> leader_; // null between two leaders
    std::vector<std::shared_ptr<SimulatedLeader>> leaders_;
    std::map<GraphId, Job> jobs_;
    MonotonicTime leaderCalmAt_ {};
    MonotonicTime workersCalmAt_ {};
    std::uint64_t term_ = 0;
    int createdWorkerCount_ = 0;
    int createdJobCount_ = 0;
    int ruleCheckCount_ = 0;
    int exactCheckCount_ = 0;
    std::vector<std::string> violations_;
};

std::uint64_t readNumber(const char *variable, std::uint64_t fallback)
{
    const char *text = std::getenv(variable);
    return text == nullptr ? fallback : std::strtoull(text, nullptr, 10);
}

} // namespace

// PENDING_JOBS_SEED and PENDING_JOBS_DAYS select the first seed and the number of days.
TEST_CASE("faults in any order do not make waiting jobs look begun, or begun ones waiting")
{
    const std::uint64_t firstSeed = readNumber("PENDING_JOBS_SEED", 20'261'204);
    const std::uint64_t dayCount = readNumber("PENDING_JOBS_DAYS", 200);
    setLogLevel(LogLevel::Error);
    int ruleChecks = 0;
    int exactChecks = 0;
    std::map<std::string, int> brokenDays;
    for (std::uint64_t seed = firstSeed; seed < firstSeed + dayCount; ++seed) {
        Day day {seed};
        const std::vector<std::string> violations = day.run();
        ruleChecks += day.ruleChecks();
        exactChecks += day.exactChecks();
        std::map<std::string, std::vector<std::string>> byRule;
        for (const std::string &violation : violations) {
            byRule[violation.substr(0, violation.find(' '))].push_back(violation);
        }
        for (const std::pair<const std::string, std::vector<std::string>> &entry : byRule) {
            ++brokenDays[entry.first];
            FAIL_CHECK("seed " << seed << ", " << entry.second.size() << " times, first "
                               << entry.second.front());
        }
    }
    for (const std::pair<const std::string, int> &entry : brokenDays) {
        WARN(entry.first << " on " << entry.second << " of " << dayCount << " days");
    }
    // A backlog must have been there to count.
    CHECK(ruleChecks > 10 * static_cast<int>(dayCount));
    CHECK(exactChecks > 10 * static_cast<int>(dayCount));
    WARN("checks with jobs due: " << ruleChecks << ", exact ones: " << exactChecks);
}

} // namespace crocusmill
