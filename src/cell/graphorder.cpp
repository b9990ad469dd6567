/// Order of ready steps.

#include <crocusmill/graphorder.h>

#include <algorithm>
#include <tuple>

namespace crocusmill
{

namespace
{

/// A job that took this many times its objective is of no use to its client any more.
constexpr int uselessAfter = 3;

bool isUseless(const ReadyStep &step, WallTime now)
{
    return now > step.accepted + step.objective * uselessAfter;
}

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

void sortByUrgency(std::vector<ReadyStep> &steps, WallTime now)
{
    std::sort(steps.begin(), steps.end(), [now](const ReadyStep &left, const ReadyStep &right) {
        return std::tuple {
                   isUseless(left, now), left.priority, left.accepted + left.objective, left.step}
        < std::tuple {
            isUseless(right, now), right.priority, right.accepted + right.objective, right.step};
    });
}

} // namespace crocusmill
