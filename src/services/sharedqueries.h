/// Questions about the same job that are open at a time share one call to the leader.
///
/// Clients ask for a job's state again and again, and from several places. What is known of a job
/// does not become unknown, so a question that comes while the same one is open takes its answer
/// when that names the job. Any other answer may be older than the question: it is asked then.
/// Only for the control thread.

#pragma once

#include "src/services/interfaces.h"

#include <map>
#include <string>
#include <utility>
#include <vector>

namespace crocusmill
{

class SharedQueries
{
public:
    /// Carries a call to the leader and tells the reply, at the time given at the latest.
    using SendCall =
        std::function<void(const Call &call, MonotonicTime deadline, ReplyHandler done)>;

    explicit SharedQueries(SendCall sendCall);

    /// `call` is a GraphCall that shows a job or a queue.
    void query(const Call &call, MonotonicTime deadline, ReplyHandler done);

private:
    using Key = std::pair<std::string, std::string>; // host and path

    struct Waiter
    {
        MonotonicTime deadline;
        ReplyHandler done;
    };

    struct OpenQuery
    {
        MonotonicTime deadline; // its call is given up
        std::vector<Waiter> waiters; // before the call was made
        std::vector<Waiter> laterWaiters;
    };

    void startCall(const Call &call, const Key &key, std::vector<Waiter> waiters);
    void onReply(const Call &call, const Key &key, const Result<Reply> &reply);

    SendCall sendCall_;
    std::map<Key, OpenQuery> openQueries_;
};

} // namespace crocusmill
