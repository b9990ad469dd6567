/// Tests of how calls find the leader when peers stay silent, redirect or answer.

#include "src/services/clientservice.h"

#include "src/services/leaderservice.h"
#include "test/fakes/logcapture.h"
#include "test/fakes/services.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <map>

namespace crocusmill
{

namespace
{

NodeAddress vm(std::uint16_t number)
{
    return {"10.0.0." + std::to_string(number), 7000};
}

/// Peers with scripted answers. A VM without an answer stays silent.
class ScriptedPeers final : public PassiveService, public Peers
{
public:
    explicit ScriptedPeers(asio::io_context &control)
        : control_(control)
    {
    }

    std::string_view name() const override
    {
        return names::peers;
    }

    void deliver(const NodeAddress & /*to*/, const Message & /*message*/) override
    {
    }

    void call(const NodeAddress &to, const Call & /*call*/, Milliseconds timeout,
        ReplyHandler done) override
    {
        calledAddresses_.push_back(to);
        const auto found = answers_.find(to);
        if (found == answers_.end()) {
            ++unansweredCount_;
            const std::shared_ptr<asio::steady_timer> timeoutTimer =
                std::make_shared<asio::steady_timer>(control_, timeout);
            timeoutTimer->async_wait([this, timeoutTimer, done = std::move(done)](
                                         const boost::system::error_code & /*error*/) {
                --unansweredCount_;
                done(PeerError::TimedOut);
            });
            return;
        }
        asio::post(control_, [done = std::move(done), reply = found->second]() { done(reply); });
    }

    void onMessage(std::function<void(const Message &)> /*handler*/) override
    {
    }

    void onCall(std::function<void(const Call &, ReplyHandler)> /*handler*/) override
    {
    }

    void answer(const NodeAddress &from, const Reply &reply)
    {
        answers_.insert_or_assign(from, reply);
    }

    void silence(const NodeAddress &vm)
    {
        answers_.erase(vm);
    }

    const std::vector<NodeAddress> &calledAddresses() const
    {
        return calledAddresses_;
    }

    /// Returns the number of calls that are neither answered nor timed out.
    int unansweredCount() const
    {
        return unansweredCount_;
    }

private:
    asio::io_context &control_;
    std::map<NodeAddress, Reply> answers_;
    std::vector<NodeAddress> calledAddresses_;
    int unansweredCount_ = 0;
};

struct Fixture
{
    Fixture()
    {
        settings_.peers.advertise = vm(9);
        std::unique_ptr<fakes::FakeJournal> journal =
            std::make_unique<fakes::FakeJournal>(settings_.times);
        journal->setLeading(false);
        std::unique_ptr<ScriptedPeers> peers = std::make_unique<ScriptedPeers>(control_);
        peers_ = peers.get();
        kernel_.add(std::move(peers));
        kernel_.add(std::move(journal));
        kernel_.add(makeLeaderService(control_, settings_, metrics_, false));
        kernel_.add(makeClientService(control_, settings_));
        REQUIRE(kernel_.start().has_value());
        client_ = kernel_.find<LeaderClient>(names::client);
        client_->learnReplicas({vm(1), vm(2), vm(3)});
    }

    ~Fixture()
    {
        kernel_.stop();
    }

    /// Runs until the call is answered.
    Result<Reply> call(Milliseconds timeout)
    {
        std::optional<Result<Reply>> answer;
        client_->call(
            PresenceCall {}, timeout, [&answer](const Result<Reply> &reply) { answer = reply; });
        while (!answer) {
            control_.run_one();
        }
        return *answer;
    }

    /// Sends `count` identical calls and runs until all are answered.
    std::vector<Result<Reply>> callMany(std::size_t count, const Call &call, Milliseconds timeout)
    {
        std::vector<Result<Reply>> answers;
        for (std::size_t i = 0; i < count; ++i) {
            client_->call(call, timeout,
                [&answers](const Result<Reply> &reply) { answers.push_back(reply); });
        }
        while (answers.size() < count) {
            control_.run_one();
        }
        return answers;
    }

    asio::io_context control_;
    Settings settings_;
    Metrics metrics_;
    Kernel kernel_;
    ScriptedPeers *peers_ = nullptr;
    LeaderClient *client_ = nullptr;
};

constexpr Milliseconds defaultTimeout {2'000};

GraphCall graphCall(GraphAction action, const std::string &job)
{
    GraphCall call;
    call.action = action;
    call.host = "desk.example";
    call.path = "/quotes/" + job;
    return call;
}

GraphReply graphReply(GraphOutcome outcome)
{
    GraphReply reply;
    reply.outcome = outcome;
    return reply;
}

bool isRefused(const Result<Reply> &reply)
{
    return reply && std::get<GraphReply>(reply.value()).outcome == GraphOutcome::Refused;
}

} // namespace

TEST_CASE("the other replicas are contacted while one is silent")
{
    Fixture fixture;
    PresenceReply reply;
    reply.leader = vm(3);
    fixture.peers_->answer(vm(3), reply);
    fixture.peers_->answer(vm(1), Redirect {vm(3)});
    // The second replica is contacted first and stays silent, as a disconnected leader does.
    const Result<Reply> answer = fixture.call(defaultTimeout);
    REQUIRE(answer.has_value());
    CHECK(std::get<PresenceReply>(answer.value()).leader == vm(3));
    CHECK(fixture.peers_->unansweredCount() == 1);
    while (fixture.peers_->unansweredCount() > 0) {
        fixture.control_.run_one();
    }
    // Its late failure has no effect, because the leader is known.
    const std::size_t before = fixture.peers_->calledAddresses().size();
    REQUIRE(fixture.call(defaultTimeout).has_value());
    REQUIRE(fixture.peers_->calledAddresses().size() == before + 1);
    CHECK(fixture.peers_->calledAddresses().back() == vm(3));
}

TEST_CASE("a new leader is found before calls to the silent old one time out")
{
    Fixture fixture;
    fixture.peers_->answer(vm(1), Redirect {vm(2)}); // not aware of the election yet
    fixture.peers_->answer(vm(3), Redirect {vm(2)});
    constexpr Milliseconds election {450};
    asio::steady_timer elected {fixture.control_, election};
    elected.async_wait([&fixture](const boost::system::error_code & /*error*/) {
        fixture.peers_->answer(vm(1), Redirect {vm(3)});
        fixture.peers_->answer(vm(3), PresenceReply {});
    });
    REQUIRE(fixture.call(defaultTimeout).has_value());
    CHECK(fixture.peers_->unansweredCount() == 1); // the call to the old leader is still open
}

TEST_CASE("a slow leader gets a call once within a short timeout")
{
    Fixture fixture;
    fixture.peers_->answer(vm(1), Redirect {vm(2)});
    fixture.peers_->answer(vm(3), Redirect {vm(2)});
    constexpr Milliseconds shortTimeout {550};
    CHECK_FALSE(fixture.call(shortTimeout).has_value());
    const std::vector<NodeAddress> &calledAddresses = fixture.peers_->calledAddresses();
    CHECK(std::count(calledAddresses.begin(), calledAddresses.end(), vm(2)) == 1);
    CHECK(calledAddresses.size() <= 3);
}

TEST_CASE("a slow leader gets a call once, even with a long timeout")
{
    Fixture fixture;
    fixture.peers_->answer(vm(1), Redirect {vm(2)});
    fixture.peers_->answer(vm(3), Redirect {vm(2)});
    CHECK_FALSE(fixture.call(defaultTimeout).has_value());
    const std::vector<NodeAddress> &calledAddresses = fixture.peers_->calledAddresses();
    CHECK(std::count(calledAddresses.begin(), calledAddresses.end(), vm(2)) == 1);
    CHECK(calledAddresses.size() <= 11); // one more replica every 200 ms
}

TEST_CASE("calls over the limit are refused unsent, and presence calls are not limited")
{
    Fixture fixture;
    fixture.peers_->answer(vm(1), Redirect {vm(2)});
    fixture.peers_->answer(vm(3), Redirect {vm(2)});
    constexpr std::size_t callCount = 200;
    const Call submission {graphCall(GraphAction::Submit, "a")};
    const std::vector<Result<Reply>> answers =
        fixture.callMany(callCount, submission, defaultTimeout);
    const std::vector<NodeAddress> &calledAddresses = fixture.peers_->calledAddresses();
    const std::ptrdiff_t refused = std::count_if(answers.begin(), answers.end(), isRefused);
    CHECK(refused > 0);
    CHECK(std::count(calledAddresses.begin(), calledAddresses.end(), vm(2)) + refused == callCount);
    // The others were sent and may have been accepted.
    CHECK(std::count_if(answers.begin(), answers.end(), [](const Result<Reply> &reply) {
        return !reply;
    }) == static_cast<std::ptrdiff_t>(callCount) - refused);
    const std::size_t before = calledAddresses.size();
    static_cast<void>(fixture.callMany(callCount, PresenceCall {}, Milliseconds {50}));
    CHECK(calledAddresses.size() >= before + callCount);
}

TEST_CASE("a submission that an earlier leader may have accepted is not refused")
{
    Fixture fixture;
    fixture.peers_->answer(vm(1), Redirect {vm(3)});
    fixture.peers_->answer(vm(3), graphReply(GraphOutcome::Refused));
    // The second replica is contacted first and was the leader until now.
    const Call submission {graphCall(GraphAction::Submit, "a")};
    CHECK_FALSE(fixture.callMany(1, submission, defaultTimeout).front().has_value());
    // The leader is known now. A call that was sent only to it can be refused.
    CHECK(isRefused(fixture.callMany(1, submission, defaultTimeout).front()));
}

TEST_CASE("a submission is refused if no leader was found")
{
    Fixture fixture;
    for (const std::uint16_t replica : {1, 2, 3}) {
        fixture.peers_->answer(vm(replica), Redirect {});
    }
    const Call submission {graphCall(GraphAction::Submit, "a")};
    constexpr Milliseconds shortTimeout {400};
    CHECK(isRefused(fixture.callMany(1, submission, shortTimeout).front()));
    CHECK_FALSE(fixture.call(shortTimeout).has_value());
}

TEST_CASE("a replica whose queue refuses a call is not taken for the leader")
{
    Fixture fixture;
    fixture.peers_->answer(vm(1), Redirect {vm(3)});
    // The second replica is contacted first. Its queue refuses calls before it knows who leads.
    fixture.peers_->answer(vm(2), graphReply(GraphOutcome::Refused));
    fixture.peers_->answer(vm(3), graphReply(GraphOutcome::Done));
    const Call query {graphCall(GraphAction::Show, "a")};
    CHECK_FALSE(isRefused(fixture.callMany(1, query, defaultTimeout).front()));
    // The call that found the leader is the last one to the other replica.
    const std::vector<NodeAddress> &calledAddresses = fixture.peers_->calledAddresses();
    CHECK_FALSE(isRefused(fixture.callMany(1, query, defaultTimeout).front()));
    CHECK(std::count(calledAddresses.begin(), calledAddresses.end(), vm(2)) == 1);
}

TEST_CASE("a new leader is found while the queue of the deposed one refuses calls")
{
    Fixture fixture;
    fixture.peers_->answer(vm(2), PresenceReply {});
    REQUIRE(fixture.call(defaultTimeout).has_value()); // the second replica leads
    fixture.peers_->silence(vm(2));
    fixture.peers_->answer(vm(3), PresenceReply {});
    std::optional<Result<Reply>> answer;
    fixture.client_->call(
        PresenceCall {}, defaultTimeout, [&answer](const Result<Reply> &reply) { answer = reply; });
    // It was deposed without knowing: it answers no call that was queued, and refuses others.
    fixture.peers_->answer(vm(2), graphReply(GraphOutcome::Refused));
    const Call submission {graphCall(GraphAction::Submit, "a")};
    constexpr Milliseconds interval {50};
    while (!answer) {
        static_cast<void>(fixture.callMany(1, submission, defaultTimeout));
        fixture.control_.run_for(interval);
    }
    CHECK(answer->has_value());
}

TEST_CASE("concurrent queries about one job share a call")
{
    Fixture fixture;
    fixture.peers_->answer(vm(2), graphReply(GraphOutcome::Done));
    const Call query {graphCall(GraphAction::Show, "a")};
    constexpr std::size_t callCount = 5;
    for (const Result<Reply> &reply : fixture.callMany(callCount, query, defaultTimeout)) {
        REQUIRE(reply.has_value());
        CHECK(std::get<GraphReply>(reply.value()).outcome == GraphOutcome::Done);
    }
    CHECK(fixture.peers_->calledAddresses().size() == 1);
}

TEST_CASE("queries that arrive while a query finds no job are sent again")
{
    Fixture fixture;
    fixture.peers_->answer(vm(2), graphReply(GraphOutcome::NoJob));
    const Call query {graphCall(GraphAction::Show, "a")};
    constexpr std::size_t callCount = 5;
    static_cast<void>(fixture.callMany(callCount, query, defaultTimeout));
    // One call for the first query and one for all that arrived while it was open.
    CHECK(fixture.peers_->calledAddresses().size() == 2);
}

TEST_CASE("calls that are not served are logged by reason, once a second")
{
    const fakes::LogCapture log;
    Fixture fixture;
    const Call submission {graphCall(GraphAction::Submit, "a")};
    constexpr Milliseconds shortTimeout {100};
    constexpr std::size_t callCount = 100;
    // No replica answers: calls up to the limit wait, the others are refused.
    static_cast<void>(fixture.callMany(callCount, submission, shortTimeout));
    const std::vector<std::string> records = log.records("calls.unserved");
    REQUIRE(records.size() == 2);
    CHECK(fakes::valueIn(records[0], "reason") == "\"open_limit\"");
    CHECK(fakes::valueIn(records[0], "open") == "64");
    CHECK(fakes::valueIn(records[0], "limit") == "64");
    CHECK(fakes::valueIn(records[1], "reason") == "\"unanswered\"");
    CHECK(fakes::valueIn(records[1], "last_asked").find("\"10.0.0.") == 0);
    CHECK(fakes::valueIn(records[1], "leader") == "\"\"");
}

TEST_CASE("a refusal tells whether the leader refused or no leader was found")
{
    const fakes::LogCapture log;
    Fixture fixture;
    for (const std::uint16_t replica : {1, 2, 3}) {
        fixture.peers_->answer(vm(replica), Redirect {});
    }
    const Call submission {graphCall(GraphAction::Submit, "a")};
    constexpr Milliseconds shortTimeout {400};
    const Result<Reply> noLeader = fixture.callMany(1, submission, shortTimeout).front();
    REQUIRE(noLeader.has_value());
    CHECK(std::get<GraphReply>(noLeader.value()).refusedBy == RefusalOrigin::NoLeader);
    fixture.peers_->answer(vm(2), PresenceReply {});
    REQUIRE(fixture.call(defaultTimeout).has_value()); // the second replica leads
    fixture.peers_->answer(vm(2), graphReply(GraphOutcome::Refused));
    const Result<Reply> refused = fixture.callMany(1, submission, shortTimeout).front();
    REQUIRE(refused.has_value());
    CHECK(std::get<GraphReply>(refused.value()).refusedBy == RefusalOrigin::Leader);
    const std::vector<std::string> records = log.records("calls.unserved");
    REQUIRE(records.size() == 2);
    CHECK(fakes::valueIn(records[0], "reason") == "\"no_leader\"");
    CHECK(fakes::valueIn(records[1], "reason") == "\"leader_refused\"");
}

} // namespace crocusmill
