/// The founding of a cell: once every voter that the settings name is there and none of them has
/// stored anything, the first of them states the membership.

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
    /// The journal is this VM's; it outlives the founding.
    Founding(asio::io_context &control, const Settings &settings, Peers &peers, Journal &journal);

    /// Asks the voters again and again until this replica belongs to a cell.
    void start();
    void stop();
    /// Where a member of a cell that this replica does not belong to yet is reached.
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

    std::map<NodeAddress, Member> founders_; // those that answered and have stored nothing
    std::map<ReplicaId, NodeAddress> members_;
};

} // namespace crocusmill
