/// Implementation of UnservedCalls.

#include "src/services/unservedcalls.h"

#include "src/net/clock.h"
#include "src/net/log.h"

namespace crocusmill
{

namespace
{

std::string ipOf(const std::optional<NodeAddress> &address)
{
    return address ? address->ip : std::string {};
}

} // namespace

std::string_view text(UnservedReason reason)
{
    switch (reason) {
    case UnservedReason::OpenLimit:
        return "open_limit";
    case UnservedReason::NoLeader:
        return "no_leader";
    case UnservedReason::LeaderRefused:
        return "leader_refused";
    case UnservedReason::Unanswered:
        return "unanswered";
    }
    return "unknown";
}

std::optional<UnservedReason> unservedReason(const Result<Reply> &reply)
{
    if (!reply) {
        return UnservedReason::Unanswered;
    }
    const GraphReply *graphReply = std::get_if<GraphReply>(&reply.value());
    if (graphReply == nullptr || graphReply->outcome != GraphOutcome::Refused) {
        return std::nullopt;
    }
    switch (graphReply->refusedBy) {
    case RefusalOrigin::Leader:
        return UnservedReason::LeaderRefused;
    case RefusalOrigin::OpenLimit:
        return UnservedReason::OpenLimit;
    case RefusalOrigin::NoLeader:
        return UnservedReason::NoLeader;
    }
    return std::nullopt;
}

void UnservedCalls::record(UnservedReason reason, const Context &context, MonotonicTime now)
{
    const std::optional<std::uint64_t> leftOut = records_.admit(text(reason), now);
    if (!leftOut) {
        return;
    }
    const bool hadContact = context.lastLeaderContact != MonotonicTime {};
    logInfo("calls.unserved",
        {{"reason", text(reason)}, {"left_out", *leftOut}, {"last_asked", ipOf(context.lastAsked)},
            {"leader", ipOf(context.knownLeader)},
            {"leader_heard_ms", hadContact ? elapsedMs(context.lastLeaderContact, now) : 0},
            {"waited_ms", static_cast<std::uint64_t>(context.waited.count())},
            {"open", std::uint64_t {context.openCalls}}, {"limit", std::uint64_t {context.limit}}});
}

} // namespace crocusmill
