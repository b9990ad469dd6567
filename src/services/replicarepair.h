/// Brings VMs whose disk was lost back into the journal, one membership change at a time.
///
/// Used by the leader; pure but for the log records.

#pragma once

#include <crocusmill/consensus.h>
#include <crocusmill/settings.h>

#include <map>
#include <vector>

namespace crocusmill
{

class ReplicaRepair
{
public:
    explicit ReplicaRepair(const std::vector<VoterSettings> &voters);

    /// A VM of the voters' list beats with a replica that is no member.
    void offer(const Member &replica, const Membership &membership);
    void forget();
    /// Takes the next step for one of them: learner, out with the VM's old identity, vote. Removing
    /// first keeps the number of live replicas that are needed at what it was. True when a change
    /// was proposed.
    [[nodiscard]] bool step(Consensus &consensus);

private:
    [[nodiscard]] static bool stepFor(const Member &spare, Consensus &consensus);

    std::vector<VoterSettings> voters_;
    std::map<VmId, Member> spares_;
};

} // namespace crocusmill
