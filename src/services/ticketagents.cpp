/// Questions about tickets, each to a VM that is free for it.

#include "src/services/ticketagents.h"

#include "src/net/clock.h"
#include "src/net/log.h"

namespace crocusmill
{

namespace
{

/// Beyond what the office should take, for the way there and back.
constexpr Milliseconds transit {700};

Milliseconds timeOf(const TicketTiming &terms, std::size_t workers)
{
    return terms.decision
        + std::chrono::ceil<Milliseconds>(terms.perWorker * static_cast<std::int64_t>(workers));
}

} // namespace

TicketAgents::TicketAgents(Peers &peers, TicketOffice &local, NodeAddress self)
    : peers_(peers)
    , local_(local)
    , self_(std::move(self))
    , lanes_(std::make_shared<TicketVmSelector>())
{
    lanes_->addSelf(self_);
}

void TicketAgents::heard(const NodeAddress &vm, MonotonicTime now)
{
    if (vm != self_) {
        lanes_->markAlive(vm, now);
    }
}

bool TicketAgents::mayAsk(const TicketTiming &terms, std::size_t workers, MonotonicTime now) const
{
    return lanes_->pick(timeOf(terms, workers), now).has_value();
}

bool TicketAgents::ask(const TaskRef &step, const std::vector<WorkerId> &workers,
    const TicketTiming &terms, MonotonicTime now, std::function<void(const TicketAnswer &)> done)
{
    const Milliseconds takes = timeOf(terms, workers.size());
    const std::optional<NodeAddress> vm = lanes_->pick(takes, now);
    if (!vm) {
        return false;
    }
    const Milliseconds limit = lanes_->recordRequest(*vm, takes, now) + transit;
    const std::function<void(const TicketAnswer &)> settle =
        [lanes = std::weak_ptr<TicketVmSelector> {lanes_}, vm = *vm, done = std::move(done)](
            const TicketAnswer &answer) {
            if (const std::shared_ptr<TicketVmSelector> kept = lanes.lock()) {
                kept->recordAnswer(vm, monotonicNow());
                if (!answer.answered) {
                    logInfo("tickets.vm_silent", {{"ip", vm.ip}});
                    kept->markSilent(vm);
                }
            }
            done(answer);
        };
    if (*vm == self_) {
        local_.ask(step, workers, limit, settle);
        return true;
    }
    peers_.call(
        *vm, TicketCall {step, workers, limit}, limit, [settle](const Result<Reply> &reply) {
            const TicketReply *known = reply ? std::get_if<TicketReply>(&reply.value()) : nullptr;
            settle(known == nullptr
                    ? TicketAnswer {}
                    : TicketAnswer {known->answered, known->allowed, known->validity});
        });
    return true;
}

} // namespace crocusmill
