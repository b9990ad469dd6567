/// Implementation of the job counts and their report.

#include "src/services/jobcensus.h"

#include "src/net/log.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace crocusmill
{

namespace
{

/// Queues named in one record; those with most jobs missing in the answer come first.
constexpr std::size_t maxNamedQueues = 8;

enum class JobProgress { NeverPlaced, Placed, WaitingAgain, Begun };

JobProgress progressOf(const Graph &graph)
{
    JobProgress progress = JobProgress::NeverPlaced;
    for (const GraphOccurrence &occurrence : graph.occurrences) {
        for (const GraphStep &step : occurrence.steps) {
            if (!step.failed.empty()) {
                return JobProgress::Begun;
            }
            for (const GraphTask &task : step.tasks) {
                const bool hasBegun = task.phase == TaskPhase::Succeeded || !task.failed.empty()
                    || !task.saved.value().empty();
                if (hasBegun) {
                    return JobProgress::Begun;
                }
                if (task.phase == TaskPhase::Placed) {
                    progress = JobProgress::Placed;
                } else if (task.run != RunNumber {} && progress == JobProgress::NeverPlaced) {
                    progress = JobProgress::WaitingAgain;
                }
            }
        }
    }
    return progress;
}

void add(JobCounts &counts, JobProgress progress, bool isWaitingLong)
{
    counts.neverPlaced += progress == JobProgress::NeverPlaced ? 1 : 0;
    counts.placed += progress == JobProgress::Placed ? 1 : 0;
    counts.waitingAgain += progress == JobProgress::WaitingAgain ? 1 : 0;
    counts.waitingLong += isWaitingLong ? 1 : 0;
}

/// What one queue's clients were told, beside what was counted.
struct AnsweredQueue
{
    QueueName name;
    std::uint64_t answered = 0;
    JobCounts counts;

    [[nodiscard]] std::uint64_t missing() const
    {
        return counts.waitingLong - std::min(counts.waitingLong, answered);
    }
};

std::string asText(const std::vector<AnsweredQueue> &queues)
{
    std::string text;
    for (std::size_t i = 0; i < std::min(queues.size(), maxNamedQueues); ++i) {
        const AnsweredQueue &queue = queues[i];
        text += (i == 0 ? "" : ", ") + queue.name.value() + " " + std::to_string(queue.answered)
            + "/" + std::to_string(queue.counts.notBegun()) + "/"
            + std::to_string(queue.counts.waitingLong);
    }
    return text;
}

} // namespace

std::uint64_t JobCounts::notBegun() const
{
    return neverPlaced + placed + waitingAgain;
}

JobCensus countJobs(const GraphRegistry &graphs, const std::set<GraphId> &begunJobs, WallTime now)
{
    JobCensus census;
    census.earlyCancels = graphs.earlyCancelCount();
    for (const GraphId &id : graphs.openGraphs()) {
        const Graph &graph = *graphs.find(id);
        JobCounts &counts = census.queues[graph.spec.queue];
        ++counts.open;
        ++census.total.open;
        if (graph.spec.recurrence.times > 0 || graph.started || begunJobs.contains(id)) {
            continue;
        }
        const JobProgress progress = progressOf(graph);
        if (progress == JobProgress::Begun) {
            continue;
        }
        // The wall clock may have stepped back since the job was accepted.
        const Milliseconds age = std::max<Milliseconds>(now - graph.acceptedAt, Milliseconds {0});
        add(counts, progress, age > longWait);
        add(census.total, progress, age > longWait);
        if (census.oldest.value().empty() || age > census.oldestAge) {
            census.oldest = id;
            census.oldestAge = age;
        }
    }
    return census;
}

void mergeRenamedQueues(JobCensus &census, const Catalog &catalog)
{
    std::map<QueueName, JobCounts> merged;
    for (const std::pair<const QueueName, JobCounts> &entry : census.queues) {
        const Queue *queue = catalog.queueOfJobs(entry.first);
        JobCounts &counts = merged[queue == nullptr ? entry.first : queue->name];
        counts.open += entry.second.open;
        counts.neverPlaced += entry.second.neverPlaced;
        counts.placed += entry.second.placed;
        counts.waitingAgain += entry.second.waitingAgain;
        counts.waitingLong += entry.second.waitingLong;
    }
    census.queues = std::move(merged);
}

JobReport::JobReport(Metrics &metrics)
    : metrics_(metrics)
{
}

void JobReport::recordAnswer(const QueueName &queue, std::uint64_t pendingJobs)
{
    answers_[queue] = pendingJobs;
}

void JobReport::report(const JobCensus &census, Term term, LogIndex applied)
{
    std::vector<AnsweredQueue> queues;
    std::uint64_t answered = 0;
    std::uint64_t missing = 0;
    for (const std::pair<const QueueName, std::uint64_t> &answer : std::exchange(answers_, {})) {
        const auto found = census.queues.find(answer.first);
        queues.push_back({answer.first, answer.second,
            found == census.queues.end() ? JobCounts {} : found->second});
        answered += answer.second;
        missing += queues.back().missing();
    }
    setGauges(census, missing);
    if (queues.empty()) {
        return;
    }
    std::stable_sort(
        queues.begin(), queues.end(), [](const AnsweredQueue &left, const AnsweredQueue &right) {
            return left.missing() > right.missing();
        });
    const JobCounts &total = census.total;
    logInfo("jobs.counted",
        {{"answered", answered}, {"missing", missing}, {"open", total.open},
            {"not_begun", total.notBegun()}, {"waiting_long", total.waitingLong},
            {"never_placed", total.neverPlaced}, {"placed", total.placed},
            {"waiting_again", total.waitingAgain}, {"oldest_job", census.oldest.value()},
            {"oldest_ms", static_cast<std::uint64_t>(census.oldestAge.count())},
            {"queues", asText(queues)}, {"queue_count", std::uint64_t {queues.size()}},
            {"term", term.value()}, {"applied", applied.value()}});
}

void JobReport::clearGauges()
{
    setGauges({}, 0);
}

void JobReport::setGauges(const JobCensus &census, std::uint64_t missing)
{
    constexpr double millisecondsPerSecond = 1000;
    metrics_.set({"jobs_open", ""}, static_cast<double>(census.total.open));
    metrics_.set({"jobs_pending", ""}, static_cast<double>(census.total.notBegun()));
    metrics_.set({"jobs_placed_not_begun", ""}, static_cast<double>(census.total.placed));
    metrics_.set({"jobs_pending_missing", ""}, static_cast<double>(missing));
    metrics_.set({"jobs_cancelled_early", ""}, static_cast<double>(census.earlyCancels));
    metrics_.set({"oldest_pending_job_seconds", ""},
        static_cast<double>(census.oldestAge.count()) / millisecondsPerSecond);
}

} // namespace crocusmill
