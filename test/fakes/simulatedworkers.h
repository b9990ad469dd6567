/// Workers in virtual time that follow the platform's rules: they check fencing tokens, keep leases
/// on their own clocks, reject older runs, and list ends until these are acknowledged.

#pragma once

#include "test/fakes/runrules.h"
#include "test/fakes/simulation.h"

#include <crocusmill/announcement.h>

#include <algorithm>
#include <functional>
#include <memory>

namespace crocusmill::fakes
{

class SimulatedWorkers
{
public:
    SimulatedWorkers(Simulation &simulation, RunRules &rules)
        : simulation_(simulation)
        , rules_(rules)
    {
    }

    using HeartbeatHandler = std::function<void(const WorkerHeartbeat &, bool leaves)>;
    /// Receives the heartbeats. May be replaced at any time.
    HeartbeatHandler onHeartbeat;

    using FarewellHandler =
        std::function<void(const WorkerHeartbeat &, std::function<void()> acknowledge)>;
    /// Receives the farewells of depart().
    FarewellHandler onFarewell;

    /// Starts a process under a new or a reused id. Ends the one that still has the id.
    void boot(const WorkerId &id)
    {
        Process &process = processes_[id];
        crash(id);
        process = {};
        process.number = ++processCount_;
        process.alive = true;
        process.startedAt = simulation_.now();
        process.clockRate = 1 - 0.01 * simulation_.randomNumber(0, 2);
        process.incarnation = Incarnation {
            std::to_string(process.startedAt.time_since_epoch() / std::chrono::milliseconds(1))};
        sendHeartbeats(id, process.number);
    }

    void crash(const WorkerId &id)
    {
        Process &process = processes_.at(id);
        if (!process.alive) {
            return;
        }
        process.alive = false;
        rules_.onProcessGone(process.number);
        for (const auto &[task, run] : std::exchange(process.running, {})) {
            leaveGang({task, run.number});
        }
    }

    /// The worker announces that it leaves. Its process ends 60 ms later if that was acknowledged,
    /// and otherwise after a few seconds.
    void leave(const WorkerId &id)
    {
        Process &process = processes_.at(id);
        process.draining = true;
        simulation_.after(
            simulation_.randomDuration(500, 2'000), [this, id, number = process.number]() {
                Process &leaving = processes_.at(id);
                if (!isAlive(leaving, number)) {
                    return;
                }
                sendHeartbeat(id, leaving, true);
                const bool acknowledged = simulation_.chance(60);
                simulation_.after(
                    acknowledged ? Milliseconds {60} : simulation_.randomDuration(1'500, 4'000),
                    [this, id, number]() {
                        if (isAlive(processes_.at(id), number)) {
                            // The ends that it listed last may be lost.
                            rules_.onDisturbance(simulation_.now());
                            crash(id);
                        }
                    });
            });
    }

    /// The worker announces that it leaves. Its process ends once that is acknowledged, otherwise
    /// after a few seconds. With `isCutOff` the farewell still gets through, but no answer does,
    /// and connections to the worker are refused from then on.
    void depart(const WorkerId &id, bool isCutOff)
    {
        Process &process = processes_.at(id);
        process.draining = true;
        const Milliseconds remaining = simulation_.randomDuration(500, 2'000);
        process.drainEndsAt = simulation_.now() + remaining;
        simulation_.after(remaining, [this, id, isCutOff, number = process.number]() {
            if (isAlive(processes_.at(id), number)) {
                sendFarewell(id, processes_.at(id), isCutOff);
            }
        });
    }

    /// Drops all calls to the worker, and its answers and heartbeats, for this time.
    void disconnect(const WorkerId &id, Milliseconds span)
    {
        processes_.at(id).disconnectedUntil = simulation_.now() + span;
    }

    /// Carries out most calls late and without an answer, for this time.
    void slowDown(const WorkerId &id, Milliseconds span)
    {
        processes_.at(id).slowUntil = simulation_.now() + span;
    }

    /// Carries out this share of the calls 2 to 12 s late and without an answer, for this time.
    void leaveUnanswered(const WorkerId &id, int percent, Milliseconds span)
    {
        processes_.at(id).unansweredPercent = percent;
        processes_.at(id).unansweredUntil = simulation_.now() + span;
    }

    /// Refuses all starts for this time, as an unhealthy worker does.
    void refuseStarts(const WorkerId &id, Milliseconds span)
    {
        processes_.at(id).refusesUntil = simulation_.now() + span;
    }

    [[nodiscard]] std::vector<WorkerId> aliveWorkers() const
    {
        std::vector<WorkerId> ids;
        for (const auto &[id, process] : processes_) {
            if (process.alive && !process.draining) {
                ids.push_back(id);
            }
        }
        return ids;
    }

    template <typename Answer> using Reply = std::function<void(const Answer &)>;
    struct StartAnswer
    {
        StartOutcome outcome = StartOutcome::Unanswered;
        std::optional<WorkerTime> clock;
    };

    void start(const WorkerId &id, const StartOrder &order, const Reply<StartAnswer> &reply)
    {
        deliver(id, [this, id, order, reply, sent = simulation_.now()](bool isAnswerLost) {
            Process &process = processes_[id];
            const StartOutcome outcome = isListening(process)
                ? executeStart(process, id, order, sent)
                : StartOutcome::NotSent;
            answer<StartAnswer>(process, isAnswerLost, reply,
                {outcome, isListening(process) ? std::optional {clockOf(process)} : std::nullopt});
        });
    }

    void stop(const WorkerId &id, const TaskRef &task, RunNumber run, FencingToken fence,
        const Reply<StopOutcome> &reply)
    {
        deliver(id, [this, id, task, run, fence, reply](bool isAnswerLost) {
            Process &process = processes_[id];
            if (!isListening(process)) {
                answer<StopOutcome>(process, isAnswerLost, reply, StopOutcome::Unanswered);
                return;
            }
            if (!acceptFence(process, fence)) {
                answer<StopOutcome>(process, isAnswerLost, reply, StopOutcome::Fenced);
                return;
            }
            process.maxEndedRun[task] = std::max(process.maxEndedRun[task], run);
            simulation_.after(simulation_.randomDuration(0, 300),
                [this, id, task, run, number = process.number]() {
                    endRun(id, number, task, run, RunEnd::Stopped);
                });
            answer<StopOutcome>(process, isAnswerLost, reply, StopOutcome::Answered);
        });
    }

    void hold(const WorkerId &id, const HoldOrder &order, const Reply<HoldOutcome> &reply)
    {
        deliver(id, [this, id, order, reply](bool isAnswerLost) {
            Process &process = processes_[id];
            HoldOutcome outcome;
            if (!isListening(process) || !acceptFence(process, order.fence)) {
                outcome.error = isListening(process) ? HoldError::Fenced : HoldError::Refused;
                answer<HoldOutcome>(process, isAnswerLost, reply, outcome);
                return;
            }
            rules_.onEndsAcknowledged(process.number, order.acknowledged, simulation_.now());
            std::erase_if(process.ends,
                [&order](const ListedEnd &entry) { return entry.number <= order.acknowledged; });
            if (order.deadline) {
                extendLease(id, process, *order.deadline);
            }
            const auto report = [this, id, isAnswerLost, reply, number = process.number]() {
                Process &reporting = processes_[id];
                if (isAlive(reporting, number)) {
                    if (!isAnswerLost) {
                        rules_.onEndsListed(reporting.number, reporting.ends, simulation_.now());
                    }
                    answer<HoldOutcome>(reporting, isAnswerLost, reply, reportOf(reporting));
                }
            };
            if (!process.ends.empty() || order.wait == Milliseconds {0}) {
                report();
            } else {
                const std::shared_ptr<bool> isWaiting = std::make_shared<bool>(true);
                const std::function<void()> reportOnce = [report, isWaiting]() {
                    if (std::exchange(*isWaiting, false)) {
                        report();
                    }
                };
                process.pendingHolds.push_back(reportOnce);
                simulation_.after(order.wait, reportOnce);
            }
        });
    }

private:
    struct Run
    {
        RunNumber number;
        std::uint32_t percent = 0;
    };

    struct Process
    {
        RunRules::Process number = 0;
        Incarnation incarnation;
        bool alive = false;
        bool draining = false;
        MonotonicTime drainEndsAt {}; // set by depart()
        MonotonicTime startedAt {};
        double clockRate = 1;
        std::uint64_t sequence = 0;
        FencingToken fence;
        WorkerTime deadline;
        std::map<TaskRef, Run> running;
        std::map<TaskRef, RunNumber> maxEndedRun; // highest run that was stopped or has ended
        std::vector<ListedEnd> ends; // not acknowledged
        EndNumber lastEnd;
        std::vector<std::function<void()>> pendingHolds; // answered at the next end
        bool refusesConnections = false;
        MonotonicTime disconnectedUntil {};
        MonotonicTime slowUntil {};
        MonotonicTime refusesUntil {};
        int unansweredPercent = 0;
        MonotonicTime unansweredUntil {};
    };

    using GangRun = std::pair<TaskRef, RunNumber>; // of member 0
    struct Gang
    {
        std::map<TaskRef, WorkerId> members;
        bool isComplete = false;
    };

    static constexpr Milliseconds maxLeaseDuration {6'000};
    static constexpr Milliseconds gangTimeout {3'000};

    static bool isAlive(const Process &process, RunRules::Process number)
    {
        return process.alive && process.number == number;
    }

    static bool isListening(const Process &process)
    {
        return process.alive && !process.refusesConnections;
    }

    WorkerTime clockOf(const Process &process) const
    {
        const std::chrono::duration<double, std::milli> uptime =
            simulation_.now() - process.startedAt;
        return WorkerTime {static_cast<std::int64_t>(uptime.count() * process.clockRate)};
    }

    static bool acceptFence(Process &process, FencingToken fence)
    {
        const bool newEnough = fence >= process.fence;
        process.fence = std::max(process.fence, fence);
        return newEnough;
    }

    void sendHeartbeats(const WorkerId &id, RunRules::Process number)
    {
        if (!isAlive(processes_.at(id), number)) {
            return;
        }
        sendHeartbeat(id, processes_.at(id), false);
        simulation_.after(simulation_.randomDuration(400, 600),
            [this, id, number]() { sendHeartbeats(id, number); });
    }

    void sendHeartbeat(const WorkerId &id, Process &process, bool leaves)
    {
        WorkerHeartbeat heartbeat;
        heartbeat.id = id;
        heartbeat.incarnation = process.incarnation;
        heartbeat.sequence = ++process.sequence;
        heartbeat.capacity.milliCores = 3'000;
        heartbeat.service = ServiceName {"matching"};
        heartbeat.clock = clockOf(process);
        heartbeat.draining = process.draining;
        heartbeat.remaining = std::max(
            std::chrono::duration_cast<Milliseconds>(process.drainEndsAt - simulation_.now()),
            Milliseconds {0});
        if (simulation_.now() < process.disconnectedUntil || simulation_.chance(3)) {
            return;
        }
        simulation_.after(simulation_.chance(4) ? simulation_.randomDuration(500, 3'000)
                                                : simulation_.randomDuration(1, 40),
            [this, heartbeat, leaves]() {
                if (onHeartbeat) {
                    onHeartbeat(heartbeat, leaves);
                }
            });
    }

    void sendFarewell(const WorkerId &id, Process &process, bool isCutOff)
    {
        process.refusesConnections = isCutOff;
        const std::function<void()> end = [this, id, number = process.number]() {
            if (isAlive(processes_.at(id), number)) {
                crash(id);
            }
        };
        simulation_.after(simulation_.randomDuration(1'500, 4'000), end);
        WorkerHeartbeat heartbeat;
        heartbeat.id = id;
        heartbeat.incarnation = process.incarnation;
        simulation_.after(
            simulation_.randomDuration(1, 40), [this, id, heartbeat, isCutOff, end]() {
                onFarewell(heartbeat, [this, isCutOff, end]() {
                    if (!isCutOff && !simulation_.chance(10)) {
                        simulation_.after(simulation_.randomDuration(1, 15), end);
                    }
                });
            });
    }

    /// Delivers a call after the network delay. A slow worker carries it out later and without an
    /// answer, unless its process has died meanwhile.
    void deliver(const WorkerId &id, const std::function<void(bool isAnswerLost)> &call)
    {
        const Process &process = processes_[id];
        if (simulation_.now() < process.disconnectedUntil) {
            return;
        }
        const bool isSlow = simulation_.now() < process.slowUntil && simulation_.chance(60);
        const bool isUnanswered = simulation_.now() < process.unansweredUntil
            && simulation_.chance(process.unansweredPercent);
        simulation_.after(
            simulation_.randomDuration(1, 15), [this, id, call, isSlow, isUnanswered]() {
                if (!isSlow && !isUnanswered) {
                    call(false);
                    return;
                }
                simulation_.after(isUnanswered ? simulation_.randomDuration(2'000, 12'000)
                                               : simulation_.randomDuration(300, 4'000),
                    [this, id, call, number = processes_[id].number]() {
                        if (isAlive(processes_[id], number)) {
                            call(true);
                        }
                    });
            });
    }

    template <typename Answer>
    void answer(
        const Process &process, bool isAnswerLost, const Reply<Answer> &reply, const Answer &value)
    {
        if (isAnswerLost || simulation_.now() < process.disconnectedUntil
            || simulation_.chance(1)) {
            return;
        }
        simulation_.after(simulation_.randomDuration(1, 15), [reply, value]() { reply(value); });
    }

    HoldOutcome reportOf(const Process &process) const
    {
        HoldOutcome outcome;
        outcome.clock = clockOf(process);
        outcome.report.incarnation = process.incarnation;
        for (const auto &[task, run] : process.running) {
            outcome.report.running.push_back({task, run.number, {}, 50});
        }
        outcome.report.ended = process.ends;
        return outcome;
    }

    void extendLease(const WorkerId &id, Process &process, WorkerTime deadline)
    {
        const WorkerTime now = clockOf(process);
        const WorkerTime maxDeadline {now.value() + maxLeaseDuration.count()};
        const WorkerTime newDeadline = std::min(deadline, maxDeadline);
        if (newDeadline <= process.deadline || newDeadline <= now) {
            return;
        }
        process.deadline = newDeadline;
        const double remaining =
            static_cast<double>(newDeadline.value() - now.value()) / process.clockRate;
        simulation_.after(Milliseconds {static_cast<std::int64_t>(remaining) + 1},
            [this, id, newDeadline, number = process.number]() {
                Process &leased = processes_.at(id);
                if (isAlive(leased, number) && leased.deadline == newDeadline) {
                    expireLease(id, leased);
                }
            });
    }

    void expireLease(const WorkerId &id, Process &process)
    {
        rules_.onLeaseExpired(process.number, simulation_.now());
        const std::map<TaskRef, Run> killed = process.running;
        for (const auto &[task, run] : killed) {
            endRun(id, process.number, task, run.number, RunEnd::Stopped);
        }
    }

    StartOutcome executeStart(
        Process &process, const WorkerId &id, const StartOrder &order, MonotonicTime sent)
    {
        if (!acceptFence(process, order.fence)) {
            return StartOutcome::Fenced;
        }
        if (order.deadline <= clockOf(process)) {
            return StartOutcome::Refused;
        }
        const auto maxEnded = process.maxEndedRun.find(order.task);
        if (maxEnded != process.maxEndedRun.end() && maxEnded->second >= order.run) {
            extendLease(id, process, order.deadline);
            return StartOutcome::Superseded;
        }
        const auto running = process.running.find(order.task);
        if (running != process.running.end()) {
            return running->second.number == order.run ? StartOutcome::Started
                                                       : StartOutcome::Refused;
        }
        if (simulation_.chance(8) || simulation_.now() < process.refusesUntil) {
            return StartOutcome::Refused; // as an unhealthy worker does
        }
        extendLease(id, process, order.deadline);
        process.running[order.task] = {order.run};
        rules_.onRunStarted(order.task, order.run, process.number, sent, simulation_.now());
        scheduleEnd(id, process, order);
        return StartOutcome::Started;
    }

    void scheduleEnd(const WorkerId &id, const Process &process, const StartOrder &order)
    {
        if (rules_.specOf(order.task).gang) {
            joinGang(id, process, order);
            return;
        }
        const RunEnd outcome = simulation_.chance(15) ? RunEnd::Failed : RunEnd::Succeeded;
        simulation_.after(simulation_.chance(10) ? simulation_.randomDuration(2'000, 9'000)
                                                 : simulation_.randomDuration(30, 1'500),
            [this, id, number = process.number, task = order.task, run = order.run, outcome]() {
                endRun(id, number, task, run, outcome);
            });
    }

    static GangRun gangOf(TaskRef task, RunNumber run)
    {
        task.task = 0;
        return {task, run};
    }

    void joinGang(const WorkerId &id, const Process &process, const StartOrder &order)
    {
        Gang &gang = gangs_[gangOf(order.task, order.run)];
        gang.members[order.task] = id;
        if (gang.members.size() == rules_.specOf(order.task).tasks) {
            gang.isComplete = true;
            const RunEnd outcome = simulation_.chance(15) ? RunEnd::Failed : RunEnd::Succeeded;
            simulation_.after(simulation_.randomDuration(100, 1'500),
                [this, id, number = process.number, task = order.task, run = order.run, outcome]() {
                    endRun(id, number, task, run, outcome);
                });
            return;
        }
        simulation_.after(
            gangTimeout, [this, id, number = process.number, task = order.task, run = order.run]() {
                const auto it = gangs_.find(gangOf(task, run));
                if (it != gangs_.end() && !it->second.isComplete) {
                    endRun(id, number, task, run, RunEnd::Stopped);
                }
            });
    }

    /// Removes a member from its gang. The other members of a complete gang end with it: succeeded
    /// if it succeeded, stopped otherwise.
    void leaveGang(const std::pair<TaskRef, RunNumber> &member, RunEnd outcome = RunEnd::Stopped)
    {
        const auto it = gangs_.find(gangOf(member.first, member.second));
        if (it == gangs_.end() || !it->second.members.contains(member.first)) {
            return;
        }
        it->second.members.erase(member.first);
        const Gang gang = it->second;
        if (gang.isComplete) {
            gangs_.erase(it);
            const RunEnd memberOutcome =
                outcome == RunEnd::Succeeded ? RunEnd::Succeeded : RunEnd::Stopped;
            for (const auto &[task, worker] : gang.members) {
                endRun(worker, processes_.at(worker).number, task, member.second, memberOutcome);
            }
        }
    }

    void endRun(const WorkerId &id, RunRules::Process number, const TaskRef &task, RunNumber run,
        RunEnd outcome)
    {
        Process &process = processes_.at(id);
        const auto it = process.running.find(task);
        if (!isAlive(process, number) || it == process.running.end() || it->second.number != run) {
            return;
        }
        process.running.erase(it);
        process.maxEndedRun[task] = std::max(process.maxEndedRun[task], run);
        process.lastEnd = EndNumber {process.lastEnd.value() + 1};
        process.ends.push_back({process.lastEnd, task, run, outcome, {}});
        rules_.onRunEnded(task, run, number, process.lastEnd, outcome, simulation_.now());
        for (const std::function<void()> &hold : std::exchange(process.pendingHolds, {})) {
            hold();
        }
        leaveGang({task, run}, outcome);
    }

    Simulation &simulation_;
    RunRules &rules_;
    std::map<WorkerId, Process> processes_;
    std::map<GangRun, Gang> gangs_;
    RunRules::Process processCount_ = 0;
};

} // namespace crocusmill::fakes
