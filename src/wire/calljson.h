/// Boost.Describe descriptions of control calls for the codecs.

#pragma once

#include "src/wire/calls.h"
#include "src/wire/commandjson.h"
#include "src/wire/membershipjson.h"

namespace crocusmill
{

BOOST_DESCRIBE_ENUM(Stage, Production, Trial)
BOOST_DESCRIBE_ENUM(TaskReportState, Running, Succeeded, Failed)
BOOST_DESCRIBE_ENUM(UpstreamMode, Serving, Draining)
BOOST_DESCRIBE_ENUM(OperatorAction, ListVms, ListMembers, ListUpstreams, ListWorkers, ListJobs,
    ListEnvironments, DrainVm, DrainUpstream, ResumeUpstream, DrainWorker, ResumeWorker,
    ReplaceMember, ListCustomers, Explain)

BOOST_DESCRIBE_STRUCT(ServiceKey, (), (environment, stage, service))
BOOST_DESCRIBE_STRUCT(SlotLine, (), (upstream, slots))
BOOST_DESCRIBE_STRUCT(DemandLine, (), (service, wanted))
BOOST_DESCRIBE_STRUCT(FinishedAttempt, (), (attempt, status))
BOOST_DESCRIBE_STRUCT(Announcement, (),
    (id, environment, stage, service, address, slots, connections, zone, rack, incarnation, mode,
        running, finished))
BOOST_DESCRIBE_STRUCT(AttemptLease, (), (attempt, lease))
BOOST_DESCRIBE_STRUCT(LingeringAttempt, (), (attempt, upstream, incarnation))
BOOST_DESCRIBE_STRUCT(BeatCall, (),
    (vm, epoch, address, zone, replica, number, draining, full, configuration, directory, held,
        demand, heard, lingering))
BOOST_DESCRIBE_STRUCT(EnvironmentInForce, (), (name, stage, version, digest, document))
BOOST_DESCRIBE_STRUCT(DirectoryEntry, (),
    (number, id, service, address, incarnation, draining, gone, spareConnections))
BOOST_DESCRIBE_STRUCT(BeatReply, (),
    (stale, term, applied, entries, configuration, environments, directory, upstreams, grants,
        grantLife, departed, adopt, replicas))
BOOST_DESCRIBE_STRUCT(ProposeCall, (), (command))
BOOST_DESCRIBE_STRUCT(ProposeReply, (), (applied, result))
BOOST_DESCRIBE_STRUCT(AnnounceCall, (), (announcement, farewell))
BOOST_DESCRIBE_STRUCT(AnnounceReply, (), (number, leases, stop, forget))
BOOST_DESCRIBE_STRUCT(WorkCall, (), (work, settle))
BOOST_DESCRIBE_STRUCT(WorkReply, (), (work))
BOOST_DESCRIBE_STRUCT(TaskOrder, (), (job, task, attempt, size, command, lease))
BOOST_DESCRIBE_STRUCT(TaskReport, (), (job, task, attempt, state))
BOOST_DESCRIBE_STRUCT(
    WorkerAnnouncement, (), (id, zone, rack, incarnation, capacity, used, draining, tasks))
BOOST_DESCRIBE_STRUCT(WorkerCall, (), (announcement))
BOOST_DESCRIBE_STRUCT(WorkerReply, (), (start, renew, stop))
BOOST_DESCRIBE_STRUCT(JobCall, (), (job))
BOOST_DESCRIBE_STRUCT(JobReply, (), (job, waitsFor))
BOOST_DESCRIBE_STRUCT(OperatorCall, (), (action, subject))
BOOST_DESCRIBE_STRUCT(OperatorReply, (), (found, body))
BOOST_DESCRIBE_STRUCT(HelloCall, (), (from))
BOOST_DESCRIBE_STRUCT(HelloReply, (), (vm, replica, formed, leader, membership))
BOOST_DESCRIBE_STRUCT(FormCall, (), (membership))
BOOST_DESCRIBE_STRUCT(FormReply, (), (accepted))
BOOST_DESCRIBE_ENUM(GraphAction, Submit, Show, Cancel)
BOOST_DESCRIBE_ENUM(GraphOutcome, Done, Refused, NoCatalog, NoQueue, NoJob, InvalidId, UnknownKey)
BOOST_DESCRIBE_STRUCT(GraphCall, (), (action, host, path, spec, key))
template <> inline constexpr std::size_t laterMemberCount<GraphCall> = 1;
BOOST_DESCRIBE_STRUCT(GraphReply, (), (outcome, state, started, pending, retryAfter))
BOOST_DESCRIBE_STRUCT(WorkerHeartbeat, (),
    (id, incarnation, address, service, zone, rack, labels, capacity, clock, sequence, draining,
        remaining))
BOOST_DESCRIBE_STRUCT(HeartbeatCall, (), (heartbeat, leaves))
BOOST_DESCRIBE_STRUCT(HeartbeatReply, (), (leader))
BOOST_DESCRIBE_STRUCT(PresenceCall, (), (vm, address, replica, asksForTickets, wantsWorkers))
BOOST_DESCRIBE_STRUCT(PresenceReply, (), (leader, replicas, workers))
BOOST_DESCRIBE_STRUCT(CatalogCall, (), (install))
BOOST_DESCRIBE_STRUCT(CatalogReply, (), (version, source))
BOOST_DESCRIBE_STRUCT(AllowedWorker, (), (worker, ticket))
BOOST_DESCRIBE_STRUCT(TicketCall, (), (step, workers, limit))
BOOST_DESCRIBE_STRUCT(TicketReply, (), (answered, allowed, validity))
BOOST_DESCRIBE_STRUCT(Redirect, (), (leader))

} // namespace crocusmill
