/// Simulates runs under leader changes, stalls and late answers, and checks the rules of runs.

#include "src/net/log.h"
#include "test/fakes/graphs.h"
#include "test/fakes/simulatedleader.h"

#include <catch2/catch.hpp>

#include <cstdlib>

namespace crocusmill
{

namespace
{

using fakes::graphOf;
using fakes::RunRules;
using fakes::SimulatedJournal;
using fakes::SimulatedLeader;
using fakes::SimulatedWorkers;
using fakes::Simulation;
using fakes::stepOf;

/// One scenario: jobs and faults for a while, then a calm phase after which all runs must have
/// ended.
class Scenario
{
public:
    enum class Faults {
        Any,
        Departures, // leaving workers, often behind a cut, beside leader changes and crashes
    };

    explicit Scenario(std::uint64_t seed, Faults faults = Faults::Any)
        : simulation_(seed)
        , faults_(faults)
    {
        workers_.onFarewell = [this](const WorkerHeartbeat &heartbeat,
                                  const std::function<void()> &acknowledge) {
            forwardFarewell(heartbeat, acknowledge);
        };
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
        for (int i = 0; i < jobCount; ++i) {
            simulation_.after(
                simulation_.randomDuration(200, 20'000), [this]() { submit(newJob()); });
        }
        scheduleFault();
        simulation_.runUntil(simulation_.now() + faultDuration + calmDuration);
        checkFinalState();
        rules_.checkStarts();
        return rules_.violations();
    }

private:
    static constexpr int initialWorkerCount = 4;
    static constexpr int jobCount = 14;
    static constexpr Milliseconds faultDuration {28'000};
    static constexpr Milliseconds calmDuration {45'000};
    static constexpr Milliseconds retryDelay {200};

    WorkerId newWorker()
    {
        return WorkerId {"w" + std::to_string(++createdWorkerCount_)};
    }

    GraphSpec newJob()
    {
        StepSpec second = stepOf(1);
        second.after = {0};
        StepSpec gang = stepOf(2);
        gang.gang = true;
        const std::vector<std::vector<StepSpec>> kinds {
            {stepOf(1)}, {stepOf(3)}, {stepOf(2), second}, {gang}, {gang, second}};
        const auto kind = static_cast<std::size_t>(
            simulation_.randomNumber(0, static_cast<int>(kinds.size()) - 1));
        return graphOf("j" + std::to_string(++createdJobCount_), kinds[kind]);
    }

    void submit(const GraphSpec &spec)
    {
        if (!leader_) {
            simulation_.after(retryDelay, [this, spec]() { submit(spec); });
            return;
        }
        rules_.onJobSubmitted(spec);
        leader_->propose(SubmitGraph {spec, {}}, [](const Result<ApplyReply> & /*reply*/) {});
        // The client submits the job again if it was lost; the id keeps it one job.
        simulation_.after(Milliseconds {6'000}, [this, spec]() {
            if (!leader_ || leader_->state.graphs().find(spec.id) == nullptr) {
                submit(spec);
            }
        });
        if (simulation_.chance(15)) {
            simulation_.after(
                simulation_.randomDuration(500, 6'000), [this, id = spec.id]() { cancel(id); });
        }
    }

    void cancel(const GraphId &id)
    {
        if (!leader_) {
            simulation_.after(retryDelay, [this, id]() { cancel(id); });
            return;
        }
        leader_->propose(CancelGraph {id, {}}, [this, id](const Result<ApplyReply> &reply) {
            if (reply && reply.value().error == StateError::None) {
                rules_.onJobCancelled(id, simulation_.now());
            } else {
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

    void forwardFarewell(const WorkerHeartbeat &heartbeat, const std::function<void()> &acknowledge)
    {
        const std::shared_ptr<SimulatedLeader> leader = leader_;
        if (!leader || !leader->canSendOrders()) {
            return;
        }
        leader->post([this, leader, heartbeat, acknowledge]() {
            if (leader->isLeader()) {
                leader->supervisor->onWorkerLeaving(heartbeat.id, heartbeat.incarnation,
                    simulation_.now(), [acknowledge](FarewellOutcome outcome) {
                        if (outcome != FarewellOutcome::Retired) {
                            acknowledge();
                        }
                    });
            }
        });
    }

    void newLeader(const std::vector<WorkerHeartbeat> &knownWorkers)
    {
        leader_ = std::make_shared<SimulatedLeader>(simulation_, journal_, workers_, ++term_);
        leaders_.push_back(leader_);
        leader_->becomeLeader(knownWorkers);
    }

    void changeLeader()
    {
        const std::shared_ptr<SimulatedLeader> previousLeader = leader_;
        leader_.reset();
        std::vector<WorkerHeartbeat> knownWorkers = previousLeader->supervisor->callableWorkers();
        std::erase_if(
            knownWorkers, [this](const WorkerHeartbeat &) { return simulation_.chance(50); });
        if (simulation_.chance(30)) {
            rules_.onDisturbance(simulation_.now());
            previousLeader->losePower();
        } else {
            previousLeader->depose();
        }
        simulation_.after(simulation_.randomDuration(0, 2'500),
            [this, knownWorkers]() { newLeader(knownWorkers); });
    }

    void scheduleFault()
    {
        isOverloadOnly_ = simulation_.chance(10) ? !isOverloadOnly_ : isOverloadOnly_;
        simulation_.after(simulation_.randomDuration(200, 2'500), [this]() {
            if (simulation_.now() < start_ + faultDuration) {
                injectFault();
                scheduleFault();
            }
        });
    }

    void injectFault()
    {
        const std::vector<WorkerId> alive = workers_.aliveWorkers();
        const WorkerId worker = alive.empty()
            ? WorkerId {"w1"}
            : alive[static_cast<std::size_t>(
                simulation_.randomNumber(0, static_cast<int>(alive.size()) - 1))];
        if (faults_ == Faults::Departures) {
            injectDeparture(worker);
            return;
        }
        // Kinds 0 to 4 are leader changes and overload; the others are faults of workers.
        const int kind = simulation_.randomNumber(0, isOverloadOnly_ ? 4 : 9);
        if (kind > 4) {
            rules_.onDisturbance(simulation_.now());
        }
        switch (kind) {
        case 0:
        case 1:
            if (leader_) {
                changeLeader();
            }
            break;
        case 2:
            if (leader_) {
                leader_->blockLoop(simulation_.randomDuration(200, 4'000));
            }
            break;
        case 3:
            if (leader_) {
                leader_->loseLease(simulation_.randomDuration(100, 7'000));
            }
            break;
        case 4:
            journal_.slowDown(simulation_.randomDuration(500, 8'000));
            break;
        case 5:
            workers_.crash(worker);
            scheduleReplacement(simulation_.chance(50) ? worker : newWorker());
            break;
        case 6:
            workers_.leave(worker);
            scheduleReplacement(newWorker());
            break;
        case 7:
            workers_.disconnect(worker, simulation_.randomDuration(300, 9'000));
            break;
        default:
            workers_.slowDown(worker, simulation_.randomDuration(1'000, 6'000));
        }
    }

    void injectDeparture(const WorkerId &worker)
    {
        rules_.onDisturbance(simulation_.now());
        const int kind = simulation_.randomNumber(0, 9);
        if (kind == 0 && leader_) {
            changeLeader();
        } else if (kind == 1) {
            workers_.crash(worker);
            scheduleReplacement(worker);
        } else if (kind == 2) {
            workers_.disconnect(worker, simulation_.randomDuration(300, 9'000));
        } else {
            workers_.depart(worker, simulation_.chance(50));
            scheduleReplacement(newWorker());
        }
    }

    void scheduleReplacement(const WorkerId &worker)
    {
        simulation_.after(
            simulation_.randomDuration(300, 3'000), [this, worker]() { workers_.boot(worker); });
    }

    void checkFinalState()
    {
        for (const std::pair<const GraphId, CopyOnWrite<Graph>> &entry :
            leader_->state.graphs().allGraphs()) {
            const Graph &graph = *entry.second;
            TaskRef ref {entry.first, 0, 0, 0};
            if (graph.state == GraphState::Open) {
                rules_.addViolation("LOST", ref, {}, "the job is still open");
            }
            for (ref.step = 0; ref.step < graph.spec.steps.size(); ++ref.step) {
                for (ref.task = 0; ref.task < graph.spec.steps[ref.step].tasks; ++ref.task) {
                    if (graph.state == GraphState::Succeeded && !rules_.hasSucceeded(ref)) {
                        rules_.addViolation("MIXED", ref, {}, "the job is shown as done");
                    }
                    if (rules_.isRunning(ref)) {
                        rules_.addViolation("UNASKED", ref, {}, "still runs");
                    }
                }
            }
        }
    }

    Simulation simulation_;
    Faults faults_;
    MonotonicTime start_ = simulation_.now();
    RunRules rules_;
    SimulatedJournal journal_ {simulation_};
    SimulatedWorkers workers_ {simulation_, rules_};
    std::shared_ptr<SimulatedLeader> leader_; // null between two leaders
    std::vector<std::shared_ptr<SimulatedLeader>> leaders_;
    bool isOverloadOnly_ = simulation_.chance(40); // no faults of workers
    std::uint64_t term_ = 0;
    int createdWorkerCount_ = 0;
    int createdJobCount_ = 0;
};

void checkScenarios(Scenario::Faults faults, std::uint64_t firstSeed, std::uint64_t scenarioCount)
{
    setLogLevel(std::getenv("RUN_RULES_LOG") != nullptr ? LogLevel::Info : LogLevel::Error);
    for (std::uint64_t seed = firstSeed; seed < firstSeed + scenarioCount; ++seed) {
        for (const std::string &violation : Scenario {seed, faults}.run()) {
            UNSCOPED_INFO("seed " << seed << ": " << violation);
            CHECK(violation.empty());
        }
    }
}

std::uint64_t readNumber(const char *variable, std::uint64_t fallback)
{
    const char *text = std::getenv(variable);
    return text == nullptr ? fallback : std::strtoull(text, nullptr, 10);
}

} // namespace

// RUN_RULES_SEED and RUN_RULES_DAYS select the first seed and the number of scenarios.
// RUN_RULES_LOG shows the log of the supervisors.
TEST_CASE("faults, late answers and leader changes in any order break no rule of runs")
{
    checkScenarios(Scenario::Faults::Any, readNumber("RUN_RULES_SEED", 20'261'204),
        readNumber("RUN_RULES_DAYS", 400));
}

// Guards against tasks that run twice since a refused connection to a leaving worker is taken for
// the end of its process. RUN_RULES_SEED and RUN_RULES_DAYS select the scenarios here too.
TEST_CASE(
    "a leaving worker behind a cut that refuses connections ran its tasks beside their next runs")
{
    checkScenarios(Scenario::Faults::Departures, readNumber("RUN_RULES_SEED", 20'261'207),
        readNumber("RUN_RULES_DAYS", 400));
}

} // namespace crocusmill
