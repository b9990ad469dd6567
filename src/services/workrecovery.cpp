/// Implementation of WorkRecovery.

#include "src/services/workrecovery.h"

#include "src/net/clock.h"

namespace crocusmill
{

namespace
{

/// Time after the deadline during which work is still left to its entry.
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

WorkRecovery::WorkRecovery(Journal &journal, const std::unique_ptr<Leadership> &leadership)
    : journal_(journal)
    , leadership_(leadership)
{
}

void WorkRecovery::step()
{
    for (const WorkId &id : abandonedWork()) {
        const Work &work = *journal_.state().findWork(id);
        if (!work.attempts.empty() && work.attempts.back().state == AttemptState::Started) {
            leadership_->leases.settle(work.attempts.back().id);
        } else {
            recover(work);
        }
    }
}

std::vector<WorkId> WorkRecovery::abandonedWork() const
{
    std::vector<WorkId> abandoned;
    const WallTime overdue = wallTimeNow() - overdueMargin;
    for (const WorkId &id : journal_.state().openWork()) {
        const Work *work = journal_.state().findWork(id);
        // An entry that did not learn that its admission was recorded does not execute the work.
        const bool isCarried =
            leadership_->entries.contains(work->owner) && work->deadline > overdue;
        if (!isCarried && !leadership_->recoveringWork.contains(id)) {
            abandoned.push_back(id);
        }
    }
    return abandoned;
}

bool WorkRecovery::canContinue(const Work &work) const
{
    const bool isLost = !work.attempts.empty() && work.attempts.back().state == AttemptState::Lost
        && !work.repeatable;
    return work.request && !isLost && !work.cancelled && wallTimeNow() < work.deadline
        && !leadership_->entries.empty();
}

void WorkRecovery::recover(const Work &work)
{
    const WorkId id = work.id;
    const bool canContinueWork = canContinue(work);
    leadership_->recoveringWork.insert(id);
    if (canContinueWork) {
        handOver(id);
    } else {
        revoke(id);
    }
}

void WorkRecovery::revoke(const WorkId &id)
{
    journal_.propose(RevokeWork {id, false, wallTimeNow()},
        [this, id, term = leadership_->term](const Result<ApplyReply> & /*reply*/) {
            if (leadership_ && leadership_->term == term) {
                leadership_->recoveringWork.erase(id);
            }
        });
}

void WorkRecovery::handOver(const WorkId &id)
{
    const EntryEpoch owner = leastLoadedEntry();
    journal_.propose(AdoptWork {id, owner},
        [this, id, owner, term = leadership_->term](const Result<ApplyReply> &reply) {
            if (!leadership_ || leadership_->term != term) {
                return;
            }
            leadership_->recoveringWork.erase(id);
            if (reply && reply.value().error == StateError::None) {
                leadership_->pendingAdoptions[owner].push_back(id);
            }
        });
}

EntryEpoch WorkRecovery::leastLoadedEntry() const
{
    EntryEpoch best;
    std::uint64_t bestLoad = ~0ULL;
    for (const std::pair<const EntryEpoch, EntryRecord> &entry : leadership_->entries) {
        const std::uint64_t load = loadOf(entry.second.lastBeat);
        if (load < bestLoad) {
            best = entry.first;
            bestLoad = load;
        }
    }
    return best;
}

} // namespace crocusmill
