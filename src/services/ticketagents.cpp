/// Questions about tickets, each to the VM that is free first.

#include "src/services/ticketagents.h"

#include "src/net/log.h"

#include <algorithm>

namespace crocusmill
{

namespace
{

/// A VM that was not heard this long is not asked.
constexpr Milliseconds agentLife {1'100};
/// A question that would be answered later than this is not asked yet.
constexpr Milliseconds longestQueue {2'500};
/// Beyond what the office should take, for the way there and back.
constexpr Milliseconds transit {700};

Milliseconds timeOf(const TicketTerms &terms, std::size_t workers)
{
    return terms.decision
        + std::chrono::ceil<Milliseconds>(terms.perWorker * static_cast<std::int64_t>(workers));
}

} // namespace

TicketAgents::TicketAgents(Peers &peers, TicketOffice &local, NodeAddress self)
    : peers_(peers)
    , local_(local)
    , self_(std::move(self))
    , agents_(std::make_shared<Agents>())
{
    (*agents_)[self_].heard = MonotonicTime::max();
}

void TicketAgents::heard(const NodeAddress &vm, MonotonicTime now)
{
    if (vm != self_) {
        (*agents_)[vm].heard = now;
    }
}

TicketAgents::Agents::iterator TicketAgents::leastBusy(MonotonicTime now)
{
    std::erase_if(*agents_, [now](const std::pair<const NodeAddress, Agent> &known) {
        return known.second.heard != MonotonicTime::max() && now - known.second.heard > agentLife;
    });
    return std::min_element(agents_->begin(), agents_->end(),
        [](const std::pair<const NodeAddress, Agent> &left,
            const std::pair<const NodeAddress, Agent> &right) {
            return left.second.freeAt < right.second.freeAt;
        });
}

bool TicketAgents::mayAsk(MonotonicTime now) const
{
    return std::any_of(
        agents_->begin(), agents_->end(), [now](const std::pair<const NodeAddress, Agent> &known) {
            return known.second.freeAt < now + longestQueue;
        });
}

void TicketAgents::ask(const TaskRef &step, const std::vector<WorkerId> &workers,
    const TicketTerms &terms, MonotonicTime now, std::function<void(const TicketAnswer &)> done)
{
    const Agents::iterator agent = leastBusy(now);
    const Milliseconds time = timeOf(terms, workers.size());
    agent->second.freeAt = std::max(agent->second.freeAt, now) + time;
    const Milliseconds limit =
        std::chrono::ceil<Milliseconds>(agent->second.freeAt - now) + transit;
    if (agent->first == self_) {
        local_.ask(step, workers, limit, std::move(done));
        return;
    }
    peers_.call(agent->first, TicketCall {step, workers, limit}, limit,
        [agents = std::weak_ptr<Agents> {agents_}, vm = agent->first, done = std::move(done)](
            const Result<Reply> &reply) {
            const TicketReply *known = reply ? std::get_if<TicketReply>(&reply.value()) : nullptr;
            const std::shared_ptr<Agents> kept = agents.lock();
            if (kept && (known == nullptr || !known->answered)) {
                kept->erase(vm); // until it is heard again
            }
            done(known == nullptr
                    ? TicketAnswer {}
                    : TicketAnswer {known->answered, known->allowed, known->validity});
        });
}

} // namespace crocusmill
