/// Tests when a VM counts as ready or isolated.

#include "src/services/presence.h"

#include "test/fakes/services.h"

#include <catch2/catch.hpp>

namespace crocusmill
{

namespace
{

/// Answers heartbeats at once or lets them time out.
class FakeClient final : public PassiveService, public LeaderClient, public Leader
{
public:
    FakeClient(asio::io_context &control, std::string_view name)
        : control_(control)
        , name_(name)
    {
    }

    std::string_view name() const override
    {
        return name_;
    }

    void call(Call /*call*/, Milliseconds timeout, ReplyHandler done) override
    {
        const std::shared_ptr<asio::steady_timer> answer =
            std::make_shared<asio::steady_timer>(control_, answers ? Milliseconds {1} : timeout);
        answer->async_wait([answer, answered = answers, done = std::move(done)](
                               const boost::system::error_code & /*error*/) {
            if (answered) {
                done(Reply {PresenceReply {}});
            } else {
                done(PeerError::TimedOut);
            }
        });
    }

    void learnReplicas(const std::vector<NodeAddress> & /*replicas*/) override
    {
    }

    void learnSeeds(const std::vector<NodeAddress> & /*seeds*/) override
    {
    }

    void handle(const Call & /*call*/, ReplyHandler /*done*/) override
    {
    }

    void learnWorkers(const std::vector<WorkerHeartbeat> & /*workers*/) override
    {
    }

    bool answers = true;

private:
    asio::io_context &control_;
    std::string_view name_;
};

} // namespace

TEST_CASE("a VM is isolated soon after the loss of the leader and ready once a leader answers")
{
    asio::io_context control;
    Kernel kernel;
    std::unique_ptr<FakeClient> ownClient = std::make_unique<FakeClient>(control, names::client);
    FakeClient &client = *ownClient;
    kernel.add(std::move(ownClient));
    kernel.add(std::make_unique<FakeClient>(control, names::leader));
    kernel.add(makePresenceService(control, Settings {}, ReplicaId {}, false));
    REQUIRE(kernel.start().has_value());
    const Presence &presence = *kernel.find<Presence>(names::presence);
    CHECK(presence.readiness() == Readiness::Starting);
    control.run_for(Milliseconds {200});
    CHECK(presence.readiness() == Readiness::Ready);
    client.answers = false;
    // Two heartbeats may get lost; each times out after one second.
    control.run_for(Milliseconds {3'000});
    CHECK(presence.readiness() == Readiness::Isolated);
    client.answers = true;
    control.run_for(Milliseconds {1'600});
    CHECK(presence.readiness() == Readiness::Ready);
    kernel.stop();
}

} // namespace crocusmill
