/// Sends heartbeats to the leader and reports the readiness of this VM.

#pragma once

#include "src/net/asio.h"
#include "src/services/interfaces.h"

#include <crocusmill/settings.h>

#include <memory>

namespace crocusmill
{

/// `asksForTickets`: this VM handles TicketCall.
[[nodiscard]] std::unique_ptr<Service> makePresenceService(
    asio::io_context &control, const Settings &settings, ReplicaId replica, bool asksForTickets);

} // namespace crocusmill
