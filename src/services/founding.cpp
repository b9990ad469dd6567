/// The founding of a cell.

#include "src/services/founding.h"

namespace crocusmill
{

namespace
{

constexpr Milliseconds askInterval {300};
constexpr Milliseconds askLimit {1'000};

} // namespace

Founding::Founding(
    asio::io_context &control, const Settings &settings, Peers &peers, Journal &journal)
    : settings_(settings)
    , peers_(peers)
    , journal_(journal)
    , timer_(control)
{
}

void Founding::begin()
{
    timer_.expires_after(askInterval);
    timer_.async_wait([this](const boost::system::error_code &error) {
        if (error || journal_.formed()) {
            return;
        }
        askVoters();
        begin();
    });
}

void Founding::stop()
{
    timer_.cancel();
}

std::optional<NodeAddress> Founding::addressOf(ReplicaId replica) const
{
    const auto found = members_.find(replica);
    if (found == members_.end()) {
        return std::nullopt;
    }
    return found->second;
}

void Founding::askVoters()
{
    founders_.clear();
    for (const VoterSettings &voter : settings_.peers.voters) {
        if (voter.vm == settings_.vm) {
            answered(voter, journal_.hello());
            continue;
        }
        peers_.call(voter.address, HelloCall {settings_.vm}, askLimit,
            [this, voter](const Result<Reply> &reply) {
                const HelloReply *hello = reply ? std::get_if<HelloReply>(&reply.value()) : nullptr;
                if (hello != nullptr) {
                    answered(voter, *hello);
                }
            });
    }
}

void Founding::answered(const VoterSettings &voter, const HelloReply &hello)
{
    if (hello.formed) {
        // This replica only has to stay reachable: the leader sends what it lacks.
        for (const Member &member : hello.membership.members) {
            members_[member.id] = member.address;
        }
        return;
    }
    if (hello.vm != voter.vm || hello.replica == ReplicaId {}) {
        return;
    }
    founders_[voter.vm] = Member {hello.replica, voter.vm, voter.address, MemberRole::Voter};
    const bool first = settings_.peers.voters.front().vm == settings_.vm;
    if (first && founders_.size() == settings_.peers.voters.size() && !journal_.formed()) {
        found();
    }
}

void Founding::found()
{
    Membership membership;
    for (const std::pair<const VmId, Member> &founder : founders_) {
        membership.members.push_back(founder.second);
    }
    if (!journal_.form(membership)) {
        return;
    }
    for (const Member &member : membership.members) {
        if (member.vm != settings_.vm) {
            peers_.call(member.address, FormCall {membership}, askLimit,
                [](const Result<Reply> & /*reply*/) {});
        }
    }
}

} // namespace crocusmill
