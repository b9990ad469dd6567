/// Leader side: upper bounds for each entry, and target shares that follow demand.

#include <crocusmill/slots.h>

#include <algorithm>
#include <numeric>

namespace crocusmill
{

namespace
{

/// Weight of an entry without demand, in requests. Demand is added to it.
constexpr std::uint64_t idleEntryWeight = 4;

} // namespace

EntryEpoch epochOf(const AttemptId &attempt)
{
    const std::string &text = attempt.value();
    return EntryEpoch {text.substr(0, text.rfind('-'))};
}

AttemptId makeAttemptId(const EntryEpoch &epoch, std::uint64_t number)
{
    return AttemptId {epoch.value() + "-" + std::to_string(number)};
}

SlotLedger::SlotLedger(SlotTimes times, MonotonicTime now)
    : times_(times)
    , graceEnds_(now + times.grantLife + times.driftMargin)
{
}

void SlotLedger::updateUpstream(const UpstreamSlots &upstream, MonotonicTime /*now*/)
{
    Upstream &record = upstreams_[upstream.id];
    const bool hasChanged = !record.alive || record.announced.slots != upstream.slots
        || record.announced.draining != upstream.draining
        || record.announced.incarnation != upstream.incarnation
        || record.announced.service != upstream.service;
    if (hasChanged) {
        servicesToRebalance_.insert(record.announced.service);
        servicesToRebalance_.insert(upstream.service);
    }
    record.announced = upstream;
    record.alive = true;
    removeExpiredHolders(record);
}

void SlotLedger::setDraining(const UpstreamId &upstream, bool draining)
{
    const auto it = upstreams_.find(upstream);
    if (it != upstreams_.end()) {
        it->second.announced.draining = draining;
        servicesToRebalance_.insert(it->second.announced.service);
    }
}

void SlotLedger::markGone(const UpstreamId &upstream)
{
    const auto it = upstreams_.find(upstream);
    if (it == upstreams_.end()) {
        return;
    }
    it->second.alive = false;
    it->second.announced.running.clear();
    removeExpiredHolders(it->second);
    servicesToRebalance_.insert(it->second.announced.service);
}

std::uint32_t SlotLedger::orphanedAttemptCount(const Upstream &upstream) const
{
    // Attempts that the upstream still runs although their entry holds no slots any more.
    std::uint32_t count = 0;
    for (const AttemptId &attempt : upstream.announced.running) {
        const EntryEpoch epoch = epochOf(attempt);
        if (!entries_.contains(epoch) && !upstream.holders.contains(epoch)) {
            ++count;
        }
    }
    return count;
}

std::uint32_t SlotLedger::occupiedSlots(const Upstream &upstream) const
{
    std::uint32_t total = orphanedAttemptCount(upstream);
    for (const std::pair<const EntryEpoch, Holder> &held : upstream.holders) {
        total += held.second.upperBound;
    }
    return total;
}

SlotCount SlotLedger::occupied(const UpstreamId &upstream) const
{
    const auto it = upstreams_.find(upstream);
    return SlotCount {it == upstreams_.end() ? 0 : occupiedSlots(it->second)};
}

void SlotLedger::removeExpiredHolders(Upstream &upstream)
{
    // The current announcement arrived after the expiry, so it lists all attempts that still run.
    // From now on they are counted one by one as orphaned attempts.
    const std::size_t erased = std::erase_if(upstream.holders,
        [](const std::pair<const EntryEpoch, Holder> &held) { return held.second.expired; });
    if (erased > 0) {
        servicesToRebalance_.insert(upstream.announced.service);
    }
}

void SlotLedger::updateEntry(const EntryEpoch &entry, bool full, const std::vector<SlotLine> &held,
    const std::vector<DemandLine> &demand, MonotonicTime now)
{
    const bool isNew = !entries_.contains(entry);
    EntryState &state = entries_[entry];
    state.lastReport = now;
    if (full) {
        for (std::pair<const UpstreamId, Upstream> &item : upstreams_) {
            const auto it = item.second.holders.find(entry);
            if (it != item.second.holders.end()) {
                it->second = Holder {};
            }
        }
    }
    for (const SlotLine &line : held) {
        Holder &holder = upstreams_[line.upstream].holders[entry];
        holder.upperBound = line.slots.value();
        holder.limit = line.slots.value();
        holder.expired = false;
    }
    std::map<ServiceKey, std::uint32_t> wanted;
    for (const DemandLine &line : demand) {
        wanted[line.service] = line.wanted;
    }
    for (const std::pair<const UpstreamId, Upstream> &item : upstreams_) {
        const ServiceKey &service = item.second.announced.service;
        if (isNew || wanted[service] != state.demand[service]) {
            servicesToRebalance_.insert(service);
        }
    }
    state.demand = std::move(wanted);
}

std::vector<SlotLine> SlotLedger::grant(const EntryEpoch &entry, MonotonicTime now)
{
    for (const ServiceKey &service : std::exchange(servicesToRebalance_, {})) {
        rebalance(service);
    }
    const bool isInGracePeriod = now < graceEnds_;
    std::vector<SlotLine> lines;
    for (std::pair<const UpstreamId, Upstream> &item : upstreams_) {
        Upstream &upstream = item.second;
        const auto target = upstream.targets.find(entry);
        const auto held = upstream.holders.find(entry);
        const std::uint32_t bound = held == upstream.holders.end() ? 0 : held->second.upperBound;
        std::uint32_t allowed = target == upstream.targets.end() ? 0 : target->second;
        if (isInGracePeriod && !upstream.announced.draining) {
            allowed = bound;
        } else if (allowed > bound) {
            const std::uint32_t occupied = occupiedSlots(upstream);
            const std::uint32_t declared = upstream.announced.slots.value();
            const std::uint32_t spare = declared > occupied ? declared - occupied : 0;
            allowed = std::min(allowed, bound + spare);
        }
        const std::uint32_t limit = held == upstream.holders.end() ? 0 : held->second.limit;
        if (allowed == limit) {
            continue;
        }
        Holder &holder = upstream.holders[entry];
        holder.upperBound = std::max(bound, allowed);
        holder.limit = allowed;
        lines.push_back({item.first, SlotCount {allowed}});
    }
    return lines;
}

bool SlotLedger::hasEntry(const EntryEpoch &entry) const
{
    return entries_.contains(entry);
}

void SlotLedger::expire(MonotonicTime now)
{
    const Milliseconds timeout = times_.grantLife + times_.driftMargin;
    std::set<EntryEpoch> expiredEntries;
    for (const std::pair<const EntryEpoch, EntryState> &known : entries_) {
        if (now - known.second.lastReport > timeout) {
            expiredEntries.insert(known.first);
        }
    }
    for (const EntryEpoch &entry : expiredEntries) {
        entries_.erase(entry);
        for (std::pair<const UpstreamId, Upstream> &known : upstreams_) {
            const auto held = known.second.holders.find(entry);
            if (held != known.second.holders.end()) {
                held->second.expired = true;
            }
            known.second.targets.erase(entry);
            servicesToRebalance_.insert(known.second.announced.service);
        }
    }
}

std::map<EntryEpoch, std::uint32_t> SlotLedger::targetShares(
    const ServiceKey &service, std::uint32_t slots) const
{
    std::vector<std::pair<EntryEpoch, std::uint64_t>> weights;
    std::uint64_t total = 0;
    for (const std::pair<const EntryEpoch, EntryState> &item : entries_) {
        const auto wanted = item.second.demand.find(service);
        const std::uint64_t weight =
            idleEntryWeight + (wanted == item.second.demand.end() ? 0 : wanted->second);
        weights.emplace_back(item.first, weight);
        total += weight;
    }
    // Each entry gets one slot if there are enough, so that a request at an idle entry need not
    // wait.
    const std::uint32_t minShare = slots >= weights.size() ? 1 : 0;
    const std::uint64_t slotsToDivide = slots - minShare * weights.size();
    std::map<EntryEpoch, std::uint32_t> shares;
    std::uint64_t weightBefore = 0;
    for (const std::pair<EntryEpoch, std::uint64_t> &entry : weights) {
        const std::uint64_t rangeStart = weightBefore * slotsToDivide / total;
        weightBefore += entry.second;
        const std::uint64_t rangeEnd = weightBefore * slotsToDivide / total;
        shares[entry.first] = minShare + static_cast<std::uint32_t>(rangeEnd - rangeStart);
    }
    return shares;
}

void SlotLedger::assignFreeSlots(
    const std::vector<Upstream *> &upstreams, std::map<EntryEpoch, std::int64_t> &deficits)
{
    for (Upstream *upstream : upstreams) {
        std::uint32_t assigned = 0;
        for (const std::pair<const EntryEpoch, std::uint32_t> &target : upstream->targets) {
            assigned += target.second;
        }
        for (; assigned < upstream->announced.slots.value(); ++assigned) {
            const auto largestDeficit = std::max_element(deficits.begin(), deficits.end(),
                [](const std::pair<const EntryEpoch, std::int64_t> &left,
                    const std::pair<const EntryEpoch, std::int64_t> &right) {
                    return left.second < right.second;
                });
            if (largestDeficit == deficits.end() || largestDeficit->second <= 0) {
                return;
            }
            ++upstream->targets[largestDeficit->first];
            --largestDeficit->second;
        }
    }
}

void SlotLedger::moveSurplusSlots(
    const std::vector<Upstream *> &upstreams, std::map<EntryEpoch, std::int64_t> &deficits)
{
    for (Upstream *upstream : upstreams) {
        for (std::pair<const EntryEpoch, std::int64_t> &recipient : deficits) {
            if (recipient.second <= 0) {
                continue;
            }
            for (std::pair<const EntryEpoch, std::uint32_t> &target : upstream->targets) {
                std::int64_t &surplus = deficits[target.first];
                if (surplus < 0 && target.second > 0) {
                    --target.second;
                    ++surplus;
                    ++upstream->targets[recipient.first];
                    --recipient.second;
                    break;
                }
            }
        }
    }
}

void SlotLedger::rebalance(const ServiceKey &service)
{
    std::vector<Upstream *> available;
    std::uint32_t slots = 0;
    for (std::pair<const UpstreamId, Upstream> &item : upstreams_) {
        Upstream &upstream = item.second;
        if (upstream.announced.service != service) {
            continue;
        }
        if (!upstream.alive || upstream.announced.draining) {
            upstream.targets.clear();
            continue;
        }
        available.push_back(&upstream);
        slots += upstream.announced.slots.value();
    }
    std::map<EntryEpoch, std::int64_t> deficits;
    for (const std::pair<const EntryEpoch, std::uint32_t> &share : targetShares(service, slots)) {
        deficits[share.first] = share.second;
    }
    for (Upstream *upstream : available) {
        std::uint32_t remaining = upstream->announced.slots.value();
        for (std::pair<const EntryEpoch, std::uint32_t> &target : upstream->targets) {
            target.second = std::min(target.second, remaining);
            remaining -= target.second;
            deficits[target.first] -= target.second;
        }
    }
    assignFreeSlots(available, deficits);
    constexpr int maxRounds = 4;
    for (int round = 0; round < maxRounds; ++round) {
        moveSurplusSlots(available, deficits);
    }
}

} // namespace crocusmill
