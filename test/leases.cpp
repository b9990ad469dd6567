/// Leases of exclusive work and the settling of attempts.

#include <crocusmill/leases.h>

#include <catch2/catch.hpp>

namespace crocusmill
{

namespace
{

constexpr LeaseTimes times {Milliseconds {4000}, Milliseconds {500}};

struct Bench
{
    explicit Bench(bool repeatable = true, bool exclusive = true)
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

    LeaseBook::Verdict announce()
    {
        LeaseBook::Verdict verdict = book.announced(announcement, state, now, {});
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
    LeaseBook book {times, now};
    Announcement announcement;
};

} // namespace

TEST_CASE("the lease goes to the upstream that the journal names, and to no other process")
{
    Bench bench;
    bench.announcement.running = {AttemptId {"e-1"}};
    CHECK(bench.announce().leases.size() == 1);
    bench.announcement.incarnation = Incarnation {"i2"};
    const LeaseBook::Verdict other = bench.announce();
    CHECK(other.leases.empty());
    CHECK(other.stop == std::vector<AttemptId> {AttemptId {"e-1"}});
}

TEST_CASE("an attempt that was given up gets no lease, however late it is delivered")
{
    Bench bench;
    bench.apply(EndAttempt {WorkId {"w"}, AttemptId {"e-1"}, AttemptEnd::Lost});
    bench.apply(StartWork {
        WorkId {"w"}, AttemptId {"e-2"}, UpstreamId {"v"}, Incarnation {"j"}, EntryEpoch {"e"}});
    bench.announcement.running = {AttemptId {"e-1"}};
    CHECK(bench.announce().leases.empty());
}

TEST_CASE("a silent upstream's exclusive attempt is over only after its lease and the margin")
{
    Bench bench;
    bench.now += Milliseconds {5000};
    bench.announcement.running = {AttemptId {"e-1"}};
    CHECK(bench.announce().leases.size() == 1);
    bench.book.settle(AttemptId {"e-1"});
    bench.now += Milliseconds {4400};
    CHECK(bench.book.upstreamsGone({}, bench.state, bench.now).empty());
    bench.now += Milliseconds {200};
    CHECK(bench.book.upstreamsGone({}, bench.state, bench.now).size() == 1);
}

TEST_CASE("an attempt whose end is decided and not recorded yet gets no new lease")
{
    Bench bench;
    bench.now += Milliseconds {5000};
    bench.announcement.running = {AttemptId {"e-1"}};
    REQUIRE(bench.announce().leases.size() == 1);
    bench.book.settle(AttemptId {"e-1"});
    bench.now += Milliseconds {4600};
    REQUIRE(bench.book.upstreamsGone({}, bench.state, bench.now).size() == 1);
    const LeaseBook::Verdict back = bench.announce();
    CHECK(back.leases.empty());
    CHECK(back.stop == std::vector<AttemptId> {AttemptId {"e-1"}});
}

TEST_CASE("an announcement of another process ends no exclusive attempt before its lease")
{
    Bench bench;
    bench.now += Milliseconds {5000};
    bench.announcement.running = {AttemptId {"e-1"}};
    REQUIRE(bench.announce().leases.size() == 1);
    bench.book.settle(AttemptId {"e-1"});
    bench.announcement.incarnation = Incarnation {"earlier, and late on its way"};
    bench.announcement.running.clear();
    bench.announce();
    CHECK(bench.attemptState() == AttemptState::Started);
    bench.now += Milliseconds {4600};
    bench.announce();
    CHECK(bench.attemptState() == AttemptState::Lost);
}

TEST_CASE("a new leader takes no lease to be over before a whole one has passed")
{
    Bench bench;
    bench.book.settle(AttemptId {"e-1"});
    bench.now += Milliseconds {4400};
    CHECK(bench.book.upstreamsGone({}, bench.state, bench.now).empty());
    bench.now += Milliseconds {200};
    CHECK(bench.book.upstreamsGone({}, bench.state, bench.now).size() == 1);
}

TEST_CASE("absence proves nothing until the upstream has refused the attempt")
{
    Bench bench {false, false};
    bench.book.settle(AttemptId {"e-1"});
    CHECK(bench.announce().stop == std::vector<AttemptId> {AttemptId {"e-1"}});
    CHECK(bench.attemptState() == AttemptState::Started);
    bench.announcement.finished = {{AttemptId {"e-1"}, refusedStatus}};
    bench.announce();
    CHECK(bench.attemptState() == AttemptState::NotRun);
}

TEST_CASE("a finished attempt whose answer was lost is recorded as run")
{
    Bench bench {false, false};
    bench.book.settle(AttemptId {"e-1"});
    bench.announcement.finished = {{AttemptId {"e-1"}, 200}};
    bench.announce();
    const Work &work = *bench.state.findWork(WorkId {"w"});
    CHECK(work.execution() == Execution::Ran);
    CHECK(work.answer->bodyOmitted);
    CHECK(bench.announce().forget == std::vector<AttemptId> {AttemptId {"e-1"}});
}

TEST_CASE("work that may not be repeated stays in doubt while its upstream is silent")
{
    Bench bench {false, false};
    bench.book.settle(AttemptId {"e-1"});
    bench.now += std::chrono::minutes {10};
    CHECK(bench.book.upstreamsGone({}, bench.state, bench.now).empty());
    bench.announcement.incarnation = Incarnation {"i2"};
    bench.announce();
    CHECK(bench.attemptState() == AttemptState::Lost);
}

} // namespace crocusmill
