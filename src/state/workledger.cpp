/// Commands on work: admission, start and end are each decided once.

#include <crocusmill/statemachine.h>

#include <algorithm>

namespace crocusmill
{

namespace
{

ApplyReply replyFor(const WorkId &work, StateError error = StateError::None)
{
    ApplyReply reply;
    reply.error = error;
    reply.work = work;
    return reply;
}

bool hasEnded(const Work &work)
{
    return work.state == WorkState::Ended || work.state == WorkState::Revoked;
}

Attempt *findAttempt(Work &work, const AttemptId &id)
{
    for (Attempt &attempt : work.attempts) {
        if (attempt.id == id) {
            return &attempt;
        }
    }
    return nullptr;
}

bool isProvenNotRun(const Work &work)
{
    return std::all_of(work.attempts.begin(), work.attempts.end(),
        [](const Attempt &attempt) { return attempt.state == AttemptState::NotRun; });
}

/// Returns the reason why another attempt is not allowed, or None.
StateError startError(const Work &work)
{
    if (hasEnded(work) || work.cancelled) {
        return StateError::AlreadyEnded;
    }
    if (work.attempts.empty()) {
        return StateError::None;
    }
    if (!work.repeatable) {
        return isProvenNotRun(work) ? StateError::None : StateError::AlreadyStarted;
    }
    const bool isLastAttemptOpen = work.attempts.back().state == AttemptState::Started;
    return work.exclusive && isLastAttemptOpen ? StateError::PreviousAttemptLives
                                               : StateError::None;
}

/// A key whose work was reported as not run may be used again, by a request that arrived after
/// that decision. If a delayed request from before it ran, the report would become untrue.
bool canReuseKey(const Work &previousWork, LogIndex seen)
{
    return previousWork.state == WorkState::Revoked && previousWork.execution() == Execution::NotRun
        && !previousWork.cancelled && seen >= previousWork.endedIndex;
}

} // namespace

Execution Work::execution() const
{
    if (state == WorkState::Ended && answer) {
        return Execution::Ran;
    }
    // Until it is revoked, work that has not started may start at any moment.
    if (state == WorkState::Revoked && isProvenNotRun(*this)) {
        return Execution::NotRun;
    }
    return Execution::Unknown;
}

ApplyReply StateMachine::applyCommand(const AdmitWork &command)
{
    if (command.key) {
        const Work *existing = findWorkByKey(command.environment, *command.key);
        if (existing != nullptr && !canReuseKey(*existing, command.seen)) {
            const bool isSameRequest = existing->digest == command.digest;
            ApplyReply reply =
                replyFor(existing->id, isSameRequest ? StateError::None : StateError::KeyReused);
            reply.repeated = isSameRequest;
            return reply;
        }
    }
    if (work_.contains(command.work)) {
        ApplyReply reply = replyFor(command.work);
        reply.repeated = true; // the same command was proposed twice
        return reply;
    }
    Work work;
    work.id = command.work;
    work.environment = command.environment;
    work.service = command.service;
    work.key = command.key;
    work.digest = command.digest;
    work.workClass = command.workClass;
    work.repeatable = command.repeatable;
    work.exclusive = command.exclusive;
    work.owner = command.owner;
    work.admittedAt = command.at;
    work.deadline = command.deadline;
    work.request = command.request;
    indexKey(work);
    openWork_.insert(work.id);
    const WorkId id = work.id;
    work_.emplace(id, CopyOnWrite<Work> {std::move(work)});
    return replyFor(command.work);
}

ApplyReply StateMachine::applyCommand(const StartWork &command)
{
    Work *work = mutableWork(command.work);
    if (work == nullptr) {
        return replyFor(command.work, StateError::NoSuchWork);
    }
    const crocusmill::Attempt *existing = crocusmill::findAttempt(*work, command.attempt);
    if (existing != nullptr) {
        ApplyReply reply = replyFor(command.work);
        reply.repeated = true;
        reply.error = existing->state == AttemptState::Started ? StateError::None
                                                               : StateError::AlreadyStarted;
        return reply;
    }
    const StateError error = startError(*work);
    if (error != StateError::None) {
        return replyFor(command.work, error);
    }
    work->attempts.push_back(
        {command.attempt, command.upstream, command.incarnation, AttemptState::Started});
    work->state = WorkState::Started;
    work->owner = command.owner;
    workByAttempt_[command.attempt] = work->id;
    return replyFor(command.work);
}

ApplyReply StateMachine::applyCommand(const EndAttempt &command)
{
    Work *work = mutableWork(command.work);
    if (work == nullptr) {
        return replyFor(command.work, StateError::NoSuchWork);
    }
    crocusmill::Attempt *attempt = crocusmill::findAttempt(*work, command.attempt);
    if (attempt == nullptr) {
        return replyFor(command.work, StateError::NoSuchAttempt);
    }
    if (attempt->state != AttemptState::Started) {
        ApplyReply reply = replyFor(command.work);
        reply.repeated = true;
        return reply;
    }
    attempt->state = command.end == AttemptEnd::NotRun ? AttemptState::NotRun : AttemptState::Lost;
    workByAttempt_.erase(command.attempt);
    return replyFor(command.work);
}

ApplyReply StateMachine::applyCommand(const FinishWork &command)
{
    Work *work = mutableWork(command.work);
    if (work == nullptr) {
        return replyFor(command.work, StateError::NoSuchWork);
    }
    crocusmill::Attempt *attempt = crocusmill::findAttempt(*work, command.attempt);
    if (attempt == nullptr) {
        return replyFor(command.work, StateError::NoSuchAttempt);
    }
    if (hasEnded(*work)) {
        ApplyReply reply = replyFor(command.work, StateError::AlreadyEnded);
        reply.repeated = attempt->state == AttemptState::Answered;
        return reply;
    }
    attempt->state = AttemptState::Answered;
    work->answer = command.answer;
    endWork(*work, WorkState::Ended, command.at);
    return replyFor(command.work);
}

ApplyReply StateMachine::applyCommand(const RevokeWork &command)
{
    Work *work = mutableWork(command.work);
    if (work == nullptr) {
        return replyFor(command.work, StateError::NoSuchWork);
    }
    if (hasEnded(*work)) {
        return replyFor(command.work, StateError::AlreadyEnded);
    }
    const bool hasOpenAttempt = std::any_of(work->attempts.begin(), work->attempts.end(),
        [](const crocusmill::Attempt &attempt) { return attempt.state == AttemptState::Started; });
    if (hasOpenAttempt) {
        work->cancelled = work->cancelled || command.cancel;
        return replyFor(command.work, StateError::AlreadyStarted);
    }
    work->cancelled = work->cancelled || command.cancel;
    endWork(*work, WorkState::Revoked, command.at);
    return replyFor(command.work);
}

ApplyReply StateMachine::applyCommand(const AdoptWork &command)
{
    Work *work = mutableWork(command.work);
    if (work == nullptr) {
        return replyFor(command.work, StateError::NoSuchWork);
    }
    if (hasEnded(*work)) {
        return replyFor(command.work, StateError::AlreadyEnded);
    }
    work->owner = command.owner;
    return replyFor(command.work);
}

ApplyReply StateMachine::applyCommand(const ForgetEnded &command)
{
    forgetWork(command.before);
    forgetJobs(command.before);
    graphs_.forget(command.before);
    std::erase_if(leavingWorkers_, [&command](const std::pair<const WorkerId, NoteLeaving> &entry) {
        return entry.second.at < command.before;
    });
    return {};
}

ApplyReply StateMachine::applyCommand(const ForgetEndedUpTo &command)
{
    if (command.work) {
        forgetWorkUpTo(*command.work);
    }
    if (command.job) {
        forgetJobsUpTo(*command.job);
    }
    if (command.graph) {
        graphs_.forgetUpTo(*command.graph, command.graphEndedAt);
    }
    for (const NoteLeaving &departure : command.departures) {
        const auto it = leavingWorkers_.find(departure.worker);
        if (it != leavingWorkers_.end() && it->second.incarnation == departure.incarnation) {
            leavingWorkers_.erase(it);
        }
    }
    return {};
}

ForgetEndedUpTo StateMachine::newestEnds() const
{
    ForgetEndedUpTo newest;
    if (!endedWork_.empty()) {
        newest.work = endedWork_.back();
    }
    if (!endedJobs_.empty()) {
        newest.job = endedJobs_.back();
    }
    if (const Graph *graph = graphs_.newestEnded()) {
        newest.graph = graph->spec.id;
        newest.graphEndedAt = graph->endedAt;
    }
    for (const std::pair<const WorkerId, NoteLeaving> &entry : leavingWorkers_) {
        newest.departures.push_back(entry.second);
    }
    return newest;
}

void StateMachine::forgetWork(WallTime before)
{
    while (!endedWork_.empty()) {
        const Work *work = findWork(endedWork_.front());
        if (work != nullptr && work->endedAt >= before) {
            return;
        }
        removeOldestEndedWork();
    }
}

void StateMachine::forgetWorkUpTo(const WorkId &last)
{
    const Work *lastWork = findWork(last);
    if (lastWork == nullptr || !hasEnded(*lastWork)) {
        return;
    }
    while (!endedWork_.empty() && findWork(last) != nullptr) {
        removeOldestEndedWork();
    }
}

void StateMachine::removeOldestEndedWork()
{
    const auto it = work_.find(endedWork_.front());
    if (it != work_.end()) {
        const Work &work = *it->second;
        removeKey(work);
        for (const crocusmill::Attempt &attempt : work.attempts) {
            workByAttempt_.erase(attempt.id);
        }
        work_.erase(it);
    }
    endedWork_.pop_front();
}

void StateMachine::removeKey(const Work &work)
{
    if (!work.key) {
        return;
    }
    const auto it = workByKey_.find({work.environment, *work.key});
    if (it != workByKey_.end() && it->second == work.id) {
        workByKey_.erase(it);
    }
}

void StateMachine::endWork(Work &work, WorkState state, WallTime at)
{
    work.state = state;
    work.endedAt = at;
    work.endedIndex = applyingIndex_;
    work.request.reset();
    openWork_.erase(work.id);
    endedWork_.push_back(work.id);
    for (const crocusmill::Attempt &attempt : work.attempts) {
        if (attempt.state != AttemptState::Started) {
            workByAttempt_.erase(attempt.id);
        }
    }
}

Work *StateMachine::mutableWork(const WorkId &id)
{
    const auto it = work_.find(id);
    return it == work_.end() ? nullptr : &it->second.edit();
}

const Work *StateMachine::findWork(const WorkId &id) const
{
    const auto it = work_.find(id);
    return it == work_.end() ? nullptr : &*it->second;
}

const Work *StateMachine::findWorkByKey(
    const EnvironmentName &environment, const IdempotencyKey &key) const
{
    const auto it = workByKey_.find({environment, key});
    return it == workByKey_.end() ? nullptr : findWork(it->second);
}

const std::set<WorkId> &StateMachine::openWork() const
{
    return openWork_;
}

const Work *StateMachine::findWorkByAttempt(const AttemptId &attempt) const
{
    const auto it = workByAttempt_.find(attempt);
    return it == workByAttempt_.end() ? nullptr : findWork(it->second);
}

} // namespace crocusmill
