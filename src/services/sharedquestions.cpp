/// One call for questions that are the same.

#include "src/services/sharedquestions.h"

#include <algorithm>

namespace crocusmill
{

namespace
{

bool namesJob(const Result<Reply> &reply)
{
    const GraphReply *known = reply ? std::get_if<GraphReply>(&reply.value()) : nullptr;
    return known != nullptr && known->outcome == GraphOutcome::Done && !known->pending;
}

bool isRefused(const Result<Reply> &reply)
{
    const GraphReply *known = reply ? std::get_if<GraphReply>(&reply.value()) : nullptr;
    return known != nullptr && known->outcome == GraphOutcome::Refused;
}

} // namespace

SharedQuestions::SharedQuestions(Ask ask)
    : ask_(std::move(ask))
{
}

void SharedQuestions::ask(const Call &call, MonotonicTime until, ReplyHandler done)
{
    const GraphCall &question = std::get<GraphCall>(call);
    const Key key {question.host, question.path};
    const auto found = open_.find(key);
    if (found == open_.end()) {
        begin(call, key, {{until, std::move(done)}});
    } else if (until >= found->second.until) {
        found->second.later.push_back({until, std::move(done)});
    } else {
        ask_(call, until, std::move(done)); // it cannot wait that long
    }
}

void SharedQuestions::begin(const Call &call, const Key &key, std::vector<Waiting> askers)
{
    MonotonicTime until = askers.front().until;
    for (const Waiting &asker : askers) {
        until = std::min(until, asker.until);
    }
    open_[key] = {until, std::move(askers), {}};
    ask_(
        call, until, [this, call, key](const Result<Reply> &reply) { answered(call, key, reply); });
}

void SharedQuestions::answered(const Call &call, const Key &key, const Result<Reply> &reply)
{
    auto found = open_.find(key);
    Open open = std::move(found->second);
    open_.erase(found);
    // A refusal says how busy the leader is, whoever asked first.
    if (namesJob(reply) || isRefused(reply)) {
        std::move(open.later.begin(), open.later.end(), std::back_inserter(open.askers));
        open.later.clear();
    }
    if (!open.later.empty()) {
        begin(call, key, std::move(open.later));
    }
    for (const Waiting &asker : open.askers) {
        asker.done(reply);
    }
}

} // namespace crocusmill
