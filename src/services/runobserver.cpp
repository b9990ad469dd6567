/// Measures runs and what ran beside them.

#include "src/services/runobserver.h"

#include "src/net/log.h"

#include <algorithm>

namespace crocusmill
{

namespace
{

constexpr Milliseconds recordInterval {10'000}; // between log records about one pair or worker
constexpr Milliseconds expiryInterval {5'000};
/// Kinds without a run on a worker are forgotten above this number of kinds on it.
constexpr std::size_t maxPresences = 64;
/// Starts and ends are seen some milliseconds late, so shorter runs cannot be measured.
constexpr Milliseconds minMeasuredTime {100};

Microseconds asMicroseconds(MonotonicTime::duration duration)
{
    return std::chrono::duration_cast<Microseconds>(duration);
}

} // namespace

/// Ranks workers by their class of speed, and those with interfering tasks after all others.
class RunObserver::Ranking : public WorkerRanking
{
public:
    Ranking(const RunObserver &observer, std::set<StepKind> interfering, bool prefersSlow)
        : observer_(observer)
        , interfering_(std::move(interfering))
        , prefersSlow_(prefersSlow)
    {
    }

    std::uint32_t rankOf(const WorkerId &worker) const override
    {
        const bool isOfOtherClass = observer_.speeds_.likelySlowCount() > 0
            && observer_.speeds_.isLikelySlow(worker) != prefersSlow_;
        return (interferesOn(worker) ? 2 : 0) + (isOfOtherClass ? 1 : 0);
    }

private:
    [[nodiscard]] bool interferesOn(const WorkerId &worker) const
    {
        const auto found = observer_.presences_.find(worker);
        if (interfering_.empty() || found == observer_.presences_.end()) {
            return false;
        }
        const Presences &presences = found->second;
        return std::any_of(
            interfering_.begin(), interfering_.end(), [&presences](const StepKind &kind) {
                const auto presence = presences.find(kind);
                return presence != presences.end() && presence->second.reserved > 0;
            });
    }

    const RunObserver &observer_;
    const std::set<StepKind> interfering_;
    const bool prefersSlow_;
};

RunObserver::RunObserver()
    : pairRecords_(recordInterval)
    , speedRecords_(recordInterval)
{
}

void RunObserver::onReserved(
    const RunPlacement &placement, const StepSpec &spec, const QueueName &queue)
{
    onReleased(placement.task, {}); // of an earlier run, if any
    if (spec.image.value().empty()) {
        return;
    }
    ObservedRun run;
    run.worker = placement.worker;
    run.kind = kindOf(spec, queue, placement.task.step);
    run.estimate = spec.estimate;
    const bool mayResume = spec.checkpoints && placement.run > RunNumber {1};
    run.isMeasurable = spec.estimate > Milliseconds {0} && !spec.lasting && !spec.gang
        && !spec.fills && !spec.oneRack && spec.dataRack.value().empty() && !mayResume;
    ++presences_[run.worker][run.kind].reserved;
    runs_.emplace(placement.task, std::move(run));
}

void RunObserver::onStarted(const TaskRef &task, MonotonicTime now)
{
    const auto it = runs_.find(task);
    if (it != runs_.end() && !it->second.isRunning && !it->second.hasEnded) {
        begin(it->second, now);
    }
}

void RunObserver::onListed(const TaskRef &task, MonotonicTime now)
{
    const auto it = runs_.find(task);
    if (it != runs_.end() && !it->second.isRunning && !it->second.hasEnded) {
        it->second.isMeasurable = false; // it began at an unknown time before
        begin(it->second, now);
    }
}

void RunObserver::onEnded(const TaskRef &task, RunEnd end, MonotonicTime now)
{
    const auto it = runs_.find(task);
    if (it == runs_.end() || it->second.hasEnded) {
        return;
    }
    ObservedRun &run = it->second;
    const bool wasRunning = run.isRunning;
    finish(run, now);
    run.hasEnded = true;
    if (wasRunning && run.isMeasurable && end == RunEnd::Succeeded) {
        measure(task, run, now);
    }
}

void RunObserver::onReleased(const TaskRef &task, MonotonicTime now)
{
    const auto it = runs_.find(task);
    if (it == runs_.end()) {
        return;
    }
    finish(it->second, now);
    const auto presences = presences_.find(it->second.worker);
    --presences->second.at(it->second.kind).reserved;
    const bool isIdle = std::all_of(presences->second.begin(), presences->second.end(),
        [](const std::pair<const StepKind, KindPresence> &entry) {
            return entry.second.reserved == 0;
        });
    if (isIdle) {
        presences_.erase(presences);
    } else if (presences->second.size() > maxPresences) {
        std::erase_if(presences->second, [](const std::pair<const StepKind, KindPresence> &entry) {
            return entry.second.reserved == 0;
        });
    }
    runs_.erase(it);
}

void RunObserver::onWorkerReplaced(const WorkerId &worker, const std::set<TaskRef> &runs)
{
    speeds_.forget(worker);
    for (const TaskRef &task : runs) {
        const auto it = runs_.find(task);
        if (it != runs_.end() && it->second.isRunning) {
            finish(it->second, it->second.startedAt);
            it->second.isMeasurable = false;
        }
    }
}

void RunObserver::begin(ObservedRun &run, MonotonicTime now)
{
    run.isRunning = true;
    run.startedAt = now;
    Presences &presences = presences_.at(run.worker);
    for (std::pair<const StepKind, KindPresence> &entry : presences) {
        countUntil(entry.second, now);
        run.presenceAtStart[entry.first] =
            entry.first == run.kind ? entry.second.severalTime : entry.second.anyTime;
    }
    ++presences.at(run.kind).running;
}

void RunObserver::finish(ObservedRun &run, MonotonicTime now)
{
    if (run.isRunning) {
        KindPresence &presence = presences_.at(run.worker).at(run.kind);
        countUntil(presence, now);
        --presence.running;
        run.isRunning = false;
    }
}

void RunObserver::countUntil(KindPresence &presence, MonotonicTime now)
{
    if (now <= presence.countedUntil) {
        return;
    }
    const Microseconds passed = asMicroseconds(now - presence.countedUntil);
    presence.anyTime += presence.running > 0 ? passed : Microseconds {0};
    presence.severalTime += presence.running > 1 ? passed : Microseconds {0};
    presence.countedUntil = now;
}

void RunObserver::measure(const TaskRef &task, const ObservedRun &run, MonotonicTime now)
{
    const Microseconds took = asMicroseconds(now - run.startedAt);
    if (took < minMeasuredTime) {
        return;
    }
    MeasuredRun measured {run.kind, task.graph, run.worker,
        static_cast<double>(took.count())
            / static_cast<double>(Microseconds {run.estimate}.count()),
        {}};
    for (std::pair<const StepKind, KindPresence> &entry : presences_.at(run.worker)) {
        countUntil(entry.second, now);
        const Microseconds total =
            entry.first == run.kind ? entry.second.severalTime : entry.second.anyTime;
        const auto atStart = run.presenceAtStart.find(entry.first);
        const Microseconds shared =
            total - (atStart == run.presenceAtStart.end() ? Microseconds {0} : atStart->second);
        if (shared > Microseconds {0}) {
            measured.companions[entry.first] =
                static_cast<double>(shared.count()) / static_cast<double>(took.count());
        }
    }
    const double speed = speeds_.isSlow(run.worker) ? speeds_.speedOf(run.worker) : 1;
    const std::set<StepKind> interfering = interference_.kindsInterferingWith(run.kind);
    const bool isDisturbed = std::any_of(interfering.begin(), interfering.end(),
        [&measured](const StepKind &kind) { return measured.companions.contains(kind); });
    if (!isDisturbed) {
        speeds_.record(measured, now);
    }
    measured.relativeTime *= speed;
    interference_.record(measured, now);
}

void RunObserver::tick(MonotonicTime now)
{
    if (now >= nextExpiryAt_) {
        nextExpiryAt_ = now + expiryInterval;
        interference_.expire(now);
        speeds_.expire(now);
    }
    logChanges(now);
}

void RunObserver::logChanges(MonotonicTime now)
{
    constexpr double percent = 100;
    for (const WorkerSpeedChange &change : speeds_.takeChanges()) {
        const std::optional<std::uint64_t> leftOut =
            speedRecords_.admit(change.worker.value(), now);
        if (leftOut) {
            logInfo("worker.speed",
                {{"worker", change.worker.value()}, {"slow", change.isSlow},
                    {"speed_percent", static_cast<std::uint64_t>(change.speed * percent)},
                    {"left_out", *leftOut}});
        }
    }
    for (const InterferenceChange &change : interference_.takeChanges()) {
        const std::string pair = change.slowed.value() + " " + change.companion.value();
        const std::optional<std::uint64_t> leftOut = pairRecords_.admit(pair, now);
        if (leftOut) {
            logInfo("tasks.interfere",
                {{"slowed", change.slowed.value()}, {"beside", change.companion.value()},
                    {"time_percent", static_cast<std::uint64_t>(change.ratio * percent)},
                    {"found", change.isFound}, {"left_out", *leftOut}});
        }
    }
}

std::unique_ptr<WorkerRanking> RunObserver::rankingFor(
    const StepSpec &spec, const QueueName &queue, std::uint32_t step, Prospect prospect) const
{
    if (spec.image.value().empty()) {
        return nullptr;
    }
    std::set<StepKind> interfering;
    if (interference_.pairCount() > 0) {
        interfering = interference_.kindsInterferingWith(kindOf(spec, queue, step));
    }
    if (interfering.empty() && speeds_.likelySlowCount() == 0) {
        return nullptr;
    }
    // The slowest member decides about a gang, so a mix of workers is as slow as the slow ones.
    const bool prefersSlow = prospect != Prospect::InTime && !spec.gang;
    return std::make_unique<Ranking>(*this, std::move(interfering), prefersSlow);
}

const WorkerSpeeds &RunObserver::speeds() const
{
    return speeds_;
}

std::size_t RunObserver::interferingPairCount() const
{
    return interference_.pairCount();
}

} // namespace crocusmill
