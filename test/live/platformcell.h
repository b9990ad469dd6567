/// Daemons in separate processes, each with an address of its own on loopback, set up as on the
/// users' platform: VMs with a data folder lead and call workers, entry VMs serve clients.

#pragma once

#include "test/live/cluster.h"
#include "test/live/process.h"

#include <crocusmill/ids.h>

#include <boost/json.hpp>

#include <filesystem>
#include <map>
#include <string>
#include <vector>

namespace crocusmill::live
{

struct PlatformCellOptions
{
    std::uint32_t replicas = 5;
    std::uint32_t entries = 2;
    NodeAddress ticketOffice;
    /// Added to the `entry` section of the settings of every VM.
    boost::json::object entrySettings {};
};

class PlatformCell
{
public:
    /// Uses 127.0.`network`.N: the VMs with a data folder come first, from 1 on.
    PlatformCell(std::uint8_t network, PlatformCellOptions options);
    ~PlatformCell();

    /// Returns the addresses that take heartbeats and documents. Valid before any VM starts.
    [[nodiscard]] static std::vector<NodeAddress> control(
        std::uint8_t network, std::uint32_t replicas);

    void startAll();
    void killAll();
    void deleteFolder(std::uint32_t vm) const;
    [[nodiscard]] std::uint32_t vmCount() const;
    [[nodiscard]] const Process &process(std::uint32_t vm) const;
    /// Returns the address that takes clients' requests on the entry, counted from zero.
    [[nodiscard]] NodeAddress front(std::uint32_t entry) const;

    /// Sends a client's request to the entry, counted from zero.
    [[nodiscard]] HttpReply call(std::uint32_t entry, const std::string &method,
        const std::string &target, const std::string &body = {}) const;
    /// Installs the document with one queue, `/jobs/`, until it is acknowledged.
    [[nodiscard]] bool installQueue() const;
    /// The same with a version of the document that gives the queue this name; empty: no queue.
    [[nodiscard]] bool installQueue(std::uint64_t version, const std::string &name) const;

    struct LogLine
    {
        std::uint32_t vm = 0;
        std::string event;
        WallTime time {};
    };
    /// Returns the records of these events that were written since the last startAll().
    [[nodiscard]] std::vector<LogLine> linesSinceStart(const std::string &event) const;

private:
    [[nodiscard]] std::string ipOf(std::uint32_t vm) const;
    [[nodiscard]] std::string logOf(std::uint32_t vm) const;
    void writeSettings(std::uint32_t vm) const;

    std::string prefix_;
    PlatformCellOptions options_;
    std::filesystem::path folder_;
    std::uint32_t starts_ = 0;
    std::map<std::uint32_t, Process> processes_;
};

} // namespace crocusmill::live
