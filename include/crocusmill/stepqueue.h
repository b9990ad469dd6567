/// Ready steps that wait for workers, in order of urgency, and which of them to attempt to place.
///
/// Load pattern: thousands of steps wait while a few tasks end. A step without room is attempted
/// again only after a change that may help it, so the cost of a round depends on the changes and
/// not on the number of waiting steps. Pure; owned by the control thread.

#pragma once

#include <crocusmill/graphorder.h>

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

namespace crocusmill
{

/// Bit mask of queues whose steps need tickets; queues may share a bit.
using TicketQueueMask = StrongValue<struct TicketQueueMaskTag, std::uint64_t>;

/// Changes that make steps eligible for another placement attempt.
struct RetryConditions
{
    /// Upper bound of the free capacity on any worker that gained some, unset if none did. Applies
    /// to steps that need no tickets.
    std::optional<TaskSize> room;
    /// Queues whose steps can request tickets now.
    TicketQueueMask askableQueues;
};

class StepQueue
{
public:
    /// Updates the steps of a job and marks those that wait for an attempt. `ticketQueues` is the
    /// queue of the job, empty if its steps need no tickets.
    void update(const Graph &graph, TicketQueueMask ticketQueues, WallTime now);
    void remove(const GraphId &graph);
    /// Moves the steps whose prospect has changed. Returns jobs that have an occurrence which
    /// became due; the caller must update() them.
    [[nodiscard]] std::vector<GraphId> advance(WallTime now);

    /// Marks the step for an attempt.
    void retry(const TaskRef &step);
    /// Marks the step for an attempt if one of its tasks fits into `room`.
    void retryIfFits(const TaskRef &step, const TaskSize &room);
    /// Marks all steps for an attempt.
    void retryAll();
    /// Attempts the step no more until it changes, or until unblock() or retryAll().
    void block(const TaskRef &step);
    /// Marks the step for an attempt if it was blocked.
    void unblock(const TaskRef &step);
    /// Marks all steps that need tickets as waiting to request some.
    void markAllWaitingToAsk();
    /// Clears the marks of the step because it is being attempted.
    void markAttempted(const TaskRef &step);
    /// Marks the step for an attempt once its queue can request tickets.
    void markWaitingToAsk(const TaskRef &step);

    /// Returns the most urgent step after `last` that is eligible for an attempt.
    [[nodiscard]] std::optional<Urgency> next(
        const std::optional<Urgency> &last, const RetryConditions &conditions) const;
    /// Marks the steps from `from` on that `conditions.room` makes eligible, so that they are
    /// attempted in a later round whatever its conditions are.
    void carryOver(const Urgency &from, const RetryConditions &conditions);

    [[nodiscard]] std::size_t size() const;
    /// Returns how many steps go before one with this urgency.
    [[nodiscard]] std::size_t countBefore(const Urgency &urgency) const;
    /// Returns what the urgency of a step of the job follows from.
    [[nodiscard]] static ReadyStep readyStepOf(
        const Graph &graph, const TaskRef &step, Milliseconds objective);
    /// Returns the queues that have steps waiting to request tickets and not expired.
    [[nodiscard]] TicketQueueMask queuesWaitingToAsk() const;
    /// Returns steps that need tickets and may request them early, since all unfinished
    /// predecessors are placed.
    [[nodiscard]] const std::set<TaskRef> &prefetchCandidates() const;
    void removePrefetchCandidate(const TaskRef &step);

private:
    struct Entry
    {
        Urgency urgency;
        ReadyStep readyStep;
        std::optional<WallTime> prospectChangesAt;
        TaskSize size; // of one task
        TicketQueueMask ticketQueues;
        bool needsAttempt = false;
        bool isWaitingToAsk = false;
        bool isBlocked = false;
    };
    /// Entries that are adjacent in the order of urgency. The summary lets a search skip the chunk.
    struct Chunk
    {
        std::vector<Entry> entries;
        // Invariant: the union of the marks of the entries that are not blocked, and the minimum of
        // their sizes in each dimension.
        bool needsAttempt = false;
        TicketQueueMask queuesWaitingToAsk;
        TicketQueueMask usefulQueuesWaitingToAsk; // without expired entries
        TaskSize minSize; // of entries that need no tickets
    };
    using Chunks = std::vector<Chunk>;

    [[nodiscard]] static bool isEligible(const Entry &entry, const RetryConditions &conditions);
    [[nodiscard]] static bool mayHaveEligibleStep(
        const Chunk &chunk, const RetryConditions &conditions);
    static void summarize(Chunk &chunk);
    [[nodiscard]] Chunks::iterator findChunk(const Urgency &urgency);
    [[nodiscard]] static std::vector<Entry>::iterator findEntry(
        Chunk &chunk, const Urgency &urgency);
    void insert(Entry entry);
    void erase(const TaskRef &step);
    template <typename Change> void change(const TaskRef &step, Change change);
    [[nodiscard]] std::set<TaskRef> collectReady(
        const Graph &graph, bool needsTickets, WallTime now);

    // Invariant: no chunk is empty; the entries are sorted by urgency and each step occurs once.
    Chunks chunks_;
    // Invariant: the urgency of each entry.
    std::map<TaskRef, Urgency> urgencies_;
    std::set<TaskRef> prefetchCandidates_;
    std::set<std::pair<WallTime, TaskRef>> prospectChanges_; // of the entries that have one ahead
    std::set<std::pair<WallTime, GraphId>> futureOccurrences_; // by due time
};

} // namespace crocusmill
