/// Bookkeeping of clients' connections in the order in which they are closed.

#include <crocusmill/connectiontable.h>

namespace crocusmill
{

ConnectionTable::ConnectionTable(ByteCount maxBytes)
    : maxBytes_(maxBytes.value())
{
}

ListenerId ConnectionTable::addListener(std::uint32_t maxConnections)
{
    listeners_.push_back({maxConnections, 0, {}});
    return ListenerId {static_cast<std::uint32_t>(listeners_.size() - 1)};
}

ConnectionTable::Admission ConnectionTable::add(ListenerId listener, MonotonicTime now)
{
    Admission admission;
    Listener &entry = listeners_.at(listener.value());
    if (entry.count >= entry.maxConnections) {
        admission.closed = closeOne(listener);
        if (!admission.closed) {
            return admission;
        }
    }
    const ConnectionId id {nextId_++};
    Connection connection;
    connection.listener = listener;
    connection.rank = {false, now, id};
    ++entry.count;
    index(connection);
    connections_.emplace(id, connection);
    admission.id = id;
    return admission;
}

void ConnectionTable::remove(ConnectionId id)
{
    close(id);
}

void ConnectionTable::close(ConnectionId id)
{
    const auto it = connections_.find(id);
    if (it == connections_.end()) {
        return;
    }
    removeFromIndex(it->second);
    heldBytes_ -= it->second.bytes;
    --listeners_.at(it->second.listener.value()).count;
    connections_.erase(it);
}

void ConnectionTable::setPhase(ConnectionId id, ConnectionPhase phase, MonotonicTime now)
{
    const auto it = connections_.find(id);
    if (it == connections_.end() || it->second.phase == phase) {
        return;
    }
    Connection &connection = it->second;
    removeFromIndex(connection);
    connection.rank.hasHadAnswer =
        connection.rank.hasHadAnswer || connection.phase == ConnectionPhase::Handling;
    connection.phase = phase;
    connection.rank.since = now;
    index(connection);
}

ConnectionTable::Grant ConnectionTable::hold(ConnectionId id, ByteCount bytes)
{
    Grant grant;
    const auto it = connections_.find(id);
    if (it == connections_.end()) {
        return grant;
    }
    Connection &connection = it->second;
    const std::uint64_t others = heldBytes_ - connection.bytes;
    std::uint64_t freed = 0;
    for (auto rank = closableHolders_.begin();
         rank != closableHolders_.end() && others - freed + bytes.value() > maxBytes_; ++rank) {
        if (rank->id != id) {
            freed += connections_.at(rank->id).bytes;
            grant.closed.push_back(rank->id);
        }
    }
    if (others - freed + bytes.value() > maxBytes_) {
        grant.closed.clear();
        return grant;
    }
    for (const ConnectionId &closed : grant.closed) {
        close(closed);
    }
    removeFromIndex(connection);
    heldBytes_ += bytes.value() - connection.bytes;
    connection.bytes = bytes.value();
    index(connection);
    grant.isGranted = true;
    return grant;
}

std::optional<ConnectionId> ConnectionTable::closeOne(ListenerId listener)
{
    const std::set<Rank> &closable = listeners_.at(listener.value()).closable;
    if (closable.empty()) {
        return std::nullopt;
    }
    const ConnectionId id = closable.begin()->id;
    close(id);
    return id;
}

void ConnectionTable::index(const Connection &connection)
{
    if (connection.phase == ConnectionPhase::Handling) {
        return;
    }
    listeners_.at(connection.listener.value()).closable.insert(connection.rank);
    if (connection.bytes > 0) {
        closableHolders_.insert(connection.rank);
    }
}

void ConnectionTable::removeFromIndex(const Connection &connection)
{
    listeners_.at(connection.listener.value()).closable.erase(connection.rank);
    closableHolders_.erase(connection.rank);
}

std::size_t ConnectionTable::connectionCount() const
{
    return connections_.size();
}

ByteCount ConnectionTable::heldBytes() const
{
    return ByteCount {heldBytes_};
}

} // namespace crocusmill
