/// Run supervisor with one job, one worker whose answers the test gives, and a journal that applies
/// proposals at once.

#pragma once

#include "src/net/clock.h"
#include "src/services/runsupervisor.h"
#include "test/fakes/graphs.h"
#include "test/fakes/workerlink.h"

#include <functional>
#include <memory>
#include <utility>
#include <vector>

namespace crocusmill::fakes::supervised
{

inline const WallTime wall {Milliseconds {1'000'000}};
inline const WorkerId worker {"w"};
inline const Incarnation firstIncarnation {"1000"};
inline const Incarnation secondIncarnation {"2000"};
inline const TaskRef task {GraphId {"g"}, 0, 0, 0};

/// Supervisor with a journal that applies proposals at once.
struct Fixture
{
    explicit Fixture(bool hasPlacement = false, SupervisorTimes times = {})
    {
        times.sweepInterval = Milliseconds {0}; // sweep in each tick
        state.apply(SubmitGraph {graphOf("g", {stepOf(1)}), wall}, LogIndex {1});
        if (hasPlacement) {
            recordPlacement();
        }
        supervisor = std::make_shared<RunSupervisor>(
            RunSupervisor::Parts {state, link,
                [this](const Command &command, const ProposeHandler &done) {
                    if (std::exchange(shouldFailNextProposal, false)) {
                        done(ConsensusError::NotLeader);
                        return;
                    }
                    if (isJournalSlow) {
                        heldProposals.emplace_back([this, command, done]() {
                            done(state.apply(command, LogIndex {++index}));
                        });
                        return;
                    }
                    done(state.apply(command, LogIndex {++index}));
                },
                [this]() { return canSendOrders; }, FencingToken {7}, times,
                [this]() {
                    tick(Milliseconds {0});
                }},
            startedAt);
        supervisor->adoptPlacements(startedAt);
    }

    void recordPlacement(std::uint32_t run = 1)
    {
        state.apply(
            PlaceRuns {{{task, RunNumber {run}, worker, firstIncarnation}}}, LogIndex {++index});
    }

    void receiveHeartbeat(const Incarnation &incarnation = firstIncarnation,
        std::uint64_t sequence = 1, bool draining = false, Milliseconds remaining = {})
    {
        WorkerHeartbeat heartbeat;
        heartbeat.id = worker;
        heartbeat.incarnation = incarnation;
        heartbeat.address = address;
        heartbeat.sequence = sequence;
        heartbeat.draining = draining;
        heartbeat.remaining = remaining;
        heartbeat.capacity.milliCores = 4'000;
        heartbeat.clock = WorkerTime {1'000};
        heartbeat.service = ServiceName {"matching"};
        supervisor->onHeartbeat(heartbeat, monotonicNow());
    }

    /// Appends the answer to `farewells`.
    void receiveFarewell(const Incarnation &incarnation = firstIncarnation)
    {
        supervisor->onWorkerLeaving(worker, incarnation, monotonicNow(),
            [this](FarewellOutcome outcome) { farewells.push_back(outcome); });
    }

    /// Places and starts run 1 on a worker that has answered a hold.
    void startRun()
    {
        receiveHeartbeat();
        link.answerHold({});
        supervisor->reserve({task, RunNumber {1}, worker, firstIncarnation}, stepOf(1));
        recordPlacement();
        supervisor->start(task, std::nullopt, monotonicNow());
    }

    /// Like startRun(). The worker has answered the start and listed the run.
    void startListedRun()
    {
        startRun();
        link.answerStart(StartOutcome::Started);
        link.answerHold(runningReport());
    }

    /// Ticks at an offset to the real time. Answers are stamped with the real time.
    void tick(Milliseconds offset)
    {
        if (supervisor) {
            supervisor->tick(monotonicNow() + offset, wall);
        }
    }

    /// Ticks every 100 ms up to the offset, so that the supervisor sees no gap.
    void tickUntil(Milliseconds offset)
    {
        for (; elapsed <= offset; elapsed += Milliseconds {100}) {
            tick(elapsed);
        }
    }

    TaskPhase phase() const
    {
        return state.graphs().find(task.graph)->find(task)->phase;
    }

    static HoldReport runningReport(std::uint32_t run = 1, std::uint32_t percent = 100)
    {
        HoldReport report;
        report.running.push_back({task, RunNumber {run}, {}, percent});
        return report;
    }

    static HoldReport endedReport(RunEnd end, std::uint64_t number = 1)
    {
        HoldReport report;
        report.ended.push_back({EndNumber {number}, task, RunNumber {1}, end, {}});
        return report;
    }

    StateMachine state;
    FakeWorkerLink link;
    std::uint64_t index = 1;
    NodeAddress address {"10.0.0.1", 8'080}; // of the worker, in its heartbeats
    bool canSendOrders = true;
    bool shouldFailNextProposal = false;
    bool isJournalSlow = false; // proposals wait in heldProposals
    std::vector<std::function<void()>> heldProposals;
    std::vector<FarewellOutcome> farewells; // answers to farewells
    MonotonicTime startedAt = monotonicNow();
    Milliseconds elapsed {0};
    std::shared_ptr<RunSupervisor> supervisor;
};

} // namespace crocusmill::fakes::supervised
