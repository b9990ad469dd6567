/// Priority class of calls between VMs in the leader's queue.

#pragma once

#include "src/wire/calls.h"

#include <crocusmill/callqueue.h>

namespace crocusmill
{

/// Returns the class of a call. Queries and submissions can be refused, because their GraphReply
/// can report a refusal.
[[nodiscard]] CallClass callClassOf(const Call &call);

} // namespace crocusmill
