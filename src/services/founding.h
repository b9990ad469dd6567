/// Forms a new cell: once every voter in the settings answers and none has stored anything, the
/// first voter sets the membership.

#pragma once

#include "src/net/asio.h"
#include "src/services/interfaces.h"

#include <crocusmill/settings.h>

#include <map>
#include <optional>

namespace crocusmill
{

class Founding
{
public:
    /// `journal` is the journal of this VM and must outlive this object.
    Founding(asio::io_context &control, const Settings &settings, Peers &peers, Journal &journal);

    /// Queries the voters periodically until this replica belongs to a cell.
    void start();
    void stop();
    /// Returns the address of a member of a formed cell that this replica has not joined yet.
    [[nodiscard]] std::optional<NodeAddress> addressOf(ReplicaId replica) const;

private:
    void queryVoters();
    void onHelloReply(const VoterSettings &voter, const HelloReply &hello);
    void formCell();

    Settings settings_;
    Peers &peers_;
    Journal &journal_;
    asio::steady_timer timer_;
    [[nodiscard]] bool isSelf(const VoterSettings &voter) const;

    std::map<NodeAddress, Member> founders_; // voters that answered and have stored nothing
    std::map<ReplicaId, NodeAddress> members_;
};

} // namespace crocusmill
