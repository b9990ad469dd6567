/// Record framing.

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
    std::uint32_t lengthSum = 0;
    std::uint32_t payloadSum = 0;
};

void putU32(std::string &out, std::uint32_t value)
{
    for (int shift = 0; shift < 32; shift += 8) {
        out.push_back(static_cast<char>((value >> shift) & 0xffU));
    }
}

std::uint32_t getU32(std::string_view bytes, std::size_t at)
{
    std::uint32_t value = 0;
    for (std::size_t i = 0; i < 4; ++i) {
        value |= static_cast<std::uint32_t>(static_cast<unsigned char>(bytes[at + i])) << (8 * i);
    }
    return value;
}

std::uint32_t sumOfLength(std::uint32_t length)
{
    std::string bytes;
    putU32(bytes, length);
    return crc32c(bytes);
}

bool allZero(std::string_view bytes)
{
    return std::all_of(bytes.begin(), bytes.end(), [](char byte) { return byte == 0; });
}

/// A crash can leave a record whose first part reached the disk and whose rest reads as zeros.
bool endsInZeroSector(std::string_view payload)
{
    constexpr std::size_t sectorBytes = 512;
    return payload.size() >= sectorBytes && allZero(payload.substr(payload.size() - sectorBytes));
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
    putU32(out, sumOfLength(length));
    putU32(out, crc32c(payload));
    out.append(payload);
}

Result<ScannedRecords> scanRecords(std::string_view bytes)
{
    ScannedRecords scanned;
    std::size_t at = 0;
    while (at < bytes.size()) {
        const std::string_view rest = bytes.substr(at);
        if (rest.size() < headerBytes || allZero(rest)) {
            break;
        }
        const Header header {getU32(rest, 0), getU32(rest, 4), getU32(rest, 8)};
        if (sumOfLength(header.length) != header.lengthSum) {
            return StorageError::Damaged;
        }
        if (rest.size() - headerBytes < header.length) {
            break;
        }
        const std::string_view payload = rest.substr(headerBytes, header.length);
        if (crc32c(payload) != header.payloadSum) {
            const bool last = rest.size() == headerBytes + header.length;
            if (last && endsInZeroSector(payload)) {
                break;
            }
            return StorageError::Damaged;
        }
        scanned.payloads.push_back(payload);
        at += headerBytes + header.length;
        scanned.validBytes = at;
    }
    return scanned;
}

} // namespace crocusmill
