/// Formatting of JSON as tables and lines.

#include "src/ctl/table.h"

#include <boost/json.hpp>

#include <algorithm>
#include <iomanip>
#include <vector>

namespace crocusmill::ctl
{

namespace
{

constexpr std::size_t maxCellWidth = 48;

std::string formatCell(const boost::json::value &value)
{
    std::string text =
        value.is_string() ? std::string {value.get_string()} : boost::json::serialize(value);
    std::replace(text.begin(), text.end(), '\n', ' ');
    if (text.size() > maxCellWidth) {
        text = text.substr(0, maxCellWidth - 3) + "...";
    }
    return text;
}

bool isTable(const boost::json::value &value)
{
    return value.is_array() && !value.get_array().empty()
        && std::all_of(value.get_array().begin(), value.get_array().end(),
            [](const boost::json::value &row) { return row.is_object(); });
}

void printTable(const boost::json::array &rows, std::ostream &out)
{
    std::vector<std::string> names;
    for (const boost::json::key_value_pair &pair : rows.front().get_object()) {
        names.emplace_back(pair.key());
    }
    std::vector<std::vector<std::string>> lines {names};
    for (const boost::json::value &row : rows) {
        std::vector<std::string> line;
        for (const std::string &name : names) {
            const boost::json::value *value = row.get_object().if_contains(name);
            line.push_back(value == nullptr ? std::string {} : formatCell(*value));
        }
        lines.push_back(std::move(line));
    }
    std::vector<std::size_t> widths(names.size(), 0);
    for (const std::vector<std::string> &line : lines) {
        for (std::size_t i = 0; i < line.size(); ++i) {
            widths[i] = std::max(widths[i], line[i].size());
        }
    }
    for (const std::vector<std::string> &line : lines) {
        for (std::size_t i = 0; i < line.size(); ++i) {
            out << std::left << std::setw(static_cast<int>(widths[i]) + 2) << line[i];
        }
        out << '\n';
    }
}

} // namespace

void printAsText(const std::string &json, std::ostream &out)
{
    boost::system::error_code error;
    const boost::json::value value = boost::json::parse(json, error);
    if (error) {
        out << json << '\n';
        return;
    }
    if (isTable(value)) {
        printTable(value.get_array(), out);
        return;
    }
    if (!value.is_object()) {
        out << (value.is_array() && value.get_array().empty() ? "none"
                                                              : boost::json::serialize(value))
            << '\n';
        return;
    }
    for (const boost::json::key_value_pair &pair : value.get_object()) {
        if (isTable(pair.value())) {
            out << pair.key() << ":\n";
            printTable(pair.value().get_array(), out);
        } else {
            out << pair.key() << ": " << formatCell(pair.value()) << '\n';
        }
    }
}

} // namespace crocusmill::ctl
