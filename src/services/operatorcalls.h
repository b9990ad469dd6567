/// Handles operator calls on the leader: lists, drains, replacement of members.

#pragma once

#include "src/services/interfaces.h"
#include "src/services/leadership.h"

#include <functional>

namespace crocusmill
{

class OperatorCalls
{
public:
    /// `leadership` is null while this VM does not lead; all arguments by reference must outlive
    /// this object.
    OperatorCalls(
        Journal &journal, const std::unique_ptr<Leadership> &leadership, NodeAddress self);

    void handle(const OperatorCall &call, const ReplyHandler &done);
    /// Returns whether the upstream announced draining or an operator drains it.
    [[nodiscard]] bool isDraining(const Announcement &announcement) const;

private:
    [[nodiscard]] std::string list(OperatorAction action) const;
    void drainUpstream(const UpstreamId &id, bool shouldDrain, const ReplyHandler &done);
    void drainWorker(const WorkerId &id, bool shouldDrain, const ReplyHandler &done);
    /// Proposes an operator's command. `onApplied` runs after the command was applied, if
    /// this VM still leads the same term.
    void proposeCommand(
        const Command &command, const ReplyHandler &done, const std::function<void()> &onApplied);

    Journal &journal_;
    const std::unique_ptr<Leadership> &leadership_;
    NodeAddress self_;
};

} // namespace crocusmill
