/// How many calls a VM may have open to the leader at a time.
///
/// Load pattern: the leader is slow and alive. Each call more that is open to it makes all wait
/// longer and none more answered. Answers that come soon raise the limit by about one for each
/// limit's worth of them; late ones lower it by a share, once for each round of answers. Pure;
/// owned by the control thread.

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
    /// An answer that took longer says that too much is open.
    Milliseconds lateThreshold {500};
    /// Of the limit, left after a late answer.
    double decreaseFactor = 0.8;
};

class OpenLimit
{
public:
    explicit OpenLimit(const OpenLimitSettings &settings = {});

    /// One more call is open; false: it is one too many.
    [[nodiscard]] bool take();
    /// Gives back what was taken, without saying anything about the leader.
    void release();
    /// The leader has answered a call that was sent at `sent`.
    void recordAnswer(MonotonicTime sent, MonotonicTime now);
    /// What a call that was refused may wait before it is tried again: about one answer's time.
    [[nodiscard]] Milliseconds retryAfter() const;

    [[nodiscard]] std::size_t openCount() const;
    [[nodiscard]] std::size_t limit() const;

private:
    OpenLimitSettings settings_;
    double limit_;
    std::size_t open_ = 0;
    // Answers to what was sent before then do not lower the limit again.
    MonotonicTime lastLowered_ {};
    Microseconds meanDelay_ {0}; // of answers, smoothed
};

} // namespace crocusmill
