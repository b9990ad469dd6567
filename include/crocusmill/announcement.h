/// What upstreams and workers state about themselves at each interval, and the checking of it.

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

/// Status of an attempt that the upstream was told to stop before it began; it never will.
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
    /// Attempts that run, and exclusive ones that wait for a lease.
    std::vector<AttemptId> running;
    /// Listed until a reply says that they may be forgotten.
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

/// What a worker that takes its orders by calls says of itself at each interval.
struct WorkerHeartbeat
{
    WorkerId id;
    Incarnation incarnation; // milliseconds since the epoch of its start, so that later is newer
    NodeAddress address; // where it is called
    ServiceName service;
    AvailabilityZone zone;
    RackId rack;
    std::vector<WorkerLabel> labels;
    TaskSize capacity;
    std::optional<WorkerTime> clock;
    std::uint64_t sequence = 0; // rises within an incarnation
    bool draining = false;
    Milliseconds remaining {0}; // that a draining worker stays at least
};

/// Whether `left` started after `right`.
[[nodiscard]] bool isNewer(const Incarnation &left, const Incarnation &right);

/// One attempt of a task, as it is told to its worker.
struct TaskOrder
{
    JobId job;
    std::uint32_t task = 0;
    std::uint32_t attempt = 0;
    TaskSize size;
    std::string command;
    Milliseconds lease {0};
};

[[nodiscard]] Checked<Announcement> parseAnnouncement(const UpstreamId &id, std::string_view json);
[[nodiscard]] Checked<WorkerAnnouncement> parseWorkerAnnouncement(
    const WorkerId &id, std::string_view json);
/// The job's id, environment and time are filled in by the caller.
[[nodiscard]] Checked<SubmitJob> parseJob(std::string_view json);

} // namespace crocusmill
