/// Answers to clients' questions about queues and jobs, from a state that the test drives.

#pragma once

#include "src/services/graphcallhandler.h"

namespace crocusmill::fakes
{

/// Journal of a leader that shows a given state and records nothing.
class JournalView final : public Journal
{
public:
    explicit JournalView(const StateMachine &state)
        : state_(state)
        , consensus_(ReplicaId {1}, {}, {}, 1, MonotonicTime {})
    {
    }

    void propose(const Command & /*command*/, ProposeHandler done) override
    {
        done(ConsensusError::NotLeader);
    }

    bool isLeading() const override
    {
        return true;
    }

    bool isFormed() const override
    {
        return true;
    }

    std::optional<NodeAddress> leader() const override
    {
        return std::nullopt;
    }

    const StateMachine &state() const override
    {
        return state_;
    }

    const Consensus *consensus() const override
    {
        return &consensus_;
    }

    HelloReply hello() const override
    {
        return {};
    }

    bool form(const Membership & /*membership*/) override
    {
        return false;
    }

    void offerReplica(
        const VmId & /*vm*/, ReplicaId /*replica*/, const NodeAddress & /*address*/) override
    {
    }

    Result<void> replace(const VmId & /*vm*/) override
    {
        return ConsensusError::NoSuchMember;
    }

private:
    const StateMachine &state_;
    Consensus consensus_;
};

/// Returns a queue whose prefix is its name.
inline Queue queueNamed(const QueueName &name)
{
    Queue queue;
    queue.name = name;
    queue.host = "desk.example";
    queue.prefix = "/" + name.value() + "/";
    queue.service = ServiceName {"matching"};
    return queue;
}

inline InstallCatalog catalogOf(const std::vector<QueueName> &names)
{
    InstallCatalog install;
    install.catalog.version = DocumentVersion {1};
    for (const QueueName &name : names) {
        install.catalog.queues.push_back(queueNamed(name));
    }
    return install;
}

/// Returns the leader's answer about a job, or about the queue for an empty id. The catalog must
/// have the queue.
inline GraphReply answerAbout(
    const StateMachine &state, const QueueName &queue, const GraphId &id = {})
{
    JournalView journal {state};
    GraphCallHandler handler {journal, []() {
                              }};
    GraphCall call;
    call.host = queueNamed(queue).host;
    call.path = queueNamed(queue).prefix + id.value();
    GraphReply answer;
    handler.handle(call,
        [&answer](const Result<Reply> &reply) { answer = std::get<GraphReply>(reply.value()); });
    return answer;
}

/// Returns the number of waiting jobs as clients read it.
inline std::uint64_t pendingCountOf(const StateMachine &state, const QueueName &queue)
{
    return answerAbout(state, queue).pending.value();
}

} // namespace crocusmill::fakes
