/// What may not happen to the tasks of a job, judged from what workers saw alone.

#pragma once

#include "src/services/workerlink.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <vector>

namespace crocusmill::fakes
{

/// Keeps every start and end, and names the rules that they break.
class RunRules
{
public:
    /// One life of a worker's process.
    using Process = std::size_t;

    void submitted(const GraphSpec &spec)
    {
        specs_[spec.id] = spec;
    }

    void cancelled(const GraphId &graph, MonotonicTime acknowledged)
    {
        cancelledAt_.try_emplace(graph, acknowledged);
    }

    /// A process began to run a task, on an order that was sent at `sent`.
    void began(
        const TaskRef &task, RunNumber run, Process process, MonotonicTime sent, MonotonicTime now)
    {
        if (!specs_.contains(task.graph)) {
            broken("UNASKED", task, run, "nobody submitted the job");
            return;
        }
        for (const auto &[other, where] : running_) {
            if (std::get<0>(other) == task) {
                broken("TWICE", task, run, "beside run " + runText(std::get<1>(other)));
            }
        }
        starts_[task].push_back({run, now});
        for (const End &end : ends_[task]) {
            judgeStartAfter(end, run, now);
        }
        judgeOrder(task, run);
        const auto cancelled = cancelledAt_.find(task.graph);
        if (cancelled != cancelledAt_.end() && sent > cancelled->second + cancelLimit) {
            broken("UNASKED", task, run, "ordered after the job was cancelled");
        }
        running_[{task, run}] = process;
    }

    /// The end of a run as its worker lists it from now on.
    void ended(const TaskRef &task, RunNumber run, Process process, EndNumber number, RunEnd end,
        MonotonicTime now)
    {
        running_.erase({task, run});
        ends_[task].push_back({task, run, process, number, end, now, std::nullopt});
        if (end == RunEnd::Succeeded) {
            succeeded_.insert(task);
        }
    }

    /// The process is gone, with all that ran there.
    void gone(Process process)
    {
        std::erase_if(running_, [process](const auto &known) { return known.second == process; });
    }

    void lapsed(Process process, MonotonicTime now)
    {
        lapses_[process].push_back(now);
    }

    /// A leader told the process to forget ends up to this one.
    void acknowledged(Process process, EndNumber upTo, MonotonicTime now)
    {
        for (auto &[task, ends] : ends_) {
            for (End &end : ends) {
                if (end.process != process || end.number > upTo || end.acknowledged) {
                    continue;
                }
                end.acknowledged = now;
                for (const Start &start : starts_[task]) {
                    if (start.at > end.at) {
                        judgeStartAfter(end, start.run, start.at);
                    }
                }
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
        const auto found = running_.lower_bound({task, RunNumber {}});
        return found != running_.end() && std::get<0>(found->first) == task;
    }

    void broken(const std::string &rule, const TaskRef &task, RunNumber run, const std::string &how)
    {
        broken_.push_back(rule + " " + asText(task) + " run " + runText(run) + ": " + how);
    }

    [[nodiscard]] const std::vector<std::string> &brokenRules() const
    {
        return broken_;
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
        std::optional<MonotonicTime> acknowledged;
    };

    static constexpr Milliseconds cancelLimit {3'000};

    static std::string runText(RunNumber run)
    {
        return std::to_string(run.value());
    }

    /// Acknowledged while the process held its lease all along.
    [[nodiscard]] bool isNoted(const End &end) const
    {
        const auto lapses = lapses_.find(end.process);
        if (!end.acknowledged || lapses == lapses_.end()) {
            return end.acknowledged.has_value();
        }
        for (const MonotonicTime lapse : lapses->second) {
            if (lapse >= end.at && lapse <= *end.acknowledged) {
                return false;
            }
        }
        return true;
    }

    void judgeStartAfter(const End &end, RunNumber run, MonotonicTime startedAt)
    {
        if (!isNoted(end)) {
            return;
        }
        if (end.end == RunEnd::Succeeded) {
            broken("TWICE", end.task, run, "after run " + runText(end.run) + " had succeeded");
        }
        // Failures of a gang's members in one run are one.
        std::set<RunNumber> failed;
        const GraphSpec &spec = specs_.at(end.task.graph);
        for (const End &other : ends_[end.task]) {
            if (other.end == RunEnd::Failed && other.at < startedAt && isNoted(other)) {
                failed.insert(other.run);
            }
        }
        if (end.end == RunEnd::Failed && failed.size() >= spec.attempts) {
            broken("BUDGET", end.task, run, std::to_string(failed.size()) + " runs had failed");
        }
    }

    void judgeOrder(const TaskRef &task, RunNumber run)
    {
        const GraphSpec &spec = specs_.at(task.graph);
        for (const std::uint32_t earlier : spec.steps[task.step].after) {
            TaskRef before = task;
            before.step = earlier;
            for (before.task = 0; before.task < spec.steps[earlier].tasks; ++before.task) {
                if (!hasSucceeded(before)) {
                    broken("ORDER", task, run, "before " + asText(before));
                }
            }
        }
    }

    std::map<GraphId, GraphSpec> specs_;
    std::map<GraphId, MonotonicTime> cancelledAt_;
    std::map<std::pair<TaskRef, RunNumber>, Process> running_;
    std::map<TaskRef, std::vector<Start>> starts_;
    std::map<TaskRef, std::vector<End>> ends_;
    std::set<TaskRef> succeeded_;
    std::map<Process, std::vector<MonotonicTime>> lapses_;
    std::vector<std::string> broken_;
};

} // namespace crocusmill::fakes
