/// Permissions and tickets by step and worker.

#include <crocusmill/ticketbook.h>

#include <utility>

namespace crocusmill
{

void TicketCache::recordRequest(const TaskRef &step, const std::vector<WorkerId> &workers)
{
    Step &entry = steps_[step];
    ++entry.pendingRequestCount;
    for (const WorkerId &worker : workers) {
        entry.workers.try_emplace(worker);
    }
}

void TicketCache::recordAnswer(const TaskRef &step, const std::vector<WorkerId> &workers,
    const std::vector<AllowedWorker> &allowed, MonotonicTime now, Milliseconds validity)
{
    const auto it = steps_.find(step);
    if (it == steps_.end()) {
        return; // forget() removed the step meanwhile
    }
    --it->second.pendingRequestCount;
    it->second.lastAnswerAt = now;
    for (const WorkerId &worker : workers) {
        WorkerPermission &entry = it->second.workers[worker];
        if (std::exchange(entry.isAllowed, false)) {
            disallow(step, worker);
        }
    }
    for (const AllowedWorker &worker : allowed) {
        it->second.workers[worker.worker] = {true, worker.ticket, now + validity};
        stepsAllowedOn_[worker.worker].insert(step);
    }
}

void TicketCache::disallow(const TaskRef &step, const WorkerId &worker)
{
    const auto it = stepsAllowedOn_.find(worker);
    it->second.erase(step);
    if (it->second.empty()) {
        stepsAllowedOn_.erase(it);
    }
}

std::vector<WorkerId> TicketCache::allowedWorkers(const TaskRef &step) const
{
    return workersWithTicket(step, MonotonicTime::min());
}

std::vector<WorkerId> TicketCache::workersWithTicket(const TaskRef &step, MonotonicTime until) const
{
    std::vector<WorkerId> workers;
    const auto it = steps_.find(step);
    if (it == steps_.end()) {
        return workers;
    }
    for (const std::pair<const WorkerId, WorkerPermission> &item : it->second.workers) {
        if (item.second.isAllowed && item.second.validUntil >= until) {
            workers.push_back(item.first);
        }
    }
    return workers;
}

void TicketCache::recordFailure(const TaskRef &step, const std::vector<WorkerId> &workers)
{
    const auto it = steps_.find(step);
    if (it == steps_.end()) {
        return;
    }
    --it->second.pendingRequestCount;
    for (const WorkerId &worker : workers) {
        const auto entry = it->second.workers.find(worker);
        if (entry != it->second.workers.end() && !entry->second.isAllowed) {
            it->second.workers.erase(entry);
        }
    }
}

void TicketCache::forget(const GraphId &graph)
{
    auto step = steps_.lower_bound(TaskRef {graph, 0, 0, 0});
    while (step != steps_.end() && step->first.graph == graph) {
        for (const std::pair<const WorkerId, WorkerPermission> &item : step->second.workers) {
            if (item.second.isAllowed) {
                disallow(step->first, item.first);
            }
        }
        step = steps_.erase(step);
    }
}

bool TicketCache::hasPendingRequest(const TaskRef &step) const
{
    const auto it = steps_.find(step);
    return it != steps_.end() && it->second.pendingRequestCount > 0;
}

MonotonicTime TicketCache::lastAnswerAt(const TaskRef &step) const
{
    const auto it = steps_.find(step);
    return it == steps_.end() ? MonotonicTime {} : it->second.lastAnswerAt;
}

const WorkerPermission *TicketCache::find(const TaskRef &step, const WorkerId &worker) const
{
    const auto it = steps_.find(step);
    if (it == steps_.end()) {
        return nullptr;
    }
    const auto entry = it->second.workers.find(worker);
    return entry == it->second.workers.end() ? nullptr : &entry->second;
}

const WorkerPermissions &TicketCache::permissionsOf(const TaskRef &step) const
{
    static const WorkerPermissions none;
    const auto it = steps_.find(step);
    return it == steps_.end() ? none : it->second.workers;
}

bool TicketCache::wasAsked(const TaskRef &step, const WorkerId &worker) const
{
    return find(step, worker) != nullptr;
}

bool TicketCache::isAllowed(const TaskRef &step, const WorkerId &worker) const
{
    const WorkerPermission *entry = find(step, worker);
    return entry != nullptr && entry->isAllowed;
}

std::optional<Ticket> TicketCache::ticket(
    const TaskRef &step, const WorkerId &worker, MonotonicTime until) const
{
    const WorkerPermission *entry = find(step, worker);
    if (entry == nullptr || !entry->isAllowed || entry->validUntil < until) {
        return std::nullopt;
    }
    return entry->ticket;
}

const std::set<TaskRef> &TicketCache::stepsAllowedOn(const WorkerId &worker) const
{
    static const std::set<TaskRef> none;
    const auto it = stepsAllowedOn_.find(worker);
    return it == stepsAllowedOn_.end() ? none : it->second;
}

std::vector<TaskRef> TicketCache::steps() const
{
    std::vector<TaskRef> refs;
    refs.reserve(steps_.size());
    for (const std::pair<const TaskRef, Step> &item : steps_) {
        refs.push_back(item.first);
    }
    return refs;
}

} // namespace crocusmill
