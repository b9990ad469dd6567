/// Start, signal handling and shutdown of the daemon.

#include "src/daemon/daemon.h"

#include "platform/platform.h"
#include "src/net/clock.h"
#include "src/net/log.h"
#include "src/services/clientservice.h"
#include "src/services/entryservice.h"
#include "src/services/journalservice.h"
#include "src/services/leaderservice.h"
#include "src/services/metricsservice.h"
#include "src/services/operators.h"
#include "src/services/peerservice.h"
#include "src/services/presence.h"

#include <csignal>
#include <fstream>
#include <random>

namespace crocusmill
{

namespace
{

constexpr Milliseconds drainPollInterval {20};

ReplicaId generateReplicaId()
{
    std::random_device random;
    // 53 bits, because JSON tools that store numbers as doubles round larger values.
    constexpr std::uint64_t mask = (1ULL << 53U) - 1;
    const std::uint64_t id = ((std::uint64_t {random()} << 32U) ^ random()) & mask;
    return ReplicaId {id == 0 ? 1 : id};
}

} // namespace

enum class TokenError { Unreadable = 1, TooShort };

template <> struct ErrorText<TokenError>
{
    static constexpr const char *category = "token";
    static std::string_view text(TokenError error)
    {
        return error == TokenError::Unreadable ? "the token file cannot be read"
                                               : "the token has fewer than 16 bytes";
    }
};

namespace
{

Result<std::string> readToken(const std::filesystem::path &file)
{
    constexpr std::size_t minTokenBytes = 16;
    std::ifstream in {file};
    std::string token;
    if (!in || !std::getline(in, token)) {
        return TokenError::Unreadable;
    }
    if (token.size() < minTokenBytes) {
        return TokenError::TooShort;
    }
    return token;
}

} // namespace

Daemon::Daemon(Settings settings, std::function<Checked<Settings>()> reload)
    : settings_(std::move(settings))
    , connections_(std::make_shared<ClientConnections>(settings_.entry.maxRequestMemory, &metrics_))
    , loopWatch_(loop_.context(), metrics_)
    , tracer_(settings_.trace, settings_.vm)
    , reload_(std::move(reload))
    , signals_(loop_.context(), SIGTERM, SIGINT)
    , reloadSignal_(loop_.context(), SIGHUP)
    , shutdownTimer_(loop_.context())
{
    for (std::uint32_t i = 0; i < settings_.entry.threads; ++i) {
        traffic_.push_back(std::make_unique<asio::io_context>(1));
    }
}

Daemon::~Daemon() = default;

Result<void> Daemon::startServices()
{
    asio::io_context &control = loop_.context();
    std::vector<asio::io_context *> traffic;
    for (const std::unique_ptr<asio::io_context> &context : traffic_) {
        traffic.push_back(context.get());
    }
    BOOST_OUTCOME_TRY(std::unique_ptr<PeerKey> key, PeerKey::load(settings_.peers.keyFile));
    BOOST_OUTCOME_TRY(std::string token, readToken(settings_.operators.tokenFile));
    std::unique_ptr<Storage> storage;
    ReplicaId replica;
    if (settings_.state) {
        BOOST_OUTCOME_TRY(storage, openFileStorage(settings_.state->folder, generateReplicaId()));
        replica = storage->identity();
    }
    kernel_.add(makePeerService(loop_, settings_.peers, std::move(key)));
    kernel_.add(makeJournalService(control, settings_, metrics_, std::move(storage),
        [this]() { asio::post(loop_.context(), [this]() { beginShutdown(); }); }));
    kernel_.add(makeLeaderService(control, settings_, metrics_, !settings_.platform.empty()));
    kernel_.add(makeClientService(control, settings_));
    BOOST_OUTCOME_TRY(addIngressServices(traffic, replica));
    if (settings_.metrics) {
        kernel_.add(makeMetricsService(traffic, *settings_.metrics, metrics_, connections_));
    }
    kernel_.add(makeOperatorService(control, traffic, settings_, token, metrics_, tracer_,
        connections_, [this]() { asio::post(loop_.context(), [this]() { beginShutdown(); }); }));
    return kernel_.start();
}

Result<void> Daemon::addIngressServices(
    const std::vector<asio::io_context *> &traffic, ReplicaId replica)
{
    asio::io_context &control = loop_.context();
    if (settings_.forwardsRequests) {
        kernel_.add(makeEntryService(control, settings_, replica));
        kernel_.add(
            makeIngressService(control, traffic, settings_, metrics_, tracer_, connections_));
    }
    if (settings_.platform.empty()) {
        return success();
    }
    kernel_.add(makePresenceService(control, settings_, replica, true));
    return platform::addServices(
        kernel_, {control, traffic, metrics_, settings_.entry, connections_}, settings_.platform);
}

void Daemon::startTraffic()
{
    for (const std::unique_ptr<asio::io_context> &context : traffic_) {
        threads_.emplace_back([&io = *context]() {
            const asio::executor_work_guard<asio::io_context::executor_type> work =
                asio::make_work_guard(io);
            io.run();
        });
    }
}

void Daemon::stopTraffic()
{
    for (const std::unique_ptr<asio::io_context> &context : traffic_) {
        context->stop();
    }
    for (std::thread &thread : threads_) {
        thread.join();
    }
    threads_.clear();
}

Result<void> Daemon::run()
{
    Result<void> outcome = success();
    asio::post(loop_.context(), [this, &outcome]() {
        outcome = startServices();
        if (!outcome) {
            loop_.stop();
            return;
        }
        startTraffic();
        awaitSignal();
        awaitReload();
        loopWatch_.start();
        logInfo("daemon.started", {{"process_ms", elapsedMs(processStartedAt, monotonicNow())}});
    });
    loop_.run([this]() {
        loopWatch_.stop();
        stopTraffic();
        kernel_.stop();
    });
    return outcome;
}

std::vector<Ingress *> Daemon::ingresses()
{
    std::vector<Ingress *> active;
    for (const std::string_view name : {names::ingress, names::front}) {
        if (Ingress *ingress = kernel_.find<Ingress>(name)) {
            active.push_back(ingress);
        }
    }
    return active;
}

void Daemon::awaitSignal()
{
    signals_.async_wait([this](const boost::system::error_code &error, int /*signal*/) {
        if (!error) {
            beginShutdown();
        }
    });
}

void Daemon::awaitReload()
{
    reloadSignal_.async_wait([this](const boost::system::error_code &error, int /*signal*/) {
        if (!error) {
            reload();
            awaitReload();
        }
    });
}

/// Applies the addresses of other VMs. All other settings need a restart.
void Daemon::reload()
{
    const Checked<Settings> checked = reload_();
    if (const Faults *faults = std::get_if<Faults>(&checked)) {
        logError("settings.reload_refused",
            {{"faults", std::uint64_t {faults->size()}}, {"first", faults->front().pointer}});
        return;
    }
    std::vector<NodeAddress> seeds;
    for (const VoterSettings &voter : std::get<Settings>(checked).peers.voters) {
        seeds.push_back(voter.address);
    }
    logInfo("settings.reloaded", {{"seeds", std::uint64_t {seeds.size()}}});
    kernel_.find<LeaderClient>(names::client)->learnSeeds(seeds);
}

void Daemon::beginShutdown()
{
    if (shuttingDown_) {
        return;
    }
    shuttingDown_ = true;
    logInfo("daemon.draining");
    if (Entry *entry = kernel_.find<Entry>(names::entry)) {
        entry->drain();
    }
    if (Presence *presence = kernel_.find<Presence>(names::presence)) {
        presence->drain();
    }
    shutdownTimer_.expires_after(settings_.entry.balancerInterval);
    shutdownTimer_.async_wait([this](const boost::system::error_code & /*error*/) {
        for (Ingress *ingress : ingresses()) {
            ingress->stopAccepting();
        }
        awaitDrained(std::chrono::steady_clock::now() + settings_.entry.drainTimeout);
    });
}

void Daemon::awaitDrained(MonotonicTime deadline)
{
    std::size_t unfinishedCount = 0;
    for (const Ingress *ingress : ingresses()) {
        unfinishedCount += ingress->inProgressCount();
    }
    const bool isPastDeadline = std::chrono::steady_clock::now() >= deadline;
    if (unfinishedCount == 0 || isPastDeadline) {
        if (unfinishedCount > 0) {
            logWarning(
                "daemon.drain_limit_reached", {{"unfinished", std::uint64_t {unfinishedCount}}});
        }
        logInfo("daemon.stopped");
        loop_.stop();
        return;
    }
    shutdownTimer_.expires_after(drainPollInterval);
    shutdownTimer_.async_wait(
        [this, deadline](const boost::system::error_code & /*error*/) { awaitDrained(deadline); });
}

} // namespace crocusmill
