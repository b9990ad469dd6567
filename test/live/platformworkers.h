/// Workers and a ticket office of the users' platform, served on loopback by one thread.
///
/// They outlive the daemons, as the platform's own machines do when only VMs lose power. All public
/// functions may be called from any thread.

#pragma once

#include "src/net/httpclient.h"
#include "src/net/httpserver.h"

#include <boost/json.hpp>

#include <atomic>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace crocusmill::live
{

/// What the workers were asked and did, in the order of the events.
struct WorkerEvent
{
    enum class Kind { Heartbeat, Hold, Start, Stop };

    Kind kind = Kind::Hold;
    std::string worker;
    std::string task; // of a start or stop
    MonotonicTime at {};
    bool isFirst = false; // a start that began the run, or an accepted heartbeat
};

struct PlatformOptions
{
    std::uint32_t workers = 16;
    std::uint32_t milliCores = 8'000; // of each worker
    Milliseconds taskDuration {1'500};
    Milliseconds heartbeatInterval {1'500};
    std::vector<NodeAddress> control; // of the VMs that take heartbeats
};

class PlatformWorkers
{
public:
    /// Uses 127.0.`network`.N for the workers and the office.
    PlatformWorkers(std::uint8_t network, PlatformOptions options);
    ~PlatformWorkers();
    PlatformWorkers(const PlatformWorkers &) = delete;
    PlatformWorkers &operator=(const PlatformWorkers &) = delete;

    [[nodiscard]] NodeAddress office() const;
    /// While set, start orders get no answer and are carried out after `delay`.
    void delayStarts(std::optional<Milliseconds> delay);
    /// Returns the events since `since`.
    [[nodiscard]] std::vector<WorkerEvent> eventsSince(MonotonicTime since) const;
    /// Returns the tasks of the job that have ended successfully.
    [[nodiscard]] std::size_t finishedCount(const std::string &job) const;
    /// Returns the number of tasks that two runs had at the same time, or that began again after
    /// an acknowledged success.
    [[nodiscard]] std::size_t repeatedCount() const;

private:
    class Worker;
    class Office;

    void record(WorkerEvent event);
    void recordStart(const std::string &task);
    void recordEnd(const std::string &task, bool succeeded, bool acknowledged);

    PlatformOptions options_;
    std::string prefix_; // of the addresses
    asio::io_context context_ {1};
    std::unique_ptr<Office> officeHandler_;
    std::vector<std::unique_ptr<Worker>> workers_;
    std::vector<std::unique_ptr<HttpServer>> servers_;
    std::thread thread_;
    mutable std::mutex mutex_; // guards all members below
    std::optional<Milliseconds> startDelay_;
    std::vector<WorkerEvent> events_;
    std::map<std::string, std::uint32_t> running_; // runs by task
    std::map<std::string, bool> finished_; // tasks that succeeded; true once acknowledged
    std::size_t repeatedCount_ = 0;
};

} // namespace crocusmill::live
