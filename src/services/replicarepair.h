/// Keeps the journal's voters complete, one membership change at a time.
///
/// A VM whose disk was lost comes back under a new identity and takes its own place again. Where a
/// voter is silent for long, a spare VM with a disk takes its place; when it returns, it is a
/// spare itself. Used by the leader; pure but for the log records.

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
    /// `voters`: how many replicas are to vote.
    ReplicaRepair(std::size_t voterCount, Milliseconds replaceAfter);

    /// A VM beats with a replica that is no member.
    void offer(const Member &replica, const Membership &membership, MonotonicTime now);
    void clearOffers();
    /// Takes the next step of a replacement: learner, out with the old identity, vote. Removing
    /// first keeps the number of live replicas that are needed at what it was. True when a change
    /// was proposed.
    [[nodiscard]] bool step(Consensus &consensus, MonotonicTime now);

private:
    struct Offer
    {
        Member replica;
        MonotonicTime offeredAt;
    };

    /// The member whose place this replica may take, or a free place among the voters.
    struct Vacancy
    {
        std::optional<Member> replacedMember;
    };

    [[nodiscard]] std::optional<Vacancy> findVacancy(
        const Member &spare, const Consensus &consensus) const;
    [[nodiscard]] std::optional<Member> findSilentVoter(const Consensus &consensus) const;
    /// A learner whose VM is alive; one is brought up at a time.
    [[nodiscard]] bool hasActiveLearner(const Consensus &consensus) const;
    /// A learner that no place is left for: the voter it was to replace is back.
    [[nodiscard]] static bool removeSurplusLearner(const Member &learner, Consensus &consensus);
    [[nodiscard]] bool stepForSpare(const Member &spare, Consensus &consensus) const;

    std::size_t voterCount_; // as founded; their number stays what it is
    Milliseconds replaceAfter_;
    std::map<VmId, Offer> offers_;
};

} // namespace crocusmill
