/// The cell's scheduling on a leader, over a change of leaders and restarts of workers.

#include "src/services/cell.h"

#include "src/net/peerstream.h"

#include <catch2/catch.hpp>

namespace crocusmill
{

namespace
{

constexpr std::uint64_t gigabyte = 1ULL << 30U;

/// A recorded state with one leader's cell on it; time passes on command.
struct Floor
{
    Floor()
    {
        lead();
    }

    /// Another leader takes over; nothing but the recorded state is kept.
    void lead()
    {
        const Cell::Propose propose = [this](const Command &command, const ProposeHandler &done) {
            if (!journalIsSlow) {
                done(apply(command));
                return;
            }
            late.push_back(command);
            done(make_error_code(PeerError::TimedOut));
        };
        cell = std::make_unique<Cell>(times, state, propose, now);
    }

    ApplyReply apply(const Command &command)
    {
        index = LogIndex {index.value() + 1};
        return state.apply(command, index);
    }

    /// What was proposed while the journal was slow is applied after all, in its order.
    void catchUp()
    {
        journalIsSlow = false;
        for (const Command &command : std::exchange(late, {})) {
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

    /// What the worker is told to start, as "job/attempt".
    std::vector<std::string> announce(const std::string &worker, const std::string &incarnation,
        std::vector<TaskReport> tasks = {})
    {
        WorkerAnnouncement announcement;
        announcement.id = WorkerId {worker};
        announcement.incarnation = Incarnation {incarnation};
        announcement.capacity = {4'000, ByteCount {64 * gigabyte}, 0};
        announcement.tasks = std::move(tasks);
        const WorkerReply reply = cell->announced(announcement, now, WallTime {});
        renewed = reply.renew.size();
        std::vector<std::string> started;
        for (const TaskOrder &order : reply.start) {
            started.push_back(order.job.value() + "/" + std::to_string(order.attempt));
        }
        return started;
    }

    void pass(Milliseconds time)
    {
        now += time;
        cell->sweep(now, WallTime {});
    }

    const TaskRecord &task(const std::string &job) const
    {
        return state.jobs().at(JobId {job})->tasks.front();
    }

    TimeSettings times;
    Milliseconds life = times.exclusiveLease + times.slots.driftMargin;
    StateMachine state;
    LogIndex index;
    MonotonicTime now {std::chrono::hours {1}};
    std::size_t renewed = 0; // leases by the last reply
    bool journalIsSlow = false;
    std::vector<Command> late;
    std::unique_ptr<Cell> cell;
};

TaskReport running(const std::string &job, std::uint32_t attempt)
{
    return {JobId {job}, 0, attempt, TaskReportState::Running};
}

using Started = std::vector<std::string>;

/// A floor whose worker "w" runs job "a" on all of its cores.
struct BusyFloor : Floor
{
    BusyFloor()
    {
        announce("w", "one");
        submit("a", 1, 4);
        now += life + Milliseconds {1};
        announce("w", "one");
        pass(Milliseconds {0});
        REQUIRE(announce("w", "one") == Started {"a/1"});
    }
};

} // namespace

TEST_CASE("a worker that a new leader hears late still holds its tasks")
{
    BusyFloor floor;
    floor.lead();
    floor.pass(floor.life);
    floor.pass(Milliseconds {1});
    floor.submit("b", 1, 4);
    CHECK(floor.announce("w", "one", {running("a", 1)}).empty());
    floor.pass(Milliseconds {200});
    CHECK(floor.announce("w", "one", {running("a", 1)}).empty());
    CHECK(floor.task("b").state == TaskState::Waiting);
}

TEST_CASE("tasks of a process that is gone start again, also when the leader changed meanwhile")
{
    BusyFloor floor;
    floor.lead();
    CHECK(floor.announce("w", "two").empty());
    floor.now += floor.life + Milliseconds {1};
    floor.announce("w", "two");
    floor.pass(Milliseconds {1}); // ends the old attempt
    floor.pass(Milliseconds {1}); // places the next one
    CHECK(floor.announce("w", "two") == Started {"a/2"});
}

TEST_CASE("a late announcement of an earlier process ends no running task")
{
    BusyFloor floor;
    floor.announce("w", "zero");
    floor.pass(Milliseconds {1});
    floor.announce("w", "one", {running("a", 1)});
    floor.now += floor.life + Milliseconds {1};
    floor.announce("w", "one", {running("a", 1)});
    floor.pass(Milliseconds {1});
    CHECK(floor.task("a").attempt == 1);
    CHECK(floor.task("a").state == TaskState::Placed);
}

TEST_CASE("a drained worker gets no tasks, under a new leader either, until it is resumed")
{
    Floor floor;
    floor.announce("w", "one");
    floor.apply(DrainWorker {WorkerId {"w"}, true});
    floor.lead();
    floor.announce("w", "one");
    floor.submit("a", 1, 1);
    floor.now += floor.life + Milliseconds {1};
    floor.announce("w", "one");
    floor.pass(Milliseconds {1});
    CHECK(floor.announce("w", "one").empty());
    floor.apply(DrainWorker {WorkerId {"w"}, false});
    floor.cell->refresh(WorkerId {"w"});
    floor.pass(Milliseconds {200});
    CHECK(floor.announce("w", "one") == Started {"a/1"});
}

TEST_CASE("a placement whose record stays undecided keeps its room, and only its own")
{
    Floor floor;
    floor.now += floor.life + Milliseconds {1};
    floor.announce("one", "i");
    floor.announce("two", "i");
    floor.submit("a", 1, 4);
    floor.journalIsSlow = true;
    floor.pass(Milliseconds {200});
    floor.pass(Milliseconds {200});
    floor.catchUp();
    floor.pass(Milliseconds {200});
    floor.submit("b", 1, 4);
    floor.pass(Milliseconds {200});
    const Started first = floor.announce("one", "i");
    const Started second = floor.announce("two", "i");
    CHECK(first.size() == 1);
    CHECK(second.size() == 1);
    CHECK(first != second);
}

TEST_CASE("the end of a task whose record stays undecided frees its room once")
{
    BusyFloor floor;
    TaskReport ended = running("a", 1);
    ended.state = TaskReportState::Succeeded;
    floor.journalIsSlow = true;
    floor.announce("w", "one", {ended});
    floor.catchUp();
    floor.submit("b", 1, 4);
    floor.pass(Milliseconds {200});
    floor.pass(Milliseconds {200});
    CHECK(floor.announce("w", "one") == Started {"b/1"});
}

TEST_CASE("a task whose loss is decided and not recorded yet gets no new lease")
{
    BusyFloor floor;
    floor.announce("w", "one", {running("a", 1)});
    CHECK(floor.renewed == 1);
    floor.journalIsSlow = true;
    floor.pass(floor.life + Milliseconds {1});
    floor.announce("w", "one", {running("a", 1)});
    CHECK(floor.renewed == 0);
    floor.catchUp();
    CHECK(floor.task("a").state == TaskState::Waiting);
}

TEST_CASE("a lost worker without tasks is forgotten")
{
    Floor floor;
    floor.announce("w", "one");
    floor.pass(floor.life + Milliseconds {1});
    CHECK(floor.cell->describeWorkers().find("lost") != std::string::npos);
    floor.pass(std::chrono::minutes {11});
    CHECK(floor.cell->describeWorkers() == "[]");
}

} // namespace crocusmill
