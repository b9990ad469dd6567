/// Runs under leaders that change, stand still and hear late: no order of events breaks a rule.

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

/// One day: jobs and faults for a while, then calm until everything must be over.
class Day
{
public:
    explicit Day(std::uint64_t seed)
        : simulation_(seed)
    {
        workers_.heard = [this](const WorkerHeartbeat &heartbeat, bool leaves) {
            hear(heartbeat, leaves);
        };
    }

    std::vector<std::string> play()
    {
        for (int i = 0; i < workersAtFirst; ++i) {
            workers_.boot(newWorker());
        }
        newLeader({});
        for (int i = 0; i < jobs; ++i) {
            simulation_.after(simulation_.between(200, 20'000), [this]() { submit(newJob()); });
        }
        scheduleFault();
        simulation_.runUntil(simulation_.now() + faultsLast + calmLasts);
        checkAllOver();
        rules_.judgeStarts();
        return rules_.brokenRules();
    }

private:
    static constexpr int workersAtFirst = 4;
    static constexpr int jobs = 14;
    static constexpr Milliseconds faultsLast {28'000};
    static constexpr Milliseconds calmLasts {45'000};
    static constexpr Milliseconds tryAgain {200};

    WorkerId newWorker()
    {
        return WorkerId {"w" + std::to_string(++workersEver_)};
    }

    GraphSpec newJob()
    {
        StepSpec second = stepOf(1);
        second.after = {0};
        StepSpec gang = stepOf(2);
        gang.gang = true;
        const std::vector<std::vector<StepSpec>> kinds {
            {stepOf(1)}, {stepOf(3)}, {stepOf(2), second}, {gang}, {gang, second}};
        const auto kind =
            static_cast<std::size_t>(simulation_.number(0, static_cast<int>(kinds.size()) - 1));
        return graphOf("j" + std::to_string(++jobsEver_), kinds[kind]);
    }

    void submit(const GraphSpec &spec)
    {
        if (!leader_) {
            simulation_.after(tryAgain, [this, spec]() { submit(spec); });
            return;
        }
        rules_.submitted(spec);
        leader_->propose(SubmitGraph {spec, {}}, [](const Result<ApplyReply> & /*reply*/) {});
        // Whoever asked does so again; it stays one job.
        simulation_.after(Milliseconds {6'000}, [this, spec]() {
            if (!leader_ || leader_->state.graphs().find(spec.id) == nullptr) {
                submit(spec);
            }
        });
        if (simulation_.chance(15)) {
            simulation_.after(
                simulation_.between(500, 6'000), [this, id = spec.id]() { cancel(id); });
        }
    }

    void cancel(const GraphId &id)
    {
        if (!leader_) {
            simulation_.after(tryAgain, [this, id]() { cancel(id); });
            return;
        }
        leader_->propose(CancelGraph {id, {}}, [this, id](const Result<ApplyReply> &reply) {
            if (reply && reply.value().error == StateError::None) {
                rules_.cancelled(id, simulation_.now());
            } else {
                simulation_.after(tryAgain, [this, id]() { cancel(id); });
            }
        });
    }

    void hear(const WorkerHeartbeat &heartbeat, bool leaves)
    {
        const std::shared_ptr<SimulatedLeader> leader = leader_;
        if (!leader || !leader->mayOrder()) {
            return;
        }
        leader->post([this, leader, heartbeat, leaves]() {
            if (!leader->leads()) {
                return;
            }
            if (leaves) {
                leader->supervisor->left(heartbeat.id, heartbeat.incarnation, simulation_.now());
            } else {
                leader->supervisor->heard(heartbeat, simulation_.now());
            }
        });
    }

    void newLeader(const std::vector<WorkerHeartbeat> &known)
    {
        leader_ = std::make_shared<SimulatedLeader>(simulation_, journal_, workers_, ++term_);
        leaders_.push_back(leader_);
        leader_->lead(known);
    }

    void changeLeader()
    {
        const std::shared_ptr<SimulatedLeader> last = leader_;
        leader_.reset();
        std::vector<WorkerHeartbeat> known = last->supervisor->heardLately();
        std::erase_if(known, [this](const WorkerHeartbeat &) { return simulation_.chance(50); });
        if (simulation_.chance(30)) {
            rules_.disturbed(simulation_.now());
            last->losePower();
        } else {
            last->depose();
        }
        simulation_.after(simulation_.between(0, 2'500), [this, known]() { newLeader(known); });
    }

    void scheduleFault()
    {
        overloaded_ = simulation_.chance(10) ? !overloaded_ : overloaded_;
        simulation_.after(simulation_.between(200, 2'500), [this]() {
            if (simulation_.now() < start_ + faultsLast) {
                fault();
                scheduleFault();
            }
        });
    }

    void fault()
    {
        const std::vector<WorkerId> alive = workers_.alive();
        const WorkerId worker = alive.empty() ? WorkerId {"w1"}
                                              : alive[static_cast<std::size_t>(simulation_.number(
                                                  0, static_cast<int>(alive.size()) - 1))];
        // Overload lasts; the rest comes alone.
        const int kind = simulation_.number(0, overloaded_ ? 4 : 9);
        if (kind > 4) {
            rules_.disturbed(simulation_.now());
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
                leader_->stall(simulation_.between(200, 4'000));
            }
            break;
        case 3:
            if (leader_) {
                leader_->lapse(simulation_.between(100, 7'000));
            }
            break;
        case 4:
            journal_.slow(simulation_.between(500, 8'000));
            break;
        case 5:
            workers_.crash(worker);
            replace(simulation_.chance(50) ? worker : newWorker());
            break;
        case 6:
            workers_.leave(worker);
            replace(newWorker());
            break;
        case 7:
            workers_.cut(worker, simulation_.between(300, 9'000));
            break;
        default:
            workers_.slow(worker, simulation_.between(1'000, 6'000));
        }
    }

    void replace(const WorkerId &worker)
    {
        simulation_.after(
            simulation_.between(300, 3'000), [this, worker]() { workers_.boot(worker); });
    }

    void checkAllOver()
    {
        for (const std::pair<const GraphId, CopyOnWrite<Graph>> &known :
            leader_->state.graphs().allGraphs()) {
            const Graph &graph = *known.second;
            TaskRef ref {known.first, 0, 0, 0};
            if (graph.state == GraphState::Open) {
                rules_.broken("LOST", ref, {}, "the job is still open");
            }
            for (ref.step = 0; ref.step < graph.spec.steps.size(); ++ref.step) {
                for (ref.task = 0; ref.task < graph.spec.steps[ref.step].tasks; ++ref.task) {
                    if (graph.state == GraphState::Succeeded && !rules_.hasSucceeded(ref)) {
                        rules_.broken("MIXED", ref, {}, "the job is shown as done");
                    }
                    if (rules_.isRunning(ref)) {
                        rules_.broken("UNASKED", ref, {}, "still runs");
                    }
                }
            }
        }
    }

    Simulation simulation_;
    MonotonicTime start_ = simulation_.now();
    RunRules rules_;
    SimulatedJournal journal_ {simulation_};
    SimulatedWorkers workers_ {simulation_, rules_};
    std::shared_ptr<SimulatedLeader> leader_; // null while there is none
    std::vector<std::shared_ptr<SimulatedLeader>> leaders_;
    bool overloaded_ = simulation_.chance(40); // nothing but the leaders' slowness is wrong
    std::uint64_t term_ = 0;
    int workersEver_ = 0;
    int jobsEver_ = 0;
};

std::uint64_t numberFrom(const char *variable, std::uint64_t otherwise)
{
    const char *text = std::getenv(variable);
    return text == nullptr ? otherwise : std::strtoull(text, nullptr, 10);
}

} // namespace

// RUN_RULES_SEED and RUN_RULES_DAYS play other days; RUN_RULES_LOG shows what the supervisors log.
TEST_CASE("no order of faults, late answers and changes of leader breaks a rule of runs")
{
    const std::uint64_t first = numberFrom("RUN_RULES_SEED", 20'261'204);
    const std::uint64_t days = numberFrom("RUN_RULES_DAYS", 400);
    setLogLevel(std::getenv("RUN_RULES_LOG") != nullptr ? LogLevel::Info : LogLevel::Error);
    for (std::uint64_t seed = first; seed < first + days; ++seed) {
        for (const std::string &rule : Day {seed}.play()) {
            UNSCOPED_INFO("seed " << seed << ": " << rule);
            CHECK(rule.empty());
        }
    }
}

} // namespace crocusmill
