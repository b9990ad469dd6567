/// Fake journal and peers of one VM, without files and network.

#pragma once

#include "src/net/peerstream.h"
#include "src/services/interfaces.h"

#include <crocusmill/settings.h>

#include <utility>
#include <vector>

namespace crocusmill::fakes
{

/// Leads by default and applies each proposal at once, unless told to hold them.
class FakeJournal final : public PassiveService, public Journal
{
public:
    explicit FakeJournal(const TimeSettings &times)
        : consensus_(ReplicaId {1}, times.consensus, singleVoterState(), 1, MonotonicTime {})
    {
        consensus_.tick(
            MonotonicTime {} + times.consensus.electionTimeout + times.consensus.electionSpread);
    }

    std::string_view name() const override
    {
        return names::journal;
    }

    void propose(const Command &command, ProposeHandler done) override
    {
        if (isHolding_) {
            held_.emplace_back(command, std::move(done));
            return;
        }
        index_ = LogIndex {index_.value() + 1};
        done(state_.apply(command, index_));
    }

    void holdProposals()
    {
        isHolding_ = true;
    }

    /// Applies the held proposals in their order, and later ones at once.
    void applyHeldProposals()
    {
        isHolding_ = false;
        for (std::pair<Command, ProposeHandler> &proposal : std::exchange(held_, {})) {
            propose(proposal.first, std::move(proposal.second));
        }
    }

    bool isLeading() const override
    {
        return isLeading_;
    }

    void setLeading(bool isLeading)
    {
        isLeading_ = isLeading;
    }

    bool isFormed() const override
    {
        return true;
    }

    std::optional<NodeAddress> leader() const override
    {
        return std::nullopt;
    }

    const StateMachine &state() const override
    {
        return state_;
    }

    const Consensus *consensus() const override
    {
        return &consensus_;
    }

    HelloReply hello() const override
    {
        return {};
    }

    bool form(const Membership & /*membership*/) override
    {
        return false;
    }

    void offerReplica(
        const VmId & /*vm*/, ReplicaId /*replica*/, const NodeAddress & /*address*/) override
    {
    }

    Result<void> replace(const VmId & /*vm*/) override
    {
        return ConsensusError::NoSuchMember;
    }

private:
    /// Returns a state with a single voter, which elects itself.
    static StoredState singleVoterState()
    {
        Membership founding;
        founding.members.push_back({ReplicaId {1}, VmId {"vm-1"}, {}, MemberRole::Voter});
        StoredState stored;
        stored.hardState.term = Term {1};
        stored.snapshot =
            std::make_shared<const Snapshot>(Snapshot {LogIndex {1}, Term {1}, founding, {}});
        return stored;
    }

    bool isLeading_ = true;
    bool isHolding_ = false;
    std::vector<std::pair<Command, ProposeHandler>> held_;
    LogIndex index_;
    StateMachine state_;
    Consensus consensus_;
};

/// No peer is reachable.
class FakePeers final : public PassiveService, public Peers
{
public:
    std::string_view name() const override
    {
        return names::peers;
    }

    void deliver(const NodeAddress & /*to*/, const Message & /*message*/) override
    {
    }

    void call(const NodeAddress & /*to*/, const Call & /*call*/, Milliseconds /*timeout*/,
        ReplyHandler done) override
    {
        done(PeerError::Unreachable);
    }

    void onMessage(std::function<void(const Message &)> /*handler*/) override
    {
    }

    void onCall(std::function<void(const Call &, ReplyHandler)> handler) override
    {
        call_ = std::move(handler);
    }

    void ask(const Call &call, ReplyHandler done)
    {
        call_(call, std::move(done));
    }

    Reply ask(const Call &call)
    {
        std::optional<Reply> answer;
        call_(call, [&answer](const Result<Reply> &reply) { answer = reply.value(); });
        return answer.value();
    }

private:
    std::function<void(const Call &, ReplyHandler)> call_;
};

} // namespace crocusmill::fakes
