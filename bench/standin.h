/// A stand-in for upstreams: one process plays many, each on an address of its own.
///
/// It follows docs/API.md as an upstream would, takes its service times from the request, fails on
/// command, and judges: it counts what ran at once, every start for each key, and overlaps.

#pragma once

#include "src/net/httpserver.h"

#include <crocusmill/announcement.h>

#include <atomic>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace crocusmill::standin
{

/// Header by which a request states how long it takes to serve.
inline constexpr std::string_view serviceHeader = "X-Service-Us";

enum class Fault {
    None,
    FailEverything, // 500 at once
    Refuse, // 503 with Crocusmill-Not-Run
    CrossAnswers, // the answer names another attempt
    ShortAnswers, // the connection ends within the body
    Hang, // runs and never answers
    DropAfterRead, // closes when the request has been read, before it runs
};

struct Options
{
    EnvironmentName environment {"rocola"};
    Stage stage = Stage::Production;
    ServiceName service {"matching"};
    std::uint32_t count = 1;
    SlotCount slots {8};
    std::uint32_t connections = 60;
    std::uint16_t firstPort = 0;
    std::string idPrefix = "upstream-";
    std::vector<NodeAddress> entries;
    Milliseconds interval {500};
    std::uint32_t zones = 3;
};

/// What one stand-in saw; everything a promise is held against.
struct Observations
{
    std::uint64_t starts = 0;
    std::uint64_t startsOverSlots = 0; // starts while every declared slot was taken
    std::uint64_t overlaps = 0; // exclusive work that ran twice at once
    std::uint64_t startsAfterDrain = 0; // later than the allowed time after it said so
    std::uint32_t maxRunning = 0;
    std::uint32_t maxOpenConnections = 0; // of one upstream, at once
    std::map<std::string, std::uint32_t> startsByKey;
    std::set<std::string> startedAttempts;
};

/// The judgement's counts as JSON.
[[nodiscard]] std::string describe(const Observations &observations);

class StandIn
{
public:
    explicit StandIn(Options options);
    ~StandIn();

    /// Errors: HttpError::CannotListen.
    [[nodiscard]] Result<void> start();
    void stop();

    void setFault(std::uint32_t upstream, Fault fault);
    void setFaultForAll(Fault fault);
    void setSlots(std::uint32_t upstream, SlotCount slots);
    void drain(std::uint32_t upstream);
    /// Stops announcing, as a process would that is cut off; it goes on serving.
    void silence(std::uint32_t upstream, bool isSilent);
    /// Plays a restart: all that runs is gone, and the incarnation is new.
    void restart(std::uint32_t upstream);

    [[nodiscard]] Observations observations() const;
    [[nodiscard]] std::uint32_t runningNow() const;
    [[nodiscard]] UpstreamId idOf(std::uint32_t upstream) const;

private:
    struct Upstream;

    asio::awaitable<void> accept(Upstream &upstream);
    asio::awaitable<void> serve(Upstream &upstream, Tcp::socket socket);
    asio::awaitable<void> serveRequests(Upstream &upstream, Tcp::socket socket);
    asio::awaitable<bool> handleRequest(
        Upstream &upstream, beast::tcp_stream &stream, const HttpRequest &request);
    asio::awaitable<bool> awaitLease(Upstream &upstream, const AttemptId &attempt);
    asio::awaitable<bool> work(
        Upstream &upstream, const HttpRequest &request, const AttemptId &attempt);
    asio::awaitable<bool> writeAnswer(Upstream &upstream, beast::tcp_stream &stream,
        const HttpRequest &request, const AttemptId &attempt);
    asio::awaitable<void> announceForever(Upstream &upstream);
    asio::awaitable<void> announceOnce(Upstream &upstream);
    [[nodiscard]] std::string announcement(Upstream &upstream);
    void applyReply(Upstream &upstream, const std::string &body, MonotonicTime sent);
    void recordStart(Upstream &upstream, const std::string &key, const AttemptId &attempt);
    void recordEnd(
        Upstream &upstream, const std::string &key, const AttemptId &attempt, std::uint32_t status);

    Options options_;
    asio::io_context context_ {1};
    std::vector<std::unique_ptr<Upstream>> upstreams_;
    std::thread thread_;
    std::atomic<bool> isStopping_ {false};
    mutable std::mutex mutex_; // guards the judgement and what the setters change
    Observations observations_;
    std::map<std::string, std::uint32_t> runningKeys_;
};

} // namespace crocusmill::standin
