/// Parser of questions about placements.

#include "src/settings/jsonchecker.h"

#include <crocusmill/placementreport.h>

#include <algorithm>

namespace crocusmill
{

namespace
{

// The same limits as for jobs that are submitted.
constexpr std::size_t maxSteps = 256;
constexpr std::uint64_t maxTasksPerStep = 10'000;
constexpr std::uint64_t maxTasksPerJob = 50'000;
constexpr std::uint64_t maxMemoryBytes = 1ULL << 50U;
constexpr std::uint64_t maxUint32 = 0xffff'ffff;
constexpr Milliseconds maxExpectedRun {365LL * 24 * 3600 * 1000};
constexpr std::string_view predecessorRange = "numbers of earlier steps, each once";

void readPredecessor(const boost::json::value &json, const std::string &pointer,
    std::size_t stepNumber, StepSpec &step, Faults &faults)
{
    boost::system::error_code error;
    const std::uint64_t number = json.to_number<std::uint64_t>(error);
    if (error || json.is_double()) {
        faults.push_back({pointer, FaultKind::WrongType, std::string {predecessorRange}});
        return;
    }
    const bool isRepeated =
        std::find(step.after.begin(), step.after.end(), number) != step.after.end();
    if (number >= stepNumber || isRepeated) {
        const FaultKind kind = isRepeated ? FaultKind::Duplicate : FaultKind::OutOfRange;
        faults.push_back({pointer, kind, std::string {predecessorRange}});
        return;
    }
    step.after.push_back(static_cast<std::uint32_t>(number));
}

StepSpec readStep(const boost::json::value &json, const std::string &pointer,
    std::size_t stepNumber, Faults &faults)
{
    ObjectChecker checker {json, pointer, faults};
    StepSpec step;
    step.tasks = static_cast<std::uint32_t>(checker.optionalCount("tasks", 1, maxTasksPerStep, 1));
    step.size.milliCores =
        static_cast<std::uint32_t>(checker.optionalCount("milli_cores", 0, maxUint32, 0));
    step.size.memory = ByteCount {checker.optionalCount("memory_bytes", 0, maxMemoryBytes, 0)};
    step.size.accelerators =
        static_cast<std::uint32_t>(checker.optionalCount("accelerators", 0, maxUint32, 0));
    step.estimate = checker.optionalMilliseconds(
        "expected_run_ms", Milliseconds {0}, maxExpectedRun, Milliseconds {0});
    step.gang = checker.optionalFlag("gang", false);
    step.label = WorkerLabel {checker.optionalText("label", {})};
    step.mostPerWorker =
        static_cast<std::uint32_t>(checker.optionalCount("most_per_worker", 0, maxUint32, 0));
    checker.array("after", [&](const boost::json::value &number, const std::string &at) {
        readPredecessor(number, at, stepNumber, step, faults);
    });
    checker.finish();
    return step;
}

void readJob(ObjectChecker &job, GraphSpec &spec, Faults &faults)
{
    std::size_t stepCount = 0;
    job.array("steps", [&](const boost::json::value &json, const std::string &pointer) {
        if (stepCount++ < maxSteps) {
            spec.steps.push_back(readStep(json, pointer, spec.steps.size(), faults));
        }
    });
    if (stepCount > maxSteps) {
        job.addFault("steps", FaultKind::OutOfRange, "at most 256 steps");
    }
    if (spec.steps.empty()) {
        const FaultKind kind = job.has("steps") ? FaultKind::OutOfRange : FaultKind::Missing;
        job.addFault("steps", kind, "an array with at least one step");
    }
    if (taskCountOf(spec) > maxTasksPerJob) {
        job.addFault("steps", FaultKind::OutOfRange, "at most 50000 tasks in all");
    }
}

} // namespace

Checked<PlacementQuestion> parsePlacementQuestion(std::string_view json)
{
    Faults faults;
    const std::optional<boost::json::value> value = parseChecked(json, faults);
    if (!value) {
        return faults;
    }
    ObjectChecker root {*value, {}, faults};
    PlacementQuestion question;
    if (root.has("id")) {
        question.job = GraphId {root.requiredText("id")};
    } else {
        question.host = root.requiredText("host");
        question.path = root.requiredText("path");
        question.customer = CustomerName {root.optionalText("customer", {})};
        if (!root.has("job")) {
            root.addFault("job", FaultKind::Missing, "an object with steps");
        }
        root.object("job", [&](ObjectChecker &job) { readJob(job, question.spec, faults); });
    }
    root.finish();
    if (!faults.empty()) {
        return faults;
    }
    return question;
}

std::string placementQuestionAbout(const GraphId &job)
{
    return boost::json::serialize(boost::json::object {{"id", job.value()}});
}

} // namespace crocusmill
