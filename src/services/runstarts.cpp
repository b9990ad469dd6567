/// Records which jobs have begun, from the answers and lists of workers.
///
/// Only the first start of a job is recorded. Workers list what runs to a new leader, so a start
/// whose record was lost with its leader is found again.

#include "src/net/log.h"
#include "src/services/runsupervisor.h"

namespace crocusmill
{

/// Notes that a worker has begun a task of the job.
void RunSupervisor::noteStart(const GraphId &graph)
{
    const Graph *recorded = parts_.state.graphs().find(graph);
    const bool isNew = recorded != nullptr && recorded->state == GraphState::Open
        && !recorded->started && !proposedStarts_.contains(graph);
    if (isNew) {
        unproposedStarts_.insert(graph);
    }
}

/// Proposes the noted starts as one command. Those with an unknown outcome are proposed again.
void RunSupervisor::proposeStarts(MonotonicTime now)
{
    if (unproposedStarts_.empty() || isRetired_ || now < nextStartRecordAt_) {
        return;
    }
    nextStartRecordAt_ = now + parts_.times.startRecordInterval;
    NoteStarts command;
    for (const GraphId &id : std::exchange(unproposedStarts_, {})) {
        // The end of a short run may have been recorded first, which implies the start.
        const Graph *graph = parts_.state.graphs().find(id);
        if (graph != nullptr && graph->state == GraphState::Open && !graph->started) {
            command.graphs.push_back(id);
        }
    }
    if (command.graphs.empty()) {
        return;
    }
    proposedStarts_.insert(command.graphs.begin(), command.graphs.end());
    parts_.propose(command,
        [self = shared_from_this(), graphs = command.graphs](const Result<ApplyReply> &reply) {
            if (!reply) {
                logWarning("run.starts_unrecorded",
                    {{"jobs", std::uint64_t {graphs.size()}}, {"error", reply.error().message()}});
            }
            for (const GraphId &id : graphs) {
                self->proposedStarts_.erase(id);
                if (!reply) {
                    self->noteStart(id);
                }
            }
        });
}

} // namespace crocusmill
