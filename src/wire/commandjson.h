/// Boost.Describe descriptions of commands and recorded state for the codecs.

#pragma once

#include "src/wire/json.h"

#include <crocusmill/statemachine.h>

namespace crocusmill
{

BOOST_DESCRIBE_ENUM(Execution, NotRun, Unknown, Ran)
BOOST_DESCRIBE_ENUM(WorkClass, Quick, Deferrable, Heavy)
BOOST_DESCRIBE_ENUM(AttemptEnd, NotRun, Lost)
BOOST_DESCRIBE_ENUM(JobClass, Service, Batch, Gang)
BOOST_DESCRIBE_ENUM(TaskEnd, Succeeded, Failed, Lost, Preempted)
BOOST_DESCRIBE_ENUM(WorkState, Admitted, Started, Ended, Revoked)
BOOST_DESCRIBE_ENUM(AttemptState, Started, Answered, NotRun, Lost)
BOOST_DESCRIBE_ENUM(TaskState, Waiting, Placed, Done, GivenUp)
BOOST_DESCRIBE_ENUM(StateError, None, Undecodable, VersionConflict, VersionStale, NotTried,
    HostTaken, KeyReused, NoSuchWork, AlreadyStarted, AlreadyEnded, PreviousAttemptLives,
    NoSuchAttempt, NoSuchJob, JobExists, OverQuota, WrongPlacement)

BOOST_DESCRIBE_STRUCT(Header, (), (name, value))
BOOST_DESCRIBE_STRUCT(StoredRequest, (), (method, target, headers, body))
BOOST_DESCRIBE_STRUCT(StoredAnswer, (), (status, headers, body, bodyOmitted))
BOOST_DESCRIBE_STRUCT(TryEnvironment, (), (environment, version, digest, document, by))
BOOST_DESCRIBE_STRUCT(PromoteEnvironment, (), (environment, version, digest, by))
BOOST_DESCRIBE_STRUCT(AdmitWork, (),
    (work, environment, service, key, digest, workClass, repeatable, exclusive, owner, seen, at,
        deadline, request))
BOOST_DESCRIBE_STRUCT(StartWork, (), (work, attempt, upstream, incarnation, owner))
BOOST_DESCRIBE_STRUCT(EndAttempt, (), (work, attempt, end))
BOOST_DESCRIBE_STRUCT(FinishWork, (), (work, attempt, answer, at))
BOOST_DESCRIBE_STRUCT(RevokeWork, (), (work, cancel, at))
BOOST_DESCRIBE_STRUCT(AdoptWork, (), (work, owner))
BOOST_DESCRIBE_STRUCT(ForgetEnded, (), (before))
BOOST_DESCRIBE_STRUCT(ForgetEndedUpTo, (), (work, job, graph, graphEndedAt, departures))
BOOST_DESCRIBE_STRUCT(TaskSize, (), (milliCores, memory, accelerators))
BOOST_DESCRIBE_STRUCT(SubmitJob, (),
    (job, environment, team, jobClass, urgent, tasks, size, expectedRun, command, at))
BOOST_DESCRIBE_ENUM(RunEnd, Succeeded, Failed, Stopped, Lost, NotStarted)
BOOST_DESCRIBE_ENUM(TaskPhase, Waiting, Placed, Succeeded, GivenUp)
BOOST_DESCRIBE_ENUM(GraphState, Open, Succeeded, Failed, Cancelled)
BOOST_DESCRIBE_STRUCT(TicketTiming, (), (decision, perWorker, validity))
BOOST_DESCRIBE_STRUCT(Queue, (),
    (name, host, prefix, service, priority, attempts, slackFactor, aim, timeout, tickets, isPublic))
template <> inline constexpr std::size_t laterMemberCount<Queue> = 1;
BOOST_DESCRIBE_STRUCT(ResourceAmount, (), (milliCores, memory, accelerators))
BOOST_DESCRIBE_STRUCT(Customer, (), (name, keys, weight, limit, isRemoved))
BOOST_DESCRIBE_STRUCT(Catalog, (), (version, queues, source, customers))
template <> inline constexpr std::size_t laterMemberCount<Catalog> = 1;
BOOST_DESCRIBE_STRUCT(InstallCatalog, (), (catalog))
BOOST_DESCRIBE_STRUCT(StepSpec, (),
    (tasks, size, estimate, after, gang, oneRack, speculative, lasting, checkpoints, fills, label,
        dataRack, mostPerWorker, image, goal, mostUnavailable))
BOOST_DESCRIBE_STRUCT(Recurrence, (), (times, first, interval))
BOOST_DESCRIBE_STRUCT(GraphSpec, (),
    (id, payload, steps, recurrence, queue, service, priority, attempts, slackFactor, aim, customer,
        isBeyondShare))
template <> inline constexpr std::size_t laterMemberCount<GraphSpec> = 2;
BOOST_DESCRIBE_STRUCT(TaskRef, (), (graph, occurrence, step, task))
BOOST_DESCRIBE_STRUCT(RunPlacement, (), (task, run, worker, incarnation))
BOOST_DESCRIBE_STRUCT(EndedRun, (), (task, run, end, saved))
BOOST_DESCRIBE_STRUCT(SubmitGraph, (), (spec, at))
BOOST_DESCRIBE_STRUCT(PlaceRuns, (), (placements))
BOOST_DESCRIBE_STRUCT(EndRuns, (), (ended, at))
BOOST_DESCRIBE_STRUCT(CancelGraph, (), (graph, at))
BOOST_DESCRIBE_STRUCT(NoteLeaving, (), (worker, incarnation, at))
BOOST_DESCRIBE_STRUCT(NoteStarts, (), (graphs))
BOOST_DESCRIBE_STRUCT(GraphTask, (), (phase, run, failed, worker, incarnation, saved))
BOOST_DESCRIBE_STRUCT(GraphStep, (), (tasks, failed))
BOOST_DESCRIBE_STRUCT(GraphOccurrence, (), (steps))
BOOST_DESCRIBE_STRUCT(Graph, (), (spec, acceptedAt, endedAt, state, started, occurrences))
BOOST_DESCRIBE_STRUCT(TaskPlacement, (), (task, attempt, worker, incarnation))
BOOST_DESCRIBE_STRUCT(PlaceTasks, (), (job, placements))
BOOST_DESCRIBE_STRUCT(EndTask, (), (job, task, attempt, end, at))
BOOST_DESCRIBE_STRUCT(CancelJob, (), (job, at))
BOOST_DESCRIBE_STRUCT(QuarantineWorker, (), (worker, quarantined))
BOOST_DESCRIBE_STRUCT(DrainUpstream, (), (upstream, drained))
BOOST_DESCRIBE_STRUCT(DrainWorker, (), (worker, drained))
BOOST_DESCRIBE_STRUCT(PromotionConflict, (), (version, digest, by))
BOOST_DESCRIBE_STRUCT(ApplyReply, (), (error, work, repeated, conflict))

BOOST_DESCRIBE_STRUCT(DocumentRecord, (), (version, digest, document, by, since))
BOOST_DESCRIBE_STRUCT(EnvironmentState, (), (name, tried, production))
BOOST_DESCRIBE_STRUCT(Attempt, (), (id, upstream, incarnation, state))
BOOST_DESCRIBE_STRUCT(Work, (),
    (id, environment, service, key, digest, workClass, repeatable, exclusive, owner, admittedAt,
        deadline, endedAt, endedIndex, state, cancelled, attempts, request, answer))
BOOST_DESCRIBE_STRUCT(TaskRecord, (), (state, attempt, failures, worker, incarnation))
BOOST_DESCRIBE_STRUCT(Job, (), (spec, tasks, cancelled, endedAt, endedIndex))

} // namespace crocusmill
