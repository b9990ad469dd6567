/// Leases of exclusive work and the settling of attempts.

#include <crocusmill/leases.h>

#include <catch2/catch.hpp>

namespace crocusmill
{

namespace
{

constexpr LeaseTimes times {Milliseconds {4000}, Milliseconds {500}};

struct LeaseFixture
{
    explicit LeaseFixture(bool repeatable = true, bool exclusive = true)
    {
        AdmitWork admit;
        admit.work = WorkId {"w"};
        admit.repeatable = repeatable;
        admit.exclusive = exclusive;
        apply(admit);
        apply(StartWork {WorkId {"w"}, AttemptId {"e-1"}, UpstreamId {"u"}, Incarnation {"i1"},
            EntryEpoch {"e"}});
        announcement.id = UpstreamId {"u"};
        announcement.incarnation = Incarnation {"i1"};
    }

    ApplyReply apply(const Command &command)
    {
        index = next(index);
        return state.apply(command, index);
    }

    LeaseTable::Verdict announce()
    {
        LeaseTable::Verdict verdict = table.onAnnouncement(announcement, state, now, {});
        for (const Command &command : verdict.commands) {
            apply(command);
        }
        return verdict;
    }

    AttemptState attemptState() const
    {
        return state.findWork(WorkId {"w"})->attempts.front().state;
    }

    MonotonicTime now {std::chrono::hours {1}};
    LogIndex index;
    StateMachine state;
    LeaseTable table {times, now};
    Announcement announcement;
};

} // namespace

TEST_CASE("only the process named in the journal gets the lease")
{
    LeaseFixture fixture;
    fixture.announcement.running = {AttemptId {"e-1"}};
    CHECK(fixture.announce().leases.size() == 1);
    fixture.announcement.incarnation = Incarnation {"i2"};
    const LeaseTable::Verdict other = fixture.announce();
    CHECK(other.leases.empty());
    CHECK(other.stop == std::vector<AttemptId> {AttemptId {"e-1"}});
}

TEST_CASE("an attempt recorded as lost gets no lease when it is delivered late")
{
    LeaseFixture fixture;
    fixture.apply(EndAttempt {WorkId {"w"}, AttemptId {"e-1"}, AttemptEnd::Lost});
    fixture.apply(StartWork {
        WorkId {"w"}, AttemptId {"e-2"}, UpstreamId {"v"}, Incarnation {"j"}, EntryEpoch {"e"}});
    fixture.announcement.running = {AttemptId {"e-1"}};
    CHECK(fixture.announce().leases.empty());
}

TEST_CASE("an exclusive attempt of a silent upstream ends only after its lease and the margin")
{
    LeaseFixture fixture;
    fixture.now += Milliseconds {5000};
    fixture.announcement.running = {AttemptId {"e-1"}};
    CHECK(fixture.announce().leases.size() == 1);
    fixture.table.settle(AttemptId {"e-1"});
    fixture.now += Milliseconds {4400};
    CHECK(fixture.table.endAttemptsOfGoneUpstreams({}, fixture.state, fixture.now).empty());
    fixture.now += Milliseconds {200};
    CHECK(fixture.table.endAttemptsOfGoneUpstreams({}, fixture.state, fixture.now).size() == 1);
}

TEST_CASE("an attempt that is given up but not yet recorded as lost gets no new lease")
{
    LeaseFixture fixture;
    fixture.now += Milliseconds {5000};
    fixture.announcement.running = {AttemptId {"e-1"}};
    REQUIRE(fixture.announce().leases.size() == 1);
    fixture.table.settle(AttemptId {"e-1"});
    fixture.now += Milliseconds {4600};
    REQUIRE(fixture.table.endAttemptsOfGoneUpstreams({}, fixture.state, fixture.now).size() == 1);
    const LeaseTable::Verdict back = fixture.announce();
    CHECK(back.leases.empty());
    CHECK(back.stop == std::vector<AttemptId> {AttemptId {"e-1"}});
}

TEST_CASE("an announcement of another process ends no exclusive attempt before its lease expires")
{
    LeaseFixture fixture;
    fixture.now += Milliseconds {5000};
    fixture.announcement.running = {AttemptId {"e-1"}};
    REQUIRE(fixture.announce().leases.size() == 1);
    fixture.table.settle(AttemptId {"e-1"});
    fixture.announcement.incarnation = Incarnation {"i0"};
    fixture.announcement.running.clear();
    fixture.announce();
    CHECK(fixture.attemptState() == AttemptState::Started);
    fixture.now += Milliseconds {4600};
    fixture.announce();
    CHECK(fixture.attemptState() == AttemptState::Lost);
}

TEST_CASE("a new leader treats no lease as expired before a full lease time has passed")
{
    LeaseFixture fixture;
    fixture.table.settle(AttemptId {"e-1"});
    fixture.now += Milliseconds {4400};
    CHECK(fixture.table.endAttemptsOfGoneUpstreams({}, fixture.state, fixture.now).empty());
    fixture.now += Milliseconds {200};
    CHECK(fixture.table.endAttemptsOfGoneUpstreams({}, fixture.state, fixture.now).size() == 1);
}

TEST_CASE("an absent attempt is not ended until the upstream has refused it")
{
    LeaseFixture fixture {GENERATE(true, false), GENERATE(true, false)};
    fixture.table.settle(AttemptId {"e-1"});
    CHECK(fixture.announce().stop == std::vector<AttemptId> {AttemptId {"e-1"}});
    CHECK(fixture.attemptState() == AttemptState::Started);
    fixture.announcement.finished = {{AttemptId {"e-1"}, refusedStatus}};
    fixture.announce();
    CHECK(fixture.attemptState() == AttemptState::NotRun);
}

TEST_CASE("a finished attempt whose answer was lost is recorded as run")
{
    LeaseFixture fixture {false, false};
    fixture.table.settle(AttemptId {"e-1"});
    fixture.announcement.finished = {{AttemptId {"e-1"}, 200}};
    fixture.announce();
    const Work &work = *fixture.state.findWork(WorkId {"w"});
    CHECK(work.execution() == Execution::Ran);
    CHECK(work.answer->bodyOmitted);
    CHECK(fixture.announce().forget == std::vector<AttemptId> {AttemptId {"e-1"}});
}

TEST_CASE("repeatable work is given up while its upstream is silent, but not by a new leader")
{
    LeaseFixture fixture {true, false};
    fixture.table.settle(AttemptId {"e-1"});
    fixture.now += Milliseconds {4400};
    CHECK(fixture.table.endAttemptsOfGoneUpstreams({}, fixture.state, fixture.now).empty());
    fixture.now += Milliseconds {200};
    const std::set<UpstreamId> alive {UpstreamId {"u"}};
    CHECK(fixture.table.endAttemptsOfGoneUpstreams(alive, fixture.state, fixture.now).empty());
    CHECK(fixture.table.endAttemptsOfGoneUpstreams({}, fixture.state, fixture.now).size() == 1);
}

TEST_CASE("non-repeatable work stays unsettled while its upstream is silent")
{
    LeaseFixture fixture {false, false};
    fixture.table.settle(AttemptId {"e-1"});
    fixture.now += std::chrono::minutes {10};
    CHECK(fixture.table.endAttemptsOfGoneUpstreams({}, fixture.state, fixture.now).empty());
    fixture.announcement.incarnation = Incarnation {"i2"};
    fixture.announce();
    CHECK(fixture.attemptState() == AttemptState::Lost);
}

} // namespace crocusmill
