/// Interfaces for calls from the leader to workers and for requests for tickets.
///
/// All calls are made on the control thread. Each callback is called once, on that thread.

#pragma once

#include <crocusmill/consensus.h>
#include <crocusmill/ticketbook.h>
#include <crocusmill/workerclock.h>

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace crocusmill
{

/// Grows with each leader. A worker rejects calls with a lower token than it has seen.
using FencingToken = StrongValue<struct FencingTokenTag, std::uint64_t>;
/// Number of an end among those that one incarnation of a worker lists, from 1.
using EndNumber = StrongValue<struct EndNumberTag, std::uint64_t>;

struct WorkerEndpoint
{
    WorkerId id;
    Incarnation incarnation;
    NodeAddress address;
};

struct StartOrder
{
    TaskRef task;
    RunNumber run;
    std::string payload;
    WorkerTime deadline; // of the lease that covers all runs of the worker
    FencingToken fence;
    Checkpoint resume; // where to resume; empty: at the beginning
    std::optional<Ticket> ticket;
};

enum class StartOutcome {
    Started, // now or by an earlier order
    Fenced, // the worker has seen a newer leader
    Superseded, // the same or a newer run of the task has ended there
    Refused, // not started
    OtherIncarnation, // another process answered
    NotSent, // no byte was sent
    Unanswered, // the worker may have started the run, or may do so later
};

enum class StopOutcome { Answered, Fenced, OtherIncarnation, Unanswered };

struct ListedRun
{
    TaskRef task;
    RunNumber run;
    Checkpoint saved;
    /// Of the estimated work, at most 100; for a service, 100 while it is at work.
    std::uint32_t percent = 0;
};

struct ListedEnd
{
    EndNumber number;
    TaskRef task;
    RunNumber run;
    RunEnd end = RunEnd::Succeeded;
    Checkpoint saved;
};

/// Maximum number of ends in one list. Later ends follow when these are acknowledged.
inline constexpr std::size_t maxListedEnds = 500;

/// A call that renews a worker's lease and requests its list of runs.
struct HoldOrder
{
    FencingToken fence;
    EndNumber acknowledged; // the worker may discard ends up to this number
    std::optional<WorkerTime> deadline; // none: the lease is not renewed
    Milliseconds wait {0}; // how long the worker may delay its answer until it has an end to list
};

/// A worker's answer to a hold: its runs, and its ends that are not acknowledged yet.
struct HoldReport
{
    Incarnation incarnation;
    std::vector<ListedRun> running;
    std::vector<ListedEnd> ended;
    /// Rows left out as they name no task of ours, and rows of tasks that cannot be read. With one
    /// of the latter, a run that is not listed may still be there.
    std::uint32_t foreignRows = 0;
    std::uint32_t unreadableRuns = 0;
};

enum class HoldError {
    Unanswered, // also if there was no connection in time
    Refused, // the connection was refused; a cut can do that too, so the process may be alive
    NotSent, // this VM had no resources for a connection; says nothing about the worker
    OtherIncarnation,
    Fenced,
};

struct HoldOutcome
{
    std::optional<HoldError> error; // none: `report` is set
    std::optional<WorkerTime> clock;
    HoldReport report;
};

class WorkerLink
{
public:
    virtual ~WorkerLink() = default;

    /// `clock` is the reading of the worker's clock, if the answer had one.
    using StartHandler = std::function<void(StartOutcome, std::optional<WorkerTime> clock)>;
    using StopHandler = std::function<void(StopOutcome)>;
    using HoldHandler = std::function<void(const HoldOutcome &)>;

    virtual void start(const WorkerEndpoint &worker, const StartOrder &order, Milliseconds timeout,
        StartHandler done) = 0;
    virtual void stop(const WorkerEndpoint &worker, const TaskRef &task, RunNumber run,
        FencingToken fence, Milliseconds timeout, StopHandler done) = 0;
    virtual void hold(const WorkerEndpoint &worker, const HoldOrder &order, Milliseconds timeout,
        HoldHandler done) = 0;
    /// Closes idle connections to a worker that is gone.
    virtual void forget(const WorkerEndpoint &worker) = 0;
};

struct TicketAnswer
{
    bool answered = false;
    std::vector<AllowedWorker> allowed;
    Milliseconds validity {0};
};

/// Service that says which workers may run a step and issues tickets for them.
class TicketOffice
{
public:
    virtual ~TicketOffice() = default;

    virtual void ask(const TaskRef &step, const std::vector<WorkerId> &workers,
        Milliseconds timeout, std::function<void(const TicketAnswer &)> done) = 0;
};

} // namespace crocusmill
