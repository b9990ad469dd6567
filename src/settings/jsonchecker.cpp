/// Reading of JSON objects with fault reports.

#include "src/settings/jsonchecker.h"

namespace crocusmill
{

namespace
{

std::string escapePointer(std::string_view name)
{
    std::string escaped;
    for (const char letter : name) {
        if (letter == '~') {
            escaped += "~0";
        } else if (letter == '/') {
            escaped += "~1";
        } else {
            escaped += letter;
        }
    }
    return escaped;
}

std::string countRange(std::uint64_t minimum, std::uint64_t maximum)
{
    return "an integer from " + std::to_string(minimum) + " to " + std::to_string(maximum);
}

} // namespace

std::string_view text(FaultKind kind)
{
    switch (kind) {
    case FaultKind::Malformed:
        return "malformed";
    case FaultKind::Missing:
        return "missing";
    case FaultKind::Unknown:
        return "unknown field";
    case FaultKind::WrongType:
        return "wrong type";
    case FaultKind::OutOfRange:
        return "out of range";
    case FaultKind::Duplicate:
        return "duplicate";
    case FaultKind::Inconsistent:
        return "inconsistent";
    }
    return "fault";
}

ObjectChecker::ObjectChecker(const boost::json::value &json, std::string pointer, Faults &faults)
    : object_(json.if_object())
    , pointer_(std::move(pointer))
    , faults_(faults)
{
    if (object_ == nullptr) {
        faults_.push_back({pointer_, FaultKind::WrongType, "an object"});
    }
}

void ObjectChecker::addFault(std::string_view name, FaultKind kind, std::string expected)
{
    faults_.push_back({pointer_ + "/" + escapePointer(name), kind, std::move(expected)});
}

bool ObjectChecker::has(std::string_view name) const
{
    return object_ != nullptr && object_->if_contains(name) != nullptr;
}

const boost::json::value *ObjectChecker::field(std::string_view name, bool required)
{
    readFields_.emplace(name);
    if (object_ == nullptr) {
        return nullptr;
    }
    const boost::json::value *json = object_->if_contains(name);
    if (json == nullptr && required) {
        addFault(name, FaultKind::Missing, "a value");
    }
    return json;
}

std::string ObjectChecker::requiredText(std::string_view name)
{
    const boost::json::value *json = field(name, true);
    if (json == nullptr) {
        return {};
    }
    if (!json->is_string()) {
        addFault(name, FaultKind::WrongType, "a string");
        return {};
    }
    if (json->get_string().empty()) {
        addFault(name, FaultKind::OutOfRange, "a string that is not empty");
    }
    return std::string {json->get_string()};
}

std::string ObjectChecker::optionalText(std::string_view name, std::string fallback)
{
    if (!has(name)) {
        readFields_.emplace(name);
        return fallback;
    }
    return requiredText(name);
}

std::uint64_t ObjectChecker::requiredCount(
    std::string_view name, std::uint64_t minimum, std::uint64_t maximum)
{
    const boost::json::value *json = field(name, true);
    if (json == nullptr) {
        return minimum;
    }
    boost::system::error_code error;
    const std::uint64_t count = json->to_number<std::uint64_t>(error);
    if (error || json->is_double()) {
        addFault(name, FaultKind::WrongType, countRange(minimum, maximum));
        return minimum;
    }
    if (count < minimum || count > maximum) {
        addFault(name, FaultKind::OutOfRange, countRange(minimum, maximum));
        return minimum;
    }
    return count;
}

std::uint64_t ObjectChecker::optionalCount(
    std::string_view name, std::uint64_t minimum, std::uint64_t maximum, std::uint64_t fallback)
{
    if (!has(name)) {
        readFields_.emplace(name);
        return fallback;
    }
    return requiredCount(name, minimum, maximum);
}

Milliseconds ObjectChecker::optionalMilliseconds(
    std::string_view name, Milliseconds minimum, Milliseconds maximum, Milliseconds fallback)
{
    return Milliseconds {optionalCount(name, static_cast<std::uint64_t>(minimum.count()),
        static_cast<std::uint64_t>(maximum.count()), static_cast<std::uint64_t>(fallback.count()))};
}

bool ObjectChecker::optionalFlag(std::string_view name, bool fallback)
{
    const boost::json::value *json = field(name, false);
    if (json == nullptr) {
        return fallback;
    }
    if (!json->is_bool()) {
        addFault(name, FaultKind::WrongType, "true or false");
        return fallback;
    }
    return json->get_bool();
}

void ObjectChecker::array(std::string_view name,
    const std::function<void(const boost::json::value &, const std::string &)> &onElement)
{
    const boost::json::value *json = field(name, false);
    if (json == nullptr) {
        return;
    }
    if (!json->is_array()) {
        addFault(name, FaultKind::WrongType, "an array");
        return;
    }
    std::size_t index = 0;
    for (const boost::json::value &element : json->get_array()) {
        onElement(element, pointer_ + "/" + escapePointer(name) + "/" + std::to_string(index));
        ++index;
    }
}

void ObjectChecker::object(std::string_view name, const std::function<void(ObjectChecker &)> &read)
{
    const boost::json::value *json = field(name, false);
    if (json == nullptr) {
        return;
    }
    ObjectChecker checker {*json, pointer_ + "/" + escapePointer(name), faults_};
    read(checker);
    checker.finish();
}

std::string ObjectChecker::rawObject(std::string_view name)
{
    const boost::json::value *json = field(name, false);
    if (json == nullptr) {
        return {};
    }
    if (!json->is_object()) {
        addFault(name, FaultKind::WrongType, "an object");
        return {};
    }
    return boost::json::serialize(*json);
}

void ObjectChecker::finish()
{
    if (object_ == nullptr) {
        return;
    }
    for (const boost::json::key_value_pair &pair : *object_) {
        const std::string_view name {pair.key()};
        if (!readFields_.contains(name)) {
            addFault(name, FaultKind::Unknown, "no such field");
        }
    }
}

std::string elementText(const boost::json::value &json, const std::string &pointer, Faults &faults)
{
    if (!json.is_string() || json.get_string().empty()) {
        faults.push_back({pointer, FaultKind::WrongType, "a string that is not empty"});
        return {};
    }
    return std::string {json.get_string()};
}

std::optional<boost::json::value> parseChecked(std::string_view text, Faults &faults)
{
    boost::system::error_code error;
    boost::json::value json = boost::json::parse(text, error);
    if (error) {
        faults.push_back({"", FaultKind::Malformed, "JSON"});
        return std::nullopt;
    }
    return json;
}

} // namespace crocusmill
