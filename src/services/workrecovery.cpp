/// Work without an entry.

#include "src/services/workrecovery.h"

#include "src/net/clock.h"

namespace crocusmill
{

namespace
{

/// How long after its deadline work is left to its entry.
constexpr Milliseconds overdueMargin {2'000};

std::uint64_t loadOf(const BeatCall &beat)
{
    if (beat.draining) {
        return ~0ULL - 1;
    }
    std::uint64_t load = 0;
    for (const DemandLine &line : beat.demand) {
        load += line.wanted;
    }
    return load;
}

} // namespace

WorkRecovery::WorkRecovery(Journal &journal, const std::unique_ptr<Leadership> &lead)
    : journal_(journal)
    , lead_(lead)
{
}

void WorkRecovery::step()
{
    for (const WorkId &id : abandoned()) {
        const Work &work = *journal_.state().findWork(id);
        if (!work.attempts.empty() && work.attempts.back().state == AttemptState::Started) {
            lead_->leases.settle(work.attempts.back().id);
        } else {
            recover(work);
        }
    }
}

std::vector<WorkId> WorkRecovery::abandoned() const
{
    std::vector<WorkId> found;
    const WallTime overdue = wallTimeNow() - overdueMargin;
    for (const WorkId &id : journal_.state().openWork()) {
        const Work *work = journal_.state().findWork(id);
        // An entry whose admission was recorded without its knowledge carries nothing.
        const bool carried = lead_->entries.contains(work->owner) && work->deadline > overdue;
        if (!carried && !lead_->recoveringWork.contains(id)) {
            found.push_back(id);
        }
    }
    return found;
}

bool WorkRecovery::mayGoOn(const Work &work) const
{
    const bool lost = !work.attempts.empty() && work.attempts.back().state == AttemptState::Lost
        && !work.repeatable;
    return work.request && !lost && !work.cancelled && wallTimeNow() < work.deadline
        && !lead_->entries.empty();
}

void WorkRecovery::recover(const Work &work)
{
    const WorkId id = work.id;
    const bool goesOn = mayGoOn(work);
    lead_->recoveringWork.insert(id);
    if (goesOn) {
        handOver(id);
    } else {
        giveUp(id);
    }
}

void WorkRecovery::giveUp(const WorkId &id)
{
    journal_.propose(RevokeWork {id, false, wallTimeNow()},
        [this, id, term = lead_->term](const Result<ApplyReply> & /*reply*/) {
            if (lead_ && lead_->term == term) {
                lead_->recoveringWork.erase(id);
            }
        });
}

void WorkRecovery::handOver(const WorkId &id)
{
    const EntryEpoch owner = leastLoadedEntry();
    journal_.propose(AdoptWork {id, owner},
        [this, id, owner, term = lead_->term](const Result<ApplyReply> &reply) {
            if (!lead_ || lead_->term != term) {
                return;
            }
            lead_->recoveringWork.erase(id);
            if (reply && reply.value().error == StateError::None) {
                lead_->pendingAdoptions[owner].push_back(id);
            }
        });
}

EntryEpoch WorkRecovery::leastLoadedEntry() const
{
    EntryEpoch best;
    std::uint64_t bestLoad = ~0ULL;
    for (const std::pair<const EntryEpoch, EntryRecord> &known : lead_->entries) {
        const std::uint64_t load = loadOf(known.second.lastBeat);
        if (load < bestLoad) {
            best = known.first;
            bestLoad = load;
        }
    }
    return best;
}

} // namespace crocusmill
