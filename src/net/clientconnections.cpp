/// Locks the table of connections and carries out its decisions.

#include "src/net/clientconnections.h"

#include "src/net/clock.h"
#include "src/net/log.h"

#include <utility>

namespace crocusmill
{

namespace
{

constexpr Milliseconds recordInterval {1'000}; // between log records of one cause

} // namespace

ClientConnections::ClientConnections(ByteCount maxBytes, Metrics *metrics)
    : table_(maxBytes)
    , metrics_(metrics)
    , closedRecords_(recordInterval)
{
}

ListenerId ClientConnections::addListener(std::uint32_t maxConnections)
{
    const std::lock_guard<std::mutex> lock {mutex_};
    return table_.addListener(maxConnections);
}

std::optional<ConnectionId> ClientConnections::add(
    ListenerId listener, std::function<void()> closeConnection)
{
    const std::lock_guard<std::mutex> lock {mutex_};
    const ConnectionTable::Admission admission = table_.add(listener, monotonicNow());
    if (admission.closed) {
        close(*admission.closed, "connections");
    }
    if (admission.id) {
        closers_.emplace(*admission.id, std::move(closeConnection));
    }
    report();
    return admission.id;
}

void ClientConnections::remove(ConnectionId id)
{
    const std::lock_guard<std::mutex> lock {mutex_};
    table_.remove(id);
    closers_.erase(id);
    report();
}

void ClientConnections::setPhase(ConnectionId id, ConnectionPhase phase)
{
    const std::lock_guard<std::mutex> lock {mutex_};
    table_.setPhase(id, phase, monotonicNow());
}

bool ClientConnections::hold(ConnectionId id, ByteCount bytes)
{
    const std::lock_guard<std::mutex> lock {mutex_};
    const ConnectionTable::Grant grant = table_.hold(id, bytes);
    for (const ConnectionId &closed : grant.closed) {
        close(closed, "memory");
    }
    return grant.isGranted;
}

void ClientConnections::makePlace(ListenerId listener)
{
    const std::lock_guard<std::mutex> lock {mutex_};
    if (const std::optional<ConnectionId> closed = table_.closeOne(listener)) {
        close(*closed, "descriptors");
    }
}

void ClientConnections::countRefusal(std::string_view cause)
{
    if (metrics_ != nullptr) {
        metrics_->count({"http_refusals_total", "cause=\"" + std::string {cause} + "\""});
    }
}

/// Calls the connection's closer; mutex_ is held.
void ClientConnections::close(ConnectionId id, std::string_view cause)
{
    const auto it = closers_.find(id);
    if (it == closers_.end()) {
        return;
    }
    it->second();
    closers_.erase(it);
    if (metrics_ != nullptr) {
        metrics_->count({"http_connections_closed_total", "cause=\"" + std::string {cause} + "\""});
    }
    const std::optional<std::uint64_t> leftOut = closedRecords_.admit(cause, monotonicNow());
    if (leftOut) {
        logWarning("http.connection_closed",
            {{"cause", cause}, {"connections", std::uint64_t {table_.connectionCount()}},
                {"held_bytes", table_.heldBytes().value()}, {"left_out", *leftOut}});
    }
}

void ClientConnections::report()
{
    if (metrics_ != nullptr) {
        metrics_->set({"http_connections", ""}, static_cast<double>(table_.connectionCount()));
        metrics_->set({"http_held_bytes", ""}, static_cast<double>(table_.heldBytes().value()));
    }
}

} // namespace crocusmill
