/// Coalesces concurrent queries about the same job into one call to the leader.
///
/// Clients poll a job's state often and from several places. A known job does not become unknown,
/// so a query that arrives while the same one is open takes its answer if that answer names the
/// job. Any other answer may be older than the query, which then gets a call of its own.
/// Control thread only.

#pragma once

#include "src/services/interfaces.h"

#include <map>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

namespace crocusmill
{

class SharedQueries
{
public:
    /// Sends a call to the leader and calls `done` with the reply by the deadline.
    using SendCall =
        std::function<void(const Call &call, MonotonicTime deadline, ReplyHandler done)>;

    explicit SharedQueries(SendCall sendCall);

    /// Queries the leader. `call` must be a GraphCall that shows a job or a queue.
    void query(const Call &call, MonotonicTime deadline, ReplyHandler done);

private:
    using Key = std::tuple<std::string, std::string, Digest>; // host, path and the client's key

    struct Waiter
    {
        MonotonicTime deadline;
        ReplyHandler done;
    };

    struct OpenQuery
    {
        MonotonicTime deadline; // of its call
        std::vector<Waiter> waiters; // arrived before the call was sent
        std::vector<Waiter> laterWaiters; // arrived while the call was open
    };

    void startCall(const Call &call, const Key &key, std::vector<Waiter> waiters);
    void onReply(const Call &call, const Key &key, const Result<Reply> &reply);

    SendCall sendCall_;
    std::map<Key, OpenQuery> openQueries_;
};

} // namespace crocusmill
