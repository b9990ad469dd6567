/// Replaces lost replicas.

#include "src/services/replicarepair.h"

#include "src/net/log.h"

#include <algorithm>

namespace crocusmill
{

namespace
{

/// An offer expires if it is not repeated for this long.
constexpr Milliseconds offerTimeout {5'000};

bool logChange(std::string_view event, const Member &member, const Result<LogIndex> &changed)
{
    if (changed) {
        logInfo(event, {{"member", member.vm.value()}, {"replica", member.id.value()}});
    }
    return changed.has_value();
}

} // namespace

ReplicaRepair::ReplicaRepair(std::size_t voterCount, Milliseconds replaceAfter)
    : voterCount_(voterCount)
    , replaceAfter_(replaceAfter)
{
}

void ReplicaRepair::offer(const Member &replica, const Membership &membership, MonotonicTime now)
{
    const Member *member = membership.find(replica.id);
    const bool isVoter = member != nullptr && member->role == MemberRole::Voter;
    if (replica.id != ReplicaId {} && !isVoter) {
        offers_[replica.vm] = {replica, now};
    }
}

void ReplicaRepair::clearOffers()
{
    offers_.clear();
}

std::optional<Member> ReplicaRepair::findSilentVoter(const Consensus &consensus) const
{
    for (const Member &member : consensus.membership().members) {
        if (member.role == MemberRole::Voter && consensus.timeSinceAck(member.id) > replaceAfter_) {
            return member;
        }
    }
    return std::nullopt;
}

std::optional<ReplicaRepair::Vacancy> ReplicaRepair::findVacancy(
    const Member &spare, const Consensus &consensus) const
{
    for (const Member &member : consensus.membership().members) {
        if (member.vm == spare.vm && member.id != spare.id) {
            return Vacancy {member}; // earlier replica of this VM, whose disk was lost
        }
    }
    if (consensus.membership().voterCount() < voterCount_) {
        return Vacancy {};
    }
    const std::optional<Member> silentVoter = findSilentVoter(consensus);
    return silentVoter ? std::optional<Vacancy> {Vacancy {silentVoter}} : std::nullopt;
}

bool ReplicaRepair::step(Consensus &consensus, MonotonicTime now)
{
    std::erase_if(offers_, [now](const std::pair<const VmId, Offer> &entry) {
        return now - entry.second.offeredAt > offerTimeout;
    });
    return std::any_of(offers_.begin(), offers_.end(),
        [this, &consensus](const std::pair<const VmId, Offer> &entry) {
            return stepForSpare(entry.second.replica, consensus);
        });
}

bool ReplicaRepair::hasActiveLearner(const Consensus &consensus) const
{
    const std::vector<Member> &members = consensus.membership().members;
    return std::any_of(members.begin(), members.end(), [this](const Member &member) {
        const auto it = offers_.find(member.vm);
        return member.role == MemberRole::Learner && it != offers_.end()
            && it->second.replica.id == member.id;
    });
}

bool ReplicaRepair::removeSurplusLearner(const Member &learner, Consensus &consensus)
{
    return logChange("journal.learner_dismissed", learner, consensus.removeMember(learner.id));
}

bool ReplicaRepair::stepForSpare(const Member &spare, Consensus &consensus) const
{
    const Member *member = consensus.membership().find(spare.id);
    const std::optional<Vacancy> vacancy = findVacancy(spare, consensus);
    if (member != nullptr && member->role == MemberRole::Voter) {
        return false;
    }
    if (!vacancy) {
        return member != nullptr && removeSurplusLearner(spare, consensus);
    }
    if (member == nullptr) {
        return !hasActiveLearner(consensus)
            && logChange("journal.learner_added", spare, consensus.addLearner(spare));
    }
    if (!consensus.isCaughtUp(spare.id)) {
        return false;
    }
    if (vacancy->replacedMember) {
        const Member replacedMember = *vacancy->replacedMember;
        return logChange("journal.lost_replica_removed", replacedMember,
            consensus.removeMember(replacedMember.id));
    }
    return logChange("journal.voter_added", spare, consensus.promoteLearner(spare.id));
}

} // namespace crocusmill
