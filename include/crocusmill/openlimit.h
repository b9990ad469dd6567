/// Adaptive concurrency limit for calls from a VM to the leader.
///
/// When the leader is alive but slow, more open calls increase every caller's wait without raising
/// throughput. The limit follows additive increase, multiplicative decrease (AIMD): each `limit`
/// timely answers raise it by about one, and late answers lower it by a factor, at most once per
/// round trip. No I/O; owned by the control thread.

#pragma once

#include <crocusmill/ids.h>

#include <cstddef>

namespace crocusmill
{

struct OpenLimitSettings
{
    double initialLimit = 64;
    double minLimit = 4;
    double maxLimit = 1'024;
    /// Answers slower than this lower the limit.
    Milliseconds lateThreshold {500};
    /// Factor applied to the limit after a late answer.
    double decreaseFactor = 0.8;
};

class OpenLimit
{
public:
    explicit OpenLimit(const OpenLimitSettings &settings = {});

    /// Opens a call; returns false if the limit is reached.
    [[nodiscard]] bool take();
    /// Closes a call. Does not change the limit.
    void release();
    /// Adjusts the limit after the leader answered a call sent at `sent`.
    void recordAnswer(MonotonicTime sent, MonotonicTime now);
    /// Returns the delay before a refused call may be retried: the mean answer time.
    [[nodiscard]] Milliseconds retryAfter() const;

    [[nodiscard]] std::size_t openCount() const;
    [[nodiscard]] std::size_t limit() const;

private:
    OpenLimitSettings settings_;
    double limit_;
    std::size_t open_ = 0;
    // Late answers to calls sent before this do not lower the limit again.
    MonotonicTime lastLowered_ {};
    Microseconds meanDelay_ {0}; // smoothed answer time
};

} // namespace crocusmill
