/// Commands on the catalog, graph jobs and departing workers.

#include <crocusmill/announcement.h>
#include <crocusmill/statemachine.h>

namespace crocusmill
{

namespace
{

ApplyReply changeReply(bool changed)
{
    ApplyReply reply;
    reply.repeated = !changed;
    return reply;
}

} // namespace

ApplyReply StateMachine::applyCommand(const InstallCatalog &command)
{
    const bool isNewerVersion = command.catalog.version > catalog_.version;
    if (isNewerVersion) {
        Catalog next = command.catalog;
        const std::set<CustomerName> customers = graphs_.openCustomers();
        next.keepCustomersOf(
            catalog_, [&customers](const CustomerName &name) { return customers.contains(name); });
        const std::vector<QueueRenaming> renamings = catalog_.replaceWith(
            std::move(next), [this](const QueueName &name) { return graphs_.hasGraphsOf(name); });
        for (const QueueRenaming &renaming : renamings) {
            graphs_.renameQueue(renaming.from, renaming.to);
        }
    }
    return changeReply(isNewerVersion);
}

ApplyReply StateMachine::applyCommand(const SubmitGraph &command)
{
    return changeReply(graphs_.submit(command));
}

ApplyReply StateMachine::applyCommand(const PlaceRuns &command)
{
    graphs_.place(command);
    return {};
}

ApplyReply StateMachine::applyCommand(const NoteStarts &command)
{
    graphs_.noteStarts(command);
    return {};
}

ApplyReply StateMachine::applyCommand(const EndRuns &command)
{
    graphs_.end(command);
    return {};
}

ApplyReply StateMachine::applyCommand(const CancelGraph &command)
{
    ApplyReply reply;
    reply.error = graphs_.cancel(command) ? StateError::None : StateError::NoSuchJob;
    return reply;
}

ApplyReply StateMachine::applyCommand(const NoteLeaving &command)
{
    const auto it = leavingWorkers_.find(command.worker);
    // A notice of an earlier incarnation may arrive late.
    if (it == leavingWorkers_.end() || !isNewer(it->second.incarnation, command.incarnation)) {
        leavingWorkers_[command.worker] = command;
    }
    return {};
}

bool StateMachine::isLeaving(const WorkerId &worker, const Incarnation &incarnation) const
{
    const auto it = leavingWorkers_.find(worker);
    return it != leavingWorkers_.end() && it->second.incarnation == incarnation;
}

const Catalog &StateMachine::catalog() const
{
    return catalog_;
}

const GraphRegistry &StateMachine::graphs() const
{
    return graphs_;
}

} // namespace crocusmill
