/// The documents in force, as the traffic threads look them up.

#pragma once

#include "src/services/interfaces.h"

#include <optional>

namespace crocusmill
{

/// Puts a document in the place of the environment's earlier one. Nothing when it cannot be read;
/// the table is then unchanged.
[[nodiscard]] std::optional<Document> installDocument(
    RouteTable &table, const EnvironmentInForce &inForce);

} // namespace crocusmill
