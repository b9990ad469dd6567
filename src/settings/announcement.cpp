/// Parsers of announcements and jobs.

#include "src/settings/jsonchecker.h"

#include <crocusmill/announcement.h>

namespace crocusmill
{

namespace
{

constexpr std::uint64_t maxSlots = 100'000;
constexpr std::uint64_t maxPort = 65'535;
constexpr std::uint64_t maxStatus = 999;
constexpr std::uint64_t maxCores = 100'000;
constexpr std::uint64_t maxMemoryBytes = 1ULL << 50U;
constexpr std::uint64_t maxAccelerators = 10'000;
constexpr std::uint64_t maxTasks = 100'000;
constexpr std::uint64_t maxUint32 = 0xffff'ffff;
constexpr std::uint32_t milliPerCore = 1000;
constexpr Milliseconds maxExpectedRun {365LL * 24 * 3600 * 1000};

NodeAddress readAddress(ObjectChecker &checker)
{
    NodeAddress address;
    address.ip = checker.requiredText("ip");
    address.port = static_cast<std::uint16_t>(checker.requiredCount("port", 1, maxPort));
    return address;
}

/// Returns the sum of the `cores` and `millicores` fields, in thousandths of a core.
std::uint32_t readMilliCores(ObjectChecker &checker)
{
    const std::uint64_t milli = checker.optionalCount("millicores", 0, maxCores * milliPerCore, 0);
    const std::uint64_t cores = checker.optionalCount("cores", 0, maxCores, 0);
    return static_cast<std::uint32_t>(cores * milliPerCore + milli);
}

TaskSize readSize(ObjectChecker &checker)
{
    TaskSize size;
    size.milliCores = readMilliCores(checker);
    size.memory = ByteCount {checker.optionalCount("memory_bytes", 0, maxMemoryBytes, 0)};
    size.accelerators =
        static_cast<std::uint32_t>(checker.optionalCount("accelerators", 0, maxAccelerators, 0));
    return size;
}

FinishedAttempt readFinishedAttempt(
    const boost::json::value &json, const std::string &pointer, Faults &faults)
{
    ObjectChecker checker {json, pointer, faults};
    FinishedAttempt finished;
    finished.attempt = AttemptId {checker.requiredText("attempt")};
    finished.status = static_cast<std::uint32_t>(checker.requiredCount("status", 0, maxStatus));
    checker.finish();
    return finished;
}

TaskReport readTaskReport(
    const boost::json::value &json, const std::string &pointer, Faults &faults)
{
    ObjectChecker checker {json, pointer, faults};
    TaskReport report;
    report.job = JobId {checker.requiredText("job")};
    report.task = static_cast<std::uint32_t>(checker.requiredCount("task", 0, maxUint32));
    report.attempt = static_cast<std::uint32_t>(checker.requiredCount("attempt", 0, maxUint32));
    report.state = checker.choice<TaskReportState>("state",
        {{"running", TaskReportState::Running}, {"succeeded", TaskReportState::Succeeded},
            {"failed", TaskReportState::Failed}},
        std::nullopt);
    checker.finish();
    return report;
}

void readUpstream(ObjectChecker &root, Announcement &announcement, Faults &faults)
{
    announcement.environment = EnvironmentName {root.requiredText("environment")};
    announcement.stage = root.choice<Stage>(
        "stage", {{"production", Stage::Production}, {"trial", Stage::Trial}}, Stage::Production);
    announcement.service = ServiceName {root.requiredText("service")};
    if (!root.has("address")) {
        root.addFault("address", FaultKind::Missing, "an object with ip and port");
    }
    root.object("address",
        [&announcement](ObjectChecker &checker) { announcement.address = readAddress(checker); });
    announcement.slots =
        SlotCount {static_cast<std::uint32_t>(root.requiredCount("slots", 0, maxSlots))};
    announcement.connections =
        static_cast<std::uint32_t>(root.optionalCount("connections", 0, maxSlots, 0));
    announcement.zone = AvailabilityZone {root.optionalText("availability_zone", {})};
    announcement.rack = RackId {root.optionalText("rack", {})};
    announcement.incarnation = Incarnation {root.requiredText("incarnation")};
    announcement.mode = root.choice<UpstreamMode>("state",
        {{"serving", UpstreamMode::Serving}, {"draining", UpstreamMode::Draining}},
        UpstreamMode::Serving);
    root.array("running", [&](const boost::json::value &json, const std::string &pointer) {
        announcement.running.emplace_back(elementText(json, pointer, faults));
    });
    root.array("finished", [&](const boost::json::value &json, const std::string &pointer) {
        announcement.finished.push_back(readFinishedAttempt(json, pointer, faults));
    });
}

} // namespace

bool isNewer(const Incarnation &left, const Incarnation &right)
{
    const std::string &one = left.value();
    const std::string &other = right.value();
    return one.size() != other.size() ? one.size() > other.size() : one > other;
}

Checked<Announcement> parseAnnouncement(const UpstreamId &id, std::string_view json)
{
    Faults faults;
    const std::optional<boost::json::value> value = parseChecked(json, faults);
    if (!value) {
        return faults;
    }
    ObjectChecker root {*value, "", faults};
    Announcement announcement;
    announcement.id = id;
    readUpstream(root, announcement, faults);
    root.finish();
    if (!faults.empty()) {
        return faults;
    }
    return announcement;
}

Checked<WorkerAnnouncement> parseWorkerAnnouncement(const WorkerId &id, std::string_view json)
{
    Faults faults;
    const std::optional<boost::json::value> value = parseChecked(json, faults);
    if (!value) {
        return faults;
    }
    ObjectChecker root {*value, "", faults};
    WorkerAnnouncement announcement;
    announcement.id = id;
    announcement.zone = AvailabilityZone {root.requiredText("availability_zone")};
    announcement.rack = RackId {root.requiredText("rack")};
    announcement.incarnation = Incarnation {root.requiredText("incarnation")};
    root.object("capacity",
        [&announcement](ObjectChecker &size) { announcement.capacity = readSize(size); });
    root.object(
        "usage", [&announcement](ObjectChecker &size) { announcement.used = readSize(size); });
    announcement.draining =
        root.choice<bool>("state", {{"serving", false}, {"draining", true}}, false);
    root.array("tasks", [&](const boost::json::value &task, const std::string &pointer) {
        announcement.tasks.push_back(readTaskReport(task, pointer, faults));
    });
    root.finish();
    if (!faults.empty()) {
        return faults;
    }
    return announcement;
}

Checked<SubmitJob> parseJob(std::string_view json)
{
    Faults faults;
    const std::optional<boost::json::value> value = parseChecked(json, faults);
    if (!value) {
        return faults;
    }
    ObjectChecker root {*value, "", faults};
    SubmitJob job;
    job.jobClass = root.choice<JobClass>("class",
        {{"service", JobClass::Service}, {"batch", JobClass::Batch}, {"gang", JobClass::Gang}},
        std::nullopt);
    job.team = TeamName {root.optionalText("team", {})};
    job.urgent = root.optionalFlag("urgent", false);
    job.tasks = static_cast<std::uint32_t>(root.optionalCount("tasks", 1, maxTasks, 1));
    root.object("size", [&job](ObjectChecker &size) { job.size = readSize(size); });
    if (!root.has("size")) {
        root.addFault("size", FaultKind::Missing, "an object");
    }
    job.expectedRun = root.optionalMilliseconds(
        "expected_run_ms", Milliseconds {0}, maxExpectedRun, Milliseconds {0});
    job.command = root.optionalText("command", {});
    root.finish();
    if (!faults.empty()) {
        return faults;
    }
    return job;
}

} // namespace crocusmill
