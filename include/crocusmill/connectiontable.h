/// Connections of clients and the memory that their messages take: which ones to close when there
/// are too many or they hold too much.
///
/// Load pattern: clients that connect and send nothing, send without end, send a byte a second, or
/// read no answers. Connections that never had an answer go first, then those that have been in
/// their phase longest, so an ordinary client, whose requests arrive at once, still gets through.
/// Pure; not thread-safe.

#pragma once

#include <crocusmill/ids.h>

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace crocusmill
{

using ConnectionId = StrongValue<struct ConnectionIdTag, std::uint64_t>;
using ListenerId = StrongValue<struct ListenerIdTag, std::uint32_t>;

enum class ConnectionPhase {
    Idle, // no part of a request has arrived
    Receiving, // a part of a request has arrived
    Handling, // the request is complete; such a connection is never closed
    Sending, // a part of the answer waits for the client to read
};

class ConnectionTable
{
public:
    /// `maxBytes`: what all connections may hold together.
    explicit ConnectionTable(ByteCount maxBytes);

    ListenerId addListener(std::uint32_t maxConnections);

    struct Admission
    {
        std::optional<ConnectionId> id; // none: refused, as the requests of all others are handled
        std::optional<ConnectionId> closed; // to be closed to make place
    };
    /// Adds a connection in the phase Idle.
    [[nodiscard]] Admission add(ListenerId listener, MonotonicTime now);
    void remove(ConnectionId id);
    /// A connection that leaves the phase Handling has had an answer.
    void setPhase(ConnectionId id, ConnectionPhase phase, MonotonicTime now);

    struct Grant
    {
        bool isGranted = false;
        std::vector<ConnectionId> closed; // to be closed to make room
    };
    /// Sets what the connection holds. Without a grant it holds as much as before.
    [[nodiscard]] Grant hold(ConnectionId id, ByteCount bytes);
    /// Returns the connection of the listener to close when descriptors are used up, if there is
    /// one.
    [[nodiscard]] std::optional<ConnectionId> closeOne(ListenerId listener);

    [[nodiscard]] std::size_t connectionCount() const;
    [[nodiscard]] ByteCount heldBytes() const;

private:
    /// The lowest is closed first.
    struct Rank
    {
        bool hasHadAnswer = false;
        MonotonicTime since; // start of the phase
        ConnectionId id;

        auto operator<=>(const Rank &) const = default;
    };
    struct Connection
    {
        ListenerId listener;
        ConnectionPhase phase = ConnectionPhase::Idle;
        Rank rank;
        std::uint64_t bytes = 0;
    };
    struct Listener
    {
        std::uint32_t maxConnections = 0;
        std::uint32_t count = 0;
        // Invariant: the ranks of its connections that are not in the phase Handling.
        std::set<Rank> closable;
    };

    void index(const Connection &connection);
    void removeFromIndex(const Connection &connection);
    void close(ConnectionId id);

    const std::uint64_t maxBytes_;
    std::uint64_t nextId_ = 1;
    std::vector<Listener> listeners_;
    // Without those to be closed.
    std::map<ConnectionId, Connection> connections_;
    // Invariant: the ranks of all closable connections that hold anything.
    std::set<Rank> closableHolders_;
    std::uint64_t heldBytes_ = 0; // Invariant: the sum over connections_; at most maxBytes_
};

} // namespace crocusmill
