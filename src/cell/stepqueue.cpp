/// Sorted chunks of steps, each with a summary of what makes one of its steps eligible.

#include <crocusmill/fleet.h>
#include <crocusmill/stepqueue.h>

#include <algorithm>
#include <iterator>
#include <limits>

namespace crocusmill
{

namespace
{

constexpr std::size_t maxChunkSize = 128;

bool fits(const TaskSize &size, const TaskSize &room)
{
    return size.milliCores <= room.milliCores && size.memory <= room.memory
        && size.accelerators <= room.accelerators;
}

bool hasWaitingTask(const GraphStep &step)
{
    return step.phases.of(TaskPhase::Waiting) > 0;
}

/// Returns whether no predecessor of the step has a waiting task.
bool arePredecessorsPlaced(const Graph &graph, const TaskRef &ref)
{
    const std::vector<std::uint32_t> &after = graph.spec.steps[ref.step].after;
    return std::none_of(after.begin(), after.end(), [&](std::uint32_t predecessor) {
        return hasWaitingTask(graph.occurrences[ref.occurrence].steps[predecessor]);
    });
}

template <typename Set> void eraseGraph(Set &steps, const GraphId &graph)
{
    auto step = steps.lower_bound(TaskRef {graph, 0, 0, 0});
    while (step != steps.end() && step->graph == graph) {
        step = steps.erase(step);
    }
}

} // namespace

bool StepQueue::isEligible(const Entry &entry, const RetryConditions &conditions)
{
    const bool canAsk = entry.isWaitingToAsk
        && (entry.ticketQueues.value() & conditions.askableQueues.value()) != 0;
    const bool hasRoom = entry.ticketQueues == TicketQueueMask {} && conditions.room.has_value()
        && fits(entry.size, *conditions.room);
    return !entry.isBlocked && (entry.needsAttempt || canAsk || hasRoom);
}

bool StepQueue::mayHaveEligibleStep(const Chunk &chunk, const RetryConditions &conditions)
{
    return chunk.needsAttempt
        || (chunk.queuesWaitingToAsk.value() & conditions.askableQueues.value()) != 0
        || (conditions.room && fits(chunk.minSize, *conditions.room));
}

void StepQueue::summarize(Chunk &chunk)
{
    constexpr std::uint32_t maxValue = std::numeric_limits<std::uint32_t>::max();
    chunk.needsAttempt = false;
    chunk.minSize = {maxValue, ByteCount {std::numeric_limits<std::uint64_t>::max()}, maxValue};
    std::uint64_t asking = 0;
    std::uint64_t usefulAsking = 0;
    for (const Entry &entry : chunk.entries) {
        if (entry.isBlocked) {
            continue;
        }
        chunk.needsAttempt = chunk.needsAttempt || entry.needsAttempt;
        const std::uint64_t askingQueues = entry.isWaitingToAsk ? entry.ticketQueues.value() : 0;
        asking |= askingQueues;
        usefulAsking |= entry.urgency.prospect == Prospect::Expired ? 0 : askingQueues;
        if (entry.ticketQueues == TicketQueueMask {}) {
            chunk.minSize = {std::min(chunk.minSize.milliCores, entry.size.milliCores),
                std::min(chunk.minSize.memory, entry.size.memory),
                std::min(chunk.minSize.accelerators, entry.size.accelerators)};
        }
    }
    chunk.queuesWaitingToAsk = TicketQueueMask {asking};
    chunk.usefulQueuesWaitingToAsk = TicketQueueMask {usefulAsking};
}

/// Returns the chunk that contains the entry or into which it must be inserted.
StepQueue::Chunks::iterator StepQueue::findChunk(const Urgency &urgency)
{
    const auto it = std::partition_point(chunks_.begin(), chunks_.end(),
        [&urgency](const Chunk &chunk) { return chunk.entries.back().urgency < urgency; });
    return it == chunks_.end() && it != chunks_.begin() ? std::prev(it) : it;
}

void StepQueue::insert(Entry entry)
{
    const TaskRef step = entry.urgency.step;
    urgencies_.emplace(step, entry.urgency);
    if (entry.prospectChangesAt) {
        prospectChanges_.emplace(*entry.prospectChangesAt, step);
    }
    if (chunks_.empty()) {
        chunks_.emplace_back().entries.push_back(std::move(entry));
        summarize(chunks_.back());
        return;
    }
    const auto chunk = findChunk(entry.urgency);
    std::vector<Entry> &entries = chunk->entries;
    const auto position = findEntry(*chunk, entry.urgency);
    entries.insert(position, std::move(entry));
    if (entries.size() > maxChunkSize) {
        Chunk rest;
        const auto middle = entries.begin() + static_cast<std::ptrdiff_t>(entries.size() / 2);
        rest.entries.assign(
            std::make_move_iterator(middle), std::make_move_iterator(entries.end()));
        entries.erase(middle, entries.end());
        summarize(rest);
        summarize(*chunk);
        chunks_.insert(std::next(chunk), std::move(rest));
    } else {
        summarize(*chunk);
    }
}

void StepQueue::erase(const TaskRef &step)
{
    const auto it = urgencies_.find(step);
    if (it == urgencies_.end()) {
        return;
    }
    const auto chunk = findChunk(it->second);
    std::vector<Entry> &entries = chunk->entries;
    const auto entry = findEntry(*chunk, it->second);
    if (entry->prospectChangesAt) {
        prospectChanges_.erase({*entry->prospectChangesAt, step});
    }
    entries.erase(entry);
    const auto nextChunk = std::next(chunk);
    const bool shouldMerge = nextChunk != chunks_.end()
        && entries.size() + nextChunk->entries.size() <= maxChunkSize / 2;
    if (shouldMerge) {
        std::move(
            nextChunk->entries.begin(), nextChunk->entries.end(), std::back_inserter(entries));
        chunks_.erase(nextChunk);
    }
    if (entries.empty()) {
        chunks_.erase(chunk);
    } else {
        summarize(*chunk);
    }
    urgencies_.erase(it);
}

std::vector<StepQueue::Entry>::iterator StepQueue::findEntry(Chunk &chunk, const Urgency &urgency)
{
    return std::partition_point(chunk.entries.begin(), chunk.entries.end(),
        [&urgency](const Entry &entry) { return entry.urgency < urgency; });
}

template <typename Change> void StepQueue::change(const TaskRef &step, Change change)
{
    const auto it = urgencies_.find(step);
    if (it == urgencies_.end()) {
        return;
    }
    const auto chunk = findChunk(it->second);
    change(*findEntry(*chunk, it->second));
    summarize(*chunk);
}

/// Returns the ready steps with waiting tasks. Records prefetch candidates and future occurrences.
std::set<TaskRef> StepQueue::collectReady(const Graph &graph, bool needsTickets, WallTime now)
{
    std::set<TaskRef> ready;
    TaskRef ref {graph.spec.id, 0, 0, 0};
    for (ref.occurrence = 0; ref.occurrence < graph.occurrences.size(); ++ref.occurrence) {
        if (!graph.isDue(ref.occurrence, now)) {
            futureOccurrences_.emplace(graph.dueAt(ref.occurrence), graph.spec.id);
            continue;
        }
        const std::vector<GraphStep> &steps = graph.occurrences[ref.occurrence].steps;
        for (ref.step = 0; ref.step < steps.size(); ++ref.step) {
            if (!hasWaitingTask(steps[ref.step])) {
                continue;
            }
            if (graph.isReady(ref.occurrence, ref.step)) {
                ready.insert(ref);
            } else if (needsTickets && arePredecessorsPlaced(graph, ref)) {
                prefetchCandidates_.insert(ref);
            }
        }
    }
    return ready;
}

void StepQueue::update(const Graph &graph, TicketQueueMask ticketQueues, WallTime now)
{
    const GraphId &id = graph.spec.id;
    eraseGraph(prefetchCandidates_, id);
    std::set<TaskRef> ready;
    if (graph.state == GraphState::Open) {
        ready = collectReady(graph, ticketQueues != TicketQueueMask {}, now);
    }
    std::vector<TaskRef> obsolete;
    for (auto it = urgencies_.lower_bound(TaskRef {id, 0, 0, 0});
         it != urgencies_.end() && it->first.graph == id; ++it) {
        if (ready.erase(it->first) == 0) {
            obsolete.push_back(it->first);
        } else {
            change(it->first, [ticketQueues](Entry &entry) {
                entry.ticketQueues = ticketQueues;
                entry.needsAttempt = true;
                entry.isBlocked = false;
            });
        }
    }
    for (const TaskRef &step : obsolete) {
        erase(step);
    }
    const Milliseconds objective = ready.empty() ? Milliseconds {0} : objectiveOf(graph.spec);
    for (const TaskRef &step : ready) {
        const ReadyStep readyStep = readyStepOf(graph, step, objective);
        Entry entry;
        entry.urgency = urgencyOf(readyStep, now);
        entry.prospectChangesAt = nextChangeOf(readyStep, now);
        entry.readyStep = readyStep;
        entry.size = reservationSize(graph.spec.steps[step.step]);
        entry.ticketQueues = ticketQueues;
        entry.needsAttempt = true;
        insert(std::move(entry));
    }
}

void StepQueue::remove(const GraphId &graph)
{
    eraseGraph(prefetchCandidates_, graph);
    std::vector<TaskRef> obsolete;
    for (auto it = urgencies_.lower_bound(TaskRef {graph, 0, 0, 0});
         it != urgencies_.end() && it->first.graph == graph; ++it) {
        obsolete.push_back(it->first);
    }
    for (const TaskRef &step : obsolete) {
        erase(step);
    }
}

std::vector<GraphId> StepQueue::advance(WallTime now)
{
    while (!prospectChanges_.empty() && prospectChanges_.begin()->first < now) {
        const TaskRef step = prospectChanges_.begin()->second;
        Entry moved;
        change(step, [&moved](const Entry &entry) { moved = entry; });
        erase(step);
        moved.urgency = urgencyOf(moved.readyStep, now);
        moved.prospectChangesAt = nextChangeOf(moved.readyStep, now);
        insert(std::move(moved));
    }
    std::vector<GraphId> dueGraphs;
    while (!futureOccurrences_.empty() && futureOccurrences_.begin()->first <= now) {
        dueGraphs.push_back(futureOccurrences_.begin()->second);
        futureOccurrences_.erase(futureOccurrences_.begin());
    }
    return dueGraphs;
}

void StepQueue::retry(const TaskRef &step)
{
    change(step, [](Entry &entry) { entry.needsAttempt = true; });
}

void StepQueue::retryIfFits(const TaskRef &step, const TaskSize &room)
{
    change(step, [&room](Entry &entry) {
        entry.needsAttempt = entry.needsAttempt || fits(entry.size, room);
    });
}

void StepQueue::retryAll()
{
    for (Chunk &chunk : chunks_) {
        for (Entry &entry : chunk.entries) {
            entry.needsAttempt = true;
            entry.isBlocked = false;
        }
        summarize(chunk);
    }
}

void StepQueue::block(const TaskRef &step)
{
    change(step, [](Entry &entry) { entry.isBlocked = true; });
}

void StepQueue::unblock(const TaskRef &step)
{
    change(step, [](Entry &entry) {
        entry.needsAttempt = entry.needsAttempt || entry.isBlocked;
        entry.isBlocked = false;
    });
}

void StepQueue::markAllWaitingToAsk()
{
    for (Chunk &chunk : chunks_) {
        for (Entry &entry : chunk.entries) {
            entry.isWaitingToAsk = entry.ticketQueues != TicketQueueMask {};
        }
        summarize(chunk);
    }
}

void StepQueue::markAttempted(const TaskRef &step)
{
    change(step, [](Entry &entry) {
        entry.needsAttempt = false;
        entry.isWaitingToAsk = false;
    });
}

void StepQueue::markWaitingToAsk(const TaskRef &step)
{
    change(step, [](Entry &entry) { entry.isWaitingToAsk = true; });
}

std::optional<Urgency> StepQueue::next(
    const std::optional<Urgency> &last, const RetryConditions &conditions) const
{
    auto chunk = chunks_.begin();
    if (last) {
        chunk = std::partition_point(chunks_.begin(), chunks_.end(),
            [&last](const Chunk &candidate) { return candidate.entries.back().urgency <= *last; });
    }
    for (; chunk != chunks_.end(); ++chunk) {
        if (!mayHaveEligibleStep(*chunk, conditions)) {
            continue;
        }
        auto entry = chunk->entries.begin();
        if (last) {
            entry = std::partition_point(entry, chunk->entries.end(),
                [&last](const Entry &candidate) { return candidate.urgency <= *last; });
        }
        entry = std::find_if(entry, chunk->entries.end(),
            [&conditions](const Entry &candidate) { return isEligible(candidate, conditions); });
        if (entry != chunk->entries.end()) {
            return entry->urgency;
        }
    }
    return std::nullopt;
}

void StepQueue::carryOver(const Urgency &from, const RetryConditions &conditions)
{
    const RetryConditions room {conditions.room, TicketQueueMask {}};
    for (auto chunk = findChunk(from); chunk != chunks_.end(); ++chunk) {
        for (Entry &entry : chunk->entries) {
            entry.needsAttempt =
                entry.needsAttempt || (entry.urgency >= from && isEligible(entry, room));
        }
        summarize(*chunk);
    }
}

std::size_t StepQueue::size() const
{
    return urgencies_.size();
}

TicketQueueMask StepQueue::queuesWaitingToAsk() const
{
    std::uint64_t asking = 0;
    for (const Chunk &chunk : chunks_) {
        asking |= chunk.usefulQueuesWaitingToAsk.value();
    }
    return TicketQueueMask {asking};
}

const std::set<TaskRef> &StepQueue::prefetchCandidates() const
{
    return prefetchCandidates_;
}

void StepQueue::removePrefetchCandidate(const TaskRef &step)
{
    prefetchCandidates_.erase(step);
}

} // namespace crocusmill
