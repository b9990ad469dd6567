/// Reads a JSON object field by field and collects all faults with their JSON pointers.

#pragma once

#include <crocusmill/document.h>

#include <boost/json.hpp>

#include <cstdint>
#include <functional>
#include <limits>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace crocusmill
{

/// Reads one JSON object and reports its faults. finish() reports the fields that were not read.
class ObjectChecker
{
public:
    ObjectChecker(const boost::json::value &json, std::string pointer, Faults &faults);

    [[nodiscard]] std::string requiredText(std::string_view name);
    [[nodiscard]] std::string optionalText(std::string_view name, std::string fallback);
    [[nodiscard]] std::uint64_t requiredCount(
        std::string_view name, std::uint64_t minimum, std::uint64_t maximum);
    [[nodiscard]] std::uint64_t optionalCount(std::string_view name, std::uint64_t minimum,
        std::uint64_t maximum, std::uint64_t fallback);
    [[nodiscard]] Milliseconds optionalMilliseconds(
        std::string_view name, Milliseconds minimum, Milliseconds maximum, Milliseconds fallback);
    [[nodiscard]] bool optionalFlag(std::string_view name, bool fallback);

    template <typename E>
    [[nodiscard]] E choice(std::string_view name,
        const std::vector<std::pair<std::string_view, E>> &choices, std::optional<E> fallback);

    /// Calls `onElement` for each element of an optional array.
    void array(std::string_view name,
        const std::function<void(const boost::json::value &, const std::string &)> &onElement);
    /// Calls `read` for an optional object.
    void object(std::string_view name, const std::function<void(ObjectChecker &)> &read);

    /// Returns the JSON text of an optional object without checking its fields; empty if missing.
    [[nodiscard]] std::string rawObject(std::string_view name);

    [[nodiscard]] bool has(std::string_view name) const;
    void addFault(std::string_view name, FaultKind kind, std::string expected);
    /// Reports every field that was not read as unknown.
    void finish();

private:
    const boost::json::value *field(std::string_view name, bool required);

    const boost::json::object *object_ =
        nullptr; // null: not an object; the constructor reported it
    std::string pointer_;
    Faults &faults_;
    std::set<std::string, std::less<>> readFields_;
};

/// Returns the string in an array element; reports a fault if it is empty or not a string.
[[nodiscard]] std::string elementText(
    const boost::json::value &json, const std::string &pointer, Faults &faults);

/// Parses text; reports a fault at the root if it is not JSON.
[[nodiscard]] std::optional<boost::json::value> parseChecked(std::string_view text, Faults &faults);

template <typename E>
E ObjectChecker::choice(std::string_view name,
    const std::vector<std::pair<std::string_view, E>> &choices, std::optional<E> fallback)
{
    std::string expected = "one of";
    for (const std::pair<std::string_view, E> &option : choices) {
        expected += ' ';
        expected += option.first;
    }
    const boost::json::value *json = field(name, !fallback.has_value());
    const E defaultValue = fallback.value_or(choices.front().second);
    if (json == nullptr) {
        return defaultValue;
    }
    if (!json->is_string()) {
        addFault(name, FaultKind::WrongType, expected);
        return defaultValue;
    }
    for (const std::pair<std::string_view, E> &option : choices) {
        if (json->get_string() == option.first) {
            return option.second;
        }
    }
    addFault(name, FaultKind::OutOfRange, expected);
    return defaultValue;
}

} // namespace crocusmill
