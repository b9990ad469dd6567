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
using TicketQueues = StrongValue<struct TicketQueuesTag, std::uint64_t>;

/// What may help steps that are not due for a try themselves.
struct StepChances
{
    /// At most this was gained on one worker, for steps that need no tickets; none: nothing.
    std::optional<TaskSize> room;
    /// Questions of these queues can be put.
    TicketQueues asking;
};

class StepQueue
{
public:
    /// Takes in how a job is now; its steps that wait are due for a try. `tickets`: its queue, none
    /// where its steps need no tickets.
    void update(const Graph &graph, TicketQueues tickets, WallTime now);
    void remove(const GraphId &graph);
    /// Moves steps that are of no use any more to the end. Returns jobs of which an occurrence has
    /// become due; they are to be updated.
    [[nodiscard]] std::vector<GraphId> advance(WallTime now);

    /// Something came that only this step waited for.
    void retry(const TaskRef &step);
    /// The same, if a task of it fits in there.
    void retryWithin(const TaskRef &step, const TaskSize &room);
    /// Steps that need tickets may ask for some again.
    void askAgain();
    /// The step is tried now.
    void tried(const TaskRef &step);
    /// It goes on as soon as it can put a question.
    void asks(const TaskRef &step);

    /// The most urgent step behind `last` that is worth a try.
    [[nodiscard]] std::optional<Urgency> next(
        const std::optional<Urgency> &last, const StepChances &chances) const;
    /// Steps from `from` on are tried another time, whatever becomes of the chances.
    void carryOver(const Urgency &from, const StepChances &chances);

    [[nodiscard]] std::size_t size() const;
    /// Queues with steps that go on as soon as they can put a question.
    [[nodiscard]] TicketQueues asking() const;
    /// Steps that wait for the end of others which are all placed, so that they may ask ahead.
    [[nodiscard]] const std::set<TaskRef> &ahead() const;
    void askedAhead(const TaskRef &step);

private:
    struct Entry
    {
        Urgency urgency;
        WallTime lastUse;
        TaskSize size; // of one task
        TicketQueues tickets;
        bool due = false;
        bool asks = false;
    };
    /// Neighbours in the order of urgency, so that most are passed over together.
    struct Chunk
    {
        std::vector<Entry> entries;
        // Invariant: these hold for some entry, or at least for every entry.
        bool due = false;
        TicketQueues asking;
        TaskSize least; // of steps that need no tickets
    };
    using Chunks = std::vector<Chunk>;

    [[nodiscard]] static bool isWorthTrying(const Entry &entry, const StepChances &chances);
    [[nodiscard]] static bool mayBeWorthTrying(const Chunk &chunk, const StepChances &chances);
    static void summarize(Chunk &chunk);
    [[nodiscard]] Chunks::iterator chunkOf(const Urgency &urgency);
    [[nodiscard]] static std::vector<Entry>::iterator entryOf(Chunk &chunk, const Urgency &urgency);
    void insert(Entry entry);
    void erase(const TaskRef &step);
    template <typename Change> void change(const TaskRef &step, Change change);
    [[nodiscard]] std::set<TaskRef> readyOf(const Graph &graph, bool tickets, WallTime now);

    // Invariant: no chunk is empty; all entries are in the order of urgency, each step once.
    Chunks chunks_;
    // Invariant: every entry's urgency.
    std::map<TaskRef, Urgency> urgencies_;
    std::set<TaskRef> ahead_;
    std::set<std::pair<WallTime, TaskRef>> lastUses_; // of entries that are of use still
    std::set<std::pair<WallTime, GraphId>> dueLater_; // occurrences
};

} // namespace crocusmill
