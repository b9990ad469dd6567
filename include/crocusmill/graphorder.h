/// In which order ready steps get workers.
///
/// Load pattern: more is ready than has room. Urgent queues go first; within a queue's priority
/// the job whose objective ends first. A job that is past three times its objective earns nothing
/// any more and goes last. Pure.

#pragma once

#include <crocusmill/graphregistry.h>

#include <vector>

namespace crocusmill
{

struct ReadyStep
{
    TaskRef step; // its `task` has no meaning
    std::uint32_t priority = 0;
    WallTime accepted;
    Milliseconds objective {0}; // after `accepted`
};

/// Where a step stands; what compares lower goes first.
struct Urgency
{
    bool useless = false;
    std::uint32_t priority = 0;
    WallTime objective;
    TaskRef step;

    auto operator<=>(const Urgency &) const = default;
};

[[nodiscard]] Urgency urgencyOf(const ReadyStep &step, WallTime now);
/// Until when, and not after, the step is of use.
[[nodiscard]] WallTime lastUseOf(const ReadyStep &step);

/// Time that the job's client would call fast: the critical path of its stated estimates times the
/// queue's slack, plus the queue's aim.
[[nodiscard]] Milliseconds objectiveOf(const GraphSpec &spec);

void sortByUrgency(std::vector<ReadyStep> &steps, WallTime now);

} // namespace crocusmill
