/// The connections of clients to all servers of one process, within one budget of memory.
///
/// Closes connections as ConnectionTable decides, counts them and logs them. Thread-safe.

#pragma once

#include "src/net/loglimiter.h"
#include "src/net/metrics.h"

#include <crocusmill/connectiontable.h>

#include <functional>
#include <map>
#include <mutex>
#include <string_view>

namespace crocusmill
{

class ClientConnections
{
public:
    /// `metrics` may be null.
    ClientConnections(ByteCount maxBytes, Metrics *metrics);

    [[nodiscard]] ListenerId addListener(std::uint32_t maxConnections);
    /// Adds a connection, or returns none if it is to be refused. `close` is called from any thread
    /// while the connection is not removed, at most once, and must not call this object.
    [[nodiscard]] std::optional<ConnectionId> add(ListenerId listener, std::function<void()> close);
    void remove(ConnectionId id);
    void setPhase(ConnectionId id, ConnectionPhase phase);
    /// Sets what the connection holds. Returns false if there is no room, or if the connection is
    /// being closed.
    [[nodiscard]] bool hold(ConnectionId id, ByteCount bytes);
    /// Closes a connection because a new one could not be accepted for want of descriptors.
    void makePlace(ListenerId listener);
    /// Counts a request that was refused without being handled.
    void countRefusal(std::string_view cause);

private:
    void close(ConnectionId id, std::string_view cause);
    void report();

    std::mutex mutex_;
    ConnectionTable table_;
    std::map<ConnectionId, std::function<void()>> closers_;
    Metrics *metrics_;
    LogLimiter closedRecords_;
};

} // namespace crocusmill
