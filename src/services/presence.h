/// Keeps this VM in touch with the leader and says whether it is.

#pragma once

#include "src/net/asio.h"
#include "src/services/interfaces.h"

#include <crocusmill/settings.h>

#include <memory>

namespace crocusmill
{

/// `asksForTickets`: this VM answers TicketCall.
[[nodiscard]] std::unique_ptr<Service> makePresenceService(
    asio::io_context &control, const Settings &settings, ReplicaId replica, bool asksForTickets);

} // namespace crocusmill
