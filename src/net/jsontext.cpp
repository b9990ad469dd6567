/// JSON writer; strings that need escaping are serialized by Boost.JSON.

#include "src/net/jsontext.h"

#include <boost/json.hpp>

#include <algorithm>
#include <array>
#include <charconv>

namespace crocusmill
{

namespace
{

bool needsNoEscape(char character)
{
    constexpr unsigned char firstPrintable = 0x20;
    constexpr unsigned char deleted = 0x7f;
    const auto byte = static_cast<unsigned char>(character);
    return byte >= firstPrintable && byte != deleted && character != '"' && character != '\\';
}

template <typename Number> void appendNumber(std::string &out, Number number)
{
    constexpr std::size_t maxDigits = 24;
    std::array<char, maxDigits> digits {};
    const std::to_chars_result written =
        std::to_chars(digits.data(), digits.data() + digits.size(), number);
    out.append(digits.data(), written.ptr);
}

} // namespace

void appendJson(std::string &out, std::string_view text)
{
    if (std::all_of(text.begin(), text.end(), needsNoEscape)) {
        out += '"';
        out += text;
        out += '"';
        return;
    }
    constexpr std::size_t chunkBytes = 512;
    std::array<char, chunkBytes> chunk {};
    boost::json::serializer serializer;
    serializer.reset(boost::json::string_view {text.data(), text.size()});
    while (!serializer.done()) {
        out += std::string_view {serializer.read(chunk.data(), chunk.size())};
    }
}

void appendJson(std::string &out, std::int64_t number)
{
    appendNumber(out, number);
}

void appendJson(std::string &out, std::uint64_t number)
{
    appendNumber(out, number);
}

JsonObjectWriter::JsonObjectWriter(std::size_t bytes)
{
    text_.reserve(bytes);
    text_ += '{';
}

void JsonObjectWriter::begin(std::string_view name)
{
    if (text_.size() > 1) {
        text_ += ',';
    }
    text_ += '"';
    text_ += name;
    text_ += "\":";
}

void JsonObjectWriter::add(std::string_view name, std::string_view text)
{
    begin(name);
    appendJson(text_, text);
}

void JsonObjectWriter::add(std::string_view name, std::uint64_t number)
{
    begin(name);
    appendJson(text_, number);
}

void JsonObjectWriter::add(std::string_view name, std::int64_t number)
{
    begin(name);
    appendJson(text_, number);
}

std::string JsonObjectWriter::take()
{
    text_ += '}';
    return std::move(text_);
}

} // namespace crocusmill
