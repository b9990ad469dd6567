/// State of one simulated upstream. The source files of the stand-in share it.

#pragma once

#include "bench/standin.h"
#include "src/net/clock.h"

namespace crocusmill::standin
{

[[nodiscard]] std::string generateIncarnation();
[[nodiscard]] asio::awaitable<void> sleepFor(std::chrono::microseconds time);

struct StandIn::Upstream
{
    explicit Upstream(asio::io_context &context)
        : acceptor(context)
    {
    }

    std::uint32_t number = 0;
    UpstreamId id;
    std::uint16_t port = 0;
    std::string incarnation = generateIncarnation();
    std::uint64_t generation = 0; // incremented at each restart
    SlotCount slots;
    Fault fault = Fault::None;
    bool isDraining = false;
    bool isSilent = false;
    MonotonicTime drainingSince {};
    Tcp::acceptor acceptor;
    std::set<AttemptId> running; // includes attempts that wait for a lease
    std::uint32_t runningCount = 0;
    std::uint32_t connections = 0; // open connections
    std::map<AttemptId, std::uint32_t> finished;
    std::set<AttemptId> refused;
    std::map<AttemptId, MonotonicTime> leases;
    bool shouldAnnounceNow = false;
};

} // namespace crocusmill::standin
