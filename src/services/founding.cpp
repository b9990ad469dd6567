/// Forms a new cell from the voters in the settings.

#include "src/services/founding.h"

namespace crocusmill
{

namespace
{

constexpr Milliseconds queryInterval {300};
constexpr Milliseconds callTimeout {1'000};

} // namespace

Founding::Founding(
    asio::io_context &control, const Settings &settings, Peers &peers, Journal &journal)
    : settings_(settings)
    , peers_(peers)
    , journal_(journal)
    , timer_(control)
{
}

void Founding::start()
{
    timer_.expires_after(queryInterval);
    timer_.async_wait([this](const boost::system::error_code &error) {
        if (error || journal_.isFormed()) {
            return;
        }
        queryVoters();
        start();
    });
}

void Founding::stop()
{
    timer_.cancel();
}

std::optional<NodeAddress> Founding::addressOf(ReplicaId replica) const
{
    const auto it = members_.find(replica);
    if (it == members_.end()) {
        return std::nullopt;
    }
    return it->second;
}

bool Founding::isSelf(const VoterSettings &voter) const
{
    return voter.address == settings_.peers.advertise;
}

void Founding::queryVoters()
{
    founders_.clear();
    for (const VoterSettings &voter : settings_.peers.voters) {
        if (isSelf(voter)) {
            onHelloReply(voter, journal_.hello());
            continue;
        }
        peers_.call(voter.address, HelloCall {settings_.vm}, callTimeout,
            [this, voter](const Result<Reply> &reply) {
                const HelloReply *hello = reply ? std::get_if<HelloReply>(&reply.value()) : nullptr;
                if (hello != nullptr) {
                    onHelloReply(voter, *hello);
                }
            });
    }
}

void Founding::onHelloReply(const VoterSettings &voter, const HelloReply &hello)
{
    if (hello.formed) {
        // This replica only stays reachable: the leader sends the log to it.
        for (const Member &member : hello.membership.members) {
            members_[member.id] = member.address;
        }
        return;
    }
    const bool isExpectedVm = voter.vm.value().empty() || hello.vm == voter.vm;
    if (!isExpectedVm || hello.replica == ReplicaId {}) {
        return;
    }
    founders_[voter.address] = Member {hello.replica, hello.vm, voter.address, MemberRole::Voter};
    const bool mayFound = settings_.state && settings_.state->canFormCell;
    const bool isFounder = mayFound && isSelf(settings_.peers.voters.front());
    if (isFounder && founders_.size() == settings_.peers.voters.size() && !journal_.isFormed()) {
        formCell();
    }
}

void Founding::formCell()
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
            peers_.call(member.address, FormCall {membership}, callTimeout,
                [](const Result<Reply> & /*reply*/) {});
        }
    }
}

} // namespace crocusmill
