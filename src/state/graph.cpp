/// Queries on one recorded graph job.

#include <crocusmill/graphregistry.h>

#include <algorithm>
#include <numeric>

namespace crocusmill
{

std::string asText(const TaskRef &task)
{
    return task.graph.value() + "." + std::to_string(task.occurrence) + "."
        + std::to_string(task.step) + "." + std::to_string(task.task);
}

std::uint64_t taskCountOf(const GraphSpec &spec)
{
    std::uint64_t tasks = 0;
    for (const StepSpec &step : spec.steps) {
        tasks += step.tasks;
    }
    return tasks * std::max(spec.recurrence.times, 1U);
}

void PhaseCounts::add(TaskPhase phase)
{
    ++counts_.at(static_cast<std::size_t>(phase));
}

void PhaseCounts::remove(TaskPhase phase)
{
    --counts_.at(static_cast<std::size_t>(phase));
}

std::uint32_t PhaseCounts::of(TaskPhase phase) const
{
    return counts_.at(static_cast<std::size_t>(phase));
}

bool PhaseCounts::isOnly(TaskPhase phase) const
{
    return std::accumulate(counts_.begin(), counts_.end(), 0U) == of(phase);
}

bool GraphStep::hasSucceeded() const
{
    return phases.isOnly(TaskPhase::Succeeded);
}

void Graph::setPhase(const TaskRef &ref, TaskPhase phase)
{
    GraphStep &step = occurrences[ref.occurrence].steps[ref.step];
    GraphTask &task = step.tasks[ref.task];
    for (PhaseCounts *counts : {&step.phases, &phases}) {
        counts->remove(task.phase);
        counts->add(phase);
    }
    task.phase = phase;
}

void Graph::countPhases()
{
    phases = {};
    for (GraphOccurrence &occurrence : occurrences) {
        for (GraphStep &step : occurrence.steps) {
            step.phases = {};
            for (const GraphTask &task : step.tasks) {
                step.phases.add(task.phase);
                phases.add(task.phase);
            }
        }
    }
}

bool Graph::isSubmitted() const
{
    return !occurrences.empty();
}

const GraphTask *Graph::find(const TaskRef &ref) const
{
    if (ref.occurrence >= occurrences.size()
        || ref.step >= occurrences[ref.occurrence].steps.size()) {
        return nullptr;
    }
    const GraphStep &step = occurrences[ref.occurrence].steps[ref.step];
    return ref.task < step.tasks.size() ? &step.tasks[ref.task] : nullptr;
}

bool Graph::isReady(std::uint32_t occurrence, std::uint32_t step) const
{
    const std::vector<std::uint32_t> &after = spec.steps[step].after;
    return std::all_of(after.begin(), after.end(), [&](std::uint32_t earlier) {
        return occurrences[occurrence].steps[earlier].hasSucceeded();
    });
}

std::set<WorkerId> Graph::failedWorkers(std::uint32_t occurrence, std::uint32_t step) const
{
    std::set<WorkerId> workers;
    for (const GraphTask &task : occurrences[occurrence].steps[step].tasks) {
        const bool failedLast = !task.failed.empty() && task.failed.back() == task.run;
        if (task.phase == TaskPhase::Waiting && failedLast) {
            workers.insert(task.worker);
        }
    }
    return workers;
}

RunNumber Graph::nextRun(const TaskRef &ref) const
{
    const GraphStep &step = occurrences[ref.occurrence].steps[ref.step];
    if (!spec.steps[ref.step].gang) {
        return RunNumber {step.tasks[ref.task].run.value() + 1};
    }
    RunNumber highest;
    for (const GraphTask &task : step.tasks) {
        highest = std::max(highest, task.run);
    }
    return RunNumber {highest.value() + 1};
}

WallTime Graph::dueAt(std::uint32_t occurrence) const
{
    return spec.recurrence.times == 0
        ? acceptedAt
        : spec.recurrence.first + spec.recurrence.interval * occurrence;
}

bool Graph::isDue(std::uint32_t occurrence, WallTime now) const
{
    return spec.recurrence.times == 0 || dueAt(occurrence) <= now;
}

} // namespace crocusmill
