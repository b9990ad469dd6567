/// Counts the open jobs of which no task has begun, and compares them with what clients were told.
///
/// A job counts as begun by what workers have reported, not by its recorded placements: a placement
/// is recorded before its order is sent. Logging and metrics only; no decision depends on it.

#pragma once

#include "src/net/metrics.h"

#include <crocusmill/catalog.h>
#include <crocusmill/commands.h>
#include <crocusmill/graphregistry.h>

#include <cstdint>
#include <map>
#include <set>

namespace crocusmill
{

/// Open jobs of one queue. Jobs that are handed in for later times count only as open.
struct JobCounts
{
    std::uint64_t open = 0;
    // Jobs of which no worker has reported that a task began:
    std::uint64_t neverPlaced = 0;
    std::uint64_t placed = 0; // a task stands as placed
    std::uint64_t waitingAgain = 0; // had a task placed; all tasks wait
    /// Those of them that were accepted longer than `longWait` ago.
    std::uint64_t waitingLong = 0;

    [[nodiscard]] std::uint64_t notBegun() const;
};

/// Clients may read a count that is this old, so younger jobs may be missing in it.
inline constexpr Milliseconds longWait {5'000};

struct JobCensus
{
    std::map<QueueName, JobCounts> queues;
    JobCounts total;
    GraphId oldest; // of the jobs that have not begun; empty if there is none
    Milliseconds oldestAge {0};
    std::uint64_t earlyCancels = 0; // recorded for jobs that were not submitted yet
};

/// `begunJobs`: the jobs of which a worker has reported the start or the end of a run to this
/// leader, also if the start is not recorded yet.
[[nodiscard]] JobCensus countJobs(
    const GraphRegistry &graphs, const std::set<GraphId> &begunJobs, WallTime now);

/// Moves the counts of names that queues had when their jobs were accepted to the present names.
void mergeRenamedQueues(JobCensus &census, const Catalog &catalog);

/// Writes a "jobs.counted" record for the counts that clients were told since the last one.
class JobReport
{
public:
    explicit JobReport(Metrics &metrics);

    void recordAnswer(const QueueName &queue, std::uint64_t pendingJobs);
    /// Sets the gauges, and writes one record if a count was asked for.
    void report(const JobCensus &census, Term term, LogIndex applied);
    /// Sets the gauges to zero, as another VM reports from now on.
    void clearGauges();

private:
    void setGauges(const JobCensus &census, std::uint64_t missing);

    Metrics &metrics_;
    std::map<QueueName, std::uint64_t> answers_; // newest of each queue since the last record
};

} // namespace crocusmill
