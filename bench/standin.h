/// Simulated upstreams: one process serves many, each on its own port.
///
/// A stand-in follows docs/API.md, takes service times from the requests and injects faults. It
/// counts concurrent requests, the starts of each key and overlapping runs.

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

/// Request header with the service time in microseconds.
inline constexpr std::string_view serviceHeader = "X-Service-Us";

enum class Fault {
    None,
    FailEverything, // answers 500 immediately
    Refuse, // answers 503 with Crocusmill-Not-Run
    CrossAnswers, // the response names another attempt
    ShortAnswers, // closes the connection in the middle of the body
    Hang, // runs the request and never answers
    DropAfterRead, // closes the connection after reading the request, without running it
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

/// What the upstreams of one stand-in saw. Tests compare it with the responses of clients.
struct Observations
{
    std::uint64_t starts = 0;
    std::uint64_t startsOverSlots = 0; // starts while all declared slots were in use
    std::uint64_t overlaps = 0; // starts of a key that was already running
    std::uint64_t startsAfterDrain = 0; // starts after the grace period of a drain
    std::uint32_t maxRunning = 0;
    std::uint32_t maxOpenConnections = 0; // open at once to one upstream
    std::map<std::string, std::uint32_t> startsByKey;
    std::set<std::string> startedAttempts;
};

/// Returns the counts as JSON.
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
    /// Stops or resumes announcements, like a partitioned process. Requests are still served.
    void silence(std::uint32_t upstream, bool isSilent);
    /// Simulates a restart: running requests are lost and the incarnation changes.
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
    mutable std::mutex mutex_; // guards observations_, runningKeys_ and the upstreams
    Observations observations_;
    std::map<std::string, std::uint32_t> runningKeys_;
};

} // namespace crocusmill::standin
