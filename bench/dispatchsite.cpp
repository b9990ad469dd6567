/// Fakes around the dispatcher in its benchmark.

#include "bench/dispatchsite.h"

#include "src/net/clock.h"
#include "src/net/log.h"

#include <algorithm>

namespace crocusmill
{

namespace
{

constexpr std::uint32_t workerCores = 64;
constexpr std::uint32_t taskCores = 4;
constexpr std::uint32_t milliPerCore = 1'000;
constexpr std::uint32_t smallRunCount = 1'800; // in total, but at least one on each worker
constexpr std::uint64_t twoStepJobInterval = 8; // every 8th job has a second step
constexpr std::uint32_t jobsPerRound = 200; // submitted between two rounds

Queue queueOf(bool tickets)
{
    Queue queue;
    queue.name = QueueName {"quotes"};
    queue.host = "desk.example";
    queue.prefix = "/";
    queue.service = ServiceName {"matching"};
    queue.attempts = 3;
    if (tickets) {
        queue.tickets = TicketTiming {Milliseconds {2}, Microseconds {170}, Milliseconds {1'500}};
    }
    return queue;
}

} // namespace

void SiteWorkers::start(const WorkerEndpoint &worker, const StartOrder &order,
    Milliseconds /*limit*/, StartHandler done)
{
    ++started;
    workers_[worker.id].running[order.task] = order.run;
    startedRuns_.emplace_back(worker.id, order.task);
    done(StartOutcome::Started, std::nullopt);
}

void SiteWorkers::stop(const WorkerEndpoint & /*worker*/, const TaskRef & /*task*/,
    RunNumber /*run*/, FencingToken /*fence*/, Milliseconds /*limit*/, StopHandler done)
{
    done(StopOutcome::Answered);
}

void SiteWorkers::hold(const WorkerEndpoint &endpoint, const HoldOrder &order,
    Milliseconds /*limit*/, HoldHandler done)
{
    Worker &worker = workers_[endpoint.id];
    worker.incarnation = endpoint.incarnation;
    std::erase_if(
        worker.ended, [&order](const ListedEnd &end) { return end.number <= order.acknowledged; });
    worker.pendingHold = std::move(done);
}

void SiteWorkers::forget(const WorkerEndpoint & /*worker*/)
{
}

void SiteWorkers::answer(Worker &worker)
{
    const HoldHandler done = std::exchange(worker.pendingHold, {});
    if (!done) {
        return;
    }
    HoldOutcome outcome;
    outcome.clock = WorkerTime {1'000};
    outcome.report.incarnation = worker.incarnation;
    for (const std::pair<const TaskRef, RunNumber> &run : worker.running) {
        constexpr std::uint32_t percents = 100;
        static std::uint32_t progress = 0; // a run without progress would be stopped
        outcome.report.running.push_back({run.first, run.second, {}, ++progress % percents});
    }
    outcome.report.ended = worker.ended;
    done(outcome);
}

void SiteWorkers::endOldest()
{
    const auto [id, task] = startedRuns_.front();
    startedRuns_.pop_front();
    Worker &worker = workers_[id];
    const auto run = worker.running.find(task);
    worker.ended.push_back(
        {EndNumber {++worker.endCount}, task, run->second, RunEnd::Succeeded, Checkpoint {}});
    worker.running.erase(run);
    answer(worker);
}

void SiteWorkers::keepOldestRunning(std::size_t starts)
{
    startedRuns_.erase(
        startedRuns_.begin(), startedRuns_.begin() + static_cast<std::ptrdiff_t>(starts));
}

void SiteWorkers::answerHolds()
{
    for (std::pair<const WorkerId, Worker> &entry : workers_) {
        answer(entry.second);
    }
}

void SiteOffice::ask(const TaskRef & /*step*/, const std::vector<WorkerId> &workers,
    Milliseconds /*limit*/, std::function<void(const TicketAnswer &)> done)
{
    questions_.push_back({workers, std::move(done)});
}

void SiteOffice::answer()
{
    for (const Question &question : std::exchange(questions_, {})) {
        TicketAnswer answer;
        answer.answered = true;
        for (std::size_t i = 0; i < question.workers.size(); i += 2) {
            answer.allowed.push_back({question.workers[i], Ticket {"ticket"}});
        }
        question.done(answer);
    }
}

DispatchSite::DispatchSite(const SiteSize &size)
{
    LogSettings log;
    log.level = LogLevel::Error;
    startLog(log, VmId {"vm-1"});
    Catalog catalog;
    catalog.version = DocumentVersion {1};
    catalog.queues.push_back(queueOf(false));
    propose(InstallCatalog {catalog});
    dispatcher_ = Dispatcher::make({control_, journal_, peers_, workers, office_, metrics_,
                                       NodeAddress {"10.0.0.1", 7000}, journal_.consensus()->term(),
                                       [this](const Command &command, const ProposeHandler &done) {
                                           journal_.propose(command, done);
                                       }},
        monotonicNow());
    for (std::uint32_t number = 0; number < size.workers; ++number) {
        addWorker(number);
    }
    workers.answerHolds();
    const std::uint32_t smallTasks = std::max(smallRunCount / size.workers, 1U);
    StepSpec wide = fakes::stepOf(size.workers, workerCores - smallTasks * taskCores);
    wide.mostPerWorker = 1;
    wide.lasting = true;
    propose(SubmitGraph {fakes::graphOf("wide", {wide}), wallTimeNow()});
    round();
    workers.answerHolds();
    workers.keepOldestRunning(size.workers);
    for (std::uint32_t task = 1; task <= size.workers * smallTasks; ++task) {
        submit();
        if (task % jobsPerRound == 0) {
            round();
            workers.answerHolds();
        }
    }
    round();
    workers.answerHolds();
    if (size.tickets) {
        catalog.version = DocumentVersion {2};
        catalog.queues = {queueOf(true)};
        propose(InstallCatalog {catalog});
    }
    for (std::uint32_t step = 1; step <= size.backlog; ++step) {
        submit();
        if (step % jobsPerRound == 0) {
            round();
            workers.answerHolds();
        }
    }
    round();
    workers.answerHolds();
}

void DispatchSite::propose(const Command &command)
{
    journal_.propose(command, [](const Result<ApplyReply> & /*reply*/) {});
}

void DispatchSite::addWorker(std::uint32_t number)
{
    WorkerHeartbeat heartbeat;
    heartbeat.id = WorkerId {"i-00000" + std::to_string(number)};
    heartbeat.incarnation = Incarnation {"1771522272375"};
    heartbeat.sequence = 1;
    heartbeat.service = ServiceName {"matching"};
    heartbeat.capacity.milliCores = workerCores * milliPerCore;
    heartbeat.labels = {WorkerLabel {"a"}, WorkerLabel {"r1-3"}};
    dispatcher_->onHeartbeat(heartbeat, monotonicNow());
}

void DispatchSite::submit()
{
    std::vector<StepSpec> steps {fakes::stepOf(1, taskCores)};
    if (++jobs_ % twoStepJobInterval == 0) {
        steps.push_back(fakes::stepOf(1, taskCores));
        steps.back().after = {0};
    }
    GraphSpec spec = fakes::graphOf("00e06c99" + std::to_string(jobs_), steps);
    spec.aim = Milliseconds {250};
    propose(SubmitGraph {spec, wallTimeNow()});
}

void DispatchSite::round()
{
    office_.answer();
    dispatcher_->tick(monotonicNow(), wallTimeNow());
}

} // namespace crocusmill
