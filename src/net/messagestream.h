/// A connection between two VMs as a stream of Cap'n Proto messages.

#pragma once

#include "src/net/peerstream.h"

#include <capnp/serialize-async.h>

#include <memory>

namespace crocusmill
{

/// Wraps a socket whose handshake is done. Only for the control thread.
[[nodiscard]] kj::Own<capnp::MessageStream> makeMessageStream(std::shared_ptr<TlsSocket> socket);

} // namespace crocusmill
