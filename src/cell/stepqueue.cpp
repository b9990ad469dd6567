/// Steps in chunks, each with a summary of what could make one of them worth a try.

#include <crocusmill/fleet.h>
#include <crocusmill/stepqueue.h>

#include <algorithm>
#include <iterator>
#include <limits>

namespace crocusmill
{

namespace
{

constexpr std::size_t mostInChunk = 128;

bool fits(const TaskSize &size, const TaskSize &room)
{
    return size.milliCores <= room.milliCores && size.memory <= room.memory
        && size.accelerators <= room.accelerators;
}

bool waits(const GraphStep &step)
{
    return std::any_of(step.tasks.begin(), step.tasks.end(),
        [](const GraphTask &task) { return task.phase == TaskPhase::Waiting; });
}

/// All steps that this one comes after are placed or have succeeded.
bool isNext(const Graph &graph, const TaskRef &ref)
{
    const std::vector<std::uint32_t> &after = graph.spec.steps[ref.step].after;
    return std::none_of(after.begin(), after.end(), [&](std::uint32_t earlier) {
        return waits(graph.occurrences[ref.occurrence].steps[earlier]);
    });
}

template <typename Set> void eraseOf(Set &steps, const GraphId &graph)
{
    auto step = steps.lower_bound(TaskRef {graph, 0, 0, 0});
    while (step != steps.end() && step->graph == graph) {
        step = steps.erase(step);
    }
}

} // namespace

bool StepQueue::isWorthTrying(const Entry &entry, const StepChances &chances)
{
    const bool mayAsk = entry.asks && (entry.tickets.value() & chances.asking.value()) != 0;
    const bool mayFit = entry.tickets == TicketQueues {} && chances.room.has_value()
        && fits(entry.size, *chances.room);
    return entry.due || mayAsk || mayFit;
}

bool StepQueue::mayBeWorthTrying(const Chunk &chunk, const StepChances &chances)
{
    return chunk.due || (chunk.asking.value() & chances.asking.value()) != 0
        || (chances.room && fits(chunk.least, *chances.room));
}

void StepQueue::summarize(Chunk &chunk)
{
    constexpr std::uint32_t most = std::numeric_limits<std::uint32_t>::max();
    chunk.due = false;
    chunk.least = {most, ByteCount {std::numeric_limits<std::uint64_t>::max()}, most};
    std::uint64_t asking = 0;
    for (const Entry &entry : chunk.entries) {
        chunk.due = chunk.due || entry.due;
        asking |= entry.asks ? entry.tickets.value() : 0;
        if (entry.tickets == TicketQueues {}) {
            chunk.least = {std::min(chunk.least.milliCores, entry.size.milliCores),
                std::min(chunk.least.memory, entry.size.memory),
                std::min(chunk.least.accelerators, entry.size.accelerators)};
        }
    }
    chunk.asking = TicketQueues {asking};
}

/// The chunk that has it or that it belongs to.
StepQueue::Chunks::iterator StepQueue::chunkOf(const Urgency &urgency)
{
    const auto found = std::partition_point(chunks_.begin(), chunks_.end(),
        [&urgency](const Chunk &chunk) { return chunk.entries.back().urgency < urgency; });
    return found == chunks_.end() && found != chunks_.begin() ? std::prev(found) : found;
}

void StepQueue::insert(Entry entry)
{
    const TaskRef step = entry.urgency.step;
    urgencies_.emplace(step, entry.urgency);
    if (!entry.urgency.useless) {
        lastUses_.emplace(entry.lastUse, step);
    }
    if (chunks_.empty()) {
        chunks_.emplace_back().entries.push_back(std::move(entry));
        summarize(chunks_.back());
        return;
    }
    const auto chunk = chunkOf(entry.urgency);
    std::vector<Entry> &entries = chunk->entries;
    const auto place = entryOf(*chunk, entry.urgency);
    entries.insert(place, std::move(entry));
    if (entries.size() > mostInChunk) {
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
    const auto known = urgencies_.find(step);
    if (known == urgencies_.end()) {
        return;
    }
    const auto chunk = chunkOf(known->second);
    std::vector<Entry> &entries = chunk->entries;
    const auto entry = entryOf(*chunk, known->second);
    lastUses_.erase({entry->lastUse, step});
    entries.erase(entry);
    const auto behind = std::next(chunk);
    const bool joins =
        behind != chunks_.end() && entries.size() + behind->entries.size() <= mostInChunk / 2;
    if (joins) {
        std::move(behind->entries.begin(), behind->entries.end(), std::back_inserter(entries));
        chunks_.erase(behind);
    }
    if (entries.empty()) {
        chunks_.erase(chunk);
    } else {
        summarize(*chunk);
    }
    urgencies_.erase(known);
}

std::vector<StepQueue::Entry>::iterator StepQueue::entryOf(Chunk &chunk, const Urgency &urgency)
{
    return std::partition_point(chunk.entries.begin(), chunk.entries.end(),
        [&urgency](const Entry &known) { return known.urgency < urgency; });
}

template <typename Change> void StepQueue::change(const TaskRef &step, Change change)
{
    const auto known = urgencies_.find(step);
    if (known == urgencies_.end()) {
        return;
    }
    const auto chunk = chunkOf(known->second);
    change(*entryOf(*chunk, known->second));
    summarize(*chunk);
}

/// Steps that wait for workers; notes those that may ask ahead, and occurrences that come later.
std::set<TaskRef> StepQueue::readyOf(const Graph &graph, bool tickets, WallTime now)
{
    std::set<TaskRef> ready;
    TaskRef ref {graph.spec.id, 0, 0, 0};
    for (ref.occurrence = 0; ref.occurrence < graph.occurrences.size(); ++ref.occurrence) {
        if (graph.dueAt(ref.occurrence) > now) {
            dueLater_.emplace(graph.dueAt(ref.occurrence), graph.spec.id);
            continue;
        }
        const std::vector<GraphStep> &steps = graph.occurrences[ref.occurrence].steps;
        for (ref.step = 0; ref.step < steps.size(); ++ref.step) {
            if (!waits(steps[ref.step])) {
                continue;
            }
            if (graph.isReady(ref.occurrence, ref.step)) {
                ready.insert(ref);
            } else if (tickets && isNext(graph, ref)) {
                ahead_.insert(ref);
            }
        }
    }
    return ready;
}

void StepQueue::update(const Graph &graph, TicketQueues tickets, WallTime now)
{
    const GraphId &id = graph.spec.id;
    eraseOf(ahead_, id);
    std::set<TaskRef> ready;
    if (graph.state == GraphState::Open) {
        ready = readyOf(graph, tickets != TicketQueues {}, now);
    }
    std::vector<TaskRef> over;
    for (auto known = urgencies_.lower_bound(TaskRef {id, 0, 0, 0});
         known != urgencies_.end() && known->first.graph == id; ++known) {
        if (ready.erase(known->first) == 0) {
            over.push_back(known->first);
        } else {
            change(known->first, [tickets](Entry &entry) {
                entry.tickets = tickets;
                entry.due = true;
            });
        }
    }
    for (const TaskRef &step : over) {
        erase(step);
    }
    const Milliseconds objective = ready.empty() ? Milliseconds {0} : objectiveOf(graph.spec);
    for (const TaskRef &step : ready) {
        const ReadyStep known {step, graph.spec.priority, graph.dueAt(step.occurrence), objective};
        Entry entry;
        entry.urgency = urgencyOf(known, now);
        entry.size = countedSize(graph.spec.steps[step.step]);
        entry.tickets = tickets;
        entry.due = true;
        entry.lastUse = lastUseOf(known);
        insert(std::move(entry));
    }
}

void StepQueue::remove(const GraphId &graph)
{
    eraseOf(ahead_, graph);
    std::vector<TaskRef> over;
    for (auto known = urgencies_.lower_bound(TaskRef {graph, 0, 0, 0});
         known != urgencies_.end() && known->first.graph == graph; ++known) {
        over.push_back(known->first);
    }
    for (const TaskRef &step : over) {
        erase(step);
    }
}

std::vector<GraphId> StepQueue::advance(WallTime now)
{
    while (!lastUses_.empty() && lastUses_.begin()->first < now) {
        const TaskRef step = lastUses_.begin()->second;
        Entry moved;
        change(step, [&moved](const Entry &entry) { moved = entry; });
        erase(step);
        moved.urgency.useless = true;
        insert(std::move(moved));
    }
    std::vector<GraphId> due;
    while (!dueLater_.empty() && dueLater_.begin()->first <= now) {
        due.push_back(dueLater_.begin()->second);
        dueLater_.erase(dueLater_.begin());
    }
    return due;
}

void StepQueue::retry(const TaskRef &step)
{
    change(step, [](Entry &entry) { entry.due = true; });
}

void StepQueue::retryWithin(const TaskRef &step, const TaskSize &room)
{
    change(step, [&room](Entry &entry) { entry.due = entry.due || fits(entry.size, room); });
}

void StepQueue::askAgain()
{
    for (Chunk &chunk : chunks_) {
        for (Entry &entry : chunk.entries) {
            entry.asks = entry.tickets != TicketQueues {};
        }
        summarize(chunk);
    }
}

void StepQueue::tried(const TaskRef &step)
{
    change(step, [](Entry &entry) {
        entry.due = false;
        entry.asks = false;
    });
}

void StepQueue::asks(const TaskRef &step)
{
    change(step, [](Entry &entry) { entry.asks = true; });
}

std::optional<Urgency> StepQueue::next(
    const std::optional<Urgency> &last, const StepChances &chances) const
{
    auto chunk = chunks_.begin();
    if (last) {
        chunk = std::partition_point(chunks_.begin(), chunks_.end(),
            [&last](const Chunk &known) { return known.entries.back().urgency <= *last; });
    }
    for (; chunk != chunks_.end(); ++chunk) {
        if (!mayBeWorthTrying(*chunk, chances)) {
            continue;
        }
        auto entry = chunk->entries.begin();
        if (last) {
            entry = std::partition_point(entry, chunk->entries.end(),
                [&last](const Entry &known) { return known.urgency <= *last; });
        }
        entry = std::find_if(entry, chunk->entries.end(),
            [&chances](const Entry &known) { return isWorthTrying(known, chances); });
        if (entry != chunk->entries.end()) {
            return entry->urgency;
        }
    }
    return std::nullopt;
}

void StepQueue::carryOver(const Urgency &from, const StepChances &chances)
{
    const StepChances room {chances.room, TicketQueues {}};
    for (auto chunk = chunkOf(from); chunk != chunks_.end(); ++chunk) {
        for (Entry &entry : chunk->entries) {
            entry.due = entry.due || (entry.urgency >= from && isWorthTrying(entry, room));
        }
        summarize(*chunk);
    }
}

std::size_t StepQueue::size() const
{
    return urgencies_.size();
}

TicketQueues StepQueue::asking() const
{
    std::uint64_t asking = 0;
    for (const Chunk &chunk : chunks_) {
        asking |= chunk.asking.value();
    }
    return TicketQueues {asking};
}

const std::set<TaskRef> &StepQueue::ahead() const
{
    return ahead_;
}

void StepQueue::askedAhead(const TaskRef &step)
{
    ahead_.erase(step);
}

} // namespace crocusmill
