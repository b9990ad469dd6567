/// Which turn calls between VMs have on the leader.

#pragma once

#include "src/wire/calls.h"

#include <crocusmill/callqueue.h>

namespace crocusmill
{

/// Questions and submissions are answered with a GraphReply, so that they may be refused.
[[nodiscard]] CallClass callClassOf(const Call &call);

} // namespace crocusmill
