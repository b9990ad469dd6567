/// Log records and metrics of the scheduling rounds.

#include "src/net/clock.h"
#include "src/net/log.h"
#include "src/services/dispatcher.h"

#include <algorithm>

namespace crocusmill
{

namespace
{

constexpr Milliseconds loadReportInterval {1'000}; // between "dispatch.load" records

} // namespace

/// Logs the cost of the rounds, the load and the counts of jobs once per loadReportInterval.
void Dispatcher::reportRound(MonotonicTime startedAt, std::size_t readyStepCount)
{
    const MonotonicTime now = monotonicNow();
    const Microseconds duration = std::chrono::duration_cast<Microseconds>(now - startedAt);
    parts_.metrics.observe({"dispatch_round_seconds", ""}, duration);
    lastRoundDuration_ = duration;
    ++stats_.rounds;
    stats_.total += duration;
    stats_.longest = std::max(stats_.longest, duration);
    stats_.maxReadySteps = std::max(stats_.maxReadySteps, readyStepCount);
    if (now < nextLoadReport_) {
        return;
    }
    nextLoadReport_ = now + loadReportInterval;
    logLoad(now);
    reportCustomers();
    reportWorkerDifferences(supervisor_->observer());
    const StateMachine &state = parts_.journal.state();
    JobCensus census = countJobs(state.graphs(), supervisor_->begunJobs(), wallTimeNow());
    mergeRenamedQueues(census, state.catalog());
    jobReport_.report(census, parts_.term, parts_.journal.consensus()->appliedIndex());
}

void Dispatcher::reportWorkerDifferences(const RunObserver &observer)
{
    parts_.metrics.set({"worker_speed_slowest", ""}, observer.speeds().slowestSpeed());
    parts_.metrics.set({"workers_slow", ""}, static_cast<double>(observer.speeds().slowCount()));
    parts_.metrics.set(
        {"interfering_pairs", ""}, static_cast<double>(observer.interferingPairCount()));
}

void Dispatcher::logLoad(MonotonicTime now)
{
    const RoundStats stats = std::exchange(stats_, {});
    const RunSupervisor::Load load = supervisor_->load(now);
    const GraphRegistry &graphs = parts_.journal.state().graphs();
    logInfo("dispatch.load",
        {{"rounds", stats.rounds}, {"rounds_us", static_cast<std::uint64_t>(stats.total.count())},
            {"longest_us", static_cast<std::uint64_t>(stats.longest.count())},
            {"ready_steps", std::uint64_t {stats.maxReadySteps}},
            {"claims", std::uint64_t {supervisor_->claims().size()}},
            {"open_jobs", std::uint64_t {graphs.openGraphs().size()}},
            {"waiting_jobs", std::uint64_t {graphs.waitingGraphs().size()}},
            {"runs", std::uint64_t {load.runs}}, {"reserved", std::uint64_t {load.reservedRuns}},
            {"adopted", std::uint64_t {load.adoptedRuns}},
            {"running", std::uint64_t {load.runningRuns}},
            {"starting", std::uint64_t {load.pendingOrders}}, {"can_order", load.canSendOrders},
            {"workers", std::uint64_t {load.workers}},
            {"workers_open", std::uint64_t {load.openWorkers}},
            {"ends_unrecorded", std::uint64_t {load.unrecordedEndLists}},
            {"term", parts_.term.value()}});
}

/// Logs one record for the step, however many tasks it has.
void Dispatcher::logPlaced(
    const StepDemand &demand, const Graph &graph, const std::vector<FleetChoice> &chosen) const
{
    constexpr std::uint64_t milliPerCore = 1000;
    const Fleet &fleet = supervisor_->fleet();
    // Negative if another VM, whose clock is ahead, has accepted the job.
    const Milliseconds waited =
        std::max(wallTimeNow() - graph.dueAt(demand.step.occurrence), Milliseconds {0});
    logInfo("step.placed",
        {{"job", demand.step.graph.value()}, {"step", std::uint64_t {demand.step.step}},
            {"tasks", std::uint64_t {chosen.size()}}, {"of", std::uint64_t {demand.waiting.size()}},
            {"first_worker", chosen.front().worker.value()},
            {"since_due_ms", static_cast<std::uint64_t>(waited.count())},
            {"cores_open", fleet.openMilliCores(demand.service) / milliPerCore},
            {"cores_used", fleet.usedMilliCores(demand.service) / milliPerCore},
            {"term", parts_.term.value()}});
}

} // namespace crocusmill
