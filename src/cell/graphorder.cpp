/// Urgency of ready steps, derived from the objectives of their jobs.

#include <crocusmill/graphorder.h>

#include <algorithm>

namespace crocusmill
{

namespace
{

/// The result of a job that took longer than this multiple of its objective is of no use to the
/// client.
constexpr int maxObjectiveMultiple = 3;
/// Of a job whose estimate or slack factor is not plausible.
constexpr double maxObjectiveMs = 1e12;

WallTime latestTimelyStart(const ReadyStep &step)
{
    return step.accepted + step.objective - step.remaining;
}

WallTime latestUsefulStart(const ReadyStep &step)
{
    return step.accepted + step.objective * maxObjectiveMultiple - step.remaining;
}

Milliseconds criticalPathOf(const GraphSpec &spec)
{
    std::vector<Milliseconds> finishOffsets;
    Milliseconds criticalPath {0};
    for (const StepSpec &step : spec.steps) {
        Milliseconds startOffset {0};
        for (const std::uint32_t predecessor : step.after) {
            startOffset = std::max(startOffset, finishOffsets[predecessor]);
        }
        finishOffsets.push_back(startOffset + step.estimate);
        criticalPath = std::max(criticalPath, finishOffsets.back());
    }
    return criticalPath;
}

} // namespace

Milliseconds objectiveOf(const GraphSpec &spec)
{
    const double scaled = std::min(
        static_cast<double>(criticalPathOf(spec).count()) * spec.slackFactor, maxObjectiveMs);
    return Milliseconds {static_cast<std::int64_t>(scaled)} + spec.aim;
}

Milliseconds slackOf(const GraphSpec &spec)
{
    return objectiveOf(spec) - criticalPathOf(spec);
}

Milliseconds remainingTimeOf(const GraphSpec &spec, std::uint32_t step)
{
    std::vector<Milliseconds> remaining(spec.steps.size(), Milliseconds {0});
    for (std::size_t i = spec.steps.size(); i-- > step;) {
        remaining[i] += spec.steps[i].estimate; // of its successors so far
        for (const std::uint32_t predecessor : spec.steps[i].after) {
            remaining[predecessor] = std::max(remaining[predecessor], remaining[i]);
        }
    }
    return remaining[step];
}

Urgency urgencyOf(const ReadyStep &step, WallTime now)
{
    Prospect prospect = Prospect::InTime;
    if (now > latestUsefulStart(step)) {
        prospect = Prospect::Expired;
    } else if (step.isBeyondShare) {
        prospect = Prospect::Surplus;
    } else if (now > latestTimelyStart(step)) {
        prospect = Prospect::Late;
    }
    return {prospect, step.priority, step.accepted + step.objective, step.step};
}

std::optional<WallTime> nextChangeOf(const ReadyStep &step, WallTime now)
{
    for (const WallTime change : {latestTimelyStart(step), latestUsefulStart(step)}) {
        if (now <= change) {
            return change;
        }
    }
    return std::nullopt;
}

bool canEndInTime(const Graph &graph, const TaskRef &step, double slowdown, WallTime now)
{
    const double remaining =
        static_cast<double>(remainingTimeOf(graph.spec, step.step).count()) * slowdown;
    const Milliseconds left = graph.dueAt(step.occurrence) + objectiveOf(graph.spec) - now;
    return remaining <= static_cast<double>(left.count());
}

void sortByUrgency(std::vector<ReadyStep> &steps, WallTime now)
{
    std::sort(steps.begin(), steps.end(), [now](const ReadyStep &left, const ReadyStep &right) {
        return urgencyOf(left, now) < urgencyOf(right, now);
    });
}

} // namespace crocusmill
