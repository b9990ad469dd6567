/// Rules for the runs of a job, checked against the events on workers alone.

#pragma once

#include "src/services/workerlink.h"

#include <algorithm>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <vector>

namespace crocusmill::fakes
{

/// Records every start and end of a run and reports violations of these rules:
/// - TWICE: no run starts beside another run of the task or after the task succeeded;
/// - ORDER: no task starts before the steps that it depends on have succeeded;
/// - BUDGET: no task starts after as many failures as it has attempts;
/// - UNASKED: nothing runs for an unknown, cancelled or ended job.
/// The test adds LOST (a job stays open) and MIXED (a job without all its successes is done).
class RunRules
{
public:
    /// Identifies one process of a worker.
    using Process = std::size_t;

    void onJobSubmitted(const GraphSpec &spec)
    {
        specs_[spec.id] = spec;
    }

    void onJobCancelled(const GraphId &graph, MonotonicTime acknowledged)
    {
        cancelledAt_.try_emplace(graph, acknowledged);
    }

    /// A process started a run on an order that was sent at `sent`.
    void onRunStarted(
        const TaskRef &task, RunNumber run, Process process, MonotonicTime sent, MonotonicTime now)
    {
        if (!specs_.contains(task.graph)) {
            addViolation("UNASKED", task, run, "nobody submitted the job");
            return;
        }
        for (const auto &[other, where] : running_) {
            if (std::get<0>(other) == task) {
                addViolation("TWICE", task, run, "beside run " + runText(std::get<1>(other)));
            }
        }
        starts_[task].push_back({run, now});
        firstStarts_.try_emplace(task.graph, now);
        startedBy_[task.graph].insert(process);
        checkOrder(task, run);
        const auto cancelled = cancelledAt_.find(task.graph);
        if (cancelled != cancelledAt_.end() && sent > cancelled->second + cancelTimeout) {
            addViolation("UNASKED", task, run, "ordered after the job was cancelled");
        }
        running_[{task, run}] = process;
    }

    /// A run ended. The worker lists the end from now on.
    void onRunEnded(const TaskRef &task, RunNumber run, Process process, EndNumber number,
        RunEnd end, MonotonicTime now)
    {
        running_.erase({task, run});
        ends_[task].push_back({task, run, process, number, end, now, std::nullopt, std::nullopt});
        if (end == RunEnd::Succeeded) {
            succeeded_.insert(task);
        }
    }

    /// A process died, and all its runs with it.
    void onProcessGone(Process process)
    {
        goneProcesses_.insert(process);
        std::erase_if(running_, [process](const auto &entry) { return entry.second == process; });
    }

    void onLeaseExpired(Process process, MonotonicTime now)
    {
        leaseExpirations_[process].push_back(now);
    }

    /// A fault other than overload of the leader or the journal occurred. Leaders need not learn of
    /// ends that are listed close to it.
    void onDisturbance(MonotonicTime now)
    {
        disturbances_.push_back(now);
    }

    /// A process listed these ends in an answer. Leaders must know them shortly after, unless there
    /// is a disturbance close by.
    void onEndsListed(Process process, const std::vector<ListedEnd> &ends, MonotonicTime now)
    {
        for (const ListedEnd &listed : ends) {
            for (End &end : ends_[listed.task]) {
                if (end.process == process && end.number == listed.number && !end.listedAt) {
                    end.listedAt = now;
                }
            }
        }
    }

    /// A leader acknowledged ends up to this number to the process.
    void onEndsAcknowledged(Process process, EndNumber upTo, MonotonicTime now)
    {
        for (auto &[task, ends] : ends_) {
            for (End &end : ends) {
                if (end.process == process && end.number <= upTo && !end.acknowledgedAt) {
                    end.acknowledgedAt = now;
                }
            }
        }
    }

    /// Checks the starts against earlier ends. To be called at the end of the scenario, since
    /// leaders may learn of an end late.
    void checkStarts()
    {
        for (const auto &[task, starts] : starts_) {
            for (const Start &start : starts) {
                checkStart(task, start);
            }
        }
    }

    [[nodiscard]] const StepSpec &specOf(const TaskRef &task) const
    {
        return specs_.at(task.graph).steps[task.step];
    }

    [[nodiscard]] bool hasSucceeded(const TaskRef &task) const
    {
        const StepSpec &step = specs_.at(task.graph).steps[task.step];
        TaskRef member = task;
        for (member.task = 0; step.gang && member.task < step.tasks; ++member.task) {
            if (succeeded_.contains(member)) {
                return true;
            }
        }
        return succeeded_.contains(task);
    }

    [[nodiscard]] bool isRunning(const TaskRef &task) const
    {
        const auto it = running_.lower_bound({task, RunNumber {}});
        return it != running_.end() && std::get<0>(it->first) == task;
    }

    /// Returns when a worker first began a task of the job; nothing if none has.
    [[nodiscard]] std::optional<MonotonicTime> firstStartOf(const GraphId &graph) const
    {
        const auto it = firstStarts_.find(graph);
        return it == firstStarts_.end() ? std::nullopt : std::optional {it->second};
    }

    /// Returns whether all processes that began a task of the job are gone: a leader may never
    /// learn of their runs.
    [[nodiscard]] bool areStartersGone(const GraphId &graph) const
    {
        const auto it = startedBy_.find(graph);
        return it != startedBy_.end()
            && std::includes(
                goneProcesses_.begin(), goneProcesses_.end(), it->second.begin(), it->second.end());
    }

    void addViolation(
        const std::string &rule, const TaskRef &task, RunNumber run, const std::string &details)
    {
        violations_.push_back(rule + " " + asText(task) + " run " + runText(run) + ": " + details);
    }

    [[nodiscard]] const std::vector<std::string> &violations() const
    {
        return violations_;
    }

private:
    struct Start
    {
        RunNumber run;
        MonotonicTime at;
    };

    struct End
    {
        TaskRef task;
        RunNumber run;
        Process process;
        EndNumber number;
        RunEnd end;
        MonotonicTime at;
        std::optional<MonotonicTime> listedAt;
        std::optional<MonotonicTime> acknowledgedAt;
    };

    static constexpr Milliseconds cancelTimeout {3'000};
    static constexpr Milliseconds disturbanceDuration {3'000};
    static constexpr Milliseconds recordingDelay {100};

    static std::string runText(RunNumber run)
    {
        return std::to_string(run.value());
    }

    [[nodiscard]] bool isCalm(MonotonicTime at) const
    {
        return std::none_of(
            disturbances_.begin(), disturbances_.end(), [at](const MonotonicTime &disturbance) {
                return disturbance > at - disturbanceDuration
                    && disturbance < at + disturbanceDuration;
            });
    }

    /// Returns whether a leader must know the end: the process listed it in calm conditions or had
    /// it acknowledged, and its lease did not expire in between.
    [[nodiscard]] bool isKnownToLeader(const End &end) const
    {
        std::optional<MonotonicTime> knownAt = end.acknowledgedAt;
        // A process may die before a leader has received the ends that it listed.
        if (end.listedAt && isCalm(*end.listedAt) && !goneProcesses_.contains(end.process)) {
            knownAt = knownAt ? std::min(*knownAt, *end.listedAt + recordingDelay)
                              : *end.listedAt + recordingDelay;
        }
        const auto expirations = leaseExpirations_.find(end.process);
        if (!knownAt || expirations == leaseExpirations_.end()) {
            return knownAt.has_value();
        }
        return std::none_of(expirations->second.begin(), expirations->second.end(),
            [&](const MonotonicTime &expiration) {
                return expiration >= end.at && expiration <= *knownAt;
            });
    }

    void checkStart(const TaskRef &task, const Start &start)
    {
        std::set<RunNumber> failed;
        for (const End &end : ends_[task]) {
            if (end.at >= start.at || !isKnownToLeader(end)) {
                continue;
            }
            if (end.end == RunEnd::Succeeded) {
                addViolation(
                    "TWICE", task, start.run, "after run " + runText(end.run) + " had succeeded");
            } else if (end.end == RunEnd::Failed) {
                failed.insert(end.run);
            }
        }
        if (failed.size() >= specs_.at(task.graph).attempts) {
            addViolation(
                "BUDGET", task, start.run, std::to_string(failed.size()) + " runs had failed");
        }
    }

    void checkOrder(const TaskRef &task, RunNumber run)
    {
        const GraphSpec &spec = specs_.at(task.graph);
        for (const std::uint32_t earlier : spec.steps[task.step].after) {
            TaskRef before = task;
            before.step = earlier;
            for (before.task = 0; before.task < spec.steps[earlier].tasks; ++before.task) {
                if (!hasSucceeded(before)) {
                    addViolation("ORDER", task, run, "before " + asText(before));
                }
            }
        }
    }

    std::map<GraphId, GraphSpec> specs_;
    std::map<GraphId, MonotonicTime> cancelledAt_;
    std::map<std::pair<TaskRef, RunNumber>, Process> running_;
    std::map<TaskRef, std::vector<Start>> starts_;
    std::map<GraphId, MonotonicTime> firstStarts_;
    std::map<GraphId, std::set<Process>> startedBy_;
    std::map<TaskRef, std::vector<End>> ends_;
    std::set<TaskRef> succeeded_;
    std::map<Process, std::vector<MonotonicTime>> leaseExpirations_;
    std::set<Process> goneProcesses_;
    std::vector<MonotonicTime> disturbances_;
    std::vector<std::string> violations_;
};

} // namespace crocusmill::fakes
