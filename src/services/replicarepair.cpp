/// Replacement of lost replicas.

#include "src/services/replicarepair.h"

#include "src/net/log.h"

#include <algorithm>

namespace crocusmill
{

namespace
{

/// An offer that was not repeated for this long is void.
constexpr Milliseconds offerLife {5'000};

bool logChange(std::string_view event, const Member &member, const Result<LogIndex> &changed)
{
    if (changed) {
        logInfo(event, {{"member", member.vm.value()}, {"replica", member.id.value()}});
    }
    return changed.has_value();
}

} // namespace

ReplicaRepair::ReplicaRepair(std::size_t voters, Milliseconds replaceAfter)
    : voters_(voters)
    , replaceAfter_(replaceAfter)
{
}

void ReplicaRepair::offer(const Member &replica, const Membership &membership, MonotonicTime now)
{
    const Member *known = membership.find(replica.id);
    const bool votes = known != nullptr && known->role == MemberRole::Voter;
    if (replica.id != ReplicaId {} && !votes) {
        offers_[replica.vm] = {replica, now};
    }
}

void ReplicaRepair::forget()
{
    offers_.clear();
}

std::optional<Member> ReplicaRepair::silentVoter(const Consensus &consensus) const
{
    for (const Member &member : consensus.membership().members) {
        if (member.role == MemberRole::Voter && consensus.timeSinceAck(member.id) > replaceAfter_) {
            return member;
        }
    }
    return std::nullopt;
}

std::optional<ReplicaRepair::Vacancy> ReplicaRepair::vacancyFor(
    const Member &spare, const Consensus &consensus) const
{
    for (const Member &member : consensus.membership().members) {
        if (member.vm == spare.vm && member.id != spare.id) {
            return Vacancy {member}; // its own disk, lost
        }
    }
    if (consensus.membership().voterCount() < voters_) {
        return Vacancy {};
    }
    const std::optional<Member> silent = silentVoter(consensus);
    return silent ? std::optional<Vacancy> {Vacancy {silent}} : std::nullopt;
}

bool ReplicaRepair::step(Consensus &consensus, MonotonicTime now)
{
    std::erase_if(offers_, [now](const std::pair<const VmId, Offer> &known) {
        return now - known.second.heard > offerLife;
    });
    return std::any_of(offers_.begin(), offers_.end(),
        [this, &consensus](const std::pair<const VmId, Offer> &known) {
            return stepFor(known.second.replica, consensus);
        });
}

bool ReplicaRepair::isBringingUp(const Consensus &consensus) const
{
    const std::vector<Member> &members = consensus.membership().members;
    return std::any_of(members.begin(), members.end(), [this](const Member &member) {
        const auto offered = offers_.find(member.vm);
        return member.role == MemberRole::Learner && offered != offers_.end()
            && offered->second.replica.id == member.id;
    });
}

bool ReplicaRepair::dismiss(const Member &learner, Consensus &consensus)
{
    return logChange("journal.learner_dismissed", learner, consensus.removeMember(learner.id));
}

bool ReplicaRepair::stepFor(const Member &spare, Consensus &consensus) const
{
    const Member *known = consensus.membership().find(spare.id);
    const std::optional<Vacancy> vacancy = vacancyFor(spare, consensus);
    if (known != nullptr && known->role == MemberRole::Voter) {
        return false;
    }
    if (!vacancy) {
        return known != nullptr && dismiss(spare, consensus);
    }
    if (known == nullptr) {
        return !isBringingUp(consensus)
            && logChange("journal.learner_added", spare, consensus.addLearner(spare));
    }
    if (!consensus.isCaughtUp(spare.id)) {
        return false;
    }
    if (vacancy->lost) {
        const Member lost = *vacancy->lost;
        return logChange("journal.lost_replica_removed", lost, consensus.removeMember(lost.id));
    }
    return logChange("journal.voter_added", spare, consensus.promoteLearner(spare.id));
}

} // namespace crocusmill
