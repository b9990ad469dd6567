/// Updates of the table by which traffic threads look up the documents in force.

#pragma once

#include "src/services/interfaces.h"

#include <optional>

namespace crocusmill
{

/// Replaces the environment's document and returns the new one. Returns std::nullopt and leaves the
/// table unchanged if the document cannot be parsed.
[[nodiscard]] std::optional<Document> installDocument(
    RouteTable &table, const EnvironmentInForce &inForce);

} // namespace crocusmill
