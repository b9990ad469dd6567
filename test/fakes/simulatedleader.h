/// Leader in virtual time: a control loop that may stall, a supervisor of runs, and a journal that
/// it shares with the other leaders.

#pragma once

#include "src/net/peerstream.h"
#include "src/services/runsupervisor.h"
#include "test/fakes/simulatedworkers.h"

#include <deque>
#include <memory>
#include <stdexcept>
#include <utility>

namespace crocusmill::fakes
{

/// The committed commands, and the current leader's uncommitted proposals.
class SimulatedJournal
{
public:
    struct Entry
    {
        Command command;
        std::function<void()> onCommitted;
    };

    explicit SimulatedJournal(Simulation &simulation)
        : simulation_(simulation)
    {
    }

    /// Starts the term of a new leader: commits a random number of pending proposals and drops the
    /// rest.
    void beginTerm(std::uint64_t term)
    {
        term_ = term;
        const std::size_t keptCount = uncommitted_.empty()
            ? 0
            : static_cast<std::size_t>(
                simulation_.randomNumber(0, static_cast<int>(uncommitted_.size())));
        for (std::size_t i = 0; i < keptCount; ++i) {
            commit();
        }
        uncommitted_.clear();
        lastCommitAt_ = simulation_.now();
    }

    void propose(std::uint64_t term, const Command &command, std::function<void()> onCommitted)
    {
        if (term != term_) {
            return; // a newer leader has replaced the proposer: its outcome stays unknown
        }
        uncommitted_.push_back({command, std::move(onCommitted)});
        const Milliseconds commitDelay = simulation_.now() < slowUntil_
            ? simulation_.randomDuration(200, 9'000)
            : simulation_.randomDuration(1, 30);
        lastCommitAt_ = std::max(lastCommitAt_, simulation_.now() + commitDelay);
        simulation_.at(lastCommitAt_, [this, term]() {
            if (term == term_ && !uncommitted_.empty()) {
                commit();
            }
        });
    }

    void slowDown(Milliseconds span)
    {
        slowUntil_ = simulation_.now() + span;
    }

    [[nodiscard]] const std::vector<Command> &committed() const
    {
        return log_;
    }

    /// Returns the time until which every proposal so far is committed.
    [[nodiscard]] MonotonicTime lastCommitAt() const
    {
        return lastCommitAt_;
    }

private:
    void commit()
    {
        const Entry entry = std::move(uncommitted_.front());
        uncommitted_.pop_front();
        log_.push_back(entry.command);
        entry.onCommitted();
    }

    Simulation &simulation_;
    std::uint64_t term_ = 0;
    std::vector<Command> log_;
    std::deque<Entry> uncommitted_;
    MonotonicTime lastCommitAt_ {};
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

    /// `knownWorkers`: heartbeats that the previous leader handed on. `fromSnapshot`: the state was
    /// restored from a snapshot.
    void becomeLeader(const std::vector<WorkerHeartbeat> &knownWorkers, bool fromSnapshot = false)
    {
        journal_.beginTerm(term_);
        for (const Command &command : journal_.committed()) {
            state.apply(command, LogIndex {++index_});
        }
        if (fromSnapshot && !state.restore(state.snapshot())) {
            throw std::runtime_error {"the snapshot cannot be restored"};
        }
        const std::weak_ptr<SimulatedLeader> weak = weak_from_this();
        supervisor = std::make_shared<RunSupervisor>(
            RunSupervisor::Parts {state, *this,
                [this](
                    const Command &command, const ProposeHandler &done) { propose(command, done); },
                [this]() { return canSendOrders(); }, FencingToken {term_}, SupervisorTimes {},
                [this]() { wake(); },
                [this]() {
                    return simulation_.now();
                }},
            simulation_.now());
        supervisor->adoptPlacements(simulation_.now());
        for (const WorkerHeartbeat &heartbeat : knownWorkers) {
            supervisor->onHeartbeat(heartbeat, simulation_.now());
        }
        scheduleTick();
    }

    /// Ends the leadership. The supervisor is retired up to 400 ms later.
    void depose()
    {
        isDeposed_ = true;
        simulation_.after(simulation_.randomDuration(0, 400),
            [this, self = shared_from_this()]() { post([this]() { supervisor->retire(); }); });
    }

    /// Stops the control loop for good, without retiring the supervisor.
    void losePower()
    {
        isDeposed_ = true;
        isPoweredOff_ = true;
    }

    void blockLoop(Milliseconds span)
    {
        blockedUntil_ = simulation_.now() + span;
    }

    void loseLease(Milliseconds span)
    {
        leaseLostUntil_ = simulation_.now() + span;
    }

    /// Runs the callback on the control loop, in order of arrival, once the loop is not blocked.
    void post(std::function<void()> callback)
    {
        queue_.push_back(std::move(callback));
        simulation_.at(std::max(simulation_.now(), blockedUntil_),
            [this, self = shared_from_this()]() { runQueue(); });
    }

    void propose(const Command &command, const ProposeHandler &done)
    {
        const std::shared_ptr<bool> isPending = std::make_shared<bool>(true);
        const std::shared_ptr<SimulatedLeader> self = shared_from_this();
        journal_.propose(term_, command, [this, self, command, done, isPending]() {
            post([this, command, done, isPending]() {
                if (isPoweredOff_) {
                    return;
                }
                const ApplyReply reply = state.apply(command, LogIndex {++index_});
                if (std::exchange(*isPending, false) && !isDeposed_) {
                    done(reply);
                }
            });
        });
        simulation_.after(proposeTimeout, [this, self, done, isPending]() {
            post([this, done, isPending]() {
                if (std::exchange(*isPending, false) && !isDeposed_) {
                    done(PeerError::TimedOut);
                }
            });
        });
    }

    [[nodiscard]] bool canSendOrders() const
    {
        return !isDeposed_ && simulation_.now() >= leaseLostUntil_;
    }

    [[nodiscard]] bool isLeader() const
    {
        return !isDeposed_;
    }

    void start(const WorkerEndpoint &worker, const StartOrder &order, Milliseconds timeout,
        StartHandler done) override
    {
        const auto answered = withTimeout<SimulatedWorkers::StartAnswer>(
            timeout, {}, [done = std::move(done)](const SimulatedWorkers::StartAnswer &answer) {
                done(answer.outcome, answer.clock);
            });
        workers_.start(worker.id, order, answered);
    }

    void stop(const WorkerEndpoint &worker, const TaskRef &task, RunNumber run, FencingToken fence,
        Milliseconds timeout, StopHandler done) override
    {
        workers_.stop(worker.id, task, run, fence,
            withTimeout<StopOutcome>(timeout, StopOutcome::Unanswered, std::move(done)));
    }

    void hold(const WorkerEndpoint &worker, const HoldOrder &order, Milliseconds timeout,
        HoldHandler done) override
    {
        HoldOutcome timeoutAnswer;
        timeoutAnswer.error = HoldError::Unanswered;
        workers_.hold(
            worker.id, order, withTimeout<HoldOutcome>(timeout, timeoutAnswer, std::move(done)));
    }

    void forget(const WorkerEndpoint & /*worker*/) override
    {
    }

    StateMachine state;
    std::shared_ptr<RunSupervisor> supervisor;

private:
    static constexpr Milliseconds proposeTimeout {5'000};
    static constexpr Milliseconds tickInterval {25};
    static constexpr Milliseconds wakeDelay {4};

    /// Wraps `done` so that it gets one answer: that of the worker, or `timeoutAnswer` after the
    /// timeout. If a blocked loop delays both, either may win.
    template <typename Answer>
    std::function<void(const Answer &)> withTimeout(
        Milliseconds timeout, const Answer &timeoutAnswer, std::function<void(const Answer &)> done)
    {
        const std::shared_ptr<bool> isPending = std::make_shared<bool>(true);
        const MonotonicTime deadline = simulation_.now() + timeout;
        const std::shared_ptr<SimulatedLeader> self = shared_from_this();
        const std::function<void(const Answer &)> handleOnce = [isPending, done](
                                                                   const Answer &answer) {
            if (std::exchange(*isPending, false)) {
                done(answer);
            }
        };
        simulation_.at(deadline, [this, self, handleOnce, timeoutAnswer]() {
            post([handleOnce, timeoutAnswer]() { handleOnce(timeoutAnswer); });
        });
        return [this, self, handleOnce, deadline, timeoutAnswer](const Answer &answer) {
            post([this, handleOnce, deadline, timeoutAnswer, answer]() {
                const bool isLate = simulation_.now() > deadline && simulation_.chance(50);
                handleOnce(isLate ? timeoutAnswer : answer);
            });
        };
    }

    void runQueue()
    {
        while (!queue_.empty() && !isPoweredOff_ && simulation_.now() >= blockedUntil_) {
            const std::function<void()> callback = std::move(queue_.front());
            queue_.pop_front();
            callback();
        }
        if (!queue_.empty() && !isPoweredOff_) {
            simulation_.at(blockedUntil_, [this, self = shared_from_this()]() { runQueue(); });
        }
    }

    void scheduleTick()
    {
        simulation_.after(tickInterval, [this, self = shared_from_this()]() {
            if (isDeposed_) {
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
        if (std::exchange(isWakeScheduled_, true)) {
            return;
        }
        simulation_.after(wakeDelay, [this, self = shared_from_this()]() {
            post([this]() {
                isWakeScheduled_ = false;
                tick();
            });
        });
    }

    void tick()
    {
        if (!canSendOrders()) {
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
                const bool isPlaced = task != nullptr && task->phase == TaskPhase::Placed
                    && task->run == placement.run && task->worker == placement.worker;
                if (isPlaced) {
                    supervisor->start(placement.task, std::nullopt, simulation_.now());
                } else if (reply) {
                    supervisor->cancelReservation(placement.task);
                } else {
                    supervisor->revokePlacement(placement.task);
                }
            }
        });
    }

    Simulation &simulation_;
    SimulatedJournal &journal_;
    SimulatedWorkers &workers_;
    std::uint64_t term_;
    std::uint64_t index_ = 1;
    bool isDeposed_ = false;
    bool isPoweredOff_ = false;
    bool isWakeScheduled_ = false;
    MonotonicTime blockedUntil_ {};
    MonotonicTime leaseLostUntil_ {};
    std::deque<std::function<void()>> queue_;
};

} // namespace crocusmill::fakes
