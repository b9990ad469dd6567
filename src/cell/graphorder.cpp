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

} // namespace

Milliseconds objectiveOf(const GraphSpec &spec)
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
    const double scaled =
        std::min(static_cast<double>(criticalPath.count()) * spec.slackFactor, maxObjectiveMs);
    return Milliseconds {static_cast<std::int64_t>(scaled)} + spec.aim;
}

WallTime expiryOf(const ReadyStep &step)
{
    return step.accepted + step.objective * maxObjectiveMultiple;
}

Urgency urgencyOf(const ReadyStep &step, WallTime now)
{
    return {now > expiryOf(step), step.priority, step.accepted + step.objective, step.step};
}

void sortByUrgency(std::vector<ReadyStep> &steps, WallTime now)
{
    std::sort(steps.begin(), steps.end(), [now](const ReadyStep &left, const ReadyStep &right) {
        return urgencyOf(left, now) < urgencyOf(right, now);
    });
}

} // namespace crocusmill
