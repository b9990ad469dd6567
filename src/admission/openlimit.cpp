/// AIMD limit of open calls to the leader.

#include <crocusmill/openlimit.h>

#include <algorithm>

namespace crocusmill
{

namespace
{

/// A new sample has a weight of 1 / delaySampleCount in the mean.
constexpr std::int64_t delaySampleCount = 8;

} // namespace

OpenLimit::OpenLimit(const OpenLimitSettings &settings)
    : settings_(settings)
    , limit_(settings.initialLimit)
{
}

bool OpenLimit::take()
{
    if (open_ >= limit()) {
        return false;
    }
    ++open_;
    return true;
}

void OpenLimit::release()
{
    --open_;
}

void OpenLimit::recordAnswer(MonotonicTime sent, MonotonicTime now)
{
    const Microseconds delay = std::chrono::duration_cast<Microseconds>(now - sent);
    meanDelay_ += (delay - meanDelay_) / delaySampleCount;
    if (delay <= settings_.lateThreshold) {
        // If less than half of the limit is in use, an answer does not show that the leader could
        // handle more.
        if (static_cast<double>(open_) * 2 >= limit_) {
            limit_ = std::min(limit_ + 1 / limit_, settings_.maxLimit);
        }
        return;
    }
    if (sent >= lastLowered_) {
        limit_ = std::max(limit_ * settings_.decreaseFactor, settings_.minLimit);
        lastLowered_ = now;
    }
}

Milliseconds OpenLimit::retryAfter() const
{
    return std::chrono::ceil<Milliseconds>(meanDelay_);
}

std::size_t OpenLimit::openCount() const
{
    return open_;
}

std::size_t OpenLimit::limit() const
{
    return static_cast<std::size_t>(limit_);
}

} // namespace crocusmill
