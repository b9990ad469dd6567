/// The leader's side: bounds for each entry, and targets that follow demand.

#include <crocusmill/slots.h>

#include <algorithm>
#include <numeric>

namespace crocusmill
{

namespace
{

/// Weight of an entry without demand, in requests.
constexpr std::uint64_t idleWeight = 4;

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

void SlotLedger::announced(const UpstreamSlots &upstream, MonotonicTime /*now*/)
{
    Upstream &known = upstreams_[upstream.id];
    const bool changed = !known.alive || known.announced.slots != upstream.slots
        || known.announced.draining != upstream.draining
        || known.announced.incarnation != upstream.incarnation
        || known.announced.service != upstream.service;
    if (changed) {
        changed_.insert(known.announced.service);
        changed_.insert(upstream.service);
    }
    known.announced = upstream;
    known.alive = true;
    settleExpired(known);
}

void SlotLedger::setDraining(const UpstreamId &upstream, bool draining)
{
    const auto found = upstreams_.find(upstream);
    if (found != upstreams_.end()) {
        found->second.announced.draining = draining;
        changed_.insert(found->second.announced.service);
    }
}

void SlotLedger::gone(const UpstreamId &upstream)
{
    const auto found = upstreams_.find(upstream);
    if (found == upstreams_.end()) {
        return;
    }
    found->second.alive = false;
    found->second.announced.running.clear();
    settleExpired(found->second);
    changed_.insert(found->second.announced.service);
}

std::uint32_t SlotLedger::ghosts(const Upstream &upstream) const
{
    // Attempts whose entry holds nothing here any more, but which the upstream still runs.
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
    std::uint32_t total = ghosts(upstream);
    for (const std::pair<const EntryEpoch, Holder> &held : upstream.holders) {
        total += held.second.bound;
    }
    return total;
}

SlotCount SlotLedger::occupied(const UpstreamId &upstream) const
{
    const auto found = upstreams_.find(upstream);
    return SlotCount {found == upstreams_.end() ? 0 : occupiedSlots(found->second)};
}

void SlotLedger::settleExpired(Upstream &upstream)
{
    // The announcement in hand came after the expiry, so it lists all that the entry still runs;
    // from now on its attempts are counted one by one.
    const std::size_t erased = std::erase_if(upstream.holders,
        [](const std::pair<const EntryEpoch, Holder> &held) { return held.second.expired; });
    if (erased > 0) {
        changed_.insert(upstream.announced.service);
    }
}

void SlotLedger::reported(const EntryEpoch &entry, bool full, const std::vector<SlotLine> &held,
    const std::vector<DemandLine> &demand, MonotonicTime now)
{
    const bool isNew = !entries_.contains(entry);
    EntryState &state = entries_[entry];
    state.heard = now;
    if (full) {
        for (std::pair<const UpstreamId, Upstream> &known : upstreams_) {
            const auto mine = known.second.holders.find(entry);
            if (mine != known.second.holders.end()) {
                mine->second = Holder {};
            }
        }
    }
    for (const SlotLine &line : held) {
        Holder &holder = upstreams_[line.upstream].holders[entry];
        holder.bound = line.slots.value();
        holder.limit = line.slots.value();
        holder.expired = false;
    }
    std::map<ServiceKey, std::uint32_t> wanted;
    for (const DemandLine &line : demand) {
        wanted[line.service] = line.wanted;
    }
    for (const std::pair<const UpstreamId, Upstream> &known : upstreams_) {
        const ServiceKey &service = known.second.announced.service;
        if (isNew || wanted[service] != state.demand[service]) {
            changed_.insert(service);
        }
    }
    state.demand = std::move(wanted);
}

std::vector<SlotLine> SlotLedger::grant(const EntryEpoch &entry, MonotonicTime now)
{
    for (const ServiceKey &service : std::exchange(changed_, {})) {
        rebalance(service);
    }
    const bool grace = now < graceEnds_;
    std::vector<SlotLine> lines;
    for (std::pair<const UpstreamId, Upstream> &known : upstreams_) {
        Upstream &upstream = known.second;
        const auto target = upstream.targets.find(entry);
        const auto held = upstream.holders.find(entry);
        const std::uint32_t bound = held == upstream.holders.end() ? 0 : held->second.bound;
        std::uint32_t allowed = target == upstream.targets.end() ? 0 : target->second;
        if (grace && !upstream.announced.draining) {
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
        holder.bound = std::max(bound, allowed);
        holder.limit = allowed;
        lines.push_back({known.first, SlotCount {allowed}});
    }
    return lines;
}

bool SlotLedger::knows(const EntryEpoch &entry) const
{
    return entries_.contains(entry);
}

void SlotLedger::expire(MonotonicTime now)
{
    const Milliseconds life = times_.grantLife + times_.driftMargin;
    std::set<EntryEpoch> dead;
    for (const std::pair<const EntryEpoch, EntryState> &known : entries_) {
        if (now - known.second.heard > life) {
            dead.insert(known.first);
        }
    }
    for (const EntryEpoch &entry : dead) {
        entries_.erase(entry);
        for (std::pair<const UpstreamId, Upstream> &known : upstreams_) {
            const auto held = known.second.holders.find(entry);
            if (held != known.second.holders.end()) {
                held->second.expired = true;
            }
            known.second.targets.erase(entry);
            changed_.insert(known.second.announced.service);
        }
    }
}

std::map<EntryEpoch, std::uint32_t> SlotLedger::desired(
    const ServiceKey &service, std::uint32_t slots) const
{
    std::vector<std::pair<EntryEpoch, std::uint64_t>> weights;
    std::uint64_t total = 0;
    for (const std::pair<const EntryEpoch, EntryState> &known : entries_) {
        const auto wanted = known.second.demand.find(service);
        const std::uint64_t weight =
            idleWeight + (wanted == known.second.demand.end() ? 0 : wanted->second);
        weights.emplace_back(known.first, weight);
        total += weight;
    }
    // One slot each where they suffice, so that a request at an idle entry need not wait.
    const std::uint32_t base = slots >= weights.size() ? 1 : 0;
    const std::uint64_t divided = slots - base * weights.size();
    std::map<EntryEpoch, std::uint32_t> shares;
    std::uint64_t weightBefore = 0;
    for (const std::pair<EntryEpoch, std::uint64_t> &entry : weights) {
        const std::uint64_t from = weightBefore * divided / total;
        weightBefore += entry.second;
        const std::uint64_t upTo = weightBefore * divided / total;
        shares[entry.first] = base + static_cast<std::uint32_t>(upTo - from);
    }
    return shares;
}

void SlotLedger::giveFree(
    const std::vector<Upstream *> &upstreams, std::map<EntryEpoch, std::int64_t> &missing)
{
    for (Upstream *upstream : upstreams) {
        std::uint32_t given = 0;
        for (const std::pair<const EntryEpoch, std::uint32_t> &target : upstream->targets) {
            given += target.second;
        }
        for (; given < upstream->announced.slots.value(); ++given) {
            const auto neediest = std::max_element(missing.begin(), missing.end(),
                [](const std::pair<const EntryEpoch, std::int64_t> &left,
                    const std::pair<const EntryEpoch, std::int64_t> &right) {
                    return left.second < right.second;
                });
            if (neediest == missing.end() || neediest->second <= 0) {
                return;
            }
            ++upstream->targets[neediest->first];
            --neediest->second;
        }
    }
}

void SlotLedger::moveSurplus(
    const std::vector<Upstream *> &upstreams, std::map<EntryEpoch, std::int64_t> &missing)
{
    for (Upstream *upstream : upstreams) {
        for (std::pair<const EntryEpoch, std::int64_t> &poor : missing) {
            if (poor.second <= 0) {
                continue;
            }
            for (std::pair<const EntryEpoch, std::uint32_t> &target : upstream->targets) {
                std::int64_t &surplus = missing[target.first];
                if (surplus < 0 && target.second > 0) {
                    --target.second;
                    ++surplus;
                    ++upstream->targets[poor.first];
                    --poor.second;
                    break;
                }
            }
        }
    }
}

void SlotLedger::rebalance(const ServiceKey &service)
{
    std::vector<Upstream *> open;
    std::uint32_t slots = 0;
    for (std::pair<const UpstreamId, Upstream> &known : upstreams_) {
        Upstream &upstream = known.second;
        if (upstream.announced.service != service) {
            continue;
        }
        if (!upstream.alive || upstream.announced.draining) {
            upstream.targets.clear();
            continue;
        }
        open.push_back(&upstream);
        slots += upstream.announced.slots.value();
    }
    std::map<EntryEpoch, std::int64_t> missing;
    for (const std::pair<const EntryEpoch, std::uint32_t> &share : desired(service, slots)) {
        missing[share.first] = share.second;
    }
    for (Upstream *upstream : open) {
        std::uint32_t left = upstream->announced.slots.value();
        for (std::pair<const EntryEpoch, std::uint32_t> &target : upstream->targets) {
            target.second = std::min(target.second, left);
            left -= target.second;
            missing[target.first] -= target.second;
        }
    }
    giveFree(open, missing);
    constexpr int mostRounds = 4;
    for (int round = 0; round < mostRounds; ++round) {
        moveSurplus(open, missing);
    }
}

} // namespace crocusmill
