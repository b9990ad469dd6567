/// A dispatcher with a fully used fleet; workers and the ticket office are fakes.

#pragma once

#include "src/services/dispatcher.h"
#include "test/fakes/graphs.h"
#include "test/fakes/services.h"

#include <deque>
#include <map>
#include <string>
#include <vector>

namespace crocusmill
{

/// Starts every task at once and answers holds when the benchmark calls answerHolds().
class SiteWorkers final : public WorkerLink
{
public:
    void start(const WorkerEndpoint &worker, const StartOrder &order, Milliseconds limit,
        StartHandler done) override;
    void stop(const WorkerEndpoint &worker, const TaskRef &task, RunNumber run, FencingToken fence,
        Milliseconds limit, StopHandler done) override;
    void hold(const WorkerEndpoint &worker, const HoldOrder &order, Milliseconds limit,
        HoldHandler done) override;
    void forget(const WorkerEndpoint &worker) override;

    /// Ends the oldest run with success; its worker lists the end.
    void endOldest();
    /// Excludes the oldest `starts` runs from endOldest(), so that they never end.
    void keepOldestRunning(std::size_t starts);
    void answerHolds();

    std::uint64_t started = 0;

private:
    struct Worker
    {
        Incarnation incarnation;
        std::map<TaskRef, RunNumber> running;
        std::vector<ListedEnd> ended; // not acknowledged yet
        std::uint64_t endCount = 0;
        HoldHandler pendingHold; // empty if no hold waits
    };

    static void answer(Worker &worker);

    std::map<WorkerId, Worker> workers_;
    std::deque<std::pair<WorkerId, TaskRef>> startedRuns_; // the oldest first
};

/// Allows every second worker and answers when the benchmark calls answer().
class SiteOffice final : public TicketOffice
{
public:
    void ask(const TaskRef &step, const std::vector<WorkerId> &workers, Milliseconds limit,
        std::function<void(const TicketAnswer &)> done) override;
    void answer();

private:
    struct Question
    {
        std::vector<WorkerId> workers;
        std::function<void(const TicketAnswer &)> done;
    };
    std::vector<Question> questions_;
};

struct SiteSize
{
    std::uint32_t workers = 0;
    std::uint32_t backlog = 0; // waiting steps of one task each
    bool tickets = false;
};

/// A dispatcher whose workers are full, with small tasks of 4 cores that start and end.
class DispatchSite
{
public:
    explicit DispatchSite(const SiteSize &size);

    /// Submits another job of small tasks.
    void submit();
    /// Answers open ticket requests and runs one scheduling round.
    void round();

    SiteWorkers workers;

private:
    void addWorker(std::uint32_t number);
    void propose(const Command &command);

    asio::io_context control_;
    Metrics metrics_;
    SiteOffice office_;
    fakes::FakePeers peers_;
    fakes::FakeJournal journal_ {TimeSettings {}};
    std::shared_ptr<Dispatcher> dispatcher_;
    std::uint64_t jobs_ = 0;
};

} // namespace crocusmill
