/// Compares the replicated log with a reference history under drops, repeats, reordering and
/// restarts.

#include "test/fakes/network.h"

#include <crocusmill/consensus.h>

#include <catch2/catch.hpp>
#include <rapidcheck.h>

namespace crocusmill
{

namespace
{

using fakes::Network;

std::set<std::string> payloadsOf(const Network &network)
{
    std::set<std::string> payloads;
    for (const std::pair<const LogIndex, LogEntry> &item : network.history()) {
        if (item.second.kind == EntryKind::Command) {
            payloads.insert(item.second.payload);
        }
    }
    return payloads;
}

LogIndex proposeOne(Network &network, const std::string &payload)
{
    const Result<LogIndex> index = network.leader()->propose(payload);
    REQUIRE(index.has_value());
    network.processReady();
    return index.value();
}

ConsensusSettings fastElections()
{
    ConsensusSettings settings;
    settings.heartbeat = Milliseconds {100};
    settings.electionTimeout = Milliseconds {400};
    settings.electionSpread = Milliseconds {200};
    return settings;
}

StoredState initialState(std::uint64_t voters)
{
    Membership initialMembership;
    for (std::uint64_t id = 1; id <= voters; ++id) {
        initialMembership.members.push_back(
            {ReplicaId {id}, VmId {"vm-" + std::to_string(id)}, {}, MemberRole::Voter});
    }
    StoredState stored;
    stored.hardState.term = Term {1};
    stored.snapshot =
        std::make_shared<const Snapshot>(Snapshot {LogIndex {1}, Term {1}, initialMembership, {}});
    return stored;
}

/// Advances `now` until the replica next requests votes, and returns that time.
MonotonicTime advanceToVoteRequest(Consensus &replica, MonotonicTime &now, bool preVote)
{
    constexpr int maxSteps = 500;
    for (int step = 0; step < maxSteps; ++step) {
        for (const Message &message : replica.takeReady().send) {
            const VoteRequest *request = std::get_if<VoteRequest>(&message.body);
            if (request != nullptr && request->preVote == preVote) {
                return now;
            }
        }
        now += Milliseconds {5};
        replica.tick(now);
    }
    FAIL("no request for votes");
    return now;
}

/// Returns an elected leader of three voters; the others have acknowledged its first entry.
Consensus electedLeader(MonotonicTime &now)
{
    Consensus leader {ReplicaId {1}, fastElections(), initialState(3), 1, now};
    advanceToVoteRequest(leader, now, true);
    const Term term {2};
    for (const bool preVote : {true, false}) {
        leader.receive({ReplicaId {2}, ReplicaId {1}, term, VoteReply {preVote, true}}, now);
    }
    const Ready elected = leader.takeReady();
    REQUIRE(leader.isLeader());
    leader.persisted(leader.lastIndex(), term);
    for (const std::uint64_t id : {2, 3}) {
        leader.receive({ReplicaId {id}, ReplicaId {1}, term,
                           AppendReply {true, leader.lastIndex(), LogIndex {1},
                               static_cast<std::uint64_t>(now.time_since_epoch().count())}},
            now);
    }
    REQUIRE(leader.commitIndex() == leader.lastIndex());
    static_cast<void>(leader.takeReady());
    return leader;
}

} // namespace

TEST_CASE("a leader is elected and commits")
{
    Network network {3, 1};
    network.runFor(Milliseconds {3000});
    REQUIRE(network.leader() != nullptr);
    const LogIndex index = proposeOne(network, "one");
    network.runFor(Milliseconds {200});
    CHECK(network.history().at(index).payload == "one");
    CHECK(network.leader()->isReadyLeader());
    CHECK(network.leader()->holdsLease(network.now()));
}

TEST_CASE("a replica that returns with a divergent log gets each missing entry once")
{
    Network network {3, 7};
    network.runFor(Milliseconds {3000});
    const ReplicaId oldLeader = network.leader()->self();
    const std::string payload(1000, 'x');
    proposeOne(network, payload);
    network.runFor(Milliseconds {200});
    network.setPartitioned(oldLeader, true);
    for (int i = 0; i < 40; ++i) { // entries that no other replica gets
        REQUIRE(network.at(oldLeader).propose(payload).has_value());
    }
    network.runFor(Milliseconds {3000});
    constexpr std::uint64_t proposals = 1500;
    const std::uint64_t before = network.payloadBytesSentTo(oldLeader);
    for (std::uint64_t i = 0; i < proposals; ++i) {
        proposeOne(network, payload);
        if (i % 4 == 0) {
            network.runFor(Milliseconds {10});
        }
    }
    // Entries do not queue up for a replica that does not answer.
    CHECK(network.payloadBytesSentTo(oldLeader) - before <= 400 * payload.size());
    network.setPartitioned(oldLeader, false);
    const std::uint64_t bytesBeforeHealing = network.payloadBytesSentTo(oldLeader);
    for (int i = 0; i < 100; ++i) { // the load continues while the replica catches up
        proposeOne(network, payload);
        proposeOne(network, payload);
        network.runFor(Milliseconds {10});
    }
    network.runFor(Milliseconds {200}); // the last commit index has to arrive as well
    CHECK(network.at(oldLeader).commitIndex() == network.leader()->commitIndex());
    CHECK(network.payloadBytesSentTo(oldLeader) - bytesBeforeHealing
        <= 2 * (proposals + 200) * payload.size());
    CHECK(network.isConsistent());
}

TEST_CASE("a leader that is cut off loses its lease before another is elected")
{
    Network network {3, 2};
    network.runFor(Milliseconds {3000});
    const ReplicaId oldLeader = network.leader()->self();
    network.setPartitioned(oldLeader, true);
    for (int step = 0; step < 300; ++step) {
        network.runFor(Milliseconds {10});
        REQUIRE(network.leaseHolderCount() <= 1);
    }
    REQUIRE(network.leader() != nullptr);
    CHECK(network.leader()->self() != oldLeader);
    CHECK_FALSE(network.at(oldLeader).holdsLease(network.now()));
}

TEST_CASE("a refused pre-vote is retried soon, a vote request only after a long wait")
{
    const ConsensusSettings settings = fastElections();
    MonotonicTime now {std::chrono::hours {1}};
    Consensus replica {ReplicaId {1}, settings, initialState(3), 1, now};
    const MonotonicTime firstPreVote = advanceToVoteRequest(replica, now, true);
    CHECK(advanceToVoteRequest(replica, now, true) - firstPreVote
        <= settings.heartbeat + settings.electionSpread);
    const Term next {replica.term().value() + 1};
    replica.receive({ReplicaId {2}, ReplicaId {1}, next, VoteReply {true, true}}, now);
    const MonotonicTime electionStart = advanceToVoteRequest(replica, now, false);
    // A new election must not interrupt two syncs of a slow disk.
    CHECK(advanceToVoteRequest(replica, now, true) - electionStart >= 2 * settings.electionTimeout);
}

TEST_CASE("a silent leader is replaced soon after the timeout")
{
    const ConsensusSettings settings = fastElections();
    for (std::uint64_t seed = 1; seed <= 60; ++seed) {
        INFO("seed " << seed);
        Network network {5, seed, settings};
        network.runFor(Milliseconds {3000});
        const ReplicaId oldLeader = network.leader()->self();
        network.setPartitioned(oldLeader, true);
        // Timeout and spread, plus a heartbeat, as replicas that heard the leader a little later
        // refuse the first pre-vote.
        network.runFor(settings.electionTimeout + settings.electionSpread + settings.heartbeat);
        REQUIRE(network.leader() != nullptr);
        CHECK(network.leader()->isReadyLeader());
    }
}

TEST_CASE("a replica that just restarted grants no vote against a leader with a lease")
{
    Network network {3, 3};
    network.runFor(Milliseconds {3000});
    const Consensus &leader = *network.leader();
    const ReplicaId follower {leader.self() == ReplicaId {1} ? 2U : 1U};
    network.crash(follower);
    network.boot(follower);
    Message message {leader.self(), follower, Term {leader.term().value() + 5},
        VoteRequest {false, LogIndex {1000}, Term {1000}}};
    network.at(follower).receive(message, network.now());
    CHECK(network.at(follower).term() == leader.term());
}

TEST_CASE("a lost disk is replaced under a new identity, and the log survives a second loss")
{
    Network network {3, 4};
    network.runFor(Milliseconds {3000});
    const LogIndex before = proposeOne(network, "before");
    network.runFor(Milliseconds {200});
    const ReplicaId lostReplica {network.leader()->self() == ReplicaId {1} ? 2U : 1U};
    network.crash(lostReplica);
    const ReplicaId newReplica {11};
    network.bootWithEmptyDisk(newReplica);
    const Member learner {newReplica, VmId {"vm-new"}, {}, MemberRole::Learner};
    REQUIRE(network.leader()->addLearner(learner).has_value());
    network.runFor(Milliseconds {500});
    REQUIRE(network.leader()->isCaughtUp(newReplica));
    CHECK_FALSE(network.leader()->membership().isVoter(newReplica));
    REQUIRE(network.leader()->removeMember(lostReplica).has_value());
    network.runFor(Milliseconds {500});
    REQUIRE(network.leader()->promoteLearner(newReplica).has_value());
    network.runFor(Milliseconds {500});
    CHECK(network.leader()->membership().voterCount() == 3);

    network.crash(network.leader()->self());
    network.runFor(Milliseconds {4000});
    REQUIRE(network.leader() != nullptr);
    const LogIndex after = proposeOne(network, "after");
    network.runFor(Milliseconds {300});
    CHECK(network.history().at(after).payload == "after");
    CHECK(network.history().at(before).payload == "before");
    CHECK(network.isConsistent());
}

TEST_CASE("a membership change is refused while another is in progress")
{
    Network network {3, 5};
    network.runFor(Milliseconds {3000});
    const Member learner {ReplicaId {11}, VmId {"vm-new"}, {}, MemberRole::Learner};
    const Member otherLearner {ReplicaId {12}, VmId {"vm-other"}, {}, MemberRole::Learner};
    REQUIRE(network.leader()->addLearner(learner).has_value());
    const Result<LogIndex> second = network.leader()->addLearner(otherLearner);
    REQUIRE(second.has_error());
    CHECK(second.error() == ConsensusError::ChangeInProgress);
}

TEST_CASE("random faults never fork the history, lose a commit or grant two leases")
{
    const bool passed = rc::check([](std::uint64_t seed) {
        const std::size_t voters = seed % 2 == 0 ? 3 : 5;
        Network network {voters, seed};
        std::mt19937_64 random {seed};
        std::set<std::string> committed;
        for (int step = 0; step < 400; ++step) {
            const ReplicaId target {1 + random() % voters};
            const std::uint64_t action = random() % 100;
            if (action < 3 && network.isUp(target)) {
                network.crash(target);
            } else if (action < 8 && !network.isUp(target)) {
                network.boot(target);
            } else if (action < 10) {
                network.setPartitioned(target, random() % 2 == 0);
            } else if (action < 40 && network.leader() != nullptr) {
                static_cast<void>(network.leader()->propose(std::to_string(step)));
                network.processReady();
            } else if (action < 42 && network.isUp(target)) {
                network.compact(target);
            }
            network.advance(Milliseconds {random() % 60});
            network.deliver(random() % 12, 20);
            RC_ASSERT(network.isConsistent());
            RC_ASSERT(network.leaseHolderCount() <= 1U);
            const std::set<std::string> now = payloadsOf(network);
            RC_ASSERT(std::includes(now.begin(), now.end(), committed.begin(), committed.end()));
            committed = now;
        }
        for (std::size_t i = 1; i <= voters; ++i) {
            network.setPartitioned(ReplicaId {i}, false);
            if (!network.isUp(ReplicaId {i})) {
                network.boot(ReplicaId {i});
            }
        }
        // Enough for an election and for a lost snapshot to be sent again.
        network.runFor(4 * ConsensusSettings {}.electionTimeout
            + 2 * ConsensusSettings {}.snapshotResendInterval);
        RC_ASSERT(network.leader() != nullptr);
        const LogIndex last = network.leader()->commitIndex();
        for (std::size_t i = 1; i <= voters; ++i) {
            RC_ASSERT(network.at(ReplicaId {i}).appliedIndex() == last);
        }
        RC_ASSERT(network.isConsistent());
    });
    CHECK(passed);
}

TEST_CASE("entries appended while replies arrive go to each follower in one message")
{
    MonotonicTime now {Milliseconds {10'000}};
    Consensus leader = electedLeader(now);
    const LogIndex before = leader.lastIndex();
    for (const char *payload : {"a", "b"}) {
        REQUIRE(leader.propose(payload).has_value());
        // The reply of a follower to a heartbeat.
        leader.receive(
            {ReplicaId {2}, ReplicaId {1}, Term {2}, AppendReply {true, before, before, 0}}, now);
    }
    std::map<ReplicaId, std::vector<std::size_t>> sent;
    for (const Message &message : leader.takeReady().send) {
        sent[message.to].push_back(std::get<AppendRequest>(message.body).entries.size());
    }
    const std::vector<std::size_t> oneOfTwoEntries {2};
    CHECK(sent[ReplicaId {2}] == oneOfTwoEntries);
    CHECK(sent[ReplicaId {3}] == oneOfTwoEntries);
}

} // namespace crocusmill
