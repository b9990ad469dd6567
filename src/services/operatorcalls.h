/// What operators ask of the leader: lists, drains, members; a part of the leader.

#pragma once

#include "src/services/interfaces.h"
#include "src/services/leadership.h"

#include <functional>

namespace crocusmill
{

class OperatorCalls
{
public:
    /// `lead` is null while this VM does not lead; all outlive this object.
    OperatorCalls(
        Journal &journal, const std::unique_ptr<Leadership> &leadership, NodeAddress self);

    void handle(const OperatorCall &call, const ReplyHandler &done);
    /// By its own word or an operator's.
    [[nodiscard]] bool isDraining(const Announcement &announcement) const;

private:
    [[nodiscard]] std::string list(OperatorAction action) const;
    void drainUpstream(const UpstreamId &id, bool shouldDrain, const ReplyHandler &done);
    void drainWorker(const WorkerId &id, bool shouldDrain, const ReplyHandler &done);
    /// Records an operator's wish; `applied` runs while this VM still leads in the same term.
    void proposeCommand(
        const Command &command, const ReplyHandler &done, const std::function<void()> &onApplied);

    Journal &journal_;
    const std::unique_ptr<Leadership> &leadership_;
    NodeAddress self_;
};

} // namespace crocusmill
