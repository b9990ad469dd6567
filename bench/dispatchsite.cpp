/// What surrounds the dispatcher in its benchmark.

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
constexpr std::uint32_t someRuns = 1'800; // small ones, where a worker has several
constexpr std::uint64_t jobsPerPair = 8; // one of so many has a step after the first
constexpr std::uint32_t jobsAtOnce = 200; // handed in before workers are listened to again

Queue queueOf(bool tickets)
{
    Queue queue;
    queue.name = QueueName {"quotes"};
    queue.host = "desk.example";
    queue.prefix = "/";
    queue.service = ServiceName {"matching"};
    queue.attempts = 3;
    if (tickets) {
        queue.tickets = TicketTerms {Milliseconds {2}, Microseconds {170}, Milliseconds {1'500}};
    }
    return queue;
}

} // namespace

void SiteWorkers::start(const WorkerEndpoint &worker, const StartOrder &order,
    Milliseconds /*limit*/, StartHandler done)
{
    ++started;
    workers_[worker.id].running[order.task] = order.run;
    order_.emplace_back(worker.id, order.task);
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
    worker.held = std::move(done);
}

void SiteWorkers::forget(const WorkerEndpoint & /*worker*/)
{
}

void SiteWorkers::answer(Worker &worker)
{
    const HoldHandler done = std::exchange(worker.held, {});
    if (!done) {
        return;
    }
    HoldOutcome outcome;
    outcome.clock = WorkerTime {1'000};
    outcome.report.incarnation = worker.incarnation;
    for (const std::pair<const TaskRef, RunNumber> &run : worker.running) {
        constexpr std::uint32_t percents = 100;
        static std::uint32_t progress = 0; // a run that stands still would be stopped
        outcome.report.running.push_back({run.first, run.second, {}, ++progress % percents});
    }
    outcome.report.ended = worker.ended;
    done(outcome);
}

void SiteWorkers::endOldest()
{
    const auto [id, task] = order_.front();
    order_.pop_front();
    Worker &worker = workers_[id];
    const auto run = worker.running.find(task);
    worker.ended.push_back(
        {EndNumber {++worker.ends}, task, run->second, RunEnd::Succeeded, Checkpoint {}});
    worker.running.erase(run);
    answer(worker);
}

void SiteWorkers::endsFrom(std::size_t starts)
{
    order_.erase(order_.begin(), order_.begin() + static_cast<std::ptrdiff_t>(starts));
}

void SiteWorkers::answerHolds()
{
    for (std::pair<const WorkerId, Worker> &known : workers_) {
        answer(known.second);
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
    const std::uint32_t smallTasks = std::max(someRuns / size.workers, 1U);
    StepSpec wide = fakes::stepOf(size.workers, workerCores - smallTasks * taskCores);
    wide.mostPerWorker = 1;
    wide.lasting = true;
    propose(SubmitGraph {fakes::graphOf("wide", {wide}), wallTimeNow()});
    round();
    workers.answerHolds();
    workers.endsFrom(size.workers);
    for (std::uint32_t task = 1; task <= size.workers * smallTasks; ++task) {
        submit();
        if (task % jobsAtOnce == 0) {
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
        if (step % jobsAtOnce == 0) {
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
    dispatcher_->heard(heartbeat, monotonicNow());
}

void DispatchSite::submit()
{
    std::vector<StepSpec> steps {fakes::stepOf(1, taskCores)};
    if (++jobs_ % jobsPerPair == 0) {
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
