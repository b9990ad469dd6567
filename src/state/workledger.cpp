/// The ledger of work: admitted, started, ended, each decided once.

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

bool everyAttemptNotRun(const Work &work)
{
    return std::all_of(work.attempts.begin(), work.attempts.end(),
        [](const Attempt &attempt) { return attempt.state == AttemptState::NotRun; });
}

/// What forbids one more attempt, if anything does.
StateError obstacleToStart(const Work &work)
{
    if (hasEnded(work) || work.cancelled) {
        return StateError::AlreadyEnded;
    }
    if (work.attempts.empty()) {
        return StateError::None;
    }
    if (!work.repeatable) {
        return everyAttemptNotRun(work) ? StateError::None : StateError::AlreadyStarted;
    }
    const bool lives = work.attempts.back().state == AttemptState::Started;
    return work.exclusive && lives ? StateError::PreviousAttemptLives : StateError::None;
}

/// A key that was told not run may be tried again, by a request that arrived after that was
/// decided. One that arrived before, and was held up, would make what was told untrue.
bool mayTryAgain(const Work &known, LogIndex seen)
{
    return known.state == WorkState::Revoked && known.execution() == Execution::NotRun
        && !known.cancelled && seen >= known.endedIndex;
}

} // namespace

Execution Work::execution() const
{
    if (state == WorkState::Ended && answer) {
        return Execution::Ran;
    }
    // Before it is revoked, work that has not started may start at any moment.
    if (state == WorkState::Revoked && everyAttemptNotRun(*this)) {
        return Execution::NotRun;
    }
    return Execution::Unknown;
}

ApplyReply StateMachine::on(const AdmitWork &command)
{
    if (command.key) {
        const Work *known = findKey(command.environment, *command.key);
        if (known != nullptr && !mayTryAgain(*known, command.seen)) {
            const bool same = known->digest == command.digest;
            ApplyReply reply = replyFor(known->id, same ? StateError::None : StateError::KeyReused);
            reply.repeated = same;
            return reply;
        }
    }
    if (work_.contains(command.work)) {
        ApplyReply reply = replyFor(command.work);
        reply.repeated = true; // the same proposal, sent again
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
    open_.insert(work.id);
    const WorkId id = work.id;
    work_.emplace(id, CopyOnWrite<Work> {std::move(work)});
    return replyFor(command.work);
}

ApplyReply StateMachine::on(const StartWork &command)
{
    Work *work = mutableWork(command.work);
    if (work == nullptr) {
        return replyFor(command.work, StateError::NoSuchWork);
    }
    const crocusmill::Attempt *known = crocusmill::findAttempt(*work, command.attempt);
    if (known != nullptr) {
        ApplyReply reply = replyFor(command.work);
        reply.repeated = true;
        reply.error =
            known->state == AttemptState::Started ? StateError::None : StateError::AlreadyStarted;
        return reply;
    }
    const StateError obstacle = obstacleToStart(*work);
    if (obstacle != StateError::None) {
        return replyFor(command.work, obstacle);
    }
    work->attempts.push_back(
        {command.attempt, command.upstream, command.incarnation, AttemptState::Started});
    work->state = WorkState::Started;
    work->owner = command.owner;
    attempts_[command.attempt] = work->id;
    return replyFor(command.work);
}

ApplyReply StateMachine::on(const EndAttempt &command)
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
    attempts_.erase(command.attempt);
    return replyFor(command.work);
}

ApplyReply StateMachine::on(const FinishWork &command)
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

ApplyReply StateMachine::on(const RevokeWork &command)
{
    Work *work = mutableWork(command.work);
    if (work == nullptr) {
        return replyFor(command.work, StateError::NoSuchWork);
    }
    if (hasEnded(*work)) {
        return replyFor(command.work, StateError::AlreadyEnded);
    }
    const bool alive = std::any_of(work->attempts.begin(), work->attempts.end(),
        [](const crocusmill::Attempt &attempt) { return attempt.state == AttemptState::Started; });
    if (alive) {
        work->cancelled = work->cancelled || command.cancel;
        return replyFor(command.work, StateError::AlreadyStarted);
    }
    work->cancelled = work->cancelled || command.cancel;
    endWork(*work, WorkState::Revoked, command.at);
    return replyFor(command.work);
}

ApplyReply StateMachine::on(const AdoptWork &command)
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

ApplyReply StateMachine::on(const ForgetEnded &command)
{
    forgetWork(command.before);
    forgetJobs(command.before);
    graphs_.forget(command.before);
    std::erase_if(leaving_, [&command](const std::pair<const WorkerId, NoteLeaving> &known) {
        return known.second.at < command.before;
    });
    return {};
}

void StateMachine::forgetWork(WallTime before)
{
    while (!ended_.empty()) {
        const auto found = work_.find(ended_.front());
        if (found != work_.end()) {
            const Work &work = *found->second;
            if (work.endedAt >= before) {
                break;
            }
            dropKey(work);
            for (const crocusmill::Attempt &attempt : work.attempts) {
                attempts_.erase(attempt.id);
            }
            work_.erase(found);
        }
        ended_.pop_front();
    }
}

void StateMachine::dropKey(const Work &work)
{
    if (!work.key) {
        return;
    }
    const auto found = keys_.find({work.environment, *work.key});
    if (found != keys_.end() && found->second == work.id) {
        keys_.erase(found);
    }
}

void StateMachine::endWork(Work &work, WorkState state, WallTime at)
{
    work.state = state;
    work.endedAt = at;
    work.endedIndex = applying_;
    work.request.reset();
    open_.erase(work.id);
    ended_.push_back(work.id);
    for (const crocusmill::Attempt &attempt : work.attempts) {
        if (attempt.state != AttemptState::Started) {
            attempts_.erase(attempt.id);
        }
    }
}

Work *StateMachine::mutableWork(const WorkId &id)
{
    const auto found = work_.find(id);
    return found == work_.end() ? nullptr : &found->second.edit();
}

const Work *StateMachine::findWork(const WorkId &id) const
{
    const auto found = work_.find(id);
    return found == work_.end() ? nullptr : &*found->second;
}

const Work *StateMachine::findKey(
    const EnvironmentName &environment, const IdempotencyKey &key) const
{
    const auto found = keys_.find({environment, key});
    return found == keys_.end() ? nullptr : findWork(found->second);
}

const std::set<WorkId> &StateMachine::openWork() const
{
    return open_;
}

const Work *StateMachine::findAttempt(const AttemptId &attempt) const
{
    const auto found = attempts_.find(attempt);
    return found == attempts_.end() ? nullptr : findWork(found->second);
}

} // namespace crocusmill
