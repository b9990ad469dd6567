/// TCP relay between VMs that simulates partitions: connections stay open, but no data arrives.

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
    /// Listens on `from` and forwards connections to `to`.
    Relay(const NodeAddress &from, NodeAddress to);
    ~Relay();
    Relay(const Relay &) = delete;
    Relay &operator=(const Relay &) = delete;

    /// Holds back the data of connections from this IP, or from all if empty. The end of a cut
    /// closes the connections whose data was held back, as if they were lost.
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
