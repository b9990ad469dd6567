/// Daemons in processes of their own on loopback, with a relay before each.

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
    unsigned int status = 0; // zero: no whole answer came
    std::map<std::string, std::string> headers; // names in lower case
    std::string body;

    [[nodiscard]] std::string execution() const;
    [[nodiscard]] std::string header(const std::string &name) const;
};

using HeaderList = std::vector<std::pair<std::string, std::string>>;

/// One request on a connection of its own.
[[nodiscard]] HttpReply httpRequest(const NodeAddress &to, const std::string &method,
    const std::string &target, const std::string &body, const HeaderList &headers = {},
    Milliseconds timeout = Milliseconds {20'000});

struct ClusterOptions
{
    std::uint32_t vms = 3;
    std::uint32_t voters = 3;
    std::uint64_t snapshotEntries = 20'000;
    bool hasSpareFolders = false; // the VMs that are no voters have a data folder
};

class Cluster
{
public:
    /// Each test has ports of its own, counted from `firstPort`.
    Cluster(std::uint16_t firstPort, ClusterOptions options = {});
    ~Cluster();

    void start(std::uint32_t vm);
    void startAll();
    void kill(std::uint32_t vm);
    void freeze(std::uint32_t vm);
    void thaw(std::uint32_t vm);
    /// SIGTERM and wait; the exit code.
    int terminate(std::uint32_t vm);
    void sendSignal(std::uint32_t vm, int number);
    int waitExit(std::uint32_t vm);
    /// Silently cuts a VM off from all others.
    void cut(std::uint32_t vm, bool isCut);
    /// Silently cuts these VMs off from all others, not from each other.
    void cutGroup(const std::set<std::uint32_t> &group, bool isCut);
    void deleteFolder(std::uint32_t vm);
    /// Gives a VM that is not started yet a peer key that the others do not have.
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
    /// The VM that leads as its own status tells; zero when none does.
    [[nodiscard]] std::uint32_t leader() const;
    void waitReady() const;

    /// Tries and promotes a document, as an operator would.
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

/// Waits until it holds; false when it does not within the limit.
[[nodiscard]] bool eventually(
    const std::function<bool()> &condition, Milliseconds timeout = Milliseconds {20'000});

/// The document that the tests promote.
[[nodiscard]] std::string rocolaDocument(std::uint64_t version, const std::string &extra = {});

} // namespace crocusmill::live
