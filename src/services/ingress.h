/// The HTTP port for callers: routing by host and path, work status, announcements, jobs,
/// readiness.

#pragma once

#include "src/net/httpserver.h"
#include "src/net/metrics.h"
#include "src/net/tracing.h"
#include "src/services/interfaces.h"

#include <crocusmill/settings.h>

#include <memory>
#include <vector>

namespace crocusmill
{

/// Graceful shutdown of the callers' port. Control thread only.
class Ingress
{
public:
    virtual ~Ingress() = default;

    virtual void stopAccepting() = 0;
    /// Returns the number of requests and detached work in progress.
    [[nodiscard]] virtual std::size_t inProgressCount() const = 0;
};

[[nodiscard]] std::unique_ptr<Service> makeIngressService(asio::io_context &control,
    std::vector<asio::io_context *> traffic, const Settings &settings, Metrics &metrics,
    Tracer &tracer, std::shared_ptr<ClientConnections> connections);

} // namespace crocusmill
