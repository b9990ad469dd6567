/// Membership queries and the texts of consensus errors.

#include <crocusmill/consensus.h>

#include <algorithm>

namespace crocusmill
{

std::string_view ErrorText<ConsensusError>::text(ConsensusError error)
{
    switch (error) {
    case ConsensusError::NotLeader:
        return "this replica does not lead";
    case ConsensusError::ChangeInProgress:
        return "another membership change is not committed yet";
    case ConsensusError::NoSuchMember:
        return "no such member";
    case ConsensusError::AlreadyMember:
        return "already a member";
    case ConsensusError::TooFewVoters:
        return "the change would leave no voter";
    }
    return "unknown consensus error";
}

const Member *Membership::find(ReplicaId id) const
{
    for (const Member &member : members) {
        if (member.id == id) {
            return &member;
        }
    }
    return nullptr;
}

const Member *Membership::findVm(const VmId &vm) const
{
    for (const Member &member : members) {
        if (member.vm == vm) {
            return &member;
        }
    }
    return nullptr;
}

bool Membership::isVoter(ReplicaId id) const
{
    const Member *member = find(id);
    return member != nullptr && member->role == MemberRole::Voter;
}

std::size_t Membership::voterCount() const
{
    return static_cast<std::size_t>(std::count_if(members.begin(), members.end(),
        [](const Member &member) { return member.role == MemberRole::Voter; }));
}

std::size_t Membership::quorum() const
{
    return voterCount() / 2 + 1;
}

bool Ready::mustSync() const
{
    return hardState.has_value() || install != nullptr || !append.empty();
}

bool Ready::empty() const
{
    return !mustSync() && send.empty() && apply.empty();
}

} // namespace crocusmill
