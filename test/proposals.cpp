/// Tests the results of proposals across terms and timeouts.

#include "src/services/proposals.h"

#include "src/net/peerstream.h"

#include <catch2/catch.hpp>

namespace crocusmill
{

namespace
{

const MonotonicTime start {std::chrono::hours {1}};
const MonotonicTime deadline = start + std::chrono::seconds {5};

/// Records the results of proposals.
struct Proposers
{
    void propose(std::uint64_t index, std::uint64_t term, const std::string &name)
    {
        proposals.add(
            LogIndex {index}, Term {term}, deadline, [this, name](const Result<ApplyReply> &reply) {
                results.push_back(name + ": " + (reply ? "applied" : reply.error().message()));
            });
    }

    void apply(std::uint64_t index, std::uint64_t term)
    {
        proposals.onApplied({LogIndex {index}, Term {term}, EntryKind::Command, {}}, {});
    }

    Proposals proposals;
    std::vector<std::string> results;
};

const std::string notLeader = make_error_code(ConsensusError::NotLeader).message();
const std::string timedOut = make_error_code(PeerError::TimedOut).message();

} // namespace

TEST_CASE("a proposal completes with its own entry only")
{
    Proposers proposers;
    proposers.propose(1, 1, "mine");
    proposers.propose(2, 1, "replaced");
    proposers.apply(1, 1);
    proposers.apply(2, 2);
    proposers.apply(2, 2);
    CHECK(
        proposers.results == std::vector<std::string> {"mine: applied", "replaced: " + notLeader});
}

TEST_CASE("a proposal at a reused index completes")
{
    Proposers proposers;
    proposers.propose(3, 1, "earlier term");
    proposers.propose(3, 4, "this term");
    CHECK(proposers.results == std::vector<std::string> {"earlier term: " + notLeader});
    proposers.apply(3, 4);
    CHECK(proposers.results.back() == "this term: applied");
}

TEST_CASE("an overdue proposal times out once")
{
    Proposers proposers;
    proposers.propose(1, 1, "slow");
    proposers.proposals.expire(deadline);
    CHECK(proposers.results.empty());
    proposers.proposals.expire(deadline + Milliseconds {1});
    proposers.apply(1, 1);
    proposers.proposals.failAll(make_error_code(PeerError::Stopping));
    CHECK(proposers.results == std::vector<std::string> {"slow: " + timedOut});
}

} // namespace crocusmill
