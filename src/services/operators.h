/// HTTP port for operators: documents, lists, drains, traces and metrics, with a bearer token.

#pragma once

#include "src/net/httpserver.h"
#include "src/net/metrics.h"
#include "src/net/tracing.h"
#include "src/services/interfaces.h"

#include <crocusmill/settings.h>

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace crocusmill
{

/// `drain` starts the graceful shutdown of this process; it may be called on any thread.
[[nodiscard]] std::unique_ptr<Service> makeOperatorService(asio::io_context &control,
    std::vector<asio::io_context *> traffic, const Settings &settings, const std::string &token,
    Metrics &metrics, Tracer &tracer, std::shared_ptr<ClientConnections> connections,
    std::function<void()> drain);

} // namespace crocusmill
