/// Conversion of consensus messages to and from Cap'n Proto.

#pragma once

#include "proto/peer.capnp.h"

#include <crocusmill/consensus.h>

namespace crocusmill
{

void writeMessage(const Message &message, rpc::ConsensusMessage::Builder out);

/// Errors: PeerError::Undecodable.
[[nodiscard]] Result<Message> readMessage(rpc::ConsensusMessage::Reader in);

} // namespace crocusmill
