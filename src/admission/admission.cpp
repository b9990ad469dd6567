/// Services, their queues and the choice of an upstream.

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
    const bool same = service.policy.emphasis == policy.emphasis
        && service.policy.scheduling == policy.scheduling;
    if (same) {
        return;
    }
    service.policy = policy;
    std::unique_ptr<QueuePolicy> before = std::exchange(service.queue, makeQueue(policy));
    ServiceLoad unlimited = service.load;
    unlimited.slots = ~0U;
    while (std::optional<WaitingRequest> request = before->take(unlimited, {})) {
        service.queue->putBack(*request);
    }
}

void Admission::setUpstream(const UpstreamId &upstream, const ServiceKey &key)
{
    const auto known = upstreamService_.find(upstream);
    if (known != upstreamService_.end()) {
        if (known->second == key) {
            return;
        }
        removeUpstream(upstream);
    }
    upstreamService_[upstream] = key;
    serviceOf(key).upstreams.push_back({upstream, slots_.handleOf(upstream)});
}

void Admission::removeUpstream(const UpstreamId &upstream)
{
    const auto known = upstreamService_.find(upstream);
    if (known == upstreamService_.end()) {
        return;
    }
    std::erase_if(serviceOf(known->second).upstreams,
        [&upstream](const Candidate &candidate) { return candidate.id == upstream; });
    upstreamService_.erase(known);
}

std::optional<Refusal> Admission::submit(const WaitingRequest &request, MonotonicTime now)
{
    Service &service = serviceOf(request.service);
    if (service.upstreams.empty()) {
        constexpr Milliseconds soon {1000};
        return Refusal {request.id, RefusalReason::NoUpstream, soon};
    }
    service.load.history[indexOf(request.workClass)].arrived(now);
    return service.queue->offer(request, service.load, now);
}

bool Admission::cancel(const ServiceKey &key, RequestId request)
{
    return serviceOf(key).queue->remove(request);
}

std::optional<UpstreamId> Admission::chooseRandom(const Service &service)
{
    std::vector<UpstreamId> open;
    for (const Candidate &candidate : service.upstreams) {
        if (slots_.free(candidate.slots) > 0) {
            open.push_back(candidate.id);
        }
    }
    if (open.empty()) {
        return std::nullopt;
    }
    std::uniform_int_distribution<std::size_t> pick {0, open.size() - 1};
    return open[pick(random_)];
}

std::optional<UpstreamId> Admission::choose(
    const Service &service, const WaitingRequest &request, MonotonicTime now)
{
    if (service.policy.scheduling == Scheduling::Naive) {
        return chooseRandom(service);
    }
    // Paused upstreams are used again when the rest has no slot left, so that pauses never take
    // out more than the others can carry.
    constexpr std::uint32_t mostFree = 1000;
    constexpr std::uint32_t healthy = 4000;
    constexpr std::uint32_t untried = 2000;
    const UpstreamId *best = nullptr;
    std::uint32_t bestScore = 0;
    for (const Candidate &candidate : service.upstreams) {
        const UpstreamId &upstream = candidate.id;
        std::uint32_t score = std::min(slots_.free(candidate.slots), mostFree);
        // Health is looked up by name, so only where it can decide.
        if (score == 0 || score + healthy + untried <= bestScore) {
            continue;
        }
        score += health_.usable(upstream, now) ? healthy : 0;
        score += contains(request.avoid, upstream) ? 0 : untried;
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

void Admission::begin(
    Service &service, const WaitingRequest &request, const UpstreamId &upstream, MonotonicTime now)
{
    static_cast<void>(slots_.acquire(upstream, now));
    ++service.load.inUse[indexOf(request.workClass)];
    ++service.load.teamInUse[request.team];
    if (request.avoid.empty()) {
        service.retries.firstAttempt();
    }
    running_.insert_or_assign(request.id, Running {request, upstream});
}

void Admission::decideService(Service &service, Decisions &decisions, MonotonicTime now)
{
    service.load.slots = 0;
    std::uint32_t free = 0;
    for (const Candidate &candidate : service.upstreams) {
        service.load.slots += slots_.held(candidate.slots);
        free += slots_.free(candidate.slots);
    }
    for (; free > 0 && service.queue->size() > 0; --free) {
        const std::optional<WaitingRequest> request = service.queue->take(service.load, now);
        if (!request) {
            return;
        }
        const std::optional<UpstreamId> upstream = choose(service, *request, now);
        if (!upstream) {
            service.queue->putBack(*request);
            return;
        }
        begin(service, *request, *upstream, now);
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
    for (std::pair<const ServiceKey, Service> &known : services_) {
        if (known.second.queue) {
            decideService(known.second, decisions, now);
        }
    }
    return decisions;
}

std::vector<Refusal> Admission::expire(MonotonicTime now)
{
    std::vector<Refusal> refused;
    for (std::pair<const ServiceKey, Service> &known : services_) {
        if (!known.second.queue) {
            continue;
        }
        for (const Refusal &refusal : known.second.queue->expire(now)) {
            refused.push_back(refusal);
        }
    }
    return refused;
}

std::vector<Refusal> Admission::refuseAll(RefusalReason reason)
{
    constexpr Milliseconds soon {1000};
    std::vector<Refusal> refused;
    for (std::pair<const ServiceKey, Service> &known : services_) {
        if (!known.second.queue) {
            continue;
        }
        for (const RequestId request : known.second.queue->removeAll()) {
            refused.push_back({request, reason, soon});
        }
    }
    return refused;
}

void Admission::ended(
    RequestId request, AttemptVerdict verdict, Milliseconds ran, MonotonicTime now)
{
    const auto found = running_.find(request);
    if (found == running_.end()) {
        return;
    }
    const Running &running = found->second;
    if (verdict == AttemptVerdict::Succeeded) {
        health_.succeeded(running.upstream);
        serviceOf(running.request.service)
            .load.history[indexOf(running.request.workClass)]
            .ran(ran);
    } else if (verdict == AttemptVerdict::Failed) {
        health_.failed(running.upstream, now);
    }
}

void Admission::slotFree(RequestId request)
{
    const auto found = running_.find(request);
    if (found == running_.end()) {
        return;
    }
    const Running &running = found->second;
    ServiceLoad &load = serviceOf(running.request.service).load;
    --load.inUse[indexOf(running.request.workClass)];
    const auto team = load.teamInUse.find(running.request.team);
    if (team != load.teamInUse.end() && --team->second == 0) {
        load.teamInUse.erase(team);
    }
    slots_.release(running.upstream);
    running_.erase(found);
}

bool Admission::takeRetry(const ServiceKey &service)
{
    return serviceOf(service).retries.takeRetry();
}

std::vector<DemandLine> Admission::demand() const
{
    std::vector<DemandLine> lines;
    for (const std::pair<const ServiceKey, Service> &known : services_) {
        if (!known.second.queue) {
            continue;
        }
        const std::size_t wanted = known.second.queue->size() + known.second.load.busy();
        if (wanted > 0) {
            lines.push_back({known.first, static_cast<std::uint32_t>(wanted)});
        }
    }
    return lines;
}

std::size_t Admission::waiting() const
{
    std::size_t total = 0;
    for (const std::pair<const ServiceKey, Service> &known : services_) {
        total += known.second.queue ? known.second.queue->size() : 0;
    }
    return total;
}

std::size_t Admission::running() const
{
    return running_.size();
}

} // namespace crocusmill
