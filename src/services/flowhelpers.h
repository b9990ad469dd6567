/// Helper functions of the request path.

#pragma once

#include "src/net/clock.h"
#include "src/net/forwarder.h"

#include <crocusmill/commands.h>

#include <string>
#include <string_view>
#include <vector>

namespace crocusmill
{

/// Returns whether the header applies to one connection only and is not forwarded.
[[nodiscard]] bool isHopByHop(std::string_view name);
/// Returns the headers that are stored with an answer: all but the hop-by-hop ones.
[[nodiscard]] std::vector<Header> endToEndHeaders(const HttpResponse &response);
/// Returns whether the outcome alone proves that the attempt did not run.
[[nodiscard]] bool provesNotRun(ForwardKind kind);
[[nodiscard]] std::string_view outcomeText(ForwardKind kind);

} // namespace crocusmill
