/// Detects departed attempts and hands adopted work to entries.

#include "src/services/leadership.h"

#include <algorithm>
#include <utility>

namespace crocusmill
{

namespace
{

bool isRunning(const Directory::Record &upstream, const AttemptId &attempt)
{
    const std::vector<AttemptId> &running = upstream.announcement.running;
    return std::find(running.begin(), running.end(), attempt) != running.end();
}

} // namespace

std::vector<AttemptId> Leadership::findDepartedAttempts(
    const std::vector<LingeringAttempt> &lingeringAttempts, MonotonicTime now)
{
    std::vector<AttemptId> departedAttempts;
    for (const LingeringAttempt &lingeringAttempt : lingeringAttempts) {
        const MonotonicTime askedAt =
            firstAskedAt.try_emplace(lingeringAttempt.attempt, now).first->second;
        const Directory::Record *upstream = directory.find(lingeringAttempt.upstream);
        const bool hasDeparted = upstream != nullptr
            && (upstream->isGone
                || upstream->announcement.incarnation != lingeringAttempt.incarnation
                || (lastAnnouncedAt[lingeringAttempt.upstream] > askedAt
                    && !isRunning(*upstream, lingeringAttempt.attempt)));
        if (hasDeparted) {
            departedAttempts.push_back(lingeringAttempt.attempt);
            firstAskedAt.erase(lingeringAttempt.attempt);
        }
    }
    return departedAttempts;
}

std::vector<Work> Leadership::takeAdoptedWork(const EntryEpoch &entry, const StateMachine &state)
{
    std::vector<Work> adopted;
    for (const WorkId &id : std::exchange(pendingAdoptions[entry], {})) {
        const Work *work = state.findWork(id);
        if (work != nullptr && work->owner == entry) {
            adopted.push_back(*work);
        }
    }
    return adopted;
}

} // namespace crocusmill
