/// What an operator asks about the placement of a job, and the answer.
///
/// The answer describes the moment of the question. Nothing is sent, reserved or recorded for it.

#pragma once

#include <crocusmill/customer.h>
#include <crocusmill/document.h>
#include <crocusmill/fleet.h>
#include <crocusmill/graphorder.h>

#include <array>
#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace crocusmill
{

/// A question about a recorded job, or about a request that was not sent.
struct PlacementQuestion
{
    GraphId job; // empty: the members below describe a request
    std::string host;
    std::string path;
    CustomerName customer; // whose key the request would carry; empty: none
    GraphSpec spec; // only with what the client states
};

/// Parses a question: {"id": ID} or {"host", "path", "customer", "job"}. Returns all its faults.
[[nodiscard]] Checked<PlacementQuestion> parsePlacementQuestion(std::string_view json);
/// Returns the text that parsePlacementQuestion() reads as a question about a recorded job.
[[nodiscard]] std::string placementQuestionAbout(const GraphId &job);

/// Why a request would not be accepted.
enum class RequestRefusal {
    None,
    NoCatalog,
    NoQueue,
    UnknownCustomer,
    InvalidId,
    CancelledEarly, // its cancel came before its submission
    TooManyOpenTasks,
    BeyondShare, // of its customer, while the workers are full
};

/// Why tasks of a ready step are not placed. Of several reasons that rule out a worker, the first
/// counts.
enum class PlacementReason {
    None,
    OtherService,
    NotOpen,
    Label,
    TooSmall, // even when idle
    NoRoom,
    PerWorkerLimit,
    NoTicket, // yet, or it is too short
    Headroom, // the free cores are kept for more urgent queues
    CustomerLimit,
};
inline constexpr std::size_t placementReasonCount = 10;

/// Numbers of workers, by PlacementReason; None: could take a task now.
using WorkerCounts = std::array<std::size_t, placementReasonCount>;

struct StepReport
{
    TaskRef step; // `task` is unused
    Prospect prospect = Prospect::InTime;
    std::size_t position = 0; // in the order of the ready steps, starting at 1
    std::size_t waitingTasks = 0;
    std::size_t startableTasks = 0; // that would be placed now if this step were the next
    PlacementReason reason = PlacementReason::None; // why the others are not
    WorkerId firstWorker; // empty if none would be chosen
    WorkerCounts workers {};
    bool keepsRoom = false; // it holds room on workers, which counts as taken
};

/// Placement of the steps of one job.
struct JobPlacement
{
    std::vector<StepReport> steps;
    std::size_t unreadySteps = 0; // that wait for other steps or for the due time
    std::size_t omittedSteps = 0; // that are ready too, but not in `steps`
    /// Set if the limit holds back a step.
    std::optional<Customer> limitedCustomer;
    ResourceAmount customerUsage; // of limitedCustomer
};

struct PlacementReport
{
    GraphId job;
    QueueName queue;
    ServiceName service;
    CustomerName customer;
    bool isRecorded = false; // the job is known already
    bool needsTickets = false;
    GraphState state = GraphState::Open;
    RequestRefusal refusal = RequestRefusal::None;
    Milliseconds retryAfter {0}; // at least; only with BeyondShare
    JobPlacement placement;
};

[[nodiscard]] std::string_view text(RequestRefusal refusal);
[[nodiscard]] std::string_view text(PlacementReason reason);
[[nodiscard]] std::string_view text(Prospect prospect);
/// Returns the report as a JSON object.
[[nodiscard]] std::string encodeReport(const PlacementReport &report);

} // namespace crocusmill
