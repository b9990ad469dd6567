/// Runs the duties of the journal's leader: directory of upstreams, slots, leases, recovery.

#pragma once

#include "src/net/asio.h"
#include "src/net/metrics.h"
#include "src/services/interfaces.h"

#include <crocusmill/settings.h>

#include <memory>

namespace crocusmill
{

/// `callsWorkers`: the kernel has a WorkerLink and a TicketOffice.
[[nodiscard]] std::unique_ptr<Service> makeLeaderService(asio::io_context &control,
    const Settings &settings, Metrics &metrics, bool callsWorkers = false);

} // namespace crocusmill
