/// Commands on the catalog and on jobs that are graphs.

#include <crocusmill/announcement.h>
#include <crocusmill/statemachine.h>

namespace crocusmill
{

namespace
{

ApplyReply replyFor(bool changed)
{
    ApplyReply reply;
    reply.repeated = !changed;
    return reply;
}

} // namespace

ApplyReply StateMachine::on(const InstallCatalog &command)
{
    const bool newer = command.catalog.version > catalog_.version;
    if (newer) {
        catalog_ = command.catalog;
    }
    return replyFor(newer);
}

ApplyReply StateMachine::on(const SubmitGraph &command)
{
    return replyFor(graphs_.submit(command));
}

ApplyReply StateMachine::on(const PlaceRuns &command)
{
    graphs_.place(command);
    return {};
}

ApplyReply StateMachine::on(const EndRuns &command)
{
    graphs_.end(command);
    return {};
}

ApplyReply StateMachine::on(const CancelGraph &command)
{
    ApplyReply reply;
    reply.error = graphs_.cancel(command) ? StateError::None : StateError::NoSuchJob;
    return reply;
}

ApplyReply StateMachine::on(const NoteLeaving &command)
{
    const auto known = leaving_.find(command.worker);
    // The word of an earlier process may come late.
    if (known == leaving_.end() || !isNewer(known->second.incarnation, command.incarnation)) {
        leaving_[command.worker] = command;
    }
    return {};
}

bool StateMachine::isLeaving(const WorkerId &worker, const Incarnation &incarnation) const
{
    const auto found = leaving_.find(worker);
    return found != leaving_.end() && found->second.incarnation == incarnation;
}

const Catalog &StateMachine::catalog() const
{
    return catalog_;
}

const GraphBook &StateMachine::graphs() const
{
    return graphs_;
}

} // namespace crocusmill
