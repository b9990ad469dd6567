/// Implementation of SentAttempts.

#include "src/services/sentattempts.h"

namespace crocusmill
{

void SentAttempts::add(const AttemptId &attempt, RequestId request, const UpstreamId &upstream,
    const Incarnation &incarnation)
{
    attempts_.emplace(attempt, SentAttempt {request, upstream, incarnation, false});
}

std::optional<RequestId> SentAttempts::onEnded(const AttemptId &attempt, bool hasLeft)
{
    const auto it = attempts_.find(attempt);
    if (it == attempts_.end()) {
        return std::nullopt;
    }
    if (!hasLeft) {
        it->second.isLingering = true;
        return std::nullopt;
    }
    const RequestId request = it->second.request;
    attempts_.erase(it);
    return request;
}

std::optional<RequestId> SentAttempts::onDeparted(const AttemptId &attempt)
{
    const auto it = attempts_.find(attempt);
    if (it == attempts_.end() || !it->second.isLingering) {
        return std::nullopt;
    }
    const RequestId request = it->second.request;
    attempts_.erase(it);
    return request;
}

std::vector<LingeringAttempt> SentAttempts::lingeringAttempts() const
{
    std::vector<LingeringAttempt> lingeringAttempts;
    for (const std::pair<const AttemptId, SentAttempt> &entry : attempts_) {
        if (entry.second.isLingering) {
            lingeringAttempts.push_back(
                {entry.first, entry.second.upstream, entry.second.incarnation});
        }
    }
    return lingeringAttempts;
}

} // namespace crocusmill
