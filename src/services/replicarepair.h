/// Keeps the number of voters of the journal complete, one membership change at a time.
///
/// A VM whose disk was lost returns with a new replica identity and replaces its old one. A spare
/// VM with a disk replaces a voter that is silent for long; a voter that returns later becomes a
/// spare. Used by the leader; has no side effects except log records and membership changes.

#pragma once

#include <crocusmill/consensus.h>
#include <crocusmill/settings.h>

#include <map>
#include <optional>
#include <vector>

namespace crocusmill
{

class ReplicaRepair
{
public:
    /// `voterCount`: target number of voters.
    ReplicaRepair(std::size_t voterCount, Milliseconds replaceAfter);

    /// Records the replica of a VM's heartbeat, unless it is a voter.
    void offer(const Member &replica, const Membership &membership, MonotonicTime now);
    void clearOffers();
    /// Takes the next step of a replacement: add a learner, remove the old member, promote the
    /// learner. Removal before promotion does not raise the quorum. Returns whether a change was
    /// proposed.
    [[nodiscard]] bool step(Consensus &consensus, MonotonicTime now);

private:
    struct Offer
    {
        Member replica;
        MonotonicTime offeredAt;
    };

    /// A member to replace, or a free voter position when there is none.
    struct Vacancy
    {
        std::optional<Member> replacedMember;
    };

    [[nodiscard]] std::optional<Vacancy> findVacancy(
        const Member &spare, const Consensus &consensus) const;
    [[nodiscard]] std::optional<Member> findSilentVoter(const Consensus &consensus) const;
    /// Returns whether a learner with a live VM exists; only one is added at a time.
    [[nodiscard]] bool hasActiveLearner(const Consensus &consensus) const;
    /// Removes a learner without a vacancy: the voter that it was to replace is back.
    [[nodiscard]] static bool removeSurplusLearner(const Member &learner, Consensus &consensus);
    [[nodiscard]] bool stepForSpare(const Member &spare, Consensus &consensus) const;

    std::size_t voterCount_; // constant after the cell was formed
    Milliseconds replaceAfter_;
    std::map<VmId, Offer> offers_;
};

} // namespace crocusmill
