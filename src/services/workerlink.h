/// How the leader reaches workers that are called, and who says which workers a step may use.
///
/// Calls are made and callbacks come on the control thread; each callback comes once.

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

/// Rises with each leader; a worker does nothing for a lower one than it has seen.
using FencingToken = StrongValue<struct FencingTokenTag, std::uint64_t>;
/// Numbers the ends that one incarnation of a worker lists, from 1.
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
    WorkerTime deadline; // of all that runs on the worker
    FencingToken fence;
    Checkpoint resume; // empty: from the beginning
    std::optional<Ticket> ticket;
};

enum class StartOutcome {
    Started, // or it had been started before
    Fenced, // a newer leader has given orders there
    Superseded, // the same or a newer run has ended there
    Refused, // it was not started
    OtherIncarnation, // the process meant is not there any more
    NotSent, // no byte was written
    Unanswered, // it may be carried out, even later
};

enum class StopOutcome { Answered, Fenced, OtherIncarnation, Unanswered };

struct ListedRun
{
    TaskRef task;
    RunNumber run;
    Checkpoint saved;
    std::uint32_t percent = 0; // of the estimated work; 100 also beyond it. A service: at work
};

struct ListedEnd
{
    EndNumber number;
    TaskRef task;
    RunNumber run;
    RunEnd end = RunEnd::Succeeded;
    Checkpoint saved;
};

/// A list has no more ends than this at a time; later ones follow once these are acknowledged.
inline constexpr std::size_t maxListedEnds = 500;

struct HoldOrder
{
    FencingToken fence;
    EndNumber acknowledged; // ends up to this one may be forgotten
    std::optional<WorkerTime> deadline;
    Milliseconds wait {0}; // for an end to list
};

/// What a worker says of itself when its lease is renewed.
struct HoldReport
{
    Incarnation incarnation;
    std::vector<ListedRun> running;
    std::vector<ListedEnd> ended;
};

enum class HoldError {
    Unanswered,
    NotConnected, // no byte was written: nobody listens there, or no answer to that in time
    OtherIncarnation,
    Fenced,
};

struct HoldOutcome
{
    std::optional<HoldError> error; // none: the report is there
    std::optional<WorkerTime> clock;
    HoldReport report;
};

class WorkerLink
{
public:
    virtual ~WorkerLink() = default;

    /// `clock` is what the worker's clock showed, where the answer said so.
    using StartHandler = std::function<void(StartOutcome, std::optional<WorkerTime> clock)>;
    using StopHandler = std::function<void(StopOutcome)>;
    using HoldHandler = std::function<void(const HoldOutcome &)>;

    virtual void start(const WorkerEndpoint &worker, const StartOrder &order, Milliseconds timeout,
        StartHandler done) = 0;
    virtual void stop(const WorkerEndpoint &worker, const TaskRef &task, RunNumber run,
        FencingToken fence, Milliseconds timeout, StopHandler done) = 0;
    virtual void hold(const WorkerEndpoint &worker, const HoldOrder &order, Milliseconds timeout,
        HoldHandler done) = 0;
    /// The worker is gone; idle connections to it are closed.
    virtual void forget(const WorkerEndpoint &worker) = 0;
};

struct TicketAnswer
{
    bool answered = false;
    std::vector<AllowedWorker> allowed;
    Milliseconds validity {0};
};

/// Asks which of these workers may run a step.
class TicketOffice
{
public:
    virtual ~TicketOffice() = default;

    virtual void ask(const TaskRef &step, const std::vector<WorkerId> &workers,
        Milliseconds timeout, std::function<void(const TicketAnswer &)> done) = 0;
};

} // namespace crocusmill
