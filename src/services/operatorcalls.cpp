/// Operators' calls on the leader.

#include "src/services/operatorcalls.h"

#include "src/services/reports.h"

namespace crocusmill
{

namespace
{

OperatorReply foundOnly(bool found)
{
    OperatorReply reply;
    reply.found = found;
    return reply;
}

} // namespace

OperatorCalls::OperatorCalls(
    Journal &journal, const std::unique_ptr<Leadership> &lead, NodeAddress self)
    : journal_(journal)
    , lead_(lead)
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
        done(Reply {foundOnly(journal_.replace(VmId {call.subject}).has_value())});
        return;
    case OperatorAction::DrainVm:
        done(Reply {foundOnly(false)}); // answered by the VM itself
        return;
    default:
        done(Reply {OperatorReply {true, list(call.action)}});
    }
}

std::string OperatorCalls::list(OperatorAction action) const
{
    switch (action) {
    case OperatorAction::ListVms:
        return describeVms(lead_->entries, journal_, self_);
    case OperatorAction::ListMembers:
        return describeMembers(*journal_.consensus());
    case OperatorAction::ListUpstreams:
        return describeUpstreams(
            lead_->directory, lead_->ledger, journal_.state().drainedUpstreams());
    case OperatorAction::ListWorkers:
        return lead_->cell.describeWorkers();
    case OperatorAction::ListJobs:
        return describeJobs(journal_.state());
    case OperatorAction::ListEnvironments:
        return describeEnvironments(journal_.state());
    default:
        return {};
    }
}

void OperatorCalls::drainUpstream(const UpstreamId &id, bool drained, const ReplyHandler &done)
{
    if (drained && lead_->directory.find(id) == nullptr) {
        done(Reply {foundOnly(false)});
        return;
    }
    record(DrainUpstream {id, drained}, done, [this, id]() {
        const Directory::Record *upstream = lead_->directory.find(id);
        if (upstream != nullptr) {
            lead_->ledger.setDraining(id, isDraining(upstream->announcement));
        }
    });
}

void OperatorCalls::drainWorker(const WorkerId &id, bool drained, const ReplyHandler &done)
{
    record(DrainWorker {id, drained}, done, [this, id]() { lead_->cell.refresh(id); });
}

void OperatorCalls::record(
    const Command &command, const ReplyHandler &done, const std::function<void()> &applied)
{
    journal_.propose(
        command, [this, term = lead_->term, done, applied](const Result<ApplyReply> &result) {
            if (!result) {
                done(result.error());
                return;
            }
            if (lead_ && lead_->term == term) {
                applied();
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
