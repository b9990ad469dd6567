/// Exclusive leases and settling.

#include <crocusmill/leases.h>

#include <algorithm>

namespace crocusmill
{

namespace
{

const Attempt *attemptOf(const Work &work, const AttemptId &id)
{
    for (const Attempt &attempt : work.attempts) {
        if (attempt.id == id) {
            return &attempt;
        }
    }
    return nullptr;
}

bool isRunning(const Announcement &announcement, const AttemptId &attempt)
{
    return std::find(announcement.running.begin(), announcement.running.end(), attempt)
        != announcement.running.end();
}

const FinishedAttempt *finishedOf(const Announcement &announcement, const AttemptId &attempt)
{
    for (const FinishedAttempt &finished : announcement.finished) {
        if (finished.attempt == attempt) {
            return &finished;
        }
    }
    return nullptr;
}

/// The upstream process that the attempt was sent to is the one that announces itself.
bool sameProcess(const Attempt &attempt, const Announcement &announcement)
{
    return attempt.upstream == announcement.id && attempt.incarnation == announcement.incarnation;
}

} // namespace

LeaseBook::LeaseBook(LeaseTimes times, MonotonicTime now)
    : times_(times)
    , graceEnds_(now + times.lease + times.driftMargin)
{
}

void LeaseBook::settle(const AttemptId &attempt)
{
    settling_.insert(attempt);
}

bool LeaseBook::leaseOver(const AttemptId &attempt, MonotonicTime now) const
{
    const auto found = leasedUntil_.find(attempt);
    return now >= graceEnds_ && (found == leasedUntil_.end() || now >= found->second);
}

void LeaseBook::grantLeases(const Announcement &announcement, const StateMachine &state,
    MonotonicTime now, Verdict &verdict)
{
    for (const AttemptId &id : announcement.running) {
        const Work *work = state.findWorkByAttempt(id);
        if (work == nullptr || !work->exclusive) {
            continue;
        }
        const Attempt *attempt = attemptOf(*work, id);
        const bool current = attempt == &work->attempts.back()
            && attempt->state == AttemptState::Started && sameProcess(*attempt, announcement);
        if (!current || work->cancelled || givenUp_.contains(id)) {
            verdict.stop.push_back(id);
            continue;
        }
        leasedUntil_[id] = now + times_.lease + times_.driftMargin;
        verdict.leases.push_back({id, times_.lease});
    }
}

EndAttempt LeaseBook::giveUp(const Work &work, const AttemptId &attempt)
{
    givenUp_.insert(attempt);
    return {work.id, attempt, AttemptEnd::Lost};
}

void LeaseBook::settleAttempt(const Announcement &announcement, const Work &work,
    const Attempt &attempt, Verdict &verdict, MonotonicTime now, WallTime wallNow)
{
    if (!sameProcess(attempt, announcement)) {
        // The announcement may be an earlier process's, late on its way.
        if (!work.exclusive || leaseOver(attempt.id, now)) {
            verdict.commands.emplace_back(giveUp(work, attempt.id));
        }
        return;
    }
    const FinishedAttempt *finished = finishedOf(announcement, attempt.id);
    if (finished != nullptr && finished->status == refusedStatus) {
        verdict.commands.emplace_back(EndAttempt {work.id, attempt.id, AttemptEnd::NotRun});
        return;
    }
    if (finished != nullptr) {
        StoredAnswer answer;
        answer.status = finished->status;
        answer.bodyOmitted = true;
        verdict.commands.emplace_back(FinishWork {work.id, attempt.id, answer, wallNow});
        return;
    }
    // Absence alone proves nothing, as the request may still be on its way: the upstream is told
    // to refuse it, and says so by listing it as finished with refusedStatus.
    if (!isRunning(announcement, attempt.id)) {
        verdict.stop.push_back(attempt.id);
    }
}

LeaseBook::Verdict LeaseBook::announced(const Announcement &announcement, const StateMachine &state,
    MonotonicTime now, WallTime wallNow)
{
    Verdict verdict;
    grantLeases(announcement, state, now, verdict);
    for (const AttemptId &id : announcement.running) {
        const Work *work = state.findWorkByAttempt(id);
        if (work != nullptr && !work->exclusive && work->cancelled) {
            verdict.stop.push_back(id);
        }
    }
    std::vector<AttemptId> settled;
    for (const AttemptId &id : settling_) {
        const Work *work = state.findWorkByAttempt(id);
        const Attempt *attempt = work == nullptr ? nullptr : attemptOf(*work, id);
        if (attempt == nullptr || attempt->state != AttemptState::Started) {
            settled.push_back(id);
        } else if (attempt->upstream == announcement.id) {
            settleAttempt(announcement, *work, *attempt, verdict, now, wallNow);
        }
    }
    for (const AttemptId &id : settled) {
        settling_.erase(id);
        leasedUntil_.erase(id);
        givenUp_.erase(id);
    }
    for (const FinishedAttempt &finished : announcement.finished) {
        const Work *work = state.findWorkByAttempt(finished.attempt);
        const bool open = work != nullptr && state.openWork().contains(work->id);
        if (!open) {
            verdict.forget.push_back(finished.attempt);
        }
    }
    return verdict;
}

std::vector<Command> LeaseBook::upstreamsGone(
    const std::set<UpstreamId> &alive, const StateMachine &state, MonotonicTime now)
{
    // What is over and what was never leased are the same to leaseOver().
    std::erase_if(leasedUntil_, [now](const std::pair<const AttemptId, MonotonicTime> &known) {
        return now >= known.second;
    });
    std::vector<Command> commands;
    for (const AttemptId &id : settling_) {
        const Work *work = state.findWorkByAttempt(id);
        const Attempt *attempt = work == nullptr ? nullptr : attemptOf(*work, id);
        if (attempt == nullptr || alive.contains(attempt->upstream)) {
            continue;
        }
        // Without a lease nothing stops work that is not exclusive; only a new incarnation of its
        // upstream, or its own report, ends the doubt about work that may not be repeated.
        const bool over =
            work->exclusive ? leaseOver(id, now) : work->repeatable && now >= graceEnds_;
        if (over) {
            commands.emplace_back(giveUp(*work, id));
        }
    }
    return commands;
}

} // namespace crocusmill
