/// Ready steps that wait for workers, the most urgent first, and which of them are worth a try.
///
/// Load pattern: thousands of steps wait while a few tasks end. A step that found no room is tried
/// again only when something has come that may help it, so a round costs what has changed and not
/// what waits. Pure; owned by the control thread.

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

/// A set of queues whose steps need tickets; some queues may share an element.
using TicketQueueMask = StrongValue<struct TicketQueueMaskTag, std::uint64_t>;

/// What may help steps that are not due for a try themselves.
struct RetryConditions
{
    /// At most this was gained on one worker, for steps that need no tickets; none: nothing.
    std::optional<TaskSize> room;
    /// Questions of these queues can be put.
    TicketQueueMask askableQueues;
};

class StepQueue
{
public:
    /// Takes in how a job is now; its steps that wait are due for a try. `tickets`: its queue, none
    /// where its steps need no tickets.
    void update(const Graph &graph, TicketQueueMask ticketQueues, WallTime now);
    void remove(const GraphId &graph);
    /// Moves steps that are of no use any more to the end. Returns jobs of which an occurrence has
    /// become due; they are to be updated.
    [[nodiscard]] std::vector<GraphId> advance(WallTime now);

    /// Something came that only this step waited for.
    void retry(const TaskRef &step);
    /// The same, if a task of it fits in there.
    void retryIfFits(const TaskRef &step, const TaskSize &room);
    /// Steps that need tickets may ask for some again.
    void markAllWaitingToAsk();
    /// The step is tried now.
    void markAttempted(const TaskRef &step);
    /// It goes on as soon as it can put a question.
    void markWaitingToAsk(const TaskRef &step);

    /// The most urgent step behind `last` that is worth a try.
    [[nodiscard]] std::optional<Urgency> next(
        const std::optional<Urgency> &last, const RetryConditions &conditions) const;
    /// Steps from `from` on are tried another time, whatever becomes of the chances.
    void carryOver(const Urgency &from, const RetryConditions &conditions);

    [[nodiscard]] std::size_t size() const;
    /// Queues with steps that go on as soon as they can put a question.
    [[nodiscard]] TicketQueueMask queuesWaitingToAsk() const;
    /// Steps that wait for the end of others which are all placed, so that they may ask ahead.
    [[nodiscard]] const std::set<TaskRef> &prefetchCandidates() const;
    void removePrefetchCandidate(const TaskRef &step);

private:
    struct Entry
    {
        Urgency urgency;
        WallTime expiry;
        TaskSize size; // of one task
        TicketQueueMask ticketQueues;
        bool needsAttempt = false;
        bool isWaitingToAsk = false;
    };
    /// Neighbours in the order of urgency, so that most are passed over together.
    struct Chunk
    {
        std::vector<Entry> entries;
        // Invariant: these hold for some entry, or at least for every entry.
        bool needsAttempt = false;
        TicketQueueMask queuesWaitingToAsk;
        TaskSize minSize; // of steps that need no tickets
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

    // Invariant: no chunk is empty; all entries are in the order of urgency, each step once.
    Chunks chunks_;
    // Invariant: every entry's urgency.
    std::map<TaskRef, Urgency> urgencies_;
    std::set<TaskRef> prefetchCandidates_;
    std::set<std::pair<WallTime, TaskRef>> expiries_; // of entries that are of use still
    std::set<std::pair<WallTime, GraphId>> futureOccurrences_; // occurrences
};

} // namespace crocusmill
