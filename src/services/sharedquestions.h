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

class SharedQuestions
{
public:
    /// Carries a call to the leader and tells the reply, at the time given at the latest.
    using Ask = std::function<void(const Call &call, MonotonicTime until, ReplyHandler done)>;

    explicit SharedQuestions(Ask ask);

    /// `call` is a GraphCall that shows a job or a queue.
    void ask(const Call &call, MonotonicTime until, ReplyHandler done);

private:
    using Key = std::pair<std::string, std::string>; // host and path

    struct Waiting
    {
        MonotonicTime until;
        ReplyHandler done;
    };

    struct Open
    {
        MonotonicTime until; // its call is given up
        std::vector<Waiting> askers; // before the call was made
        std::vector<Waiting> later;
    };

    void begin(const Call &call, const Key &key, std::vector<Waiting> askers);
    void answered(const Call &call, const Key &key, const Result<Reply> &reply);

    Ask ask_;
    std::map<Key, Open> open_;
};

} // namespace crocusmill
