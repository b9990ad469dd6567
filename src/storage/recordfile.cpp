/// Framing of records with checksums.

#include "src/storage/recordfile.h"

#include <boost/crc.hpp>

#include <algorithm>
#include <array>
#include <cstring>

namespace crocusmill
{

namespace
{

constexpr std::size_t headerBytes = 12;

struct Header
{
    std::uint32_t length = 0;
    std::uint32_t lengthChecksum = 0;
    std::uint32_t payloadChecksum = 0;
};

void putU32(std::string &out, std::uint32_t value)
{
    for (int shift = 0; shift < 32; shift += 8) {
        out.push_back(static_cast<char>((value >> shift) & 0xffU));
    }
}

std::uint32_t getU32(std::string_view bytes, std::size_t offset)
{
    std::uint32_t value = 0;
    for (std::size_t i = 0; i < 4; ++i) {
        value |= static_cast<std::uint32_t>(static_cast<unsigned char>(bytes[offset + i]))
            << (8 * i);
    }
    return value;
}

std::uint32_t checksumOfLength(std::uint32_t length)
{
    std::string bytes;
    putU32(bytes, length);
    return crc32c(bytes);
}

bool isAllZero(std::string_view bytes)
{
    return std::all_of(bytes.begin(), bytes.end(), [](char byte) { return byte == 0; });
}

/// Detects a torn write: after a crash, sectors that were not written read as zeros.
bool endsInZeroSector(std::string_view payload)
{
    constexpr std::size_t sectorBytes = 512;
    return payload.size() >= sectorBytes && isAllZero(payload.substr(payload.size() - sectorBytes));
}

} // namespace

std::uint32_t crc32c(std::string_view bytes)
{
    using Crc32c = boost::crc_optimal<32, 0x1EDC6F41, 0xFFFFFFFF, 0xFFFFFFFF, true, true>;
    Crc32c crc;
    crc.process_bytes(bytes.data(), bytes.size());
    return crc.checksum();
}

void appendRecord(std::string &out, std::string_view payload)
{
    const std::uint32_t length = static_cast<std::uint32_t>(payload.size());
    putU32(out, length);
    putU32(out, checksumOfLength(length));
    putU32(out, crc32c(payload));
    out.append(payload);
}

Result<ScannedRecords> scanRecords(std::string_view bytes)
{
    ScannedRecords scanned;
    std::size_t offset = 0;
    while (offset < bytes.size()) {
        const std::string_view remaining = bytes.substr(offset);
        if (remaining.size() < headerBytes || isAllZero(remaining)) {
            break;
        }
        const Header header {getU32(remaining, 0), getU32(remaining, 4), getU32(remaining, 8)};
        if (checksumOfLength(header.length) != header.lengthChecksum) {
            return StorageError::Damaged;
        }
        if (remaining.size() - headerBytes < header.length) {
            break;
        }
        const std::string_view payload = remaining.substr(headerBytes, header.length);
        if (crc32c(payload) != header.payloadChecksum) {
            const bool isLast = remaining.size() == headerBytes + header.length;
            if (isLast && endsInZeroSector(payload)) {
                break;
            }
            return StorageError::Damaged;
        }
        scanned.payloads.push_back(payload);
        offset += headerBytes + header.length;
        scanned.validBytes = offset;
    }
    return scanned;
}

} // namespace crocusmill
