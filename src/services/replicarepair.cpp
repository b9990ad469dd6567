/// Replacement of lost replicas.

#include "src/services/replicarepair.h"

#include "src/net/log.h"

#include <algorithm>

namespace crocusmill
{

namespace
{

bool logChange(std::string_view event, const Member &member, const Result<LogIndex> &changed)
{
    if (changed) {
        logInfo(event, {{"member", member.vm.value()}, {"replica", member.id.value()}});
    }
    return changed.has_value();
}

} // namespace

ReplicaRepair::ReplicaRepair(const std::vector<VoterSettings> &voters)
    : voters_(voters)
{
}

void ReplicaRepair::offer(const Member &replica, const Membership &membership)
{
    const bool listed = std::any_of(voters_.begin(), voters_.end(),
        [&replica](const VoterSettings &voter) { return voter.vm == replica.vm; });
    if (listed && replica.id != ReplicaId {} && membership.find(replica.id) == nullptr) {
        spares_[replica.vm] = replica;
    }
}

void ReplicaRepair::forget()
{
    spares_.clear();
}

bool ReplicaRepair::step(Consensus &consensus)
{
    return std::any_of(
        spares_.begin(), spares_.end(), [&consensus](const std::pair<const VmId, Member> &spare) {
            return stepFor(spare.second, consensus);
        });
}

bool ReplicaRepair::stepFor(const Member &spare, Consensus &consensus)
{
    const Membership &membership = consensus.membership();
    const Member *learner = membership.find(spare.id);
    if (learner == nullptr) {
        return logChange("journal.learner_added", spare, consensus.addLearner(spare));
    }
    if (learner->role == MemberRole::Voter || !consensus.caughtUp(spare.id)) {
        return false;
    }
    for (const Member &member : membership.members) {
        if (member.vm == spare.vm && member.id != spare.id) {
            const Member old = member;
            return logChange("journal.lost_replica_removed", old, consensus.removeMember(old.id));
        }
    }
    return logChange("journal.voter_added", spare, consensus.promoteLearner(spare.id));
}

} // namespace crocusmill
