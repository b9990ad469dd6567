/// JSON of placement reports.

#include <crocusmill/placementreport.h>

#include <boost/json.hpp>

namespace crocusmill
{

namespace
{

std::string_view text(GraphState state)
{
    switch (state) {
    case GraphState::Open:
        return "open";
    case GraphState::Succeeded:
        return "succeeded";
    case GraphState::Failed:
        return "failed";
    case GraphState::Cancelled:
        return "cancelled";
    }
    return "unknown";
}

boost::json::object encodeStep(const StepReport &step)
{
    return {{"occurrence", step.step.occurrence}, {"step", step.step.step},
        {"prospect", text(step.prospect)}, {"position", step.position},
        {"waiting", step.waitingTasks}, {"startable", step.startableTasks},
        {"reason", text(step.reason)}, {"first_worker", step.firstWorker.value()},
        {"keeps_room", step.keepsRoom}};
}

boost::json::object encodeWorkers(const StepReport &step)
{
    boost::json::object workers {{"occurrence", step.step.occurrence}, {"step", step.step.step}};
    for (std::size_t i = 0; i <= static_cast<std::size_t>(PlacementReason::NoTicket); ++i) {
        const PlacementReason reason = static_cast<PlacementReason>(i);
        workers[reason == PlacementReason::None ? "can_take" : text(reason)] = step.workers[i];
    }
    return workers;
}

boost::json::array encodeLimits(const Customer &customer, const ResourceAmount &used)
{
    boost::json::array limits;
    const auto add = [&limits](std::string_view resource, std::uint64_t limit, std::uint64_t use) {
        if (limit > 0) {
            limits.push_back(
                boost::json::object {{"resource", resource}, {"limit", limit}, {"used", use}});
        }
    };
    add("milli_cores", customer.limit.milliCores, used.milliCores);
    add("memory_bytes", customer.limit.memory.value(), used.memory.value());
    add("accelerators", customer.limit.accelerators, used.accelerators);
    return limits;
}

} // namespace

std::string_view text(RequestRefusal refusal)
{
    switch (refusal) {
    case RequestRefusal::None:
        return "none";
    case RequestRefusal::NoCatalog:
        return "no_catalog";
    case RequestRefusal::NoQueue:
        return "no_queue";
    case RequestRefusal::UnknownCustomer:
        return "unknown_customer";
    case RequestRefusal::InvalidId:
        return "invalid_id";
    case RequestRefusal::CancelledEarly:
        return "cancelled_early";
    case RequestRefusal::TooManyOpenTasks:
        return "too_many_open_tasks";
    case RequestRefusal::BeyondShare:
        return "beyond_share";
    }
    return "unknown";
}

std::string_view text(PlacementReason reason)
{
    switch (reason) {
    case PlacementReason::None:
        return "none";
    case PlacementReason::OtherService:
        return "other_service";
    case PlacementReason::NotOpen:
        return "not_open";
    case PlacementReason::Label:
        return "label";
    case PlacementReason::TooSmall:
        return "too_small";
    case PlacementReason::NoRoom:
        return "no_room";
    case PlacementReason::PerWorkerLimit:
        return "per_worker_limit";
    case PlacementReason::NoTicket:
        return "no_ticket";
    case PlacementReason::Headroom:
        return "headroom";
    case PlacementReason::CustomerLimit:
        return "customer_limit";
    }
    return "unknown";
}

std::string_view text(Prospect prospect)
{
    switch (prospect) {
    case Prospect::InTime:
        return "in_time";
    case Prospect::Late:
        return "late";
    case Prospect::Surplus:
        return "surplus";
    case Prospect::Expired:
        return "expired";
    }
    return "unknown";
}

std::string encodeReport(const PlacementReport &report)
{
    boost::json::object body {{"job", report.job.value()}, {"recorded", report.isRecorded},
        {"accepted", report.refusal == RequestRefusal::None}, {"refusal", text(report.refusal)}};
    if (report.refusal == RequestRefusal::BeyondShare) {
        body["retry_ms"] = report.retryAfter.count();
    }
    body["queue"] = report.queue.value();
    body["service"] = report.service.value();
    body["customer"] = report.customer.value();
    body["needs_tickets"] = report.needsTickets;
    if (report.refusal == RequestRefusal::None) {
        body["state"] = text(report.state);
        body["unready_steps"] = report.placement.unreadySteps;
        body["omitted_steps"] = report.placement.omittedSteps;
        boost::json::array steps;
        boost::json::array workers;
        for (const StepReport &step : report.placement.steps) {
            steps.push_back(encodeStep(step));
            workers.push_back(encodeWorkers(step));
        }
        body["steps"] = std::move(steps);
        body["workers"] = std::move(workers);
    }
    if (report.placement.limitedCustomer) {
        body["customer_limit"] =
            encodeLimits(*report.placement.limitedCustomer, report.placement.customerUsage);
    }
    return boost::json::serialize(body);
}

} // namespace crocusmill
