/// Cap'n Proto message stream over a connection between two VMs.

#pragma once

#include "src/net/peerstream.h"

#include <capnp/serialize-async.h>

#include <memory>

namespace crocusmill
{

/// Wraps a socket after its TLS handshake. Use only on the control thread.
[[nodiscard]] kj::Own<capnp::MessageStream> makeMessageStream(std::shared_ptr<TlsSocket> socket);

} // namespace crocusmill
