/// All that a leader knows beside the journal.

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

/// Made anew for each term that this VM leads.
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

    /// Attempts that an announcement made after the question does not list as running any more.
    [[nodiscard]] std::vector<AttemptId> takeDepartedAttempts(
        const std::vector<LingeringAttempt> &lingeringAttempts, MonotonicTime now);
    /// Work that the entry was given to carry on and does not know of yet; each is told once.
    [[nodiscard]] std::vector<Work> takeAdoptedWork(
        const EntryEpoch &entry, const StateMachine &state);

    Term term;
    Directory directory;
    SlotLedger ledger;
    LeaseTable leases;
    Cell cell;
    MonotonicTime graceEndsAt;
    MonotonicTime nextForgetAt {};
    EntryRecords entries;
    /// When an entry first asked whether an attempt has left its upstream.
    std::map<AttemptId, MonotonicTime> firstAskedAt;
    std::map<UpstreamId, MonotonicTime> lastAnnouncedAt;
    std::map<EntryEpoch, std::vector<WorkId>> pendingAdoptions;
    std::set<WorkId> recoveringWork;
};

} // namespace crocusmill
