/// The callers' port: routing by host and path, later asks, announcements, jobs, readiness.

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

/// What the daemon needs to shut the callers' port down gracefully. Control thread.
class Ingress
{
public:
    virtual ~Ingress() = default;

    virtual void stopAccepting() = 0;
    /// Requests and detached work in progress.
    [[nodiscard]] virtual std::size_t inProgressCount() const = 0;
};

[[nodiscard]] std::unique_ptr<Service> makeIngressService(asio::io_context &control,
    std::vector<asio::io_context *> traffic, const Settings &settings, Metrics &metrics,
    Tracer &tracer);

} // namespace crocusmill
