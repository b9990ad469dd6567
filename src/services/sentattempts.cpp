/// Sent attempts, until their work has left.

#include "src/services/sentattempts.h"

namespace crocusmill
{

void SentAttempts::sent(const AttemptId &attempt, RequestId request, const UpstreamId &upstream,
    const Incarnation &incarnation)
{
    attempts_.emplace(attempt, Sent {request, upstream, incarnation, false});
}

std::optional<RequestId> SentAttempts::ended(const AttemptId &attempt, bool left)
{
    const auto found = attempts_.find(attempt);
    if (found == attempts_.end()) {
        return std::nullopt;
    }
    if (!left) {
        found->second.lingering = true;
        return std::nullopt;
    }
    const RequestId request = found->second.request;
    attempts_.erase(found);
    return request;
}

std::optional<RequestId> SentAttempts::departed(const AttemptId &attempt)
{
    const auto found = attempts_.find(attempt);
    if (found == attempts_.end() || !found->second.lingering) {
        return std::nullopt;
    }
    const RequestId request = found->second.request;
    attempts_.erase(found);
    return request;
}

std::vector<LingeringAttempt> SentAttempts::lingering() const
{
    std::vector<LingeringAttempt> left;
    for (const std::pair<const AttemptId, Sent> &known : attempts_) {
        if (known.second.lingering) {
            left.push_back({known.first, known.second.upstream, known.second.incarnation});
        }
    }
    return left;
}

} // namespace crocusmill
