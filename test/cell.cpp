/// Cell scheduling on the leader, across leader changes and worker restarts.

#include "src/services/cell.h"

#include "src/net/peerstream.h"

#include <catch2/catch.hpp>

namespace crocusmill
{

namespace
{

constexpr std::uint64_t gigabyte = 1ULL << 30U;

/// A replicated state with the cell of one leader; tests advance the time.
struct CellFixture
{
    CellFixture()
    {
        changeLeader();
    }

    /// Replaces the leader; only the recorded state is kept.
    void changeLeader()
    {
        const Cell::Propose propose = [this](const Command &command, const ProposeHandler &done) {
            if (!isJournalSlow) {
                done(apply(command));
                return;
            }
            delayedCommands.push_back(command);
            done(make_error_code(PeerError::TimedOut));
        };
        cell = std::make_unique<Cell>(times, state, propose, now);
    }

    ApplyReply apply(const Command &command)
    {
        index = LogIndex {index.value() + 1};
        return state.apply(command, index);
    }

    /// Applies the commands proposed while the journal was slow, in order.
    void applyDelayed()
    {
        isJournalSlow = false;
        for (const Command &command : std::exchange(delayedCommands, {})) {
            apply(command);
        }
    }

    void submit(const std::string &id, std::uint32_t tasks, std::uint32_t cores)
    {
        SubmitJob job;
        job.job = JobId {id};
        job.tasks = tasks;
        job.size = {cores * 1'000, ByteCount {gigabyte}, 0};
        apply(job);
    }

    /// Returns the tasks that the reply tells the worker to start, as "job/attempt".
    std::vector<std::string> announce(const std::string &worker, const std::string &incarnation,
        std::vector<TaskReport> tasks = {})
    {
        WorkerAnnouncement announcement;
        announcement.id = WorkerId {worker};
        announcement.incarnation = Incarnation {incarnation};
        announcement.capacity = {4'000, ByteCount {64 * gigabyte}, 0};
        announcement.tasks = std::move(tasks);
        const WorkerReply reply = cell->onAnnouncement(announcement, now, WallTime {});
        renewedCount = reply.renew.size();
        std::vector<std::string> started;
        for (const TaskOrder &order : reply.start) {
            started.push_back(order.job.value() + "/" + std::to_string(order.attempt));
        }
        return started;
    }

    void advance(Milliseconds time)
    {
        now += time;
        cell->sweep(now, WallTime {});
    }

    const TaskRecord &task(const std::string &job) const
    {
        return state.jobs().at(JobId {job})->tasks.front();
    }

    TimeSettings times;
    Milliseconds leaseDuration = times.exclusiveLease + times.slots.driftMargin;
    StateMachine state;
    LogIndex index;
    MonotonicTime now {std::chrono::hours {1}};
    std::size_t renewedCount = 0; // leases renewed by the last reply
    bool isJournalSlow = false;
    std::vector<Command> delayedCommands;
    std::unique_ptr<Cell> cell;
};

TaskReport running(const std::string &job, std::uint32_t attempt)
{
    return {JobId {job}, 0, attempt, TaskReportState::Running};
}

using Started = std::vector<std::string>;

/// A cell whose worker "w" runs job "a" on all of its cores.
struct BusyCellFixture : CellFixture
{
    BusyCellFixture()
    {
        announce("w", "one");
        submit("a", 1, 4);
        now += leaseDuration + Milliseconds {1};
        announce("w", "one");
        advance(Milliseconds {0});
        REQUIRE(announce("w", "one") == Started {"a/1"});
    }
};

} // namespace

TEST_CASE("a worker whose first announcement to a new leader is late keeps its tasks")
{
    BusyCellFixture fixture;
    fixture.changeLeader();
    fixture.advance(fixture.leaseDuration);
    fixture.advance(Milliseconds {1});
    fixture.submit("b", 1, 4);
    CHECK(fixture.announce("w", "one", {running("a", 1)}).empty());
    fixture.advance(Milliseconds {200});
    CHECK(fixture.announce("w", "one", {running("a", 1)}).empty());
    CHECK(fixture.task("b").state == TaskState::Waiting);
}

TEST_CASE("tasks of a process that is gone start again, also after a leader change")
{
    BusyCellFixture fixture;
    fixture.changeLeader();
    CHECK(fixture.announce("w", "two").empty());
    fixture.now += fixture.leaseDuration + Milliseconds {1};
    fixture.announce("w", "two");
    fixture.advance(Milliseconds {1}); // ends the old attempt
    fixture.advance(Milliseconds {1}); // places the next one
    CHECK(fixture.announce("w", "two") == Started {"a/2"});
}

TEST_CASE("a late announcement of an earlier process ends no running task")
{
    BusyCellFixture fixture;
    fixture.announce("w", "zero");
    fixture.advance(Milliseconds {1});
    fixture.announce("w", "one", {running("a", 1)});
    fixture.now += fixture.leaseDuration + Milliseconds {1};
    fixture.announce("w", "one", {running("a", 1)});
    fixture.advance(Milliseconds {1});
    CHECK(fixture.task("a").attempt == 1);
    CHECK(fixture.task("a").state == TaskState::Placed);
}

TEST_CASE("a drained worker gets no tasks until it is resumed, also after a leader change")
{
    CellFixture fixture;
    fixture.announce("w", "one");
    fixture.apply(DrainWorker {WorkerId {"w"}, true});
    fixture.changeLeader();
    fixture.announce("w", "one");
    fixture.submit("a", 1, 1);
    fixture.now += fixture.leaseDuration + Milliseconds {1};
    fixture.announce("w", "one");
    fixture.advance(Milliseconds {1});
    CHECK(fixture.announce("w", "one").empty());
    fixture.apply(DrainWorker {WorkerId {"w"}, false});
    fixture.cell->refresh(WorkerId {"w"});
    fixture.advance(Milliseconds {200});
    CHECK(fixture.announce("w", "one") == Started {"a/1"});
}

TEST_CASE("a placement with an unknown outcome keeps its own room and no other")
{
    CellFixture fixture;
    fixture.now += fixture.leaseDuration + Milliseconds {1};
    fixture.announce("one", "i");
    fixture.announce("two", "i");
    fixture.submit("a", 1, 4);
    fixture.isJournalSlow = true;
    fixture.advance(Milliseconds {200});
    fixture.advance(Milliseconds {200});
    fixture.applyDelayed();
    fixture.advance(Milliseconds {200});
    fixture.submit("b", 1, 4);
    fixture.advance(Milliseconds {200});
    const Started first = fixture.announce("one", "i");
    const Started second = fixture.announce("two", "i");
    CHECK(first.size() == 1);
    CHECK(second.size() == 1);
    CHECK(first != second);
}

TEST_CASE("a task end with an unknown outcome frees the room once")
{
    BusyCellFixture fixture;
    TaskReport ended = running("a", 1);
    ended.state = TaskReportState::Succeeded;
    fixture.isJournalSlow = true;
    fixture.announce("w", "one", {ended});
    fixture.applyDelayed();
    fixture.submit("b", 1, 4);
    fixture.advance(Milliseconds {200});
    fixture.advance(Milliseconds {200});
    CHECK(fixture.announce("w", "one") == Started {"b/1"});
}

TEST_CASE("a task whose loss is decided but not recorded gets no new lease")
{
    BusyCellFixture fixture;
    fixture.announce("w", "one", {running("a", 1)});
    CHECK(fixture.renewedCount == 1);
    fixture.isJournalSlow = true;
    fixture.advance(fixture.leaseDuration + Milliseconds {1});
    fixture.announce("w", "one", {running("a", 1)});
    CHECK(fixture.renewedCount == 0);
    fixture.applyDelayed();
    CHECK(fixture.task("a").state == TaskState::Waiting);
}

TEST_CASE("a lost worker without tasks is forgotten")
{
    CellFixture fixture;
    fixture.announce("w", "one");
    fixture.advance(fixture.leaseDuration + Milliseconds {1});
    CHECK(fixture.cell->describeWorkers().find("lost") != std::string::npos);
    fixture.advance(std::chrono::minutes {11});
    CHECK(fixture.cell->describeWorkers() == "[]");
}

} // namespace crocusmill
