/// Conversion of described structs, strong types and tagged variants to a compact binary form.
///
/// A record consists of the format version, the length and name of its kind, and its body. Integers
/// are LEB128 (signed integers with zigzag). Strings and vectors have a length prefix, optionals a
/// flag, and structs their member count. Members missing in a record of an older version keep their
/// defaults, so new members must be added at the end. Earlier versions refuse a record with members
/// that they do not know, so these are left out while they have their defaults (laterMemberCount).

#pragma once

#include "src/wire/json.h"

#include <boost/mp11/algorithm.hpp>

#include <algorithm>
#include <bit>
#include <concepts>
#include <cstdint>
#include <limits>
#include <optional>
#include <type_traits>
#include <vector>

namespace crocusmill
{

/// First byte of a binary record. No JSON text starts with it.
inline constexpr char binaryVersion = 1;

class BinaryWriter
{
public:
    explicit BinaryWriter(std::string &out)
        : out_(out)
    {
    }

    void put(std::uint64_t value)
    {
        while (value >= 0x80U) {
            out_.push_back(static_cast<char>(value | 0x80U));
            value >>= 7U;
        }
        out_.push_back(static_cast<char>(value));
    }

    void put(std::string_view value)
    {
        put(std::uint64_t {value.size()});
        out_.append(value);
    }

    void put(const std::string &value)
    {
        put(std::string_view {value});
    }

    template <std::integral T> void put(T value)
    {
        if constexpr (std::is_signed_v<T>) {
            const std::int64_t wide = value;
            put((static_cast<std::uint64_t>(wide) << 1U)
                ^ static_cast<std::uint64_t>(wide >> 63)); // zigzag
        } else {
            put(std::uint64_t {value});
        }
    }

    void put(double value)
    {
        const std::uint64_t bits = std::bit_cast<std::uint64_t>(value);
        for (unsigned int shift = 0; shift < 64; shift += 8) {
            out_.push_back(static_cast<char>(bits >> shift));
        }
    }

    template <typename T>
    requires std::is_enum_v<T>
    void put(T value)
    {
        put(static_cast<std::uint64_t>(value));
    }

    template <typename Tag, typename Rep> void put(const StrongValue<Tag, Rep> &value)
    {
        put(value.value());
    }

    template <typename Rep, typename Period>
    void put(const std::chrono::duration<Rep, Period> &value)
    {
        put(static_cast<std::int64_t>(value.count()));
    }

    void put(const WallTime &value)
    {
        put(value.time_since_epoch());
    }

    template <typename T> void put(const std::optional<T> &value)
    {
        put(value.has_value());
        if (value) {
            put(*value);
        }
    }

    template <typename T> void put(const std::vector<T> &values)
    {
        put(std::uint64_t {values.size()});
        for (const T &value : values) {
            put(value);
        }
    }

    template <Described T> void put(const T &value)
    {
        std::uint64_t count = boost::mp11::mp_size<MembersOf<T>>::value;
        if constexpr (laterMemberCount < T >> 0) {
            count = writtenMemberCount(value);
        }
        put(count);
        std::uint64_t number = 0;
        boost::mp11::mp_for_each<MembersOf<T>>([&](auto member) {
            if (number++ < count) {
                put(value.*decltype(member)::pointer);
            }
        });
    }

private:
    std::string &out_;
};

/// Reads the output of BinaryWriter. After a failure it reads nothing more, and ok() is false.
class BinaryReader
{
public:
    explicit BinaryReader(std::string_view bytes)
        : rest_(bytes)
    {
    }

    [[nodiscard]] bool ok() const
    {
        return ok_;
    }

    /// Returns whether all bytes were read without a failure.
    [[nodiscard]] bool atEnd() const
    {
        return ok_ && rest_.empty();
    }

    void take(std::uint64_t &value)
    {
        value = 0;
        for (unsigned int shift = 0; shift < 64; shift += 7) {
            if (rest_.empty()) {
                break;
            }
            const std::uint64_t byte = static_cast<unsigned char>(rest_.front());
            rest_.remove_prefix(1);
            constexpr unsigned int lastShift = 63;
            if (shift == lastShift && byte > 1) {
                break;
            }
            value |= (byte & 0x7fU) << shift;
            if (byte < 0x80U) {
                return;
            }
        }
        fail();
    }

    void take(std::string &value)
    {
        value.assign(takeBytes());
    }

    [[nodiscard]] std::string_view takeBytes()
    {
        std::uint64_t size = 0;
        take(size);
        if (size > rest_.size()) {
            fail();
            return {};
        }
        const std::string_view bytes = rest_.substr(0, size);
        rest_.remove_prefix(size);
        return bytes;
    }

    template <std::integral T> void take(T &value)
    {
        std::uint64_t wide = 0;
        take(wide);
        if constexpr (std::is_signed_v<T>) {
            const std::int64_t number = static_cast<std::int64_t>((wide >> 1U) ^ (0 - (wide & 1U)));
            require(
                number >= std::numeric_limits<T>::min() && number <= std::numeric_limits<T>::max());
            value = static_cast<T>(number);
        } else {
            require(wide <= std::numeric_limits<T>::max());
            value = static_cast<T>(wide);
        }
    }

    void take(double &value)
    {
        if (rest_.size() < sizeof(std::uint64_t)) {
            fail();
            return;
        }
        std::uint64_t bits = 0;
        for (unsigned int i = 0; i < sizeof(bits); ++i) {
            bits |= std::uint64_t {static_cast<unsigned char>(rest_[i])} << (8 * i);
        }
        rest_.remove_prefix(sizeof(bits));
        value = std::bit_cast<double>(bits);
    }

    template <typename T>
    requires std::is_enum_v<T>
    void take(T &value)
    {
        std::uint64_t number = 0;
        take(number);
        bool isDescribed = false;
        boost::mp11::mp_for_each<boost::describe::describe_enumerators<T>>([&](auto enumerator) {
            isDescribed = isDescribed || static_cast<std::uint64_t>(enumerator.value) == number;
        });
        require(isDescribed);
        value = static_cast<T>(ok_ ? number : 0);
    }

    template <typename Tag, typename Rep> void take(StrongValue<Tag, Rep> &value)
    {
        Rep rep {};
        take(rep);
        value = StrongValue<Tag, Rep> {std::move(rep)};
    }

    template <typename Rep, typename Period> void take(std::chrono::duration<Rep, Period> &value)
    {
        std::int64_t count = 0;
        take(count);
        value = std::chrono::duration<Rep, Period> {count};
    }

    void take(WallTime &value)
    {
        Milliseconds sinceEpoch {0};
        take(sinceEpoch);
        value = WallTime {sinceEpoch};
    }

    template <typename T> void take(std::optional<T> &value)
    {
        bool present = false;
        take(present);
        value.reset();
        if (present && ok_) {
            take(value.emplace());
        }
    }

    template <typename T> void take(std::vector<T> &values)
    {
        constexpr std::size_t maxReservedElements = 1'024; // the count is untrusted input
        std::uint64_t count = 0;
        take(count);
        require(count <= rest_.size()); // every value takes at least one byte
        values.clear();
        if (!ok_) {
            return;
        }
        values.reserve(std::min<std::size_t>(count, maxReservedElements));
        for (std::uint64_t i = 0; i < count && ok_; ++i) {
            take(values.emplace_back());
        }
    }

    template <Described T> void take(T &value)
    {
        constexpr std::uint64_t memberCount = boost::mp11::mp_size<MembersOf<T>>::value;
        std::uint64_t count = 0;
        take(count);
        require(count <= memberCount);
        std::uint64_t number = 0;
        boost::mp11::mp_for_each<MembersOf<T>>([&](auto member) {
            if (ok_ && number < count) {
                take(value.*decltype(member)::pointer);
            }
            ++number;
        });
    }

private:
    void fail()
    {
        ok_ = false;
        rest_ = {};
    }

    void require(bool isValid)
    {
        if (!isValid) {
            fail();
        }
    }

    // Invariant: empty once ok_ is false.
    std::string_view rest_;
    bool ok_ = true;
};

template <typename... Ts> [[nodiscard]] std::string encodeRecord(const std::variant<Ts...> &record)
{
    constexpr std::size_t initialCapacity = 256;
    std::string out;
    out.reserve(initialCapacity);
    out.push_back(binaryVersion);
    std::visit(
        [&out](const auto &body) {
            BinaryWriter writer {out};
            writer.put(std::string_view {std::decay_t<decltype(body)>::kind});
            writer.put(body);
        },
        record);
    return out;
}

template <typename Variant, typename T>
[[nodiscard]] bool readAlternative(
    std::string_view kind, BinaryReader &reader, Result<Variant> &decoded)
{
    if (kind != T::kind) {
        return false;
    }
    T body;
    reader.take(body);
    if (reader.atEnd()) {
        decoded = Variant {std::move(body)};
    } else {
        decoded = CodecError::Malformed;
    }
    return true;
}

template <typename... Ts>
[[nodiscard]] Result<std::variant<Ts...>> decodeRecord(
    std::string_view bytes, std::type_identity<std::variant<Ts...>> /*of*/)
{
    if (bytes.empty() || bytes.front() != binaryVersion) {
        return decodeVariant<std::variant<Ts...>>(bytes); // JSON record of an earlier version
    }
    BinaryReader reader {bytes.substr(1)};
    const std::string_view kind = reader.takeBytes();
    if (!reader.ok()) {
        return CodecError::Malformed;
    }
    Result<std::variant<Ts...>> decoded = CodecError::UnknownKind;
    static_cast<void>((readAlternative<std::variant<Ts...>, Ts>(kind, reader, decoded) || ...));
    return decoded;
}

/// Decodes a binary record or a JSON record of an earlier version. Errors: Malformed, UnknownKind.
template <typename Variant> [[nodiscard]] Result<Variant> decodeRecord(std::string_view bytes)
{
    return decodeRecord(bytes, std::type_identity<Variant> {});
}

} // namespace crocusmill
