/// The order in which ready steps get workers.
///
/// Load pattern: more steps are ready than there is room for, for seconds. A job that ends in time
/// is worth most, one that took more than three times its objective nothing. With the oldest first,
/// all jobs wait until they are late. So jobs that can still end in time go first, those of the
/// queue with the most urgent priority ahead, then those with the earliest deadline; jobs that will
/// be late get the room that these leave, jobs beyond the share of their customer what these leave,
/// and jobs that are of no use any more the rest. Pure.

#pragma once

#include <crocusmill/graphregistry.h>

#include <cstdint>
#include <optional>
#include <vector>

namespace crocusmill
{

struct ReadyStep
{
    TaskRef step; // `task` is unused
    std::uint32_t priority = 0; // lower goes first
    WallTime accepted;
    Milliseconds objective {0}; // after `accepted`
    Milliseconds remaining {0}; // estimated time from the start of the step to the job's end
    bool isBeyondShare = false; // the job was submitted beyond the share of its customer
};

/// What a job is still worth if the step starts now.
enum class Prospect {
    InTime,
    Late,
    Surplus, // beyond the share of its customer; in time or late
    Expired,
};

/// Sort key of a ready step; the lowest goes first.
struct Urgency
{
    Prospect prospect = Prospect::InTime;
    std::uint32_t priority = 0;
    WallTime deadline; // end of the objective
    TaskRef step;

    auto operator<=>(const Urgency &) const = default;
};

[[nodiscard]] Urgency urgencyOf(const ReadyStep &step, WallTime now);
/// Returns the time after which urgencyOf() has another prospect, none if it stays expired.
[[nodiscard]] std::optional<WallTime> nextChangeOf(const ReadyStep &step, WallTime now);

/// Returns the time in which the job should finish: the critical path by the client's estimates,
/// times the queue's slack factor, plus the queue's aim.
[[nodiscard]] Milliseconds objectiveOf(const GraphSpec &spec);
/// Returns how long the job could wait in all and still finish in that time by the estimates.
[[nodiscard]] Milliseconds slackOf(const GraphSpec &spec);
/// Returns the longest estimated time from the start of the step to the end of the steps that
/// depend on it.
[[nodiscard]] Milliseconds remainingTimeOf(const GraphSpec &spec, std::uint32_t step);

/// Returns whether the job ends in time if the step starts now on workers that need `slowdown`
/// times the estimated times.
[[nodiscard]] bool canEndInTime(
    const Graph &graph, const TaskRef &step, double slowdown, WallTime now);

void sortByUrgency(std::vector<ReadyStep> &steps, WallTime now);

} // namespace crocusmill
