/// Attempts that an entry has sent and whose slots it holds.

#pragma once

#include "src/wire/calls.h"

#include <crocusmill/admission.h>

#include <map>
#include <optional>
#include <vector>

namespace crocusmill
{

class SentAttempts
{
public:
    void add(const AttemptId &attempt, RequestId request, const UpstreamId &upstream,
        const Incarnation &incarnation);
    /// The attempt is over for its caller. The request whose slot is free now, when its work has
    /// `left` the upstream; else the attempt lingers until departed().
    [[nodiscard]] std::optional<RequestId> onEnded(const AttemptId &attempt, bool hasLeft);
    /// The upstream's announcements show that a lingering attempt has left; the request whose slot
    /// is free now.
    [[nodiscard]] std::optional<RequestId> onDeparted(const AttemptId &attempt);
    [[nodiscard]] std::vector<LingeringAttempt> lingeringAttempts() const;

private:
    struct SentAttempt
    {
        RequestId request;
        UpstreamId upstream;
        Incarnation incarnation;
        bool isLingering = false; // ended without proof that it has left the upstream
    };

    // Invariant: one element for each slot that is taken.
    std::map<AttemptId, SentAttempt> attempts_;
};

} // namespace crocusmill
