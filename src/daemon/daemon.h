/// Runs the services of one process until it receives a signal to stop.

#pragma once

#include "src/net/controlloop.h"
#include "src/net/loopwatch.h"
#include "src/net/metrics.h"
#include "src/net/tracing.h"
#include "src/services/ingress.h"
#include "src/services/interfaces.h"

#include <crocusmill/settings.h>

#include <functional>
#include <memory>
#include <thread>
#include <vector>

namespace crocusmill
{

class Daemon
{
public:
    /// `reload` reads the settings again. At SIGHUP the daemon applies their peer addresses.
    Daemon(Settings settings, std::function<Checked<Settings>()> reload);
    ~Daemon();

    /// Runs on the calling thread, which becomes the control thread, until the shutdown after
    /// SIGTERM or SIGINT is complete. Errors: those of starting the services.
    [[nodiscard]] Result<void> run();

private:
    [[nodiscard]] Result<void> startServices();
    /// Adds the services that receive requests, and those of the platform adapter if one is set.
    [[nodiscard]] Result<void> addIngressServices(
        const std::vector<asio::io_context *> &traffic, ReplicaId replica);
    void startTraffic();
    void stopTraffic();
    /// Returns the services of this process that accept client connections.
    [[nodiscard]] std::vector<Ingress *> ingresses();
    void awaitSignal();
    void awaitReload();
    void reload();
    /// Reports not ready, stops accepting connections after the balancer's interval, then waits
    /// for open requests.
    void beginShutdown();
    void awaitDrained(MonotonicTime deadline);

    Settings settings_;
    ControlLoop loop_;
    Metrics metrics_;
    std::shared_ptr<ClientConnections> connections_;
    LoopWatch loopWatch_;
    Tracer tracer_;
    Kernel kernel_;
    std::vector<std::unique_ptr<asio::io_context>> traffic_;
    std::vector<std::thread> threads_;
    std::function<Checked<Settings>()> reload_;
    asio::signal_set signals_;
    asio::signal_set reloadSignal_;
    asio::steady_timer shutdownTimer_;
    bool shuttingDown_ = false;
};

} // namespace crocusmill
