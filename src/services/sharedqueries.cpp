/// Implementation of SharedQueries.

#include "src/services/sharedqueries.h"

#include <algorithm>

namespace crocusmill
{

namespace
{

bool hasJob(const Result<Reply> &reply)
{
    const GraphReply *graphReply = reply ? std::get_if<GraphReply>(&reply.value()) : nullptr;
    return graphReply != nullptr && graphReply->outcome == GraphOutcome::Done
        && !graphReply->pending;
}

bool isRefused(const Result<Reply> &reply)
{
    const GraphReply *graphReply = reply ? std::get_if<GraphReply>(&reply.value()) : nullptr;
    return graphReply != nullptr && graphReply->outcome == GraphOutcome::Refused;
}

} // namespace

SharedQueries::SharedQueries(SendCall sendCall)
    : sendCall_(std::move(sendCall))
{
}

void SharedQueries::query(const Call &call, MonotonicTime deadline, ReplyHandler done)
{
    const GraphCall &graphCall = std::get<GraphCall>(call);
    const Key key {graphCall.host, graphCall.path, graphCall.key.value_or(Digest {})};
    const auto it = openQueries_.find(key);
    if (it == openQueries_.end()) {
        startCall(call, key, {{deadline, std::move(done)}});
    } else if (deadline >= it->second.deadline) {
        it->second.laterWaiters.push_back({deadline, std::move(done)});
    } else {
        sendCall_(call, deadline, std::move(done)); // the open call may end after this deadline
    }
}

void SharedQueries::startCall(const Call &call, const Key &key, std::vector<Waiter> waiters)
{
    MonotonicTime deadline = waiters.front().deadline;
    for (const Waiter &waiter : waiters) {
        deadline = std::min(deadline, waiter.deadline);
    }
    openQueries_[key] = {deadline, std::move(waiters), {}};
    sendCall_(call, deadline,
        [this, call, key](const Result<Reply> &reply) { onReply(call, key, reply); });
}

void SharedQueries::onReply(const Call &call, const Key &key, const Result<Reply> &reply)
{
    auto it = openQueries_.find(key);
    OpenQuery openQuery = std::move(it->second);
    openQueries_.erase(it);
    // A refusal describes the load of the leader, so it applies to all queries.
    if (hasJob(reply) || isRefused(reply)) {
        std::move(openQuery.laterWaiters.begin(), openQuery.laterWaiters.end(),
            std::back_inserter(openQuery.waiters));
        openQuery.laterWaiters.clear();
    }
    if (!openQuery.laterWaiters.empty()) {
        startCall(call, key, std::move(openQuery.laterWaiters));
    }
    for (const Waiter &waiter : openQuery.waiters) {
        waiter.done(reply);
    }
}

} // namespace crocusmill
