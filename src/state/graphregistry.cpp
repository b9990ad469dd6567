/// State transitions of graph jobs.

#include <crocusmill/graphregistry.h>

#include <algorithm>

namespace crocusmill
{

namespace
{

GraphOccurrence makeOccurrence(const GraphSpec &spec)
{
    GraphOccurrence occurrence;
    for (const StepSpec &step : spec.steps) {
        occurrence.steps.emplace_back().tasks.resize(step.tasks);
    }
    return occurrence;
}

/// Returns whether the end proves that a worker had begun the run.
bool provesStart(RunEnd end)
{
    return end == RunEnd::Succeeded || end == RunEnd::Failed || end == RunEnd::Stopped;
}

} // namespace

bool GraphRegistry::submit(const SubmitGraph &command)
{
    if (graphs_.contains(command.spec.id)) {
        return false;
    }
    Graph graph;
    graph.spec = command.spec;
    graph.acceptedAt = command.at;
    const std::uint32_t times = std::max(command.spec.recurrence.times, 1U);
    graph.occurrences.resize(times, makeOccurrence(command.spec));
    graph.countPhases();
    graphs_.emplace(command.spec.id, CopyOnWrite<Graph> {std::move(graph)});
    openGraphs_.insert(command.spec.id);
    openTaskCount_ += taskCountOf(command.spec);
    waitingGraphs_.insert(command.spec.id);
    unstartedGraphs_[command.spec.queue].insert(command.spec.id);
    ++graphCounts_[command.spec.queue];
    recordChange(command.spec.id);
    return true;
}

GraphTask *GraphRegistry::findMutableTask(Graph &graph, const TaskRef &ref)
{
    return graph.find(ref) == nullptr
        ? nullptr
        : &graph.occurrences[ref.occurrence].steps[ref.step].tasks[ref.task];
}

bool GraphRegistry::isPlaceable(const Graph &graph, const RunPlacement &placement)
{
    const GraphTask *task = graph.find(placement.task);
    return graph.state == GraphState::Open && task != nullptr && task->phase == TaskPhase::Waiting
        && placement.run > task->run
        && graph.isReady(placement.task.occurrence, placement.task.step);
}

/// Returns the placements that may be recorded: those of a gang only if they hold all of its tasks
/// under one run number.
std::vector<const RunPlacement *> GraphRegistry::placeableRuns(
    const std::vector<RunPlacement> &placements) const
{
    using GangRun = std::pair<TaskRef, RunNumber>; // first task of the step, and its run
    const auto gangRunOf = [](const RunPlacement &placement) {
        GangRun gangRun {placement.task, placement.run};
        gangRun.first.task = 0;
        return gangRun;
    };
    std::vector<const RunPlacement *> placeable;
    std::map<GangRun, std::set<std::uint32_t>> members;
    for (const RunPlacement &placement : placements) {
        const Graph *graph = find(placement.task.graph);
        if (graph == nullptr || !isPlaceable(*graph, placement)) {
            continue;
        }
        placeable.push_back(&placement);
        if (graph->spec.steps[placement.task.step].gang) {
            members[gangRunOf(placement)].insert(placement.task.task);
        }
    }
    std::erase_if(placeable, [&](const RunPlacement *placement) {
        const StepSpec &step = find(placement->task.graph)->spec.steps[placement->task.step];
        return step.gang && members.at(gangRunOf(*placement)).size() < step.tasks;
    });
    return placeable;
}

void GraphRegistry::place(const PlaceRuns &command)
{
    const std::vector<const RunPlacement *> accepted = placeableRuns(command.placements);
    for (const RunPlacement *placement : accepted) {
        Graph &graph = graphs_.at(placement->task.graph).edit();
        GraphTask &task = *findMutableTask(graph, placement->task);
        graph.setPhase(placement->task, TaskPhase::Placed);
        task.run = placement->run;
        task.worker = placement->worker;
        task.incarnation = placement->incarnation;
    }
    std::set<GraphId> changedGraphs;
    for (const RunPlacement *placement : accepted) {
        changedGraphs.insert(placement->task.graph);
    }
    for (const GraphId &id : changedGraphs) {
        updateIndices(*find(id));
    }
}

void GraphRegistry::noteStarts(const NoteStarts &command)
{
    for (const GraphId &id : command.graphs) {
        const auto it = graphs_.find(id);
        if (it != graphs_.end() && !it->second->started) {
            markStarted(it->second.edit());
        }
    }
}

/// A placement alone is no start: its order may be refused, revoked or never sent.
void GraphRegistry::markStarted(Graph &graph)
{
    graph.started = true;
    removeUnstarted(graph);
}

void GraphRegistry::removeUnstarted(const Graph &graph)
{
    const auto queue = unstartedGraphs_.find(graph.spec.queue);
    if (queue == unstartedGraphs_.end()) {
        return;
    }
    queue->second.erase(graph.spec.id);
    if (queue->second.empty()) {
        unstartedGraphs_.erase(queue);
    }
}

void GraphRegistry::recordFailure(Graph &graph, const EndedRun &ended)
{
    const StepSpec &spec = graph.spec.steps[ended.task.step];
    if (spec.lasting) {
        return;
    }
    GraphStep &step = graph.occurrences[ended.task.occurrence].steps[ended.task.step];
    std::vector<RunNumber> &failed = spec.gang ? step.failed : step.tasks[ended.task.task].failed;
    if (std::find(failed.begin(), failed.end(), ended.run) == failed.end()) {
        failed.push_back(ended.run);
    }
    if (failed.size() >= graph.spec.attempts && graph.state == GraphState::Open) {
        graph.state = GraphState::Failed;
    }
}

void GraphRegistry::endRun(Graph &graph, const EndedRun &ended)
{
    GraphTask *task = findMutableTask(graph, ended.task);
    if (task == nullptr || task->phase == TaskPhase::Succeeded) {
        return;
    }
    if (ended.end == RunEnd::Failed) {
        recordFailure(graph, ended); // also an older run that was recorded as lost
    }
    const StepSpec &spec = graph.spec.steps[ended.task.step];
    if (ended.end == RunEnd::Succeeded && !spec.lasting && ended.run <= task->run) {
        recordSuccess(graph, ended);
        return;
    }
    const bool current = task->run == ended.run
        && (task->phase == TaskPhase::Placed || task->phase == TaskPhase::Waiting);
    if (!current) {
        return;
    }
    if (!ended.saved.value().empty()) {
        task->saved = ended.saved;
    }
    graph.setPhase(
        ended.task, graph.state == GraphState::Open ? TaskPhase::Waiting : TaskPhase::GivenUp);
}

/// Records a success, also of an older run that was recorded as lost: the newer run is then not
/// needed. The members of a gang succeed together.
void GraphRegistry::recordSuccess(Graph &graph, const EndedRun &ended)
{
    const bool gang = graph.spec.steps[ended.task.step].gang;
    const std::uint32_t taskCount = graph.spec.steps[ended.task.step].tasks;
    TaskRef ref = ended.task;
    ref.task = gang ? 0 : ended.task.task;
    const std::uint32_t last = gang ? taskCount - 1 : ended.task.task;
    for (; ref.task <= last; ++ref.task) {
        GraphTask &task = *findMutableTask(graph, ref);
        const bool open = task.phase == TaskPhase::Placed || task.phase == TaskPhase::Waiting;
        if (open && ended.run <= task.run) {
            graph.setPhase(ref, TaskPhase::Succeeded);
            task.run = ended.run;
        }
    }
}

/// Closes an open graph that has failed or whose tasks have all succeeded.
void GraphRegistry::closeIfDecided(Graph &graph, WallTime at)
{
    if (!openGraphs_.contains(graph.spec.id)) {
        return;
    }
    if (graph.state == GraphState::Failed) {
        close(graph, GraphState::Failed, at);
        return;
    }
    if (graph.phases.isOnly(TaskPhase::Succeeded)) {
        close(graph, GraphState::Succeeded, at);
    }
}

void GraphRegistry::close(Graph &graph, GraphState state, WallTime at)
{
    graph.state = state;
    graph.endedAt = at;
    openGraphs_.erase(graph.spec.id);
    openTaskCount_ -= taskCountOf(graph.spec);
    waitingGraphs_.erase(graph.spec.id);
    removeUnstarted(graph);
    endedGraphs_.push_back(graph.spec.id);
    for (GraphOccurrence &occurrence : graph.occurrences) {
        for (GraphStep &step : occurrence.steps) {
            for (GraphTask &task : step.tasks) {
                task.phase = task.phase == TaskPhase::Waiting ? TaskPhase::GivenUp : task.phase;
            }
        }
    }
    graph.countPhases();
}

void GraphRegistry::recordChange(const GraphId &id)
{
    revision_ = GraphRevision {revision_.value() + 1};
    const auto [entry, isNew] = revisionByGraph_.try_emplace(id, revision_);
    if (!isNew) {
        graphByRevision_.erase(entry->second);
        entry->second = revision_;
    }
    graphByRevision_.emplace(revision_, id);
}

void GraphRegistry::updateIndices(const Graph &graph)
{
    recordChange(graph.spec.id);
    if (graph.state == GraphState::Open && graph.phases.of(TaskPhase::Waiting) > 0) {
        waitingGraphs_.insert(graph.spec.id);
    } else {
        waitingGraphs_.erase(graph.spec.id);
    }
}

void GraphRegistry::end(const EndRuns &command)
{
    for (const EndedRun &ended : command.ended) {
        const auto it = graphs_.find(ended.task.graph);
        if (it != graphs_.end()) {
            Graph &graph = it->second.edit();
            if (!graph.started && provesStart(ended.end) && graph.find(ended.task) != nullptr) {
                markStarted(graph);
            }
            endRun(graph, ended);
            closeIfDecided(graph, command.at);
            updateIndices(graph);
        }
    }
}

bool GraphRegistry::cancel(const CancelGraph &command)
{
    const auto it = graphs_.find(command.graph);
    if (it == graphs_.end()) {
        recordEarlyCancel(command);
        return false;
    }
    if (it->second->state == GraphState::Open) {
        close(it->second.edit(), GraphState::Cancelled, command.at);
        recordChange(command.graph);
    }
    return true;
}

void GraphRegistry::recordEarlyCancel(const CancelGraph &command)
{
    Graph graph;
    graph.spec.id = command.graph;
    graph.state = GraphState::Cancelled;
    graph.acceptedAt = command.at;
    graph.endedAt = command.at;
    ++graphCounts_[graph.spec.queue];
    graphs_.emplace(command.graph, CopyOnWrite<Graph> {std::move(graph)});
    endedGraphs_.push_back(command.graph);
    ++earlyCancelCount_;
    recordChange(command.graph);
}

void GraphRegistry::forget(WallTime before)
{
    while (canRemoveOldestEnded() && find(endedGraphs_.front())->endedAt < before) {
        removeOldestEnded();
    }
}

void GraphRegistry::forgetUpTo(const GraphId &last, WallTime endedAt)
{
    const auto isLast = [this, &last, endedAt]() {
        const Graph *graph = find(last);
        return graph != nullptr && graph->state != GraphState::Open && graph->endedAt == endedAt;
    };
    while (isLast() && canRemoveOldestEnded()) {
        removeOldestEnded();
    }
}

const Graph *GraphRegistry::newestEnded() const
{
    return endedGraphs_.empty() ? nullptr : find(endedGraphs_.back());
}

bool GraphRegistry::canRemoveOldestEnded() const
{
    return !endedGraphs_.empty() && find(endedGraphs_.front())->phases.of(TaskPhase::Placed) == 0;
}

void GraphRegistry::removeOldestEnded()
{
    const auto entry = revisionByGraph_.find(endedGraphs_.front());
    graphByRevision_.erase(entry->second);
    revisionByGraph_.erase(entry);
    const auto graph = graphs_.find(endedGraphs_.front());
    const auto count = graphCounts_.find(graph->second->spec.queue);
    if (--count->second == 0) {
        graphCounts_.erase(count);
    }
    earlyCancelCount_ -= graph->second->isSubmitted() ? 0 : 1;
    graphs_.erase(graph);
    endedGraphs_.pop_front();
}

void GraphRegistry::renameQueue(const QueueName &from, const QueueName &to)
{
    for (std::pair<const GraphId, CopyOnWrite<Graph>> &entry : graphs_) {
        if (entry.second->spec.queue == from) {
            entry.second.edit().spec.queue = to;
        }
    }
    if (auto unstarted = unstartedGraphs_.extract(from)) {
        unstarted.key() = to;
        unstartedGraphs_.insert(std::move(unstarted));
    }
    if (auto count = graphCounts_.extract(from)) {
        count.key() = to;
        graphCounts_.insert(std::move(count));
    }
}

const Graph *GraphRegistry::find(const GraphId &id) const
{
    const auto it = graphs_.find(id);
    return it == graphs_.end() ? nullptr : &*it->second;
}

const std::set<GraphId> &GraphRegistry::openGraphs() const
{
    return openGraphs_;
}

const std::set<GraphId> &GraphRegistry::waitingGraphs() const
{
    return waitingGraphs_;
}

const std::map<QueueName, std::set<GraphId>> &GraphRegistry::unstartedGraphs() const
{
    return unstartedGraphs_;
}

bool GraphRegistry::hasGraphsOf(const QueueName &queue) const
{
    return graphCounts_.contains(queue);
}

std::set<CustomerName> GraphRegistry::openCustomers() const
{
    std::set<CustomerName> customers;
    for (const GraphId &id : openGraphs_) {
        customers.insert(find(id)->spec.customer);
    }
    return customers;
}

std::size_t GraphRegistry::earlyCancelCount() const
{
    return earlyCancelCount_;
}

std::uint64_t GraphRegistry::openTaskCount() const
{
    return openTaskCount_;
}

GraphRevision GraphRegistry::revision() const
{
    return revision_;
}

std::vector<GraphId> GraphRegistry::changedSince(GraphRevision revision) const
{
    std::vector<GraphId> changed;
    for (auto change = graphByRevision_.upper_bound(revision); change != graphByRevision_.end();
         ++change) {
        changed.push_back(change->second);
    }
    return changed;
}

const std::map<GraphId, CopyOnWrite<Graph>> &GraphRegistry::allGraphs() const
{
    return graphs_;
}

std::vector<std::shared_ptr<const Graph>> GraphRegistry::image() const
{
    std::vector<std::shared_ptr<const Graph>> graphs;
    graphs.reserve(graphs_.size());
    for (const std::pair<const GraphId, CopyOnWrite<Graph>> &entry : graphs_) {
        if (entry.second->state == GraphState::Open) {
            graphs.push_back(entry.second.share());
        }
    }
    for (const GraphId &id : endedGraphs_) { // the image keeps the order of ending
        graphs.push_back(graphs_.at(id).share());
    }
    return graphs;
}

void GraphRegistry::restore(std::vector<Graph> graphs)
{
    graphs_.clear();
    openGraphs_.clear();
    openTaskCount_ = 0;
    earlyCancelCount_ = 0;
    waitingGraphs_.clear();
    unstartedGraphs_.clear();
    graphCounts_.clear();
    endedGraphs_.clear();
    graphByRevision_.clear();
    revisionByGraph_.clear();
    for (Graph &graph : graphs) {
        graph.countPhases();
        const GraphId id = graph.spec.id;
        ++graphCounts_[graph.spec.queue];
        if (graph.state == GraphState::Open) {
            openGraphs_.insert(id);
            openTaskCount_ += taskCountOf(graph.spec);
            if (!graph.started) {
                unstartedGraphs_[graph.spec.queue].insert(id);
            }
            updateIndices(graph);
        } else {
            endedGraphs_.push_back(id);
            earlyCancelCount_ += graph.isSubmitted() ? 0 : 1;
            recordChange(id);
        }
        graphs_.emplace(id, CopyOnWrite<Graph> {std::move(graph)});
    }
}

} // namespace crocusmill
