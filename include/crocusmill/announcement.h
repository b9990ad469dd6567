/// Announcements and heartbeats that upstreams and workers send at each interval, and their
/// parsers.

#pragma once

#include <crocusmill/commands.h>
#include <crocusmill/consensus.h>
#include <crocusmill/document.h>
#include <crocusmill/slots.h>
#include <crocusmill/workerclock.h>

#include <optional>
#include <string_view>
#include <vector>

namespace crocusmill
{

/// Status of an attempt that was stopped before it began. The attempt never runs.
inline constexpr std::uint32_t refusedStatus = 0;

struct FinishedAttempt
{
    AttemptId attempt;
    std::uint32_t status = refusedStatus;
};

enum class UpstreamMode { Serving, Draining };

struct Announcement
{
    UpstreamId id;
    EnvironmentName environment;
    Stage stage = Stage::Production;
    ServiceName service;
    NodeAddress address;
    SlotCount slots;
    std::uint32_t connections = 0;
    AvailabilityZone zone;
    RackId rack;
    Incarnation incarnation;
    UpstreamMode mode = UpstreamMode::Serving;
    /// Running attempts, and exclusive attempts that wait for a lease.
    std::vector<AttemptId> running;
    /// Each attempt stays listed until a reply names it in `forget`.
    std::vector<FinishedAttempt> finished;
};

struct AttemptLease
{
    AttemptId attempt;
    Milliseconds lease {0};
};

enum class TaskReportState { Running, Succeeded, Failed };

struct TaskReport
{
    JobId job;
    std::uint32_t task = 0;
    std::uint32_t attempt = 0;
    TaskReportState state = TaskReportState::Running;
};

struct WorkerAnnouncement
{
    WorkerId id;
    AvailabilityZone zone;
    RackId rack;
    Incarnation incarnation;
    TaskSize capacity;
    TaskSize used; // as observed, with a lag
    bool draining = false;
    std::vector<TaskReport> tasks;
};

/// Heartbeat of a worker that receives its orders by calls to its own address.
struct WorkerHeartbeat
{
    WorkerId id;
    Incarnation
        incarnation; // start time in milliseconds since the epoch, so a larger value is newer
    NodeAddress address; // receives the calls
    ServiceName service;
    AvailabilityZone zone;
    RackId rack;
    std::vector<WorkerLabel> labels;
    TaskSize capacity;
    std::optional<WorkerTime> clock;
    std::uint64_t sequence = 0; // increases within an incarnation
    bool draining = false;
    Milliseconds remaining {0}; // minimum time that a draining worker stays
};

/// Returns whether the process of `left` started after that of `right`.
[[nodiscard]] bool isNewer(const Incarnation &left, const Incarnation &right);

/// Order to a worker for one attempt of a task.
struct TaskOrder
{
    JobId job;
    std::uint32_t task = 0;
    std::uint32_t attempt = 0;
    TaskSize size;
    std::string command;
    Milliseconds lease {0};
};

/// Parses the body of an upstream's announcement, or returns all its faults.
[[nodiscard]] Checked<Announcement> parseAnnouncement(const UpstreamId &id, std::string_view json);
/// Parses the body of a worker's announcement, or returns all its faults.
[[nodiscard]] Checked<WorkerAnnouncement> parseWorkerAnnouncement(
    const WorkerId &id, std::string_view json);
/// Parses a job. The caller sets the job's id, environment and time.
[[nodiscard]] Checked<SubmitJob> parseJob(std::string_view json);

} // namespace crocusmill
