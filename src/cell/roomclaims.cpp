/// Implementation of RoomClaims.

#include <crocusmill/roomclaims.h>

#include <algorithm>

namespace crocusmill
{

namespace
{

/// Steps that collect room need at most one core in this many of their service.
constexpr std::uint64_t minCoresPerCollected = 4;

} // namespace

RoomClaims::RoomClaims(Fleet &fleet)
    : fleet_(fleet)
{
}

std::uint64_t RoomClaims::milliCoresOf(const StepSpec &spec)
{
    return std::uint64_t {reservationSize(spec).milliCores} * spec.tasks;
}

void RoomClaims::claim(const StepDemand &demand, const std::vector<FleetChoice> &choices)
{
    collectingSince_.erase(demand.step);
    take(demand, choices, std::nullopt);
}

void RoomClaims::collect(
    const StepDemand &demand, const std::vector<FleetChoice> &choices, MonotonicTime now)
{
    take(demand, choices, collectingSince_.try_emplace(demand.step, now).first->second);
}

void RoomClaims::take(const StepDemand &demand, const std::vector<FleetChoice> &choices,
    std::optional<MonotonicTime> collectingSince)
{
    const Claim claim {demand.service, *demand.spec, choices, collectingSince};
    TaskRef task = demand.step;
    for (const FleetChoice &choice : choices) {
        task.task = choice.task;
        fleet_.take(choice.worker, task, claim.spec);
    }
    claims_.emplace(demand.step, claim);
}

bool RoomClaims::canCollect(const StepDemand &demand) const
{
    std::uint64_t collected = milliCoresOf(*demand.spec);
    for (const std::pair<const TaskRef, Claim> &entry : claims_) {
        const bool counts = entry.second.collectingSince && entry.second.service == demand.service;
        collected += counts ? milliCoresOf(entry.second.spec) : 0;
    }
    return collected * minCoresPerCollected <= fleet_.openMilliCores(demand.service);
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
    if (it == claims_.end()) {
        collectingSince_.erase(step);
    }
}

void RoomClaims::giveBack(const TaskRef &step, const Claim &claim)
{
    TaskRef task = step;
    for (const FleetChoice &choice : claim.choices) {
        task.task = choice.task;
        fleet_.release(choice.worker, task, claim.spec);
    }
    collectingSince_.erase(step);
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

void RoomClaims::releaseCollectedBefore(MonotonicTime time)
{
    std::erase_if(claims_, [this, time](const std::pair<const TaskRef, Claim> &entry) {
        const bool isOld = entry.second.collectingSince && *entry.second.collectingSince < time;
        if (isOld) {
            giveBack(entry.first, entry.second);
        }
        return isOld;
    });
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
