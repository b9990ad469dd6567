/// Logs why calls to the leader were not served: at most one "calls.unserved" record for each
/// reason and second.

#pragma once

#include "src/net/loglimiter.h"
#include "src/wire/calls.h"

#include <crocusmill/error.h>

#include <cstddef>
#include <optional>

namespace crocusmill
{

enum class UnservedReason {
    OpenLimit, // not sent: too many calls of this VM were open
    NoLeader, // only redirected, until the caller's timeout
    LeaderRefused,
    Unanswered,
};

[[nodiscard]] std::string_view text(UnservedReason reason);

/// Returns why a call with this reply was not served; nothing if it was.
[[nodiscard]] std::optional<UnservedReason> unservedReason(const Result<Reply> &reply);

class UnservedCalls
{
public:
    /// What this VM knew when it gave the call up.
    struct Context
    {
        std::optional<NodeAddress> lastAsked; // for this call
        std::optional<NodeAddress> knownLeader;
        MonotonicTime lastLeaderContact; // unset: never
        Milliseconds waited {0};
        std::size_t openCalls = 0;
        std::size_t limit = 0; // of open calls
    };

    void record(UnservedReason reason, const Context &context, MonotonicTime now);

private:
    LogLimiter records_ {Milliseconds {1'000}};
};

} // namespace crocusmill
