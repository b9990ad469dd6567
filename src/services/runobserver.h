/// Learns from the runs that the supervisor sees which workers are slow and which kinds of tasks
/// slow each other down, and ranks workers by it.
///
/// Only steps with an image are observed: with it a client states that their tasks behave alike,
/// and observing all runs took a tenth of the leader's processor time at 900 starts per second.
///
/// A run is measured from the confirmation of its start to the list that shows that it succeeded.
/// Not measured are runs whose time depends on something else: those adopted from an earlier
/// leader, of services, of gangs (members wait for each other), of steps that fill idle cores or
/// whose time depends on the rack, and runs that go on from a checkpoint. They count as companions
/// of others.

#pragma once

#include "src/net/loglimiter.h"

#include <crocusmill/graphorder.h>
#include <crocusmill/interference.h>
#include <crocusmill/workerranking.h>
#include <crocusmill/workerspeeds.h>

#include <map>
#include <memory>
#include <set>

namespace crocusmill
{

class RunObserver
{
public:
    RunObserver();

    /// A run of the task takes up room on the worker from now on.
    void onReserved(const RunPlacement &placement, const StepSpec &spec, const QueueName &queue);
    /// The worker has answered the start of the run.
    void onStarted(const TaskRef &task, MonotonicTime now);
    /// The worker has listed the run as running. Does nothing if its start was confirmed before.
    void onListed(const TaskRef &task, MonotonicTime now);
    /// The worker has listed the end of the run. Does nothing if it did so before.
    void onEnded(const TaskRef &task, RunEnd end, MonotonicTime now);
    /// The run takes up no room any more.
    void onReleased(const TaskRef &task, MonotonicTime now);
    /// Another process runs under the id of the worker: drops what was seen of the earlier one.
    /// `runs` are the runs that take up room on the worker.
    void onWorkerReplaced(const WorkerId &worker, const std::set<TaskRef> &runs);
    /// Discards what is outdated, and logs what changed.
    void tick(MonotonicTime now);

    /// Returns the order of workers for the step; null if nothing is known that concerns it. Must
    /// not outlive the observer. Steps in time, and gangs, prefer workers that are not slow, other
    /// steps the slow ones. Workers with interfering tasks come after all others.
    [[nodiscard]] std::unique_ptr<WorkerRanking> rankingFor(
        const StepSpec &spec, const QueueName &queue, std::uint32_t step, Prospect prospect) const;
    [[nodiscard]] const WorkerSpeeds &speeds() const;
    [[nodiscard]] std::size_t interferingPairCount() const;

private:
    class Ranking;

    /// How long runs of a kind have been running on a worker.
    struct KindPresence
    {
        std::uint32_t reserved = 0; // runs that take up room
        std::uint32_t running = 0;
        MonotonicTime countedUntil {};
        // Invariant: up to `countedUntil`, with at least one and at least two runs at a time.
        Microseconds anyTime {0};
        Microseconds severalTime {0};
    };

    struct ObservedRun
    {
        WorkerId worker;
        StepKind kind;
        Milliseconds estimate {0};
        bool isMeasurable = false;
        bool isRunning = false;
        bool hasEnded = false;
        MonotonicTime startedAt {};
        std::map<StepKind, Microseconds> presenceAtStart; // for its own kind `severalTime`
    };

    using Presences = std::map<StepKind, KindPresence>;

    void begin(ObservedRun &run, MonotonicTime now);
    void finish(ObservedRun &run, MonotonicTime now);
    static void countUntil(KindPresence &presence, MonotonicTime now);
    void measure(const TaskRef &task, const ObservedRun &run, MonotonicTime now);
    void logChanges(MonotonicTime now);

    WorkerSpeeds speeds_;
    Interference interference_;
    // Invariant: the runs that take up room on a worker.
    std::map<TaskRef, ObservedRun> runs_;
    // Invariant: contains each kind of which a run takes up room on the worker.
    std::map<WorkerId, Presences> presences_;
    LogLimiter pairRecords_; // by pair
    LogLimiter speedRecords_; // by worker
    MonotonicTime nextExpiryAt_ {};
};

} // namespace crocusmill
