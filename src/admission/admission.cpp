/// Per-service queues and the choice of an upstream.

#include <crocusmill/admission.h>

#include <algorithm>

namespace crocusmill
{

namespace
{

std::unique_ptr<QueuePolicy> makeQueue(const Policy &policy)
{
    if (policy.scheduling == Scheduling::Naive) {
        return makeNaiveQueue();
    }
    return makeFairQueue(policy.emphasis);
}

bool contains(const std::vector<UpstreamId> &list, const UpstreamId &upstream)
{
    return std::find(list.begin(), list.end(), upstream) != list.end();
}

} // namespace

Admission::Admission(SlotPool &slots, std::uint64_t seed)
    : slots_(slots)
    , random_(seed)
{
}

Admission::Service &Admission::serviceOf(const ServiceKey &key)
{
    Service &service = services_[key];
    if (!service.queue) {
        service.queue = makeQueue(service.policy);
    }
    return service;
}

void Admission::setPolicy(const ServiceKey &key, const Policy &policy)
{
    Service &service = serviceOf(key);
    const bool isUnchanged = service.policy.emphasis == policy.emphasis
        && service.policy.scheduling == policy.scheduling;
    if (isUnchanged) {
        return;
    }
    service.policy = policy;
    std::unique_ptr<QueuePolicy> previousQueue = std::exchange(service.queue, makeQueue(policy));
    ServiceLoad unlimitedLoad = service.load;
    unlimitedLoad.slots = ~0U;
    while (std::optional<WaitingRequest> request = previousQueue->take(unlimitedLoad, {})) {
        service.queue->putBack(*request);
    }
}

void Admission::setUpstream(const UpstreamId &upstream, const ServiceKey &key)
{
    const auto it = upstreamService_.find(upstream);
    if (it != upstreamService_.end()) {
        if (it->second == key) {
            return;
        }
        removeUpstream(upstream);
    }
    upstreamService_[upstream] = key;
    serviceOf(key).upstreams.push_back({upstream, slots_.handleOf(upstream)});
}

void Admission::removeUpstream(const UpstreamId &upstream)
{
    const auto it = upstreamService_.find(upstream);
    if (it == upstreamService_.end()) {
        return;
    }
    std::erase_if(serviceOf(it->second).upstreams,
        [&upstream](const Candidate &candidate) { return candidate.id == upstream; });
    upstreamService_.erase(it);
}

std::optional<Refusal> Admission::submit(const WaitingRequest &request, MonotonicTime now)
{
    Service &service = serviceOf(request.service);
    if (service.upstreams.empty()) {
        constexpr Milliseconds retryAfter {1000};
        return Refusal {request.id, RefusalReason::NoUpstream, retryAfter};
    }
    service.load.history[indexOf(request.workClass)].recordArrival(now);
    return service.queue->offer(request, service.load, now);
}

bool Admission::cancel(const ServiceKey &key, RequestId request)
{
    return serviceOf(key).queue->remove(request);
}

std::optional<UpstreamId> Admission::chooseRandomUpstream(const Service &service)
{
    std::vector<UpstreamId> candidates;
    for (const Candidate &candidate : service.upstreams) {
        if (slots_.free(candidate.slotHandle) > 0) {
            candidates.push_back(candidate.id);
        }
    }
    if (candidates.empty()) {
        return std::nullopt;
    }
    std::uniform_int_distribution<std::size_t> distribution {0, candidates.size() - 1};
    return candidates[distribution(random_)];
}

std::optional<UpstreamId> Admission::chooseUpstream(
    const Service &service, const WaitingRequest &request, MonotonicTime now)
{
    if (service.policy.scheduling == Scheduling::Naive) {
        return chooseRandomUpstream(service);
    }
    // Paused upstreams are used when no other has a free slot, so that pauses never remove more
    // capacity than the rest can replace.
    constexpr std::uint32_t maxFreeSlotScore = 1000;
    constexpr std::uint32_t healthyScore = 4000;
    constexpr std::uint32_t notAvoidedScore = 2000;
    const UpstreamId *best = nullptr;
    std::uint32_t bestScore = 0;
    for (const Candidate &candidate : service.upstreams) {
        const UpstreamId &upstream = candidate.id;
        std::uint32_t score = std::min(slots_.free(candidate.slotHandle), maxFreeSlotScore);
        // The health lookup is by name, so it is skipped where it cannot change the choice.
        if (score == 0 || score + healthyScore + notAvoidedScore <= bestScore) {
            continue;
        }
        score += health_.isUsable(upstream, now) ? healthyScore : 0;
        score += contains(request.avoid, upstream) ? 0 : notAvoidedScore;
        if (best == nullptr || score > bestScore) {
            best = &upstream;
            bestScore = score;
        }
    }
    if (best == nullptr) {
        return std::nullopt;
    }
    return *best;
}

void Admission::startAttempt(
    Service &service, const WaitingRequest &request, const UpstreamId &upstream, MonotonicTime now)
{
    static_cast<void>(slots_.acquire(upstream, now));
    ++service.load.inUse[indexOf(request.workClass)];
    ++service.load.teamInUse[request.team];
    if (request.avoid.empty()) {
        service.retryBudget.recordFirstAttempt();
    }
    running_.insert_or_assign(request.id, Running {request, upstream});
}

void Admission::decideService(Service &service, Decisions &decisions, MonotonicTime now)
{
    service.load.slots = 0;
    std::uint32_t free = 0;
    for (const Candidate &candidate : service.upstreams) {
        service.load.slots += slots_.held(candidate.slotHandle);
        free += slots_.free(candidate.slotHandle);
    }
    for (; free > 0 && service.queue->size() > 0; --free) {
        const std::optional<WaitingRequest> request = service.queue->take(service.load, now);
        if (!request) {
            return;
        }
        const std::optional<UpstreamId> upstream = chooseUpstream(service, *request, now);
        if (!upstream) {
            service.queue->putBack(*request);
            return;
        }
        startAttempt(service, *request, *upstream, now);
        decisions.assigned.push_back({request->id, *upstream});
    }
}

Decisions Admission::decide(MonotonicTime now)
{
    Decisions decisions;
    if (!slots_.valid(now)) {
        decisions.refused = refuseAll(RefusalReason::NoQuorum);
        return decisions;
    }
    for (std::pair<const ServiceKey, Service> &item : services_) {
        if (item.second.queue) {
            decideService(item.second, decisions, now);
        }
    }
    return decisions;
}

std::vector<Refusal> Admission::expire(MonotonicTime now)
{
    std::vector<Refusal> refused;
    for (std::pair<const ServiceKey, Service> &item : services_) {
        if (!item.second.queue) {
            continue;
        }
        for (const Refusal &refusal : item.second.queue->expire(now)) {
            refused.push_back(refusal);
        }
    }
    return refused;
}

std::vector<Refusal> Admission::refuseAll(RefusalReason reason)
{
    constexpr Milliseconds retryAfter {1000};
    std::vector<Refusal> refused;
    for (std::pair<const ServiceKey, Service> &item : services_) {
        if (!item.second.queue) {
            continue;
        }
        for (const RequestId request : item.second.queue->removeAll()) {
            refused.push_back({request, reason, retryAfter});
        }
    }
    return refused;
}

void Admission::attemptEnded(
    RequestId request, AttemptOutcome outcome, Milliseconds runTime, MonotonicTime now)
{
    const auto it = running_.find(request);
    if (it == running_.end()) {
        return;
    }
    const Running &running = it->second;
    if (outcome == AttemptOutcome::Succeeded) {
        health_.recordSuccess(running.upstream);
        serviceOf(running.request.service)
            .load.history[indexOf(running.request.workClass)]
            .recordRun(runTime);
    } else if (outcome == AttemptOutcome::Failed) {
        health_.recordFailure(running.upstream, now);
    }
}

void Admission::releaseSlot(RequestId request)
{
    const auto it = running_.find(request);
    if (it == running_.end()) {
        return;
    }
    const Running &running = it->second;
    ServiceLoad &load = serviceOf(running.request.service).load;
    --load.inUse[indexOf(running.request.workClass)];
    const auto team = load.teamInUse.find(running.request.team);
    if (team != load.teamInUse.end() && --team->second == 0) {
        load.teamInUse.erase(team);
    }
    slots_.release(running.upstream);
    running_.erase(it);
}

bool Admission::takeRetry(const ServiceKey &service)
{
    return serviceOf(service).retryBudget.takeRetry();
}

std::vector<DemandLine> Admission::demand() const
{
    std::vector<DemandLine> lines;
    for (const std::pair<const ServiceKey, Service> &item : services_) {
        if (!item.second.queue) {
            continue;
        }
        const std::size_t wanted = item.second.queue->size() + item.second.load.slotsInUse();
        if (wanted > 0) {
            lines.push_back({item.first, static_cast<std::uint32_t>(wanted)});
        }
    }
    return lines;
}

std::size_t Admission::waitingCount() const
{
    std::size_t total = 0;
    for (const std::pair<const ServiceKey, Service> &item : services_) {
        total += item.second.queue ? item.second.queue->size() : 0;
    }
    return total;
}

std::size_t Admission::runningCount() const
{
    return running_.size();
}

} // namespace crocusmill
