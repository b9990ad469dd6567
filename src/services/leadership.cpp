/// What upstreams' announcements prove.

#include "src/services/leadership.h"

#include <algorithm>

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
            && (upstream->gone || upstream->announcement.incarnation != line.incarnation
                || (announcedAt[line.upstream] > since && !isRunning(*upstream, line.attempt)));
        if (over) {
            left.push_back(line.attempt);
            lingering.erase(line.attempt);
        }
    }
    return left;
}

} // namespace crocusmill
