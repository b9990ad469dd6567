/// Calls about queues, jobs, workers and tickets.

#include "src/services/dispatchdesk.h"

#include "src/net/clock.h"

#include <crocusmill/takeover.h>

#include <algorithm>

namespace crocusmill
{

namespace
{

/// First calls of one turn; the journal's messages come in between.
constexpr std::size_t firstCallsPerTurn = 16;

} // namespace

DispatchDesk::DispatchDesk(asio::io_context &control, Journal &journal, Peers &peers,
    WorkerLink *link, TicketOffice *office, NodeAddress self, Metrics &metrics)
    : control_(control)
    , journal_(journal)
    , peers_(peers)
    , link_(link)
    , office_(office)
    , self_(std::move(self))
    , metrics_(metrics)
    , hearing_(control)
    , graphs_(journal, [this]() {
        if (dispatcher_) {
            dispatcher_->wake();
        }
    })
{
}

void DispatchDesk::lead(Term term, const RunSupervisor::Propose &propose)
{
    if (link_ == nullptr || office_ == nullptr) {
        return;
    }
    follow();
    dispatcher_ = Dispatcher::make(
        {control_, journal_, peers_, *link_, *office_, metrics_, self_, term, propose},
        monotonicNow());
    // Leases of what runs are short: it is looked for where the last leader knew it to be.
    toHear_ = workers_;
    sortByPlacements(toHear_, journal_.state().graphs());
    std::reverse(toHear_.begin(), toHear_.end());
    hearSome();
}

void DispatchDesk::hearSome()
{
    for (std::size_t i = 0; i < firstCallsPerTurn && !toHear_.empty(); ++i) {
        const WorkerHeartbeat worker = toHear_.back();
        toHear_.pop_back();
        dispatcher_->heard(worker, monotonicNow());
    }
    if (!toHear_.empty()) {
        scheduleHearing();
    }
}

void DispatchDesk::scheduleHearing()
{
    hearing_.expires_after(Milliseconds {0});
    hearing_.async_wait([this](const boost::system::error_code &error) {
        if (!error && dispatcher_) {
            hearSome();
        }
    });
}

void DispatchDesk::follow()
{
    hearing_.cancel();
    toHear_.clear();
    if (dispatcher_) {
        dispatcher_->retire();
        dispatcher_.reset();
    }
}

void DispatchDesk::tick()
{
    if (dispatcher_) {
        dispatcher_->wake();
    }
}

void DispatchDesk::learnWorkers(const std::vector<WorkerHeartbeat> &workers)
{
    workers_ = workers;
}

void DispatchDesk::handle(const GraphCall &call, const ReplyHandler &done)
{
    metrics_.count({"leader_calls_total", "call=\"job\""});
    graphs_.handle(call, done);
}

void DispatchDesk::handle(const CatalogCall &call, const ReplyHandler &done)
{
    graphs_.handle(call, done);
}

void DispatchDesk::handle(const HeartbeatCall &call, const ReplyHandler &done)
{
    metrics_.count({"leader_calls_total", "call=\"heartbeat\""});
    const WorkerHeartbeat &heard = call.heartbeat;
    std::erase_if(toHear_, [&heard](const WorkerHeartbeat &known) { return known.id == heard.id; });
    if (dispatcher_ && call.leaves) {
        dispatcher_->left(heard.id, heard.incarnation, monotonicNow());
    } else if (dispatcher_) {
        dispatcher_->heard(heard, monotonicNow());
    }
    if (heard.draining && !journal_.state().isLeaving(heard.id, heard.incarnation)) {
        noteLeaving(heard, done);
        return;
    }
    done(Reply {HeartbeatReply {self_}});
}

/// Once this is acknowledged, no later leader may start anything there either.
void DispatchDesk::noteLeaving(const WorkerHeartbeat &worker, const ReplyHandler &done)
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

void DispatchDesk::handle(const PresenceCall &call, const ReplyHandler &done)
{
    metrics_.count({"leader_calls_total", "call=\"presence\""});
    journal_.offerReplica(call.vm, call.replica, call.address);
    if (dispatcher_ && call.asksForTickets) {
        dispatcher_->present(call.address, monotonicNow());
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

void DispatchDesk::handle(const TicketCall &call, const ReplyHandler &done)
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
