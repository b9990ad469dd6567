/// JSON written straight into a string, for small messages and log records.

#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace crocusmill
{

/// Quoted and escaped as Boost.JSON does; bytes that are no UTF-8 pass unchanged.
void appendJson(std::string &out, std::string_view text);
void appendJson(std::string &out, std::int64_t number);
void appendJson(std::string &out, std::uint64_t number);

/// One object, written field by field in the order of the calls.
class JsonObjectWriter
{
public:
    explicit JsonObjectWriter(std::size_t bytes);

    /// `name` needs no escaping.
    void add(std::string_view name, std::string_view text);
    void add(std::string_view name, std::uint64_t number);
    void add(std::string_view name, std::int64_t number);

    /// Closes the object and hands it over.
    [[nodiscard]] std::string take();

private:
    void begin(std::string_view name);

    std::string text_; // Invariant: begins with '{' and ends behind a whole field, if any
};

} // namespace crocusmill
