/// Daemons in separate processes on loopback, with a relay in front of each.

#pragma once

#include "bench/standin.h"
#include "test/live/process.h"
#include "test/live/relay.h"

#include <crocusmill/consensus.h>

#include <filesystem>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace crocusmill::live
{

struct HttpReply
{
    unsigned int status = 0; // zero: no complete response
    std::map<std::string, std::string> headers; // names in lower case
    std::string body;

    [[nodiscard]] std::string execution() const;
    [[nodiscard]] std::string header(const std::string &name) const;
};

using HeaderList = std::vector<std::pair<std::string, std::string>>;

/// Sends one request on a new connection.
[[nodiscard]] HttpReply httpRequest(const NodeAddress &to, const std::string &method,
    const std::string &target, const std::string &body, const HeaderList &headers = {},
    Milliseconds timeout = Milliseconds {20'000});

struct ClusterOptions
{
    std::uint32_t vms = 3;
    std::uint32_t voters = 3;
    std::uint64_t snapshotEntries = 20'000;
    bool hasSpareFolders = false; // VMs that are not voters have a data folder
};

class Cluster
{
public:
    /// Uses the ports from `firstPort` on; the ranges of two tests must not overlap.
    Cluster(std::uint16_t firstPort, ClusterOptions options = {});
    ~Cluster();

    void start(std::uint32_t vm);
    void startAll();
    void kill(std::uint32_t vm);
    void freeze(std::uint32_t vm);
    void thaw(std::uint32_t vm);
    /// Sends SIGTERM, waits for the end of the process and returns its exit code.
    int terminate(std::uint32_t vm);
    void sendSignal(std::uint32_t vm, int number);
    int waitExit(std::uint32_t vm);
    /// Partitions a VM from all others, without closing connections.
    void cut(std::uint32_t vm, bool isCut);
    /// Partitions these VMs from all others, but not from each other.
    void cutGroup(const std::set<std::uint32_t> &group, bool isCut);
    void deleteFolder(std::uint32_t vm);
    /// Gives a VM a different peer key than the others. Call it before the VM starts.
    void useOtherKey(std::uint32_t vm) const;
    [[nodiscard]] std::filesystem::path folderOf(std::uint32_t vm) const;

    [[nodiscard]] NodeAddress entry(std::uint32_t vm) const;
    [[nodiscard]] HttpReply call(std::uint32_t vm, const std::string &method,
        const std::string &target, const std::string &body = {}, const HeaderList &headers = {},
        Milliseconds timeout = Milliseconds {20'000}) const;
    [[nodiscard]] HttpReply operate(std::uint32_t vm, const std::string &method,
        const std::string &target, const std::string &body = {},
        const std::string &operatorName = "ana") const;
    [[nodiscard]] bool isReady(std::uint32_t vm) const;
    /// Returns the leader that the first VM with a known leader reports, or zero if none does.
    [[nodiscard]] std::uint32_t leader() const;
    void waitReady() const;

    /// Submits a document as a trial and promotes it.
    [[nodiscard]] HttpReply promote(std::uint32_t vm, const std::string &document,
        std::uint64_t version, const std::string &operatorName = "ana") const;
    [[nodiscard]] std::string readLog(std::uint32_t vm) const;

    [[nodiscard]] standin::Options standInOptions(std::uint32_t count) const;

private:
    [[nodiscard]] std::string ipOf(std::uint32_t vm) const;
    void writeSettings(std::uint32_t vm, const std::string &keyFile) const;

    std::uint16_t firstPort_;
    ClusterOptions options_;
    std::filesystem::path folder_;
    std::map<std::uint32_t, Process> processes_;
    std::map<std::uint32_t, std::unique_ptr<Relay>> relays_;
};

/// Waits until the condition is true. Returns false if it is still false after the timeout.
[[nodiscard]] bool eventually(
    const std::function<bool()> &condition, Milliseconds timeout = Milliseconds {20'000});

/// Returns the configuration document that the tests promote.
[[nodiscard]] std::string rocolaDocument(std::uint64_t version, const std::string &extra = {});

} // namespace crocusmill::live
