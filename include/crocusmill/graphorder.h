/// The order in which ready steps get workers.
///
/// Load pattern: more steps are ready than there is room for. Queues with the most urgent priority
/// go first; within a priority the job with the earliest deadline. The result of a job that took
/// more than three times its objective has no value any more, so the job goes last. Pure.

#pragma once

#include <crocusmill/graphregistry.h>

#include <vector>

namespace crocusmill
{

struct ReadyStep
{
    TaskRef step; // `task` is unused
    std::uint32_t priority = 0; // lower goes first
    WallTime accepted;
    Milliseconds objective {0}; // after `accepted`
};

/// Sort key of a ready step; the lowest goes first.
struct Urgency
{
    bool isExpired = false;
    std::uint32_t priority = 0;
    WallTime deadline; // end of the objective
    TaskRef step;

    auto operator<=>(const Urgency &) const = default;
};

[[nodiscard]] Urgency urgencyOf(const ReadyStep &step, WallTime now);
/// Returns the time after which the result of the step has no value.
[[nodiscard]] WallTime expiryOf(const ReadyStep &step);

/// Returns the time in which the job should finish: the critical path by the client's estimates,
/// times the queue's slack factor, plus the queue's aim.
[[nodiscard]] Milliseconds objectiveOf(const GraphSpec &spec);

void sortByUrgency(std::vector<ReadyStep> &steps, WallTime now);

} // namespace crocusmill
