/// State of a leader that is not in the journal.

#pragma once

#include "src/services/cell.h"
#include "src/services/directory.h"
#include "src/services/reports.h"

#include <crocusmill/leases.h>
#include <crocusmill/settings.h>
#include <crocusmill/slots.h>

#include <map>
#include <set>
#include <vector>

namespace crocusmill
{

/// Leader state of one term; a new one is created for each term that this VM leads.
struct Leadership
{
    Leadership(Term leaderTerm, const TimeSettings &times, const StateMachine &state,
        Cell::Propose propose, MonotonicTime now)
        : term(leaderTerm)
        , directory(leaderTerm)
        , ledger(times.slots, now)
        , leases({times.exclusiveLease, times.slots.driftMargin}, now)
        , cell(times, state, std::move(propose), now)
        , graceEndsAt(now + times.slots.grantLife + times.slots.driftMargin)
    {
    }

    /// Returns attempts that no longer run: the upstream is gone, has another incarnation, or an
    /// announcement after the first query does not list them.
    [[nodiscard]] std::vector<AttemptId> findDepartedAttempts(
        const std::vector<LingeringAttempt> &lingeringAttempts, MonotonicTime now);
    /// Returns work that was handed to the entry and not reported to it yet, each once.
    [[nodiscard]] std::vector<Work> takeAdoptedWork(
        const EntryEpoch &entry, const StateMachine &state);

    Term term;
    Directory directory;
    SlotLedger ledger;
    LeaseTable leases;
    Cell cell;
    MonotonicTime graceEndsAt;
    EntryRecords entries;
    /// When an entry first asked whether an attempt still runs.
    std::map<AttemptId, MonotonicTime> firstAskedAt;
    std::map<UpstreamId, MonotonicTime> lastAnnouncedAt;
    std::map<EntryEpoch, std::vector<WorkId>> pendingAdoptions;
    std::set<WorkId> recoveringWork;
};

} // namespace crocusmill
