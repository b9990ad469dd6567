/// Logs how far a new leader has come, from its take-over to the first end that it records.
///
/// Each step gets one "recovery.step" record per term. While steps are missing, one
/// "recovery.waiting" record a second names them, for a limited time: an idle cell never places a
/// job. For the log only. Control thread only.

#pragma once

#include "src/services/workerlink.h"

#include <bitset>
#include <cstddef>
#include <string>

namespace crocusmill
{

/// In the usual order; some of them may change places.
enum class RecoveryStep {
    WorkerHeard,
    HoldAnswered,
    HalfOfWorkersOpen,
    AllWorkersOpen,
    AdoptedRunsReported, // no run of an earlier leader waits for its worker's report
    CatalogInForce,
    TicketsAnswered,
    PlacementRecorded,
    OrderSent,
    StartAnswered,
    RunListed,
    EndRecorded,
};

inline constexpr std::size_t recoveryStepCount =
    static_cast<std::size_t>(RecoveryStep::EndRecorded) + 1;

class RecoverySteps
{
public:
    struct Progress
    {
        std::size_t workers = 0;
        std::size_t unheardWorkers = 0; // known from placements only
        std::size_t openWorkers = 0;
        std::size_t adoptedRuns = 0;
        bool canSendOrders = false;
    };

    RecoverySteps(FencingToken fence, MonotonicTime termStartedAt);

    /// Writes a record if the step was not reached before in this term.
    void reach(RecoveryStep step, MonotonicTime now);
    /// Returns whether steps are missing and still reported.
    [[nodiscard]] bool isWatching(MonotonicTime now) const;
    /// Notes the progress, and reports the missing steps once a second.
    void update(const Progress &progress, bool hasCatalog, MonotonicTime now);

private:
    [[nodiscard]] bool isReached(RecoveryStep step) const;
    [[nodiscard]] std::string missingSteps() const;
    void logMissing(MonotonicTime now);

    FencingToken fence_;
    MonotonicTime termStartedAt_;
    std::bitset<recoveryStepCount> reached_;
    Progress progress_;
    MonotonicTime nextReportAt_;
};

} // namespace crocusmill
