/// Tickets by step and worker.

#include <crocusmill/ticketbook.h>

#include <utility>

namespace crocusmill
{

void TicketBook::asked(const TaskRef &step, const std::vector<WorkerId> &workers)
{
    Step &known = steps_[step];
    ++known.questions;
    for (const WorkerId &worker : workers) {
        known.workers.try_emplace(worker);
    }
}

void TicketBook::answered(const TaskRef &step, const std::vector<WorkerId> &workers,
    const std::vector<AllowedWorker> &allowed, MonotonicTime validUntil)
{
    const auto found = steps_.find(step);
    if (found == steps_.end()) {
        return; // the step was forgotten meanwhile
    }
    --found->second.questions;
    for (const WorkerId &worker : workers) {
        AskedWorker &entry = found->second.workers[worker];
        if (std::exchange(entry.allowed, false)) {
            disallow(step, worker);
        }
    }
    for (const AllowedWorker &known : allowed) {
        found->second.workers[known.worker] = {true, known.ticket, validUntil};
        allowedOn_[known.worker].insert(step);
    }
}

void TicketBook::disallow(const TaskRef &step, const WorkerId &worker)
{
    const auto found = allowedOn_.find(worker);
    found->second.erase(step);
    if (found->second.empty()) {
        allowedOn_.erase(found);
    }
}

std::vector<WorkerId> TicketBook::allowed(const TaskRef &step) const
{
    return withTicket(step, MonotonicTime::min());
}

std::vector<WorkerId> TicketBook::withTicket(const TaskRef &step, MonotonicTime until) const
{
    std::vector<WorkerId> workers;
    const auto found = steps_.find(step);
    if (found == steps_.end()) {
        return workers;
    }
    for (const std::pair<const WorkerId, AskedWorker> &known : found->second.workers) {
        if (known.second.allowed && known.second.validUntil >= until) {
            workers.push_back(known.first);
        }
    }
    return workers;
}

void TicketBook::unanswered(const TaskRef &step, const std::vector<WorkerId> &workers)
{
    const auto found = steps_.find(step);
    if (found == steps_.end()) {
        return;
    }
    --found->second.questions;
    for (const WorkerId &worker : workers) {
        const auto entry = found->second.workers.find(worker);
        if (entry != found->second.workers.end() && !entry->second.allowed) {
            found->second.workers.erase(entry);
        }
    }
}

void TicketBook::forget(const GraphId &graph)
{
    auto step = steps_.lower_bound(TaskRef {graph, 0, 0, 0});
    while (step != steps_.end() && step->first.graph == graph) {
        for (const std::pair<const WorkerId, AskedWorker> &known : step->second.workers) {
            if (known.second.allowed) {
                disallow(step->first, known.first);
            }
        }
        step = steps_.erase(step);
    }
}

bool TicketBook::isAsking(const TaskRef &step) const
{
    const auto found = steps_.find(step);
    return found != steps_.end() && found->second.questions > 0;
}

const AskedWorker *TicketBook::find(const TaskRef &step, const WorkerId &worker) const
{
    const auto found = steps_.find(step);
    if (found == steps_.end()) {
        return nullptr;
    }
    const auto entry = found->second.workers.find(worker);
    return entry == found->second.workers.end() ? nullptr : &entry->second;
}

const AskedWorkers &TicketBook::askedFor(const TaskRef &step) const
{
    static const AskedWorkers none;
    const auto found = steps_.find(step);
    return found == steps_.end() ? none : found->second.workers;
}

bool TicketBook::wasAsked(const TaskRef &step, const WorkerId &worker) const
{
    return find(step, worker) != nullptr;
}

bool TicketBook::isAllowed(const TaskRef &step, const WorkerId &worker) const
{
    const AskedWorker *entry = find(step, worker);
    return entry != nullptr && entry->allowed;
}

std::optional<Ticket> TicketBook::ticket(
    const TaskRef &step, const WorkerId &worker, MonotonicTime until) const
{
    const AskedWorker *entry = find(step, worker);
    if (entry == nullptr || !entry->allowed || entry->validUntil < until) {
        return std::nullopt;
    }
    return entry->ticket;
}

const std::set<TaskRef> &TicketBook::allowedOn(const WorkerId &worker) const
{
    static const std::set<TaskRef> none;
    const auto found = allowedOn_.find(worker);
    return found == allowedOn_.end() ? none : found->second;
}

std::vector<TaskRef> TicketBook::steps() const
{
    std::vector<TaskRef> refs;
    refs.reserve(steps_.size());
    for (const std::pair<const TaskRef, Step> &known : steps_) {
        refs.push_back(known.first);
    }
    return refs;
}

} // namespace crocusmill
