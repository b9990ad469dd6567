/// Workers in virtual time that keep the platform's rules: fences, leases on their own clocks, runs
/// numbered upwards, ends listed until they are acknowledged.

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

    using Heard = std::function<void(const WorkerHeartbeat &, bool leaves)>;
    /// Who gets the heartbeats; may be changed at any time.
    Heard heard;

    /// A process begins its life, under a new id or one that was there before.
    void boot(const WorkerId &id)
    {
        Process &process = processes_[id];
        process = {};
        process.number = ++processesEver_;
        process.alive = true;
        process.born = simulation_.now();
        process.rate = 1 - 0.01 * simulation_.number(0, 2);
        process.incarnation = Incarnation {
            std::to_string(process.born.time_since_epoch() / std::chrono::milliseconds(1))};
        beat(id, process.number);
    }

    void crash(const WorkerId &id)
    {
        Process &process = processes_.at(id);
        if (!process.alive) {
            return;
        }
        process.alive = false;
        rules_.gone(process.number);
        for (const auto &[task, run] : std::exchange(process.running, {})) {
            leaveGang({task, run.number});
        }
    }

    /// Says that it leaves, and ends when that is acknowledged or a while later anyway.
    void leave(const WorkerId &id)
    {
        Process &process = processes_.at(id);
        process.draining = true;
        simulation_.after(simulation_.between(500, 2'000), [this, id, number = process.number]() {
            Process &leaving = processes_.at(id);
            if (!isAlive(leaving, number)) {
                return;
            }
            send(id, leaving, true);
            const bool acknowledged = simulation_.chance(60);
            simulation_.after(acknowledged ? Milliseconds {60} : simulation_.between(1'500, 4'000),
                [this, id, number]() {
                    if (isAlive(processes_.at(id), number)) {
                        rules_.disturbed(simulation_.now()); // what it listed last may be lost
                        crash(id);
                    }
                });
        });
    }

    /// No call reaches the worker until then, and no word of it gets out.
    void cut(const WorkerId &id, Milliseconds span)
    {
        processes_.at(id).cutUntil = simulation_.now() + span;
    }

    /// It carries orders out late and does not answer them until then.
    void slow(const WorkerId &id, Milliseconds span)
    {
        processes_.at(id).slowUntil = simulation_.now() + span;
    }

    [[nodiscard]] std::vector<WorkerId> alive() const
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
    struct Started
    {
        StartOutcome outcome = StartOutcome::Unanswered;
        std::optional<WorkerTime> clock;
    };

    void start(const WorkerId &id, const StartOrder &order, const Reply<Started> &reply)
    {
        deliver(id, [this, id, order, reply, sent = simulation_.now()](bool mute) {
            Process &process = processes_[id];
            const StartOutcome outcome =
                process.alive ? carryOut(process, id, order, sent) : StartOutcome::NotSent;
            answer<Started>(process, mute, reply,
                {outcome, process.alive ? std::optional {clockOf(process)} : std::nullopt});
        });
    }

    void stop(const WorkerId &id, const TaskRef &task, RunNumber run, FencingToken fence,
        const Reply<StopOutcome> &reply)
    {
        deliver(id, [this, id, task, run, fence, reply](bool mute) {
            Process &process = processes_[id];
            if (!process.alive) {
                answer<StopOutcome>(process, mute, reply, StopOutcome::Unanswered);
                return;
            }
            if (!admit(process, fence)) {
                answer<StopOutcome>(process, mute, reply, StopOutcome::Fenced);
                return;
            }
            process.over[task] = std::max(process.over[task], run);
            simulation_.after(
                simulation_.between(0, 300), [this, id, task, run, number = process.number]() {
                    end(id, number, task, run, RunEnd::Stopped);
                });
            answer<StopOutcome>(process, mute, reply, StopOutcome::Answered);
        });
    }

    void hold(const WorkerId &id, const HoldOrder &order, const Reply<HoldOutcome> &reply)
    {
        deliver(id, [this, id, order, reply](bool mute) {
            Process &process = processes_[id];
            HoldOutcome outcome;
            if (!process.alive || !admit(process, order.fence)) {
                outcome.error = process.alive ? HoldError::Fenced : HoldError::NotConnected;
                answer<HoldOutcome>(process, mute, reply, outcome);
                return;
            }
            rules_.acknowledged(process.number, order.acknowledged, simulation_.now());
            std::erase_if(process.ends,
                [&order](const ListedEnd &known) { return known.number <= order.acknowledged; });
            if (order.deadline) {
                extend(id, process, *order.deadline);
            }
            const auto report = [this, id, mute, reply, number = process.number]() {
                Process &reporting = processes_[id];
                if (isAlive(reporting, number)) {
                    if (!mute) {
                        rules_.listed(reporting.number, reporting.ends, simulation_.now());
                    }
                    answer<HoldOutcome>(reporting, mute, reply, reportOf(reporting));
                }
            };
            if (!process.ends.empty() || order.wait == Milliseconds {0}) {
                report();
            } else {
                const std::shared_ptr<bool> waits = std::make_shared<bool>(true);
                const std::function<void()> once = [report, waits]() {
                    if (std::exchange(*waits, false)) {
                        report();
                    }
                };
                process.waiting.push_back(once);
                simulation_.after(order.wait, once);
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
        MonotonicTime born {};
        double rate = 1;
        std::uint64_t sequence = 0;
        FencingToken fence;
        WorkerTime deadline;
        std::map<TaskRef, Run> running;
        std::map<TaskRef, RunNumber> over; // highest that was stopped or has ended
        std::vector<ListedEnd> ends; // not acknowledged
        EndNumber lastEnd;
        std::vector<std::function<void()>> waiting; // holds
        MonotonicTime cutUntil {};
        MonotonicTime slowUntil {};
    };

    using GangRun = std::pair<TaskRef, RunNumber>; // of member 0
    struct Gang
    {
        std::map<TaskRef, WorkerId> members;
        bool whole = false;
    };

    static constexpr Milliseconds longestLease {6'000};
    static constexpr Milliseconds gangLimit {3'000};

    static bool isAlive(const Process &process, RunRules::Process number)
    {
        return process.alive && process.number == number;
    }

    WorkerTime clockOf(const Process &process) const
    {
        const std::chrono::duration<double, std::milli> lived = simulation_.now() - process.born;
        return WorkerTime {static_cast<std::int64_t>(lived.count() * process.rate)};
    }

    static bool admit(Process &process, FencingToken fence)
    {
        const bool newEnough = fence >= process.fence;
        process.fence = std::max(process.fence, fence);
        return newEnough;
    }

    void beat(const WorkerId &id, RunRules::Process number)
    {
        if (!isAlive(processes_.at(id), number)) {
            return;
        }
        send(id, processes_.at(id), false);
        simulation_.after(
            simulation_.between(400, 600), [this, id, number]() { beat(id, number); });
    }

    void send(const WorkerId &id, Process &process, bool leaves)
    {
        WorkerHeartbeat heartbeat;
        heartbeat.id = id;
        heartbeat.incarnation = process.incarnation;
        heartbeat.sequence = ++process.sequence;
        heartbeat.capacity.milliCores = 3'000;
        heartbeat.service = ServiceName {"matching"};
        heartbeat.clock = clockOf(process);
        heartbeat.draining = process.draining;
        if (simulation_.now() < process.cutUntil || simulation_.chance(3)) {
            return;
        }
        simulation_.after(
            simulation_.chance(4) ? simulation_.between(500, 3'000) : simulation_.between(1, 40),
            [this, heartbeat, leaves]() {
                if (heard) {
                    heard(heartbeat, leaves);
                }
            });
    }

    /// A process that has taken an order in and dies takes it along.
    void deliver(const WorkerId &id, const std::function<void(bool mute)> &call)
    {
        const Process &process = processes_[id];
        if (simulation_.now() < process.cutUntil) {
            return;
        }
        const bool late = simulation_.now() < process.slowUntil && simulation_.chance(60);
        simulation_.after(simulation_.between(1, 15), [this, id, call, late]() {
            if (!late) {
                call(false);
                return;
            }
            simulation_.after(simulation_.between(300, 4'000),
                [this, id, call, number = processes_[id].number]() {
                    if (isAlive(processes_[id], number)) {
                        call(true);
                    }
                });
        });
    }

    template <typename Answer>
    void answer(const Process &process, bool mute, const Reply<Answer> &reply, const Answer &what)
    {
        if (mute || simulation_.now() < process.cutUntil || simulation_.chance(1)) {
            return;
        }
        simulation_.after(simulation_.between(1, 15), [reply, what]() { reply(what); });
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

    void extend(const WorkerId &id, Process &process, WorkerTime deadline)
    {
        const WorkerTime now = clockOf(process);
        const WorkerTime most {now.value() + longestLease.count()};
        const WorkerTime until = std::min(deadline, most);
        if (until <= process.deadline || until <= now) {
            return;
        }
        process.deadline = until;
        const double left = static_cast<double>(until.value() - now.value()) / process.rate;
        simulation_.after(Milliseconds {static_cast<std::int64_t>(left) + 1},
            [this, id, until, number = process.number]() {
                Process &leased = processes_.at(id);
                if (isAlive(leased, number) && leased.deadline == until) {
                    lapse(id, leased);
                }
            });
    }

    void lapse(const WorkerId &id, Process &process)
    {
        rules_.lapsed(process.number, simulation_.now());
        const std::map<TaskRef, Run> killed = process.running;
        for (const auto &[task, run] : killed) {
            end(id, process.number, task, run.number, RunEnd::Stopped);
        }
    }

    StartOutcome carryOut(
        Process &process, const WorkerId &id, const StartOrder &order, MonotonicTime sent)
    {
        if (!admit(process, order.fence)) {
            return StartOutcome::Fenced;
        }
        if (order.deadline <= clockOf(process)) {
            return StartOutcome::Refused;
        }
        const auto over = process.over.find(order.task);
        if (over != process.over.end() && over->second >= order.run) {
            extend(id, process, order.deadline);
            return StartOutcome::Superseded;
        }
        const auto running = process.running.find(order.task);
        if (running != process.running.end()) {
            return running->second.number == order.run ? StartOutcome::Started
                                                       : StartOutcome::Refused;
        }
        if (simulation_.chance(8)) {
            return StartOutcome::Refused; // unhealthy, and did nothing
        }
        extend(id, process, order.deadline);
        process.running[order.task] = {order.run};
        rules_.began(order.task, order.run, process.number, sent, simulation_.now());
        schedule(id, process, order);
        return StartOutcome::Started;
    }

    void schedule(const WorkerId &id, const Process &process, const StartOrder &order)
    {
        if (rules_.specOf(order.task).gang) {
            joinGang(id, process, order);
            return;
        }
        const RunEnd how = simulation_.chance(15) ? RunEnd::Failed : RunEnd::Succeeded;
        simulation_.after(simulation_.chance(10) ? simulation_.between(2'000, 9'000)
                                                 : simulation_.between(30, 1'500),
            [this, id, number = process.number, task = order.task, run = order.run, how]() {
                end(id, number, task, run, how);
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
            gang.whole = true;
            const RunEnd how = simulation_.chance(15) ? RunEnd::Failed : RunEnd::Succeeded;
            simulation_.after(simulation_.between(100, 1'500),
                [this, id, number = process.number, task = order.task, run = order.run, how]() {
                    end(id, number, task, run, how);
                });
            return;
        }
        simulation_.after(
            gangLimit, [this, id, number = process.number, task = order.task, run = order.run]() {
                const auto known = gangs_.find(gangOf(task, run));
                if (known != gangs_.end() && !known->second.whole) {
                    end(id, number, task, run, RunEnd::Stopped);
                }
            });
    }

    /// The other members end with it: as done if it is done, broken otherwise.
    void leaveGang(const std::pair<TaskRef, RunNumber> &member, RunEnd how = RunEnd::Stopped)
    {
        const auto known = gangs_.find(gangOf(member.first, member.second));
        if (known == gangs_.end() || !known->second.members.contains(member.first)) {
            return;
        }
        known->second.members.erase(member.first);
        const Gang gang = known->second;
        if (gang.whole) {
            gangs_.erase(known);
            const RunEnd together = how == RunEnd::Succeeded ? RunEnd::Succeeded : RunEnd::Stopped;
            for (const auto &[task, worker] : gang.members) {
                end(worker, processes_.at(worker).number, task, member.second, together);
            }
        }
    }

    void end(const WorkerId &id, RunRules::Process number, const TaskRef &task, RunNumber run,
        RunEnd how)
    {
        Process &process = processes_.at(id);
        const auto found = process.running.find(task);
        if (!isAlive(process, number) || found == process.running.end()
            || found->second.number != run) {
            return;
        }
        process.running.erase(found);
        process.over[task] = std::max(process.over[task], run);
        process.lastEnd = EndNumber {process.lastEnd.value() + 1};
        process.ends.push_back({process.lastEnd, task, run, how, {}});
        rules_.ended(task, run, number, process.lastEnd, how, simulation_.now());
        for (const std::function<void()> &hold : std::exchange(process.waiting, {})) {
            hold();
        }
        leaveGang({task, run}, how);
    }

    Simulation &simulation_;
    RunRules &rules_;
    std::map<WorkerId, Process> processes_;
    std::map<GangRun, Gang> gangs_;
    RunRules::Process processesEver_ = 0;
};

} // namespace crocusmill::fakes
