/// What the parts of a request's path share.

#pragma once

#include "src/net/clock.h"
#include "src/net/forwarder.h"

#include <crocusmill/commands.h>

#include <string>
#include <string_view>
#include <vector>

namespace crocusmill
{

/// Headers that belong to one connection and are not passed on.
[[nodiscard]] bool isHopByHop(std::string_view name);
/// Headers of an answer that are kept with it.
[[nodiscard]] std::vector<Header> endToEndHeaders(const HttpResponse &response);
/// The attempt's outcome alone proves that it did not run.
[[nodiscard]] bool provesNotRun(ForwardKind kind);
[[nodiscard]] std::string_view outcomeText(ForwardKind kind);

} // namespace crocusmill
