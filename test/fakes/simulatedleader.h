/// A VM that leads in virtual time: its control loop, which may stand still, its place in a journal
/// that it shares with the other leaders, and its supervisor of runs.

#pragma once

#include "src/net/peerstream.h"
#include "src/services/runsupervisor.h"
#include "test/fakes/simulatedworkers.h"

#include <deque>
#include <memory>
#include <utility>

namespace crocusmill::fakes
{

/// What is committed, and what one leader has proposed beyond that.
class SimulatedJournal
{
public:
    struct Entry
    {
        Command command;
        std::function<void()> committed;
    };

    explicit SimulatedJournal(Simulation &simulation)
        : simulation_(simulation)
    {
    }

    /// A later leader keeps some of what was proposed and replaces the rest.
    void lead(std::uint64_t term)
    {
        term_ = term;
        const std::size_t kept = proposed_.empty()
            ? 0
            : static_cast<std::size_t>(simulation_.number(0, static_cast<int>(proposed_.size())));
        for (std::size_t i = 0; i < kept; ++i) {
            commit();
        }
        proposed_.clear();
        lastCommit_ = simulation_.now();
    }

    void propose(std::uint64_t term, const Command &command, std::function<void()> committed)
    {
        if (term != term_) {
            return; // the others would not take it: it stays unknown
        }
        proposed_.push_back({command, std::move(committed)});
        const Milliseconds taken = simulation_.now() < slowUntil_ ? simulation_.between(200, 9'000)
                                                                  : simulation_.between(1, 30);
        lastCommit_ = std::max(lastCommit_, simulation_.now() + taken);
        simulation_.at(lastCommit_, [this, term]() {
            if (term == term_ && !proposed_.empty()) {
                commit();
            }
        });
    }

    void slow(Milliseconds span)
    {
        slowUntil_ = simulation_.now() + span;
    }

    [[nodiscard]] const std::vector<Command> &all() const
    {
        return log_;
    }

private:
    void commit()
    {
        const Entry entry = std::move(proposed_.front());
        proposed_.pop_front();
        log_.push_back(entry.command);
        entry.committed();
    }

    Simulation &simulation_;
    std::uint64_t term_ = 0;
    std::vector<Command> log_;
    std::deque<Entry> proposed_;
    MonotonicTime lastCommit_ {};
    MonotonicTime slowUntil_ {};
};

class SimulatedLeader : public std::enable_shared_from_this<SimulatedLeader>, public WorkerLink
{
public:
    SimulatedLeader(Simulation &simulation, SimulatedJournal &journal, SimulatedWorkers &workers,
        std::uint64_t term)
        : simulation_(simulation)
        , journal_(journal)
        , workers_(workers)
        , term_(term)
    {
    }

    /// `known`: workers that the earlier leader had told of.
    void lead(const std::vector<WorkerHeartbeat> &known)
    {
        journal_.lead(term_);
        for (const Command &command : journal_.all()) {
            state.apply(command, LogIndex {++index_});
        }
        const std::weak_ptr<SimulatedLeader> weak = weak_from_this();
        supervisor = std::make_shared<RunSupervisor>(
            RunSupervisor::Parts {state, *this,
                [this](
                    const Command &command, const ProposeHandler &done) { propose(command, done); },
                [this]() { return mayOrder(); }, FencingToken {term_}, SupervisorTimes {},
                [this]() { wake(); },
                [this]() {
                    return simulation_.now();
                }},
            simulation_.now());
        supervisor->takeOver(simulation_.now());
        for (const WorkerHeartbeat &heartbeat : known) {
            supervisor->heard(heartbeat, simulation_.now());
        }
        scheduleTick();
    }

    /// Others may lead from now on; this VM learns of it a while later.
    void depose()
    {
        deposed_ = true;
        simulation_.after(simulation_.between(0, 400),
            [this, self = shared_from_this()]() { post([this]() { supervisor->retire(); }); });
    }

    /// Nothing of it goes on, and nobody retires it.
    void losePower()
    {
        deposed_ = true;
        dead_ = true;
    }

    void stall(Milliseconds span)
    {
        busyUntil_ = simulation_.now() + span;
    }

    void lapse(Milliseconds span)
    {
        lapsedUntil_ = simulation_.now() + span;
    }

    /// Runs on the control loop, in the order of arrival, once it does not stand still.
    void post(std::function<void()> what)
    {
        queue_.push_back(std::move(what));
        simulation_.at(std::max(simulation_.now(), busyUntil_),
            [this, self = shared_from_this()]() { drain(); });
    }

    void propose(const Command &command, const ProposeHandler &done)
    {
        const std::shared_ptr<bool> open = std::make_shared<bool>(true);
        const std::shared_ptr<SimulatedLeader> self = shared_from_this();
        journal_.propose(term_, command, [this, self, command, done, open]() {
            post([this, command, done, open]() {
                if (dead_) {
                    return;
                }
                const ApplyReply reply = state.apply(command, LogIndex {++index_});
                if (std::exchange(*open, false) && !deposed_) {
                    done(reply);
                }
            });
        });
        simulation_.after(proposeLimit, [this, self, done, open]() {
            post([this, done, open]() {
                if (std::exchange(*open, false) && !deposed_) {
                    done(PeerError::TimedOut);
                }
            });
        });
    }

    [[nodiscard]] bool mayOrder() const
    {
        return !deposed_ && simulation_.now() >= lapsedUntil_;
    }

    [[nodiscard]] bool leads() const
    {
        return !deposed_;
    }

    void start(const WorkerEndpoint &worker, const StartOrder &order, Milliseconds limit,
        Started done) override
    {
        const auto answered = limited<SimulatedWorkers::Started>(
            limit, {}, [done = std::move(done)](const SimulatedWorkers::Started &answer) {
                done(answer.outcome, answer.clock);
            });
        workers_.start(worker.id, order, answered);
    }

    void stop(const WorkerEndpoint &worker, const TaskRef &task, RunNumber run, FencingToken fence,
        Milliseconds limit, Stopped done) override
    {
        workers_.stop(worker.id, task, run, fence,
            limited<StopOutcome>(limit, StopOutcome::Unanswered, std::move(done)));
    }

    void hold(const WorkerEndpoint &worker, const HoldOrder &order, Milliseconds limit,
        Held done) override
    {
        HoldOutcome none;
        none.error = HoldError::Unanswered;
        workers_.hold(worker.id, order, limited<HoldOutcome>(limit, none, std::move(done)));
    }

    void forget(const WorkerEndpoint & /*worker*/) override
    {
    }

    StateMachine state;
    std::shared_ptr<RunSupervisor> supervisor;

private:
    static constexpr Milliseconds proposeLimit {5'000};
    static constexpr Milliseconds tickPause {25};
    static constexpr Milliseconds wakePause {4};

    /// One answer, or none in time. A loop that comes to both late may take either first.
    template <typename Answer>
    std::function<void(const Answer &)> limited(
        Milliseconds limit, const Answer &none, std::function<void(const Answer &)> done)
    {
        const std::shared_ptr<bool> open = std::make_shared<bool>(true);
        const MonotonicTime until = simulation_.now() + limit;
        const std::shared_ptr<SimulatedLeader> self = shared_from_this();
        const std::function<void(const Answer &)> take = [open, done](const Answer &answer) {
            if (std::exchange(*open, false)) {
                done(answer);
            }
        };
        simulation_.at(until, [this, self, take, none]() { post([take, none]() { take(none); }); });
        return [this, self, take, until, none](const Answer &answer) {
            post([this, take, until, none, answer]() {
                const bool late = simulation_.now() > until && simulation_.chance(50);
                take(late ? none : answer);
            });
        };
    }

    void drain()
    {
        while (!queue_.empty() && !dead_ && simulation_.now() >= busyUntil_) {
            const std::function<void()> what = std::move(queue_.front());
            queue_.pop_front();
            what();
        }
        if (!queue_.empty() && !dead_) {
            simulation_.at(busyUntil_, [this, self = shared_from_this()]() { drain(); });
        }
    }

    void scheduleTick()
    {
        simulation_.after(tickPause, [this, self = shared_from_this()]() {
            if (deposed_) {
                return;
            }
            post([this]() {
                tick();
                scheduleTick();
            });
        });
    }

    void wake()
    {
        if (std::exchange(woken_, true)) {
            return;
        }
        simulation_.after(wakePause, [this, self = shared_from_this()]() {
            post([this]() {
                woken_ = false;
                tick();
            });
        });
    }

    void tick()
    {
        if (!mayOrder()) {
            return;
        }
        const WallTime wall {
            std::chrono::duration_cast<Milliseconds>(simulation_.now().time_since_epoch())};
        supervisor->tick(simulation_.now(), wall);
        std::vector<RunPlacement> placements;
        for (const GraphId &id : state.graphs().waitingGraphs()) {
            const Graph &graph = *state.graphs().find(id);
            for (std::uint32_t step = 0; step < graph.spec.steps.size(); ++step) {
                if (graph.isReady(0, step)) {
                    place(graph, {id, 0, step, 0}, placements);
                }
            }
        }
        record(placements);
    }

    void place(const Graph &graph, const TaskRef &step, std::vector<RunPlacement> &placements)
    {
        StepDemand demand;
        demand.step = step;
        demand.service = graph.spec.service;
        demand.spec = &graph.spec.steps[step.step];
        TaskRef ref = step;
        for (; ref.task < demand.spec->tasks; ++ref.task) {
            if (graph.find(ref)->phase == TaskPhase::Waiting && !supervisor->hasRun(ref)) {
                demand.waiting.push_back(ref.task);
            } else if (demand.spec->gang) {
                return;
            }
        }
        for (const FleetChoice &choice : supervisor->fleet().choose(demand)) {
            ref.task = choice.task;
            placements.push_back({ref, graph.nextRun(ref), choice.worker, choice.incarnation});
            supervisor->reserve(placements.back(), *demand.spec);
        }
    }

    void record(const std::vector<RunPlacement> &placements)
    {
        if (placements.empty()) {
            return;
        }
        propose(PlaceRuns {placements}, [this, placements](const Result<ApplyReply> &reply) {
            for (const RunPlacement &placement : placements) {
                const Graph *graph = state.graphs().find(placement.task.graph);
                const GraphTask *task = graph == nullptr ? nullptr : graph->find(placement.task);
                const bool placed = task != nullptr && task->phase == TaskPhase::Placed
                    && task->run == placement.run && task->worker == placement.worker;
                if (placed) {
                    supervisor->start(placement.task, std::nullopt, simulation_.now());
                } else if (reply) {
                    supervisor->cancelReservation(placement.task);
                } else {
                    supervisor->withdraw(placement.task);
                }
            }
        });
    }

    Simulation &simulation_;
    SimulatedJournal &journal_;
    SimulatedWorkers &workers_;
    std::uint64_t term_;
    std::uint64_t index_ = 1;
    bool deposed_ = false;
    bool dead_ = false;
    bool woken_ = false;
    MonotonicTime busyUntil_ {};
    MonotonicTime lapsedUntil_ {};
    std::deque<std::function<void()>> queue_;
};

} // namespace crocusmill::fakes
