/// Serves counters and distributions in the Prometheus text format on a separate address.

#pragma once

#include "src/net/httpserver.h"
#include "src/net/metrics.h"
#include "src/services/interfaces.h"

#include <memory>
#include <vector>

namespace crocusmill
{

[[nodiscard]] std::unique_ptr<Service> makeMetricsService(std::vector<asio::io_context *> traffic,
    const NodeAddress &listen, const Metrics &metrics,
    std::shared_ptr<ClientConnections> connections);

} // namespace crocusmill
