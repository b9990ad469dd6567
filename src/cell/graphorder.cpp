/// Order of ready steps.

#include <crocusmill/graphorder.h>

#include <algorithm>

namespace crocusmill
{

namespace
{

/// A job that took this many times its objective is of no use to its client any more.
constexpr int uselessAfter = 3;

} // namespace

Milliseconds objectiveOf(const GraphSpec &spec)
{
    std::vector<Milliseconds> finished;
    Milliseconds longest {0};
    for (const StepSpec &step : spec.steps) {
        Milliseconds begins {0};
        for (const std::uint32_t earlier : step.after) {
            begins = std::max(begins, finished[earlier]);
        }
        finished.push_back(begins + step.estimate);
        longest = std::max(longest, finished.back());
    }
    const double slacked = static_cast<double>(longest.count()) * spec.slackFactor;
    return Milliseconds {static_cast<std::int64_t>(slacked)} + spec.aim;
}

WallTime lastUseOf(const ReadyStep &step)
{
    return step.accepted + step.objective * uselessAfter;
}

Urgency urgencyOf(const ReadyStep &step, WallTime now)
{
    return {now > lastUseOf(step), step.priority, step.accepted + step.objective, step.step};
}

void sortByUrgency(std::vector<ReadyStep> &steps, WallTime now)
{
    std::sort(steps.begin(), steps.end(), [now](const ReadyStep &left, const ReadyStep &right) {
        return urgencyOf(left, now) < urgencyOf(right, now);
    });
}

} // namespace crocusmill
