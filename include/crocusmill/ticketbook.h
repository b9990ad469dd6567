/// Caches which workers a step may run on, and the tickets that its starts carry.
///
/// Load pattern: ticket requests are slow. Permissions do not change, but tickets are short-lived.
/// So permissions are kept for the step, and tickets are renewed only for workers that are about to
/// be used. Pure; owned by the control thread.

#pragma once

#include <crocusmill/taskgraph.h>

#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace crocusmill
{

using Ticket = StrongValue<struct TicketTag, std::string>;

/// A worker that an answer allows for a step.
struct AllowedWorker
{
    WorkerId worker;
    Ticket ticket;
};

/// State of a worker for which tickets were requested.
struct WorkerPermission
{
    bool isAllowed = false;
    Ticket ticket;
    MonotonicTime validUntil {};
};
using WorkerPermissions = std::unordered_map<WorkerId, WorkerPermission>;

class TicketCache
{
public:
    /// Records that a request for these workers was sent.
    void recordRequest(const TaskRef &step, const std::vector<WorkerId> &workers);
    /// Records the answer to a request for `workers`. Those not in `allowed` are not allowed.
    void recordAnswer(const TaskRef &step, const std::vector<WorkerId> &workers,
        const std::vector<AllowedWorker> &allowed, MonotonicTime now, Milliseconds validity);
    /// Records that a request got no answer. Its workers may be requested again; earlier
    /// permissions stay.
    void recordFailure(const TaskRef &step, const std::vector<WorkerId> &workers);
    /// Removes the steps of a job.
    void forget(const GraphId &graph);

    /// Returns whether a request for the step has no answer yet.
    [[nodiscard]] bool hasPendingRequest(const TaskRef &step) const;
    /// Returns when the newest answer for the step came; the earliest time if there was none.
    [[nodiscard]] MonotonicTime lastAnswerAt(const TaskRef &step) const;
    /// Returns all workers requested for the step.
    [[nodiscard]] const WorkerPermissions &permissionsOf(const TaskRef &step) const;
    [[nodiscard]] bool wasAsked(const TaskRef &step, const WorkerId &worker) const;
    [[nodiscard]] bool isAllowed(const TaskRef &step, const WorkerId &worker) const;
    /// Returns the workers that may run the step, in no particular order.
    [[nodiscard]] std::vector<WorkerId> allowedWorkers(const TaskRef &step) const;
    /// Returns the workers of allowedWorkers() whose ticket is still valid at `until`.
    [[nodiscard]] std::vector<WorkerId> workersWithTicket(
        const TaskRef &step, MonotonicTime until) const;
    /// Returns the worker's ticket if it is still valid at `until`.
    [[nodiscard]] std::optional<Ticket> ticket(
        const TaskRef &step, const WorkerId &worker, MonotonicTime until) const;
    /// Returns the steps that may run on the worker.
    [[nodiscard]] const std::set<TaskRef> &stepsAllowedOn(const WorkerId &worker) const;
    /// Returns all steps in the cache.
    [[nodiscard]] std::vector<TaskRef> steps() const;

private:
    struct Step
    {
        std::uint32_t pendingRequestCount = 0;
        MonotonicTime lastAnswerAt {};
        WorkerPermissions workers;
    };

    void disallow(const TaskRef &step, const WorkerId &worker);
    [[nodiscard]] const WorkerPermission *find(const TaskRef &step, const WorkerId &worker) const;

    std::map<TaskRef, Step> steps_;
    // Invariant: the steps that are allowed on each worker; no set is empty.
    std::unordered_map<WorkerId, std::set<TaskRef>> stepsAllowedOn_;
};

} // namespace crocusmill
