/// Which workers a step may run on, and the tickets that its starts carry.
///
/// Load pattern: asking is slow and its answers do not change, but a ticket is short-lived. So what
/// was allowed is kept for the step, and only workers that are about to be used are asked about
/// again. Pure; owned by the control thread.

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

/// A worker that was asked about and is allowed.
struct AllowedWorker
{
    WorkerId worker;
    Ticket ticket;
};

/// A worker that was asked about.
struct WorkerPermission
{
    bool allowed = false;
    Ticket ticket;
    MonotonicTime validUntil {};
};
using WorkerPermissions = std::unordered_map<WorkerId, WorkerPermission>;

class TicketCache
{
public:
    /// A question about these workers is on its way.
    void recordRequest(const TaskRef &step, const std::vector<WorkerId> &workers);
    /// Its answer came; a worker that was asked about and is not named is not allowed.
    void recordAnswer(const TaskRef &step, const std::vector<WorkerId> &workers,
        const std::vector<AllowedWorker> &allowed, MonotonicTime validUntil);
    /// No answer came; the workers may be asked about again.
    void recordFailure(const TaskRef &step, const std::vector<WorkerId> &workers);
    /// The steps of a job.
    void forget(const GraphId &graph);

    /// A question about the step has no answer yet.
    [[nodiscard]] bool hasPendingRequest(const TaskRef &step) const;
    /// All that the step has asked about.
    [[nodiscard]] const WorkerPermissions &permissionsOf(const TaskRef &step) const;
    [[nodiscard]] bool wasAsked(const TaskRef &step, const WorkerId &worker) const;
    [[nodiscard]] bool isAllowed(const TaskRef &step, const WorkerId &worker) const;
    /// Workers that may run the step, in no order.
    [[nodiscard]] std::vector<WorkerId> allowedWorkers(const TaskRef &step) const;
    /// Those of them whose ticket is still good at `until`.
    [[nodiscard]] std::vector<WorkerId> workersWithTicket(
        const TaskRef &step, MonotonicTime until) const;
    /// The worker's ticket if it is still good at `until`.
    [[nodiscard]] std::optional<Ticket> ticket(
        const TaskRef &step, const WorkerId &worker, MonotonicTime until) const;
    /// Steps that may run on the worker.
    [[nodiscard]] const std::set<TaskRef> &stepsAllowedOn(const WorkerId &worker) const;
    /// Steps that something is kept for.
    [[nodiscard]] std::vector<TaskRef> steps() const;

private:
    struct Step
    {
        std::uint32_t pendingRequestCount = 0; // without an answer yet
        WorkerPermissions workers;
    };

    void disallow(const TaskRef &step, const WorkerId &worker);
    [[nodiscard]] const WorkerPermission *find(const TaskRef &step, const WorkerId &worker) const;

    std::map<TaskRef, Step> steps_;
    // Invariant: the steps that are allowed on each worker; none is empty.
    std::unordered_map<WorkerId, std::set<TaskRef>> stepsAllowedOn_;
};

} // namespace crocusmill
