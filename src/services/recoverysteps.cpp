/// Implementation of RecoverySteps.

#include "src/services/recoverysteps.h"

#include "src/net/clock.h"
#include "src/net/log.h"

namespace crocusmill
{

namespace
{

constexpr Milliseconds reportInterval {1'000}; // between "recovery.waiting" records
/// Missing steps are reported for this long; later ones wait for work rather than for recovery.
constexpr Milliseconds maxReportTime {30'000};

std::string_view nameOf(RecoveryStep step)
{
    switch (step) {
    case RecoveryStep::WorkerHeard:
        return "worker_heard";
    case RecoveryStep::HoldAnswered:
        return "hold_answered";
    case RecoveryStep::HalfOfWorkersOpen:
        return "half_of_workers_open";
    case RecoveryStep::AllWorkersOpen:
        return "all_workers_open";
    case RecoveryStep::AdoptedRunsReported:
        return "adopted_runs_reported";
    case RecoveryStep::CatalogInForce:
        return "catalog_in_force";
    case RecoveryStep::TicketsAnswered:
        return "tickets_answered";
    case RecoveryStep::PlacementRecorded:
        return "placement_recorded";
    case RecoveryStep::OrderSent:
        return "order_sent";
    case RecoveryStep::StartAnswered:
        return "start_answered";
    case RecoveryStep::RunListed:
        return "run_listed";
    case RecoveryStep::EndRecorded:
        return "end_recorded";
    }
    return "unknown";
}

} // namespace

RecoverySteps::RecoverySteps(FencingToken fence, MonotonicTime termStartedAt)
    : fence_(fence)
    , termStartedAt_(termStartedAt)
    , nextReportAt_(termStartedAt + reportInterval)
{
}

bool RecoverySteps::isReached(RecoveryStep step) const
{
    return reached_.test(static_cast<std::size_t>(step));
}

void RecoverySteps::reach(RecoveryStep step, MonotonicTime now)
{
    if (isReached(step)) {
        return;
    }
    reached_.set(static_cast<std::size_t>(step));
    logInfo("recovery.step",
        {{"step", nameOf(step)}, {"term_ms", elapsedMs(termStartedAt_, now)},
            {"process_ms", elapsedMs(processStartedAt, now)},
            {"workers", std::uint64_t {progress_.workers}},
            {"workers_open", std::uint64_t {progress_.openWorkers}}, {"term", fence_.value()}});
}

bool RecoverySteps::isWatching(MonotonicTime now) const
{
    return !reached_.all() && now - termStartedAt_ <= maxReportTime;
}

void RecoverySteps::update(const Progress &progress, bool hasCatalog, MonotonicTime now)
{
    progress_ = progress;
    if (hasCatalog) {
        reach(RecoveryStep::CatalogInForce, now);
    }
    if (progress.workers > 0 && progress.openWorkers * 2 >= progress.workers) {
        reach(RecoveryStep::HalfOfWorkersOpen, now);
    }
    if (progress.workers > 0 && progress.openWorkers == progress.workers) {
        reach(RecoveryStep::AllWorkersOpen, now);
    }
    if (progress.adoptedRuns == 0) {
        reach(RecoveryStep::AdoptedRunsReported, now);
    }
    if (now >= nextReportAt_ && !reached_.all()) {
        nextReportAt_ = now + reportInterval;
        logMissing(now);
    }
}

std::string RecoverySteps::missingSteps() const
{
    std::string names;
    for (std::size_t i = 0; i < recoveryStepCount; ++i) {
        if (!reached_.test(i)) {
            names += names.empty() ? "" : " ";
            names += nameOf(static_cast<RecoveryStep>(i));
        }
    }
    return names;
}

void RecoverySteps::logMissing(MonotonicTime now)
{
    logInfo("recovery.waiting",
        {{"missing", missingSteps()}, {"term_ms", elapsedMs(termStartedAt_, now)},
            {"workers", std::uint64_t {progress_.workers}},
            {"unheard", std::uint64_t {progress_.unheardWorkers}},
            {"workers_open", std::uint64_t {progress_.openWorkers}},
            {"adopted", std::uint64_t {progress_.adoptedRuns}},
            {"can_order", progress_.canSendOrders}, {"term", fence_.value()}});
}

} // namespace crocusmill
