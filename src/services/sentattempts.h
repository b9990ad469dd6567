/// Attempts that an entry has sent and whose slots are still taken.

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
    /// Records that the attempt has ended for its caller. If its work `hasLeft` the upstream,
    /// returns the request whose slot is free now. Otherwise the attempt lingers until
    /// onDeparted().
    [[nodiscard]] std::optional<RequestId> onEnded(const AttemptId &attempt, bool hasLeft);
    /// Records that the upstream's announcements no longer list a lingering attempt. Returns the
    /// request whose slot is free now.
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

    // Invariant: one element for each taken slot.
    std::map<AttemptId, SentAttempt> attempts_;
};

} // namespace crocusmill
