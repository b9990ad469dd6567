/// Implementation of RetentionHistory.

#include <crocusmill/retention.h>

#include <utility>

namespace crocusmill
{

namespace
{

constexpr Milliseconds noteInterval {10'000};

} // namespace

RetentionHistory::RetentionHistory(Milliseconds retention)
    : retention_(retention)
{
}

bool RetentionHistory::isDue(MonotonicTime now) const
{
    return notes_.empty() || now - notes_.back().notedAt >= noteInterval;
}

void RetentionHistory::note(ForgetEndedUpTo ends, MonotonicTime now)
{
    notes_.push_back({now, std::move(ends)});
}

std::optional<ForgetEndedUpTo> RetentionHistory::takeExpired(MonotonicTime now)
{
    std::optional<ForgetEndedUpTo> newest;
    while (!notes_.empty() && now - notes_.front().notedAt > retention_) {
        newest = std::move(notes_.front().ends);
        notes_.pop_front();
    }
    return newest;
}

} // namespace crocusmill
