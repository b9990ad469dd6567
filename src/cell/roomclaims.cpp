/// Implementation of RoomClaims.

#include <crocusmill/roomclaims.h>

#include <algorithm>

namespace crocusmill
{

RoomClaims::RoomClaims(Fleet &fleet)
    : fleet_(fleet)
{
}

void RoomClaims::claim(const StepDemand &demand, const std::vector<FleetChoice> &choices)
{
    const Claim claim {*demand.spec, choices};
    TaskRef task = demand.step;
    for (const FleetChoice &choice : choices) {
        task.task = choice.task;
        fleet_.take(choice.worker, task, claim.spec);
    }
    claims_.emplace(demand.step, claim);
}

std::vector<FleetChoice> RoomClaims::withdraw(const TaskRef &step)
{
    const auto it = claims_.find(step);
    if (it == claims_.end()) {
        return {};
    }
    TaskRef task = step;
    for (const FleetChoice &choice : it->second.choices) {
        task.task = choice.task;
        fleet_.withdraw(choice.worker, task, it->second.spec);
    }
    std::vector<FleetChoice> choices = std::move(it->second.choices);
    claims_.erase(it);
    return choices;
}

void RoomClaims::noteGains(const TaskRef &step, const std::vector<FleetChoice> &withdrawn)
{
    const auto it = claims_.find(step);
    const std::vector<FleetChoice> kept =
        it == claims_.end() ? std::vector<FleetChoice> {} : it->second.choices;
    for (const FleetChoice &choice : withdrawn) {
        const bool isKept = std::any_of(kept.begin(), kept.end(),
            [&choice](const FleetChoice &other) { return other.worker == choice.worker; });
        if (!isKept) {
            fleet_.noteGain(choice.worker);
        }
    }
}

void RoomClaims::giveBack(const TaskRef &step, const Claim &claim)
{
    TaskRef task = step;
    for (const FleetChoice &choice : claim.choices) {
        task.task = choice.task;
        fleet_.release(choice.worker, task, claim.spec);
    }
}

void RoomClaims::release(const TaskRef &step)
{
    const auto it = claims_.find(step);
    if (it != claims_.end()) {
        giveBack(step, it->second);
        claims_.erase(it);
    }
}

void RoomClaims::release(const GraphId &graph)
{
    auto it = claims_.lower_bound(TaskRef {graph, 0, 0, 0});
    while (it != claims_.end() && it->first.graph == graph) {
        giveBack(it->first, it->second);
        it = claims_.erase(it);
    }
}

bool RoomClaims::contains(const TaskRef &step) const
{
    return claims_.contains(step);
}

std::size_t RoomClaims::size() const
{
    return claims_.size();
}

} // namespace crocusmill
