/// Connections to the other VMs: Cap'n Proto RPC over TLS with the shared key.

#pragma once

#include "src/net/controlloop.h"
#include "src/net/peerstream.h"
#include "src/services/interfaces.h"

#include <crocusmill/settings.h>

#include <memory>

namespace crocusmill
{

[[nodiscard]] std::unique_ptr<Service> makePeerService(
    ControlLoop &loop, const PeerSettings &settings, std::unique_ptr<PeerKey> key);

} // namespace crocusmill
