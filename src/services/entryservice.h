/// The slots, queue and configuration of this entry, renewed by beats (heartbeats) to the leader.

#pragma once

#include "src/net/asio.h"
#include "src/services/interfaces.h"

#include <crocusmill/settings.h>

#include <memory>

namespace crocusmill
{

[[nodiscard]] std::unique_ptr<Service> makeEntryService(
    asio::io_context &control, const Settings &settings, ReplicaId replica);

} // namespace crocusmill
