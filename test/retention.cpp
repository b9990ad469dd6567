/// Retention of ended jobs and of departures while clocks jump, leaders change and states are
/// restored.

#include "test/fakes/graphs.h"

#include <crocusmill/retention.h>
#include <crocusmill/statemachine.h>

#include <catch2/catch.hpp>

namespace crocusmill
{

namespace
{

using fakes::graphOf;
using fakes::stepOf;
using std::chrono::seconds;

constexpr Milliseconds retention {600'000};
const Incarnation incarnation {"1000"};

/// A replica in virtual time. Its journal is applied by the test.
struct Replica
{
    explicit Replica(MonotonicTime startedAt = MonotonicTime {})
        : now(startedAt)
    {
    }

    void apply(const Command &command)
    {
        static_cast<void>(state.apply(command, LogIndex {++index}));
    }

    void endJob(const std::string &id, WallTime at)
    {
        apply(SubmitGraph {graphOf(id, {stepOf(1)}), at});
        apply(CancelGraph {GraphId {id}, at});
    }

    /// Returns the proposals that this replica would make as the leader.
    std::vector<ForgetEndedUpTo> runFor(Milliseconds span)
    {
        std::vector<ForgetEndedUpTo> proposals;
        for (const MonotonicTime end = now + span; now < end; now += seconds {1}) {
            if (history.isDue(now)) {
                history.note(state.newestEnds(), now);
            }
            if (const std::optional<ForgetEndedUpTo> expired = history.takeExpired(now)) {
                proposals.push_back(*expired);
            }
        }
        return proposals;
    }

    void leadFor(Milliseconds span)
    {
        for (const MonotonicTime end = now + span; now < end;) {
            for (const ForgetEndedUpTo &proposal : runFor(seconds {1})) {
                apply(proposal);
            }
        }
    }

    [[nodiscard]] bool has(const std::string &id) const
    {
        return state.graphs().find(GraphId {id}) != nullptr;
    }

    StateMachine state;
    RetentionHistory history {retention};
    MonotonicTime now;
    std::uint64_t index = 0;
};

} // namespace

TEST_CASE("ended jobs stay for their retention while the time of day jumps")
{
    const Milliseconds jump = GENERATE(Milliseconds {2'000}, Milliseconds {1'200'000},
        Milliseconds {86'400'000}, Milliseconds {-1'200'000}, Milliseconds {-86'400'000});
    const WallTime wall {Milliseconds {100'000'000'000}};
    Replica leader;
    leader.endJob("before", wall);
    leader.leadFor(seconds {5});
    leader.endJob("during", wall + seconds {5} + jump);
    leader.leadFor(seconds {5});
    leader.endJob("after", wall + seconds {10});
    leader.apply(NoteLeaving {WorkerId {"w"}, incarnation, wall + jump});
    leader.leadFor(seconds {585});
    CHECK((leader.has("before") && leader.has("during") && leader.has("after")));
    CHECK(leader.state.isLeaving(WorkerId {"w"}, incarnation));
    leader.leadFor(seconds {60});
    CHECK_FALSE((leader.has("before") || leader.has("during") || leader.has("after")));
    CHECK_FALSE(leader.state.isLeaving(WorkerId {"w"}, incarnation));
}

TEST_CASE("a change of leaders or a restored state does not shorten the retention of ended jobs")
{
    Replica first;
    Replica second {MonotonicTime {seconds {7'000}}}; // steady clocks differ between VMs
    first.endJob("job", WallTime {seconds {1'000}});
    first.leadFor(seconds {300});
    REQUIRE(second.state.restore(first.state.snapshot()).has_value());
    second.leadFor(seconds {590});
    CHECK(second.has("job"));
    second.leadFor(seconds {60});
    CHECK_FALSE(second.has("job"));
}

TEST_CASE("a replica that follows has the same retention once it leads")
{
    Replica follower;
    follower.endJob("job", WallTime {});
    CHECK(follower.runFor(seconds {595}).empty());
    follower.leadFor(seconds {30});
    CHECK_FALSE(follower.has("job"));
}

TEST_CASE("a job with a run that may still be on a worker is kept, and those that ended after it")
{
    Replica leader;
    leader.apply(SubmitGraph {graphOf("placed", {stepOf(1)}), WallTime {}});
    leader.apply(
        PlaceRuns {{{{GraphId {"placed"}, 0, 0, 0}, RunNumber {1}, WorkerId {"w"}, incarnation}}});
    leader.apply(CancelGraph {GraphId {"placed"}, WallTime {}});
    leader.endJob("later", WallTime {});
    leader.leadFor(seconds {700});
    CHECK((leader.has("placed") && leader.has("later")));
    leader.apply(
        EndRuns {{{{GraphId {"placed"}, 0, 0, 0}, RunNumber {1}, RunEnd::Lost, {}}}, WallTime {}});
    leader.leadFor(seconds {30});
    CHECK_FALSE((leader.has("placed") || leader.has("later")));
}

TEST_CASE("an outdated note does not remove a job that ended again under the same id")
{
    Replica leader;
    leader.endJob("job", WallTime {seconds {1}});
    const ForgetEndedUpTo outdated = leader.state.newestEnds();
    leader.apply(outdated);
    leader.endJob("job", WallTime {seconds {700}});
    leader.apply(outdated);
    CHECK(leader.has("job"));
}

TEST_CASE("a worker that came back as another process stays noted as leaving")
{
    Replica leader;
    leader.apply(NoteLeaving {WorkerId {"w"}, incarnation, WallTime {}});
    const ForgetEndedUpTo outdated = leader.state.newestEnds();
    leader.apply(NoteLeaving {WorkerId {"w"}, Incarnation {"2000"}, WallTime {}});
    leader.apply(outdated);
    CHECK(leader.state.isLeaving(WorkerId {"w"}, Incarnation {"2000"}));
}

} // namespace crocusmill
