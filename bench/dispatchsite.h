/// A leader's dispatcher with a fleet that is full: workers and the office for tickets are faked.

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

/// Starts every task at once; a hold is answered when the benchmark says so.
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

    /// The oldest run that is left ends well, and its worker lists it.
    void endOldest();
    /// The oldest so many go on for good.
    void endsFrom(std::size_t starts);
    void answerHolds();

    std::uint64_t started = 0;

private:
    struct Worker
    {
        Incarnation incarnation;
        std::map<TaskRef, RunNumber> running;
        std::vector<ListedEnd> ended; // not acknowledged yet
        std::uint64_t ends = 0;
        HoldHandler held; // empty: no hold waits
    };

    static void answer(Worker &worker);

    std::map<WorkerId, Worker> workers_;
    std::deque<std::pair<WorkerId, TaskRef>> order_; // of the starts
};

/// Allows every other worker; answers when the benchmark says so.
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
    std::uint32_t backlog = 0; // steps of a task each that wait for room
    bool tickets = false;
};

/// Every worker is full; small tasks of 4 cores come and go.
class DispatchSite
{
public:
    explicit DispatchSite(const SiteSize &size);

    /// Another job of a small task.
    void submit();
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
