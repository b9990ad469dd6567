/// Leases of exclusive work and settling of attempts.

#include <crocusmill/leases.h>

#include <algorithm>

namespace crocusmill
{

namespace
{

const Attempt *findAttempt(const Work &work, const AttemptId &id)
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

const FinishedAttempt *findFinished(const Announcement &announcement, const AttemptId &attempt)
{
    for (const FinishedAttempt &finished : announcement.finished) {
        if (finished.attempt == attempt) {
            return &finished;
        }
    }
    return nullptr;
}

/// Returns whether the announcement comes from the process that the attempt was sent to.
bool isSameProcess(const Attempt &attempt, const Announcement &announcement)
{
    return attempt.upstream == announcement.id && attempt.incarnation == announcement.incarnation;
}

} // namespace

LeaseTable::LeaseTable(LeaseTimes times, MonotonicTime now)
    : times_(times)
    , graceEnds_(now + times.lease + times.driftMargin)
{
}

void LeaseTable::settle(const AttemptId &attempt)
{
    settling_.insert(attempt);
}

bool LeaseTable::leaseOver(const AttemptId &attempt, MonotonicTime now) const
{
    const auto found = leasedUntil_.find(attempt);
    return now >= graceEnds_ && (found == leasedUntil_.end() || now >= found->second);
}

void LeaseTable::grantLeases(const Announcement &announcement, const StateMachine &state,
    MonotonicTime now, Verdict &verdict)
{
    for (const AttemptId &id : announcement.running) {
        const Work *work = state.findWorkByAttempt(id);
        if (work == nullptr || !work->exclusive) {
            continue;
        }
        const Attempt *attempt = findAttempt(*work, id);
        const bool isCurrent = attempt == &work->attempts.back()
            && attempt->state == AttemptState::Started && isSameProcess(*attempt, announcement);
        if (!isCurrent || work->cancelled || givenUp_.contains(id)) {
            verdict.stop.push_back(id);
            continue;
        }
        leasedUntil_[id] = now + times_.lease + times_.driftMargin;
        verdict.leases.push_back({id, times_.lease});
    }
}

EndAttempt LeaseTable::giveUp(const Work &work, const AttemptId &attempt)
{
    givenUp_.insert(attempt);
    return {work.id, attempt, AttemptEnd::Lost};
}

void LeaseTable::settleAttempt(const Announcement &announcement, const Work &work,
    const Attempt &attempt, Verdict &verdict, MonotonicTime now, WallTime wallNow)
{
    if (!isSameProcess(attempt, announcement)) {
        // The announcement may be a delayed one of an earlier process.
        if (!work.exclusive || leaseOver(attempt.id, now)) {
            verdict.commands.emplace_back(giveUp(work, attempt.id));
        }
        return;
    }
    const FinishedAttempt *finished = findFinished(announcement, attempt.id);
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
    // Absence does not prove that the attempt did not run, as the request may still be in transit.
    // The upstream is told to refuse it and confirms by listing it as finished with refusedStatus.
    if (!isRunning(announcement, attempt.id)) {
        verdict.stop.push_back(attempt.id);
    }
}

LeaseTable::Verdict LeaseTable::onAnnouncement(const Announcement &announcement,
    const StateMachine &state, MonotonicTime now, WallTime wallNow)
{
    Verdict verdict;
    grantLeases(announcement, state, now, verdict);
    for (const AttemptId &id : announcement.running) {
        const Work *work = state.findWorkByAttempt(id);
        if (work != nullptr && !work->exclusive && work->cancelled) {
            verdict.stop.push_back(id);
        }
    }
    std::vector<AttemptId> settledAttempts;
    for (const AttemptId &id : settling_) {
        const Work *work = state.findWorkByAttempt(id);
        const Attempt *attempt = work == nullptr ? nullptr : findAttempt(*work, id);
        if (attempt == nullptr || attempt->state != AttemptState::Started) {
            settledAttempts.push_back(id);
        } else if (attempt->upstream == announcement.id) {
            settleAttempt(announcement, *work, *attempt, verdict, now, wallNow);
        }
    }
    for (const AttemptId &id : settledAttempts) {
        settling_.erase(id);
        leasedUntil_.erase(id);
        givenUp_.erase(id);
    }
    for (const FinishedAttempt &finished : announcement.finished) {
        const Work *work = state.findWorkByAttempt(finished.attempt);
        const bool isOpen = work != nullptr && state.openWork().contains(work->id);
        if (!isOpen) {
            verdict.forget.push_back(finished.attempt);
        }
    }
    return verdict;
}

std::vector<Command> LeaseTable::endAttemptsOfGoneUpstreams(
    const std::set<UpstreamId> &alive, const StateMachine &state, MonotonicTime now)
{
    // leaseOver() treats expired leases and attempts without a lease alike.
    std::erase_if(leasedUntil_, [now](const std::pair<const AttemptId, MonotonicTime> &item) {
        return now >= item.second;
    });
    std::vector<Command> commands;
    for (const AttemptId &id : settling_) {
        const Work *work = state.findWorkByAttempt(id);
        const Attempt *attempt = work == nullptr ? nullptr : findAttempt(*work, id);
        if (attempt == nullptr || alive.contains(attempt->upstream)) {
            continue;
        }
        // Work that is not exclusive has no lease that ends it. If it is not repeatable, only a new
        // incarnation of its upstream or the upstream's own report settles it.
        const bool canGiveUp =
            work->exclusive ? leaseOver(id, now) : work->repeatable && now >= graceEnds_;
        if (canGiveUp) {
            commands.emplace_back(giveUp(*work, id));
        }
    }
    return commands;
}

} // namespace crocusmill
