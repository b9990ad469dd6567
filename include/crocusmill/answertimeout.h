/// Timeout for the answer to a call, from the answer times of earlier calls.
///
/// Load pattern: a call that gets no answer must be repeated soon, but a busy caller or slow links
/// delay all answers, and repeating those calls adds load. As in TCP, the timeout is the smoothed
/// answer time plus four times its mean deviation, and repeated calls wait longer. Pure; owned by
/// the control thread.

#pragma once

#include <crocusmill/ids.h>

#include <cstdint>
#include <optional>

namespace crocusmill
{

struct AnswerTimeoutSettings
{
    Milliseconds minTimeout {100};
    /// Also the timeout until the first answer.
    Milliseconds maxTimeout {400};
};

class AnswerTimeout
{
public:
    explicit AnswerTimeout(const AnswerTimeoutSettings &settings = {});

    /// Records the time from sending a call to its answer.
    void recordAnswer(Microseconds duration);
    /// Returns the timeout of a call of which `unansweredCount` copies got no answer. It doubles
    /// with every second copy, as the answers may take longer than the timeout.
    [[nodiscard]] Milliseconds timeout(std::uint32_t unansweredCount = 0) const;

private:
    AnswerTimeoutSettings settings_;
    std::optional<Microseconds> mean_; // none: no answer yet
    Microseconds deviation_ {0}; // smoothed distance of answer times from the mean
};

} // namespace crocusmill
