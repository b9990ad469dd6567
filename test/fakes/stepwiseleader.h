/// A leader in virtual time with one queue, one job and one worker, moved step by step by the test.

#pragma once

#include "src/net/peerstream.h"
#include "src/services/runsupervisor.h"
#include "test/fakes/graphs.h"
#include "test/fakes/queueanswers.h"
#include "test/fakes/workerlink.h"

#include <stdexcept>
#include <utility>

namespace crocusmill::fakes
{

/// A leader in virtual time whose proposals are recorded at once, or get no answer.
class StepwiseLeader
{
public:
    static constexpr Milliseconds tickInterval {25};
    inline static const QueueName queue {"quotes"};
    inline static const GraphId job {"g"};
    inline static const WorkerId worker {"w"};
    inline static const Incarnation incarnation {"1000"};

    static TaskRef taskOf(std::uint32_t number, const GraphId &graph = job)
    {
        return {graph, 0, 0, number};
    }

    explicit StepwiseLeader(std::uint32_t tasks = 1)
    {
        state.apply(catalogOf({queue}), LogIndex {++index_});
        submit(job, tasks);
        takeOver();
    }

    void submit(const GraphId &graph, std::uint32_t tasks)
    {
        state.apply(SubmitGraph {graphOf(graph.value(), {stepOf(tasks)}), WallTime {}},
            LogIndex {++index_});
    }

    /// Replaces the leader by a new one that has the same journal. Its worker has been heard and
    /// has not answered yet.
    void takeOver()
    {
        if (supervisor_) {
            supervisor_->retire();
        }
        link.starts.clear();
        link.stops.clear();
        link.holds.clear();
        supervisor_ = std::make_shared<RunSupervisor>(
            RunSupervisor::Parts {state, link,
                [this](
                    const Command &command, const ProposeHandler &done) { propose(command, done); },
                []() { return true; }, FencingToken {++term_}, SupervisorTimes {}, []() {},
                [this]() {
                    return now_;
                }},
            now_);
        supervisor_->adoptPlacements(now_);
        WorkerHeartbeat heartbeat;
        heartbeat.id = worker;
        heartbeat.incarnation = incarnation;
        heartbeat.sequence = 1;
        heartbeat.capacity.milliCores = 8'000;
        heartbeat.clock = WorkerTime {1'000};
        supervisor_->onHeartbeat(heartbeat, now_);
    }

    void restoreFromSnapshot()
    {
        if (!state.restore(state.snapshot())) {
            throw std::runtime_error {"the snapshot cannot be restored"};
        }
    }

    /// Decides on a run of each task and records the placements.
    void place(std::uint32_t tasks, std::uint32_t run = 1, const GraphId &graph = job)
    {
        PlaceRuns command;
        for (std::uint32_t number = 0; number < tasks; ++number) {
            command.placements.push_back(
                {taskOf(number, graph), RunNumber {run}, worker, incarnation});
            supervisor_->reserve(command.placements.back(), stepOf(tasks));
        }
        state.apply(command, LogIndex {++index_});
    }

    void order(std::uint32_t tasks, const GraphId &graph = job)
    {
        for (std::uint32_t number = 0; number < tasks; ++number) {
            supervisor_->start(taskOf(number, graph), std::nullopt, now_);
        }
    }

    void runFor(Milliseconds span)
    {
        for (const MonotonicTime end = now_ + span; now_ < end; now_ += tickInterval) {
            supervisor_->tick(now_, WallTime {});
        }
    }

    /// Lets time pass while the worker answers neither orders nor holds.
    void runForWithoutAnswers(Milliseconds span)
    {
        constexpr Milliseconds answerTimeout {400};
        for (const MonotonicTime end = now_ + span; now_ < end;) {
            runFor(answerTimeout);
            for (const FakeWorkerLink::StartCall &call : std::exchange(link.starts, {})) {
                call.done(StartOutcome::Unanswered, std::nullopt);
            }
            for (const FakeWorkerLink::StopCall &call : std::exchange(link.stops, {})) {
                call.done(StopOutcome::Unanswered);
            }
            HoldOutcome unanswered;
            unanswered.error = HoldError::Unanswered;
            for (const FakeWorkerLink::HoldCall &call : std::exchange(link.holds, {})) {
                call.done(unanswered);
            }
        }
    }

    void revokePlacement(std::uint32_t number)
    {
        supervisor_->revokePlacement(taskOf(number));
    }

    [[nodiscard]] std::uint64_t pendingCount() const
    {
        return pendingCountOf(state, queue);
    }

    [[nodiscard]] bool isShownAsStarted() const
    {
        return answerAbout(state, queue, job).started;
    }

    [[nodiscard]] TaskPhase phase() const
    {
        return state.graphs().find(job)->find(taskOf(0))->phase;
    }

    StateMachine state;
    FakeWorkerLink link;
    int unansweredProposals = 0; // how many of the next proposals have an unknown outcome
    std::size_t proposalCount = 0;

private:
    void propose(const Command &command, const ProposeHandler &done)
    {
        ++proposalCount;
        if (unansweredProposals > 0) {
            --unansweredProposals;
            done(PeerError::TimedOut);
            return;
        }
        done(state.apply(command, LogIndex {++index_}));
    }

    std::uint64_t index_ = 1;
    std::uint64_t term_ = 0;
    MonotonicTime now_ {Milliseconds {1'000'000}};
    std::shared_ptr<RunSupervisor> supervisor_;
};

} // namespace crocusmill::fakes
