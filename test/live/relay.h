/// A relay between VMs that can drop silently: nothing is closed, nothing arrives.

#pragma once

#include "src/net/asio.h"

#include <crocusmill/consensus.h>

#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <thread>

namespace crocusmill::live
{

class Relay
{
public:
    /// Listens on `from` and passes connections on to `to`.
    Relay(const NodeAddress &from, NodeAddress to);
    ~Relay();
    Relay(const Relay &) = delete;
    Relay &operator=(const Relay &) = delete;

    /// Drops all that comes from this IP, or from everyone when empty. Healing closes what was
    /// held meanwhile, as a real connection would have been lost.
    void cut(const std::string &sourceIp, bool isCut);

private:
    struct Pipe;

    asio::awaitable<void> accept();
    asio::awaitable<void> serve(std::shared_ptr<Pipe> pipe);
    asio::awaitable<void> pump(std::shared_ptr<Pipe> pipe, bool forward);
    [[nodiscard]] bool isCut(const std::string &sourceIp) const;

    NodeAddress to_;
    asio::io_context context_ {1};
    Tcp::acceptor acceptor_;
    std::thread thread_;
    mutable std::mutex mutex_;
    std::set<std::string> cutSources_;
    std::set<std::shared_ptr<Pipe>> pipes_;
};

} // namespace crocusmill::live
