/// What upstreams' announcements prove, and what entries are told.

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

std::vector<AttemptId> Leadership::departed(
    const std::vector<LingeringAttempt> &asked, MonotonicTime now)
{
    std::vector<AttemptId> left;
    for (const LingeringAttempt &line : asked) {
        const MonotonicTime since = lingering.try_emplace(line.attempt, now).first->second;
        const Directory::Record *upstream = directory.find(line.upstream);
        const bool over = upstream != nullptr
            && (upstream->isGone || upstream->announcement.incarnation != line.incarnation
                || (announcedAt[line.upstream] > since && !isRunning(*upstream, line.attempt)));
        if (over) {
            left.push_back(line.attempt);
            lingering.erase(line.attempt);
        }
    }
    return left;
}

std::vector<Work> Leadership::adoptedBy(const EntryEpoch &entry, const StateMachine &state)
{
    std::vector<Work> adopted;
    for (const WorkId &id : std::exchange(adoptions[entry], {})) {
        const Work *work = state.findWork(id);
        if (work != nullptr && work->owner == entry) {
            adopted.push_back(*work);
        }
    }
    return adopted;
}

} // namespace crocusmill
