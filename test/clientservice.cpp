/// How calls find the leader, against peers that stay silent, redirect or answer.

#include "src/services/clientservice.h"

#include "src/services/leaderservice.h"
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

/// Each VM answers as the test says; one of which it says nothing stays silent.
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
        asked_.push_back(to);
        const auto found = answers_.find(to);
        if (found == answers_.end()) {
            ++open_;
            const std::shared_ptr<asio::steady_timer> limit =
                std::make_shared<asio::steady_timer>(control_, timeout);
            limit->async_wait(
                [this, limit, done = std::move(done)](const boost::system::error_code & /*error*/) {
                    --open_;
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

    const std::vector<NodeAddress> &asked() const
    {
        return asked_;
    }

    /// Calls that nobody has answered and that are not given up.
    int open() const
    {
        return open_;
    }

private:
    asio::io_context &control_;
    std::map<NodeAddress, Reply> answers_;
    std::vector<NodeAddress> asked_;
    int open_ = 0;
};

struct Finder
{
    Finder()
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

    ~Finder()
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

    /// Makes calls that are alike and runs until all are answered.
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

constexpr Milliseconds patience {2'000};

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

TEST_CASE("while a replica stays silent, the others are asked")
{
    Finder finder;
    PresenceReply reply;
    reply.leader = vm(3);
    finder.peers_->answer(vm(3), reply);
    finder.peers_->answer(vm(1), Redirect {vm(3)});
    // The second replica is asked first and never says anything: it led and has been cut off.
    const Result<Reply> answer = finder.call(patience);
    REQUIRE(answer.has_value());
    CHECK(std::get<PresenceReply>(answer.value()).leader == vm(3));
    CHECK(finder.peers_->open() == 1);
    while (finder.peers_->open() > 0) {
        finder.control_.run_one();
    }
    // Its late failure changes nothing: the leader is known.
    const std::size_t before = finder.peers_->asked().size();
    REQUIRE(finder.call(patience).has_value());
    REQUIRE(finder.peers_->asked().size() == before + 1);
    CHECK(finder.peers_->asked().back() == vm(3));
}

TEST_CASE("a leader that is elected while the old one is silent is found at once")
{
    Finder finder;
    finder.peers_->answer(vm(1), Redirect {vm(2)}); // nobody knows better yet
    finder.peers_->answer(vm(3), Redirect {vm(2)});
    constexpr Milliseconds election {450};
    asio::steady_timer elected {finder.control_, election};
    elected.async_wait([&finder](const boost::system::error_code & /*error*/) {
        finder.peers_->answer(vm(1), Redirect {vm(3)});
        finder.peers_->answer(vm(3), PresenceReply {});
    });
    REQUIRE(finder.call(patience).has_value());
    CHECK(finder.peers_->open() == 1); // the old leader is not given up yet
}

TEST_CASE("a leader that is slow to answer gets a call once")
{
    Finder finder;
    finder.peers_->answer(vm(1), Redirect {vm(2)});
    finder.peers_->answer(vm(3), Redirect {vm(2)});
    constexpr Milliseconds withinOneTry {550};
    CHECK_FALSE(finder.call(withinOneTry).has_value());
    const std::vector<NodeAddress> &asked = finder.peers_->asked();
    CHECK(std::count(asked.begin(), asked.end(), vm(2)) == 1);
    CHECK(asked.size() <= 3);
}

TEST_CASE("a leader that is alive and slow gets a call once, however long it takes")
{
    Finder finder;
    finder.peers_->answer(vm(1), Redirect {vm(2)});
    finder.peers_->answer(vm(3), Redirect {vm(2)});
    CHECK_FALSE(finder.call(patience).has_value());
    const std::vector<NodeAddress> &asked = finder.peers_->asked();
    CHECK(std::count(asked.begin(), asked.end(), vm(2)) == 1);
    CHECK(asked.size() <= 11); // one other replica in 200 ms
}

TEST_CASE("calls beyond the limit are refused unsent, and presence is not limited")
{
    Finder finder;
    finder.peers_->answer(vm(1), Redirect {vm(2)});
    finder.peers_->answer(vm(3), Redirect {vm(2)});
    constexpr std::size_t many = 200;
    const Call submission {graphCall(GraphAction::Submit, "a")};
    const std::vector<Result<Reply>> answers = finder.callMany(many, submission, patience);
    const std::vector<NodeAddress> &asked = finder.peers_->asked();
    const std::ptrdiff_t refused = std::count_if(answers.begin(), answers.end(), isRefused);
    CHECK(refused > 0);
    CHECK(std::count(asked.begin(), asked.end(), vm(2)) + refused == many);
    // The others were sent and may have been accepted.
    CHECK(std::count_if(answers.begin(), answers.end(), [](const Result<Reply> &reply) {
        return !reply;
    }) == static_cast<std::ptrdiff_t>(many) - refused);
    const std::size_t before = asked.size();
    static_cast<void>(finder.callMany(many, PresenceCall {}, Milliseconds {50}));
    CHECK(asked.size() >= before + many);
}

TEST_CASE("a submission that an earlier leader may have accepted is not refused")
{
    Finder finder;
    finder.peers_->answer(vm(1), Redirect {vm(3)});
    finder.peers_->answer(vm(3), graphReply(GraphOutcome::Refused));
    // The second replica is asked first and led until now.
    const Call submission {graphCall(GraphAction::Submit, "a")};
    CHECK_FALSE(finder.callMany(1, submission, patience).front().has_value());
    // The leader is known from now on; what it alone was sent is refused.
    CHECK(isRefused(finder.callMany(1, submission, patience).front()));
}

TEST_CASE("a submission that no leader was found for was not run")
{
    Finder finder;
    for (const std::uint16_t replica : {1, 2, 3}) {
        finder.peers_->answer(vm(replica), Redirect {});
    }
    const Call submission {graphCall(GraphAction::Submit, "a")};
    constexpr Milliseconds shortPatience {400};
    CHECK(isRefused(finder.callMany(1, submission, shortPatience).front()));
    CHECK_FALSE(finder.call(shortPatience).has_value());
}

TEST_CASE("questions about one job that are open at a time share a call")
{
    Finder finder;
    finder.peers_->answer(vm(2), graphReply(GraphOutcome::Done));
    const Call question {graphCall(GraphAction::Show, "a")};
    constexpr std::size_t several = 5;
    for (const Result<Reply> &reply : finder.callMany(several, question, patience)) {
        REQUIRE(reply.has_value());
        CHECK(std::get<GraphReply>(reply.value()).outcome == GraphOutcome::Done);
    }
    CHECK(finder.peers_->asked().size() == 1);
}

TEST_CASE("a question that came after an unknown job was asked for is asked again")
{
    Finder finder;
    finder.peers_->answer(vm(2), graphReply(GraphOutcome::NoJob));
    const Call question {graphCall(GraphAction::Show, "a")};
    constexpr std::size_t several = 5;
    static_cast<void>(finder.callMany(several, question, patience));
    // Once for the first, once for all that came while that was open.
    CHECK(finder.peers_->asked().size() == 2);
}

} // namespace crocusmill
