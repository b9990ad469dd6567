/// Writes JSON directly into a string, for small messages and log records.

#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace crocusmill
{

/// Appends `text` quoted and escaped like Boost.JSON. Invalid UTF-8 passes unchanged.
void appendJson(std::string &out, std::string_view text);
void appendJson(std::string &out, std::int64_t number);
void appendJson(std::string &out, std::uint64_t number);

/// Writes one JSON object with its fields in the order of the calls.
class JsonObjectWriter
{
public:
    explicit JsonObjectWriter(std::size_t bytes);

    /// Appends a field. `name` must not need escaping.
    void add(std::string_view name, std::string_view text);
    void add(std::string_view name, std::uint64_t number);
    void add(std::string_view name, std::int64_t number);

    /// Closes the object and returns its text.
    [[nodiscard]] std::string take();

private:
    void begin(std::string_view name);

    std::string text_; // Invariant: begins with '{' and ends after a complete field, if any
};

} // namespace crocusmill
