/// The leader's recovery of work, on a journal that applies at once.

#include "src/services/leaderservice.h"

#include "src/net/peerstream.h"

#include <catch2/catch.hpp>

namespace crocusmill
{

namespace
{

/// Leads always; a proposal is applied when it is made.
class FakeJournal final : public Service, public Journal
{
public:
    explicit FakeJournal(const TimeSettings &times)
        : consensus_(ReplicaId {1}, times.consensus, {}, 1, MonotonicTime {})
    {
    }

    std::string_view name() const override
    {
        return names::journal;
    }

    std::vector<std::string_view> needs() const override
    {
        return {};
    }

    Result<void> start(Kernel & /*kernel*/) override
    {
        return success();
    }

    void stop() override
    {
    }

    void propose(const Command &command, ProposeHandler done) override
    {
        index_ = LogIndex {index_.value() + 1};
        done(state_.apply(command, index_));
    }

    bool leads() const override
    {
        return true;
    }

    bool formed() const override
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
    LogIndex index_;
    StateMachine state_;
    Consensus consensus_;
};

/// Nobody else is there.
class FakePeers final : public Service, public Peers
{
public:
    std::string_view name() const override
    {
        return names::peers;
    }

    std::vector<std::string_view> needs() const override
    {
        return {};
    }

    Result<void> start(Kernel & /*kernel*/) override
    {
        return success();
    }

    void stop() override
    {
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

    Reply ask(const Call &call)
    {
        std::optional<Reply> answer;
        call_(call, [&answer](const Result<Reply> &reply) { answer = reply.value(); });
        return answer.value();
    }

private:
    std::function<void(const Call &, ReplyHandler)> call_;
};

WallTime wallIn(Milliseconds time)
{
    return std::chrono::time_point_cast<Milliseconds>(std::chrono::system_clock::now()) + time;
}

AdmitWork admission(const std::string &id, Milliseconds deadline)
{
    AdmitWork admit;
    admit.work = WorkId {id};
    admit.environment = EnvironmentName {"rocola"};
    admit.owner = EntryEpoch {"vm-1.a"};
    admit.deadline = wallIn(deadline);
    return admit;
}

} // namespace

TEST_CASE("work that its live entry never carries is given up after its deadline")
{
    asio::io_context control;
    Settings settings;
    settings.state = StateSettings {};
    settings.times.slots.grantLife = Milliseconds {400};
    settings.times.slots.driftMargin = Milliseconds {10};
    Kernel kernel;
    std::unique_ptr<FakeJournal> ownJournal = std::make_unique<FakeJournal>(settings.times);
    std::unique_ptr<FakePeers> ownPeers = std::make_unique<FakePeers>();
    FakeJournal &journal = *ownJournal;
    FakePeers &peers = *ownPeers;
    kernel.add(std::move(ownJournal));
    kernel.add(std::move(ownPeers));
    kernel.add(makeLeaderService(control, settings));
    REQUIRE(kernel.start().has_value());

    const AdmitWork orphan = admission("orphan", Milliseconds {-2'500});
    const AdmitWork carried = admission("carried", Milliseconds {60'000});
    for (const AdmitWork &admit : {orphan, carried}) {
        static_cast<void>(peers.ask(ProposeCall {encodeCommand(Command {admit})}));
    }
    BeatCall beat;
    beat.epoch = orphan.owner;
    beat.full = true;
    const MonotonicTime until = std::chrono::steady_clock::now() + std::chrono::seconds {2};
    while (std::chrono::steady_clock::now() < until
        && journal.state().openWork().contains(orphan.work)) {
        ++beat.number;
        static_cast<void>(peers.ask(beat));
        control.run_for(Milliseconds {50});
    }
    kernel.stop();
    CHECK(journal.state().findWork(orphan.work)->execution() == Execution::NotRun);
    CHECK(journal.state().openWork().contains(carried.work));
}

} // namespace crocusmill
