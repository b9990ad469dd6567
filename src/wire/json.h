/// Conversion of described structs, strong types and tagged variants to JSON and back.
///
/// Snapshots, operator output and records of earlier versions are JSON. Frequent records use the
/// form of binary.h.

#pragma once

#include <crocusmill/error.h>
#include <crocusmill/ids.h>

#include <boost/describe.hpp>
#include <boost/json.hpp>
#include <boost/mp11/algorithm.hpp>

#include <chrono>
#include <string>
#include <string_view>
#include <variant>

namespace crocusmill
{

enum class CodecError {
    Malformed = 1,
    UnknownKind,
};

template <> struct ErrorText<CodecError>
{
    static constexpr const char *category = "codec";
    static constexpr std::string_view text(CodecError error)
    {
        return error == CodecError::Malformed ? "malformed record" : "unknown kind of record";
    }
};

template <typename Tag, typename Rep>
void tag_invoke(
    boost::json::value_from_tag, boost::json::value &json, const StrongValue<Tag, Rep> &id)
{
    json = boost::json::value_from(id.value());
}

template <typename Tag, typename Rep>
boost::json::result<StrongValue<Tag, Rep>> tag_invoke(
    boost::json::try_value_to_tag<StrongValue<Tag, Rep>>, const boost::json::value &json)
{
    boost::json::result<Rep> rep = boost::json::try_value_to<Rep>(json);
    if (!rep) {
        return rep.error();
    }
    return StrongValue<Tag, Rep> {std::move(*rep)};
}

} // namespace crocusmill

namespace boost::json
{

template <typename Rep, typename Period>
void tag_invoke(value_from_tag, value &json, const std::chrono::duration<Rep, Period> &duration)
{
    json = static_cast<std::int64_t>(duration.count());
}

template <typename Rep, typename Period>
result<std::chrono::duration<Rep, Period>> tag_invoke(
    try_value_to_tag<std::chrono::duration<Rep, Period>>, const value &json)
{
    result<std::int64_t> count = try_value_to<std::int64_t>(json);
    if (!count) {
        return count.error();
    }
    return std::chrono::duration<Rep, Period> {*count};
}

inline void tag_invoke(value_from_tag, value &json, const crocusmill::WallTime &time)
{
    json = static_cast<std::int64_t>(time.time_since_epoch().count());
}

inline result<crocusmill::WallTime> tag_invoke(
    try_value_to_tag<crocusmill::WallTime>, const value &json)
{
    result<std::int64_t> count = try_value_to<std::int64_t>(json);
    if (!count) {
        return count.error();
    }
    return crocusmill::WallTime {crocusmill::Milliseconds {*count}};
}

} // namespace boost::json

namespace crocusmill
{

/// Maximum nesting depth of parsed JSON.
inline constexpr std::size_t maxJsonDepth = 32;

/// Returns options that keep invalid UTF-8 in strings, because bodies are arbitrary bytes.
[[nodiscard]] inline boost::json::parse_options bytePreservingParseOptions()
{
    boost::json::parse_options options;
    options.allow_invalid_utf8 = true;
    options.max_depth = maxJsonDepth;
    return options;
}

[[nodiscard]] inline Result<boost::json::value> parseJson(std::string_view text)
{
    boost::system::error_code error;
    boost::json::value json = boost::json::parse(text, error, {}, bytePreservingParseOptions());
    if (error) {
        return CodecError::Malformed;
    }
    return json;
}

template <typename T>
concept Described = std::is_class_v<T> && boost::describe::has_describe_members<T>::value;

template <typename T>
using MembersOf = boost::describe::describe_members<T,
    boost::describe::mod_public | boost::describe::mod_inherited>;

/// Number of members at the end of T that earlier versions do not know. They are left out of a
/// record while they have their default values, so that earlier versions can read it.
template <typename T> inline constexpr std::size_t laterMemberCount = 0;

/// Returns how many members of the record, from the first on, have to be written.
template <Described T> [[nodiscard]] std::size_t writtenMemberCount(const T &record)
{
    constexpr std::size_t formerCount =
        boost::mp11::mp_size<MembersOf<T>>::value - laterMemberCount<T>;
    static const T defaults {};
    std::size_t number = formerCount;
    std::size_t written = formerCount;
    boost::mp11::mp_for_each<boost::mp11::mp_drop_c<MembersOf<T>, formerCount>>([&](auto member) {
        ++number;
        const bool isDefault =
            record.*decltype(member)::pointer == defaults.*decltype(member)::pointer;
        written = isDefault ? written : number;
    });
    return written;
}

template <Described T>
requires(laterMemberCount<T> > 0) void tag_invoke(
    boost::json::value_from_tag, boost::json::value &json, const T &record)
{
    const std::size_t written = writtenMemberCount(record);
    boost::json::object &object = json.emplace_object();
    boost::mp11::mp_for_each<MembersOf<T>>([&](auto member) {
        if (object.size() < written) {
            object[decltype(member)::name] =
                boost::json::value_from(record.*decltype(member)::pointer);
        }
    });
}

template <Described T>
requires(laterMemberCount<T> > 0) boost::json::result<T> tag_invoke(
    boost::json::try_value_to_tag<T>, const boost::json::value &json)
{
    constexpr std::size_t formerCount =
        boost::mp11::mp_size<MembersOf<T>>::value - laterMemberCount<T>;
    const boost::json::object *object = json.if_object();
    boost::system::error_code error;
    if (object == nullptr) {
        error = boost::json::error::not_object;
        return error;
    }
    T record {};
    std::size_t number = 0;
    boost::mp11::mp_for_each<MembersOf<T>>([&](auto member) {
        using Value = std::remove_cvref_t<decltype(record.*decltype(member)::pointer)>;
        const boost::json::value *found = object->if_contains(decltype(member)::name);
        const bool isOptional = number++ >= formerCount;
        if (error || (found == nullptr && isOptional)) {
            return;
        }
        if (found == nullptr) {
            error = boost::json::error::size_mismatch;
            return;
        }
        boost::json::result<Value> value = boost::json::try_value_to<Value>(*found);
        if (!value) {
            error = value.error();
            return;
        }
        record.*decltype(member)::pointer = std::move(*value);
    });
    if (error) {
        return error;
    }
    return record;
}

template <typename T> [[nodiscard]] std::string encodeStruct(const T &record)
{
    return boost::json::serialize(boost::json::value_from(record));
}

template <typename T> [[nodiscard]] Result<T> decodeStruct(std::string_view text)
{
    BOOST_OUTCOME_TRY(boost::json::value json, parseJson(text));
    boost::json::result<T> record = boost::json::try_value_to<T>(json);
    if (!record) {
        return CodecError::Malformed;
    }
    return std::move(*record);
}

/// Returns `{"kind": T::kind, "body": ...}` for the active alternative.
template <typename... Ts> [[nodiscard]] std::string encodeVariant(const std::variant<Ts...> &record)
{
    return std::visit(
        [](const auto &body) {
            boost::json::object object;
            object["kind"] = std::decay_t<decltype(body)>::kind;
            object["body"] = boost::json::value_from(body);
            return boost::json::serialize(object);
        },
        record);
}

template <typename Variant, typename T>
[[nodiscard]] bool decodeAlternative(
    std::string_view kind, const boost::json::value &body, Result<Variant> &decoded)
{
    if (kind != T::kind) {
        return false;
    }
    boost::json::result<T> record = boost::json::try_value_to<T>(body);
    if (record) {
        decoded = Variant {std::move(*record)};
    } else {
        decoded = CodecError::Malformed;
    }
    return true;
}

template <typename... Ts>
[[nodiscard]] Result<std::variant<Ts...>> decodeVariant(
    std::string_view text, std::type_identity<std::variant<Ts...>> /*of*/)
{
    BOOST_OUTCOME_TRY(boost::json::value json, parseJson(text));
    const boost::json::object *object = json.if_object();
    if (object == nullptr) {
        return CodecError::Malformed;
    }
    const boost::json::value *kind = object->if_contains("kind");
    const boost::json::value *body = object->if_contains("body");
    if (kind == nullptr || !kind->is_string() || body == nullptr) {
        return CodecError::Malformed;
    }
    const std::string_view name = kind->get_string();
    Result<std::variant<Ts...>> decoded = CodecError::UnknownKind;
    static_cast<void>((decodeAlternative<std::variant<Ts...>, Ts>(name, *body, decoded) || ...));
    return decoded;
}

template <typename Variant> [[nodiscard]] Result<Variant> decodeVariant(std::string_view text)
{
    return decodeVariant(text, std::type_identity<Variant> {});
}

} // namespace crocusmill
