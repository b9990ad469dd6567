/// Assembles the services of one process and runs them until it is told to end.

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
    /// `reload` reads the settings again; its seeds are taken over at SIGHUP.
    Daemon(Settings settings, std::function<Checked<Settings>()> reload);
    ~Daemon();

    /// Runs on the calling thread, which becomes the control thread, until SIGTERM or SIGINT has
    /// been followed through. Errors: those of the services' start.
    [[nodiscard]] Result<void> run();

private:
    [[nodiscard]] Result<void> startServices();
    /// Services that take the requests of callers, or those of the platform's adapter.
    [[nodiscard]] Result<void> addIngressServices(
        const std::vector<asio::io_context *> &traffic, ReplicaId replica);
    void startTraffic();
    void stopTraffic();
    /// The callers' ports of this process.
    [[nodiscard]] std::vector<Ingress *> ingresses();
    void awaitSignal();
    void awaitReload();
    void reload();
    /// Not ready; after the balancer's interval no new connections; then until all is finished.
    void beginShutdown();
    void awaitDrained(MonotonicTime deadline);

    Settings settings_;
    ControlLoop loop_;
    Metrics metrics_;
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
