/// This entry's slots, queue and configuration, kept alive by beats to the leader.

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
