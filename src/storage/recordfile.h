/// Framing of records in a file, with a checksum on the header and on the payload.
///
/// Layout, little-endian: length, checksum of the length, checksum of the payload (32 bits
/// each), payload. The header has a checksum of its own so that a flipped bit in a length is told
/// apart from a record that was cut short.

#pragma once

#include <crocusmill/error.h>
#include <crocusmill/storage.h>

#include <cstdint>
#include <filesystem>
#include <string>
#include <string_view>
#include <vector>

namespace crocusmill
{

void appendRecord(std::string &out, std::string_view payload);

struct ScannedRecords
{
    std::vector<std::string_view> payloads;
    std::size_t validBytes = 0; // what follows is a torn tail
};

/// Splits `bytes` into records. Errors: Damaged, unless the fault is one that a write cut short
/// by a crash leaves at the very end: too few bytes, or a tail of zeros.
[[nodiscard]] Result<ScannedRecords> scanRecords(std::string_view bytes);

/// CRC32C, as used in the framing.
[[nodiscard]] std::uint32_t crc32c(std::string_view bytes);

} // namespace crocusmill
