/// Place of a step in the order of the ready steps.

#include <crocusmill/stepqueue.h>

#include <algorithm>

namespace crocusmill
{

ReadyStep StepQueue::readyStepOf(const Graph &graph, const TaskRef &step, Milliseconds objective)
{
    return {step, graph.spec.priority, graph.dueAt(step.occurrence), objective,
        remainingTimeOf(graph.spec, step.step), graph.spec.isBeyondShare};
}

std::size_t StepQueue::countBefore(const Urgency &urgency) const
{
    std::size_t count = 0;
    for (const Chunk &chunk : chunks_) {
        if (urgency <= chunk.entries.back().urgency) {
            const auto end = std::partition_point(chunk.entries.begin(), chunk.entries.end(),
                [&urgency](const Entry &entry) { return entry.urgency < urgency; });
            return count + static_cast<std::size_t>(end - chunk.entries.begin());
        }
        count += chunk.entries.size();
    }
    return count;
}

} // namespace crocusmill
