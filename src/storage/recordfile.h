/// Framing of records in a file, with a checksum on the header and on the payload.
///
/// Layout, little-endian: length, checksum of the length, checksum of the payload (32 bits
/// each), payload. The length has its own checksum to distinguish a flipped bit in it from a
/// truncated record.

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
    std::size_t validBytes = 0; // the bytes after these are a torn write
};

/// Splits `bytes` into records. Errors: Damaged. A torn write at the end, with missing bytes or
/// trailing zeros, is not an error.
[[nodiscard]] Result<ScannedRecords> scanRecords(std::string_view bytes);

/// Returns the CRC32C checksum that the framing uses.
[[nodiscard]] std::uint32_t crc32c(std::string_view bytes);

} // namespace crocusmill
