/// Encoding of the membership in the journal and in snapshots.

#pragma once

#include <crocusmill/consensus.h>

#include <string>
#include <string_view>

namespace crocusmill
{

[[nodiscard]] std::string encodeMembership(const Membership &membership);

/// Errors: CodecError::Malformed.
[[nodiscard]] Result<Membership> decodeMembership(std::string_view text);

} // namespace crocusmill
