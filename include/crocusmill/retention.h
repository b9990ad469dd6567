/// Decides which ended work and jobs are old enough to be removed from the journal's state.
///
/// Each replica notes from time to time what has ended so far, by its own steady clock, whether it
/// leads or not. So neither a jump of the time of day nor a change of the leader shortens the
/// retention; a restart of the process begins it anew. Pure.

#pragma once

#include <crocusmill/commands.h>

#include <deque>
#include <optional>

namespace crocusmill
{

class RetentionHistory
{
public:
    explicit RetentionHistory(Milliseconds retention);

    /// Returns whether note() should be called.
    [[nodiscard]] bool isDue(MonotonicTime now) const;
    /// Notes that `ends` has ended by `now`.
    void note(ForgetEndedUpTo ends, MonotonicTime now);
    /// Returns the newest note that is older than the retention, and drops older ones.
    [[nodiscard]] std::optional<ForgetEndedUpTo> takeExpired(MonotonicTime now);

private:
    struct Note
    {
        MonotonicTime notedAt;
        ForgetEndedUpTo ends;
    };

    Milliseconds retention_;
    // Invariant: in ascending order of time, and at most `retention_` divided by the interval of
    // notes, plus those that were not taken yet.
    std::deque<Note> notes_;
};

} // namespace crocusmill
