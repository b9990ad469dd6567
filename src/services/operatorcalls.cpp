/// Handles operator calls on the leader.

#include "src/services/operatorcalls.h"

#include "src/services/reports.h"

namespace crocusmill
{

namespace
{

OperatorReply makeFoundReply(bool found)
{
    OperatorReply reply;
    reply.found = found;
    return reply;
}

} // namespace

OperatorCalls::OperatorCalls(
    Journal &journal, const std::unique_ptr<Leadership> &leadership, NodeAddress self)
    : journal_(journal)
    , leadership_(leadership)
    , self_(std::move(self))
{
}

void OperatorCalls::handle(const OperatorCall &call, const ReplyHandler &done)
{
    switch (call.action) {
    case OperatorAction::DrainUpstream:
    case OperatorAction::ResumeUpstream:
        drainUpstream(
            UpstreamId {call.subject}, call.action == OperatorAction::DrainUpstream, done);
        return;
    case OperatorAction::DrainWorker:
    case OperatorAction::ResumeWorker:
        drainWorker(WorkerId {call.subject}, call.action == OperatorAction::DrainWorker, done);
        return;
    case OperatorAction::ReplaceMember:
        done(Reply {makeFoundReply(journal_.replace(VmId {call.subject}).has_value())});
        return;
    case OperatorAction::DrainVm:
        done(Reply {makeFoundReply(false)}); // answered by the VM itself
        return;
    default:
        done(Reply {OperatorReply {true, list(call.action)}});
    }
}

std::string OperatorCalls::list(OperatorAction action) const
{
    switch (action) {
    case OperatorAction::ListVms:
        return describeVms(leadership_->entries, journal_, self_);
    case OperatorAction::ListMembers:
        return describeMembers(*journal_.consensus());
    case OperatorAction::ListUpstreams:
        return describeUpstreams(
            leadership_->directory, leadership_->ledger, journal_.state().drainedUpstreams());
    case OperatorAction::ListWorkers:
        return leadership_->cell.describeWorkers();
    case OperatorAction::ListJobs:
        return describeJobs(journal_.state());
    case OperatorAction::ListEnvironments:
        return describeEnvironments(journal_.state());
    default:
        return {};
    }
}

void OperatorCalls::drainUpstream(const UpstreamId &id, bool shouldDrain, const ReplyHandler &done)
{
    if (shouldDrain && leadership_->directory.find(id) == nullptr) {
        done(Reply {makeFoundReply(false)});
        return;
    }
    proposeCommand(DrainUpstream {id, shouldDrain}, done, [this, id]() {
        const Directory::Record *upstream = leadership_->directory.find(id);
        if (upstream != nullptr) {
            leadership_->ledger.setDraining(id, isDraining(upstream->announcement));
        }
    });
}

void OperatorCalls::drainWorker(const WorkerId &id, bool shouldDrain, const ReplyHandler &done)
{
    proposeCommand(
        DrainWorker {id, shouldDrain}, done, [this, id]() { leadership_->cell.refresh(id); });
}

void OperatorCalls::proposeCommand(
    const Command &command, const ReplyHandler &done, const std::function<void()> &onApplied)
{
    journal_.propose(command,
        [this, term = leadership_->term, done, onApplied](const Result<ApplyReply> &result) {
            if (!result) {
                done(result.error());
                return;
            }
            if (leadership_ && leadership_->term == term) {
                onApplied();
            }
            done(Reply {OperatorReply {}});
        });
}

bool OperatorCalls::isDraining(const Announcement &announcement) const
{
    return announcement.mode == UpstreamMode::Draining
        || journal_.state().drainedUpstreams().contains(announcement.id);
}

} // namespace crocusmill
