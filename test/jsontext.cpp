/// Tests that the JSON writer produces the same text as Boost.JSON.

#include "src/net/jsontext.h"

#include <boost/json.hpp>
#include <catch2/catch.hpp>

#include <limits>

namespace crocusmill
{

TEST_CASE("every byte is escaped like in Boost.JSON")
{
    constexpr int bytes = 256;
    for (int byte = 0; byte < bytes; ++byte) {
        for (const std::string &text : {std::string(1, static_cast<char>(byte)),
                 "ab" + std::string(3, static_cast<char>(byte)),
                 std::string(700, 'x') + static_cast<char>(byte) + std::string(700, 'y')}) {
            std::string out;
            appendJson(out, text);
            CHECK(out == boost::json::serialize(boost::json::string {text}));
        }
    }
    std::string out;
    appendJson(out, "");
    CHECK(out == R"("")");
}

TEST_CASE("the smallest and the largest integers are written exactly")
{
    std::string out;
    appendJson(out, std::numeric_limits<std::int64_t>::min());
    out += ' ';
    appendJson(out, std::numeric_limits<std::uint64_t>::max());
    CHECK(out == "-9223372036854775808 18446744073709551615");
}

TEST_CASE("an object keeps the order of its fields")
{
    JsonObjectWriter none {0};
    CHECK(none.take() == "{}");
    JsonObjectWriter object {0};
    object.add("b", "x\"y");
    object.add("a", std::uint64_t {7});
    object.add("c", std::int64_t {-7});
    CHECK(object.take() == R"({"b":"x\"y","a":7,"c":-7})");
}

} // namespace crocusmill
