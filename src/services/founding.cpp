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
        if (error || journal_.isFormed()) {
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

bool Founding::isSelf(const VoterSettings &voter) const
{
    return voter.address == settings_.peers.advertise;
}

void Founding::askVoters()
{
    founders_.clear();
    for (const VoterSettings &voter : settings_.peers.voters) {
        if (isSelf(voter)) {
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
    const bool expected = voter.vm.value().empty() || hello.vm == voter.vm;
    if (!expected || hello.replica == ReplicaId {}) {
        return;
    }
    founders_[voter.address] = Member {hello.replica, hello.vm, voter.address, MemberRole::Voter};
    const bool mayFound = settings_.state && settings_.state->canFormCell;
    const bool first = mayFound && isSelf(settings_.peers.voters.front());
    if (first && founders_.size() == settings_.peers.voters.size() && !journal_.isFormed()) {
        found();
    }
}

void Founding::found()
{
    Membership membership;
    for (const std::pair<const NodeAddress, Member> &founder : founders_) {
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
