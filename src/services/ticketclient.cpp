/// Ticket requests, each sent through a VM that is free for it.

#include "src/services/ticketclient.h"

#include "src/net/clock.h"
#include "src/net/log.h"

namespace crocusmill
{

namespace
{

/// Added to the expected decision time for the network round trip.
constexpr Milliseconds transitAllowance {700};

Milliseconds decisionTimeOf(const TicketTiming &timing, std::size_t workers)
{
    return timing.decision
        + std::chrono::ceil<Milliseconds>(timing.perWorker * static_cast<std::int64_t>(workers));
}

TicketRequest requestOf(const TicketTerms &terms, std::size_t workers)
{
    return {terms.queue, decisionTimeOf(terms.timing, workers), terms.otherWaitingQueues};
}

} // namespace

TicketClient::TicketClient(Peers &peers, TicketOffice &localOffice, NodeAddress self)
    : peers_(peers)
    , localOffice_(localOffice)
    , self_(std::move(self))
    , lanes_(std::make_shared<TicketVmSelector>())
{
    lanes_->addSelf(self_);
}

bool TicketClient::isLong(const TicketTiming &timing, std::size_t workers)
{
    return decisionTimeOf(timing, workers) >= longRequestDuration;
}

void TicketClient::onVmPresence(const NodeAddress &vm, MonotonicTime now)
{
    if (vm != self_) {
        lanes_->markAlive(vm, now);
    }
}

bool TicketClient::canAsk(const TicketTerms &terms, std::size_t workers, MonotonicTime now) const
{
    return lanes_->pick(requestOf(terms, workers), now).has_value();
}

bool TicketClient::ask(const TaskRef &step, const std::vector<WorkerId> &workers,
    const TicketTerms &terms, MonotonicTime now, std::function<void(const TicketAnswer &)> done)
{
    const TicketRequest request = requestOf(terms, workers.size());
    const std::optional<NodeAddress> vm = lanes_->pick(request, now);
    if (!vm) {
        return false;
    }
    const Milliseconds limit = lanes_->recordRequest(*vm, request, now) + transitAllowance;
    const std::function<void(const TicketAnswer &)> onAnswer =
        [lanes = std::weak_ptr<TicketVmSelector> {lanes_}, vm = *vm, done = std::move(done)](
            const TicketAnswer &answer) {
            if (const std::shared_ptr<TicketVmSelector> liveLanes = lanes.lock()) {
                liveLanes->recordAnswer(vm, monotonicNow());
                if (!answer.answered) {
                    logInfo("tickets.vm_silent", {{"ip", vm.ip}});
                    liveLanes->markSilent(vm);
                }
            }
            done(answer);
        };
    if (*vm == self_) {
        localOffice_.ask(step, workers, limit, onAnswer);
        return true;
    }
    peers_.call(
        *vm, TicketCall {step, workers, limit}, limit, [onAnswer](const Result<Reply> &reply) {
            const TicketReply *ticketReply =
                reply ? std::get_if<TicketReply>(&reply.value()) : nullptr;
            onAnswer(ticketReply == nullptr ? TicketAnswer {}
                                            : TicketAnswer {ticketReply->answered,
                                                ticketReply->allowed, ticketReply->validity});
        });
    return true;
}

} // namespace crocusmill
