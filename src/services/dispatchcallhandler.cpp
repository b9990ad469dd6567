/// Handling of calls about queues, jobs, workers and tickets.

#include "src/services/dispatchcallhandler.h"

#include "src/net/clock.h"

#include <crocusmill/takeover.h>

#include <algorithm>

namespace crocusmill
{

namespace
{

/// Workers contacted in one turn of the event loop, so that the journal's messages are handled in
/// between.
constexpr std::size_t maxContactsPerTurn = 16;

} // namespace

DispatchCallHandler::DispatchCallHandler(asio::io_context &control, Journal &journal, Peers &peers,
    WorkerLink *link, TicketOffice *office, NodeAddress self, Metrics &metrics)
    : control_(control)
    , journal_(journal)
    , peers_(peers)
    , link_(link)
    , office_(office)
    , self_(std::move(self))
    , metrics_(metrics)
    , contactTimer_(control)
    , graphs_(journal, [this]() {
        if (dispatcher_) {
            dispatcher_->scheduleRound();
        }
    })
{
    graphs_.onSpareRoomAsked([this](const ServiceName &service) {
        return dispatcher_ == nullptr || dispatcher_->hasSpareRoom(service);
    });
    graphs_.onPendingJobsTold([this](const QueueName &queue, std::uint64_t pendingJobs) {
        if (dispatcher_) {
            dispatcher_->onPendingJobsTold(queue, pendingJobs);
        }
    });
}

void DispatchCallHandler::limitEarlyCancels(std::uint64_t maxEarlyCancels)
{
    graphs_.limitEarlyCancels(maxEarlyCancels);
}

void DispatchCallHandler::startLeading(Term term, const RunSupervisor::Propose &propose)
{
    if (link_ == nullptr || office_ == nullptr) {
        return;
    }
    stopLeading();
    dispatcher_ = Dispatcher::make(
        {control_, journal_, peers_, *link_, *office_, metrics_, self_, term, propose},
        monotonicNow());
    // The leases of runs are short, so the workers that the last leader knew are contacted at once.
    // Those with the most placements come first.
    workersToContact_ = knownWorkers_;
    sortByPlacements(workersToContact_, journal_.state().graphs());
    std::reverse(workersToContact_.begin(), workersToContact_.end());
    contactWorkers();
}

void DispatchCallHandler::contactWorkers()
{
    for (std::size_t i = 0; i < maxContactsPerTurn && !workersToContact_.empty(); ++i) {
        const WorkerHeartbeat worker = workersToContact_.back();
        workersToContact_.pop_back();
        dispatcher_->onHeartbeat(worker, monotonicNow());
    }
    if (!workersToContact_.empty()) {
        scheduleContacts();
    }
}

void DispatchCallHandler::scheduleContacts()
{
    contactTimer_.expires_after(Milliseconds {0});
    contactTimer_.async_wait([this](const boost::system::error_code &error) {
        if (!error && dispatcher_) {
            contactWorkers();
        }
    });
}

void DispatchCallHandler::stopLeading()
{
    contactTimer_.cancel();
    workersToContact_.clear();
    if (dispatcher_) {
        dispatcher_->retire();
        dispatcher_.reset();
    }
}

void DispatchCallHandler::tick()
{
    if (dispatcher_) {
        dispatcher_->scheduleRound();
    }
}

std::string DispatchCallHandler::listCustomers() const
{
    return dispatcher_ ? dispatcher_->listCustomers() : "[]";
}

void DispatchCallHandler::learnWorkers(const std::vector<WorkerHeartbeat> &workers)
{
    knownWorkers_ = workers;
}

void DispatchCallHandler::handle(const GraphCall &call, const ReplyHandler &done)
{
    metrics_.count({"leader_calls_total", "call=\"job\""});
    graphs_.handle(call, done);
}

void DispatchCallHandler::handle(const CatalogCall &call, const ReplyHandler &done)
{
    graphs_.handle(call, done);
}

void DispatchCallHandler::handle(const HeartbeatCall &call, const ReplyHandler &done)
{
    metrics_.count({"leader_calls_total", "call=\"heartbeat\""});
    const WorkerHeartbeat &heartbeat = call.heartbeat;
    std::erase_if(workersToContact_,
        [&heartbeat](const WorkerHeartbeat &worker) { return worker.id == heartbeat.id; });
    if (dispatcher_ && call.leaves) {
        dispatcher_->onWorkerLeaving(heartbeat.id, heartbeat.incarnation, monotonicNow(),
            [this, done](FarewellOutcome outcome) { answerFarewell(outcome, done); });
        return;
    }
    if (dispatcher_) {
        dispatcher_->onHeartbeat(heartbeat, monotonicNow());
    }
    if (heartbeat.draining && !journal_.state().isLeaving(heartbeat.id, heartbeat.incarnation)) {
        recordLeaving(heartbeat, done);
        return;
    }
    done(Reply {HeartbeatReply {self_}});
}

void DispatchCallHandler::answerFarewell(FarewellOutcome outcome, const ReplyHandler &done)
{
    if (outcome == FarewellOutcome::Retired) {
        done(ConsensusError::NotLeader);
        return;
    }
    const bool haveRunsEnded = outcome == FarewellOutcome::RunsEnded;
    metrics_.count({"worker_farewells_total", haveRunsEnded ? "runs=\"ended\"" : "runs=\"left\""});
    done(Reply {HeartbeatReply {self_}});
}

/// Records that the worker is leaving. Once this is acknowledged, later leaders start nothing on it
/// either.
void DispatchCallHandler::recordLeaving(const WorkerHeartbeat &worker, const ReplyHandler &done)
{
    journal_.propose(NoteLeaving {worker.id, worker.incarnation, wallTimeNow()},
        [this, done](const Result<ApplyReply> &reply) {
            if (reply) {
                done(Reply {HeartbeatReply {self_}});
            } else {
                done(reply.error());
            }
        });
}

void DispatchCallHandler::handle(const PresenceCall &call, const ReplyHandler &done)
{
    metrics_.count({"leader_calls_total", "call=\"presence\""});
    journal_.offerReplica(call.vm, call.replica, call.address);
    if (dispatcher_ && call.asksForTickets) {
        dispatcher_->onVmPresence(call.address, monotonicNow());
    }
    PresenceReply reply;
    reply.leader = self_;
    for (const Member &member : journal_.consensus()->membership().members) {
        reply.replicas.push_back(member.address);
    }
    if (dispatcher_ && call.wantsWorkers) {
        reply.workers = dispatcher_->supervisor().callableWorkers();
    }
    done(Reply {reply});
}

void DispatchCallHandler::handle(const TicketCall &call, const ReplyHandler &done)
{
    if (office_ == nullptr) {
        done(Reply {TicketReply {}});
        return;
    }
    office_->ask(call.step, call.workers, call.limit, [done](const TicketAnswer &answer) {
        done(Reply {TicketReply {answer.answered, answer.allowed, answer.validity}});
    });
}

} // namespace crocusmill
