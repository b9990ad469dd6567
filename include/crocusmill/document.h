/// Configuration document of one environment and its parser.
///
/// The parser reports all faults in one pass, each with its JSON pointer.

#pragma once

#include <crocusmill/error.h>
#include <crocusmill/ids.h>

#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace crocusmill
{

enum class FaultKind {
    Malformed = 1, // not JSON
    Missing,
    Unknown, // a field that the schema does not have
    WrongType,
    OutOfRange,
    Duplicate,
    Inconsistent, // contradicts another field or refers to a missing one
};

[[nodiscard]] std::string_view text(FaultKind kind);

/// One fault of a settings file, a document or an announcement.
struct Fault
{
    std::string pointer; // RFC 6901
    FaultKind kind = FaultKind::Malformed;
    std::string expected; // description of a valid value

    bool operator==(const Fault &) const = default;
};

using Faults = std::vector<Fault>;

/// A valid value, or all faults of the input.
template <typename T> using Checked = std::variant<T, Faults>;

enum class WorkClass { Quick, Deferrable, Heavy };

/// How the slots of upstreams are shared under overload.
enum class Emphasis {
    Packing, // heavy work may use more slots, but quick work does not queue behind it
    Latency, // more slots are reserved for quick work; delayed quick work is refused sooner
};

enum class Scheduling {
    Fair,
    Naive, // first come, first served, random upstream, no limits; baseline for benchmarks
};

struct Route
{
    std::string method;
    std::string path; // prefix
    ServiceName service;
    WorkClass workClass = WorkClass::Quick;
    bool repeatable = false;
    bool exclusive = false;
    /// The journal keeps the answer, so that every entry can return it to a later request.
    bool recorded = false;
    Milliseconds deadline {0};
};

struct Team
{
    TeamName name;
    std::uint32_t weight = 1;
    /// Maximum slots that the team's work may use at once on one entry; zero: no limit.
    SlotCount slotQuota;
    /// Maximum cores that the team's tasks may reserve in the cell; zero: no limit.
    std::uint32_t coreQuota = 0;
};

struct Policy
{
    Emphasis emphasis = Emphasis::Packing;
    Scheduling scheduling = Scheduling::Fair;
};

struct Document
{
    EnvironmentName name;
    DocumentVersion version;
    std::vector<std::string> hosts;
    std::vector<ServiceName> services;
    std::vector<Route> routes;
    std::vector<Team> teams;
    Policy policy;

    /// Returns the route with the longest matching path prefix; null if no route matches.
    [[nodiscard]] const Route *findRoute(std::string_view method, std::string_view path) const;
};

/// Parses a document, or returns all its faults.
[[nodiscard]] Checked<Document> parseDocument(std::string_view json);

/// Returns the SHA-256 of the unchanged text as lower-case hex digits.
[[nodiscard]] Digest digestOf(std::string_view text);

} // namespace crocusmill
