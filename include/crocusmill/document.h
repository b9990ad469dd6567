/// The document that describes one environment, and the checking of it.
///
/// Checking reports every fault in one pass, each with the JSON pointer of its place.

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
    Malformed = 1, // not JSON, or not an object where one is needed
    Missing,
    Unknown, // a field that is not known here
    WrongType,
    OutOfRange,
    Duplicate,
    Inconsistent, // refers to something that the document does not have
};

[[nodiscard]] std::string_view text(FaultKind kind);

/// One fault of a settings file, a document or an announcement.
struct Fault
{
    std::string pointer; // RFC 6901
    FaultKind kind = FaultKind::Malformed;
    std::string expected; // what would have been right there

    bool operator==(const Fault &) const = default;
};

using Faults = std::vector<Fault>;

/// A checked value, or all that is wrong with it.
template <typename T> using Checked = std::variant<T, Faults>;

enum class WorkClass { Quick, Deferrable, Heavy };

/// How upstreams' slots are shared when not all work fits at once.
enum class Emphasis {
    Packing, // heavy work may fill more of the slots; short work is kept from waiting behind it
    Latency, // more slots are kept for quick work; late quick work is refused sooner
};

enum class Scheduling {
    Fair,
    Naive, // first come first served, random upstream, no limits: the baseline of measurements
};

struct Route
{
    std::string method;
    std::string path; // prefix
    ServiceName service;
    WorkClass workClass = WorkClass::Quick;
    bool repeatable = false;
    bool exclusive = false;
    /// Accepted work gets its answer in the journal, so a later ask on any entry finds it.
    bool recorded = false;
    Milliseconds deadline {0};
};

struct Team
{
    TeamName name;
    std::uint32_t weight = 1;
    /// Most slots that the team's work may use at once on one entry; zero: no limit.
    SlotCount slotQuota;
    /// Most cores that the team's tasks may reserve in the cell; zero: no limit.
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

    /// The route with the longest path prefix for this request; null when there is none.
    [[nodiscard]] const Route *findRoute(std::string_view method, std::string_view path) const;
};

[[nodiscard]] Checked<Document> parseDocument(std::string_view json);

/// SHA-256 of the text as it was sent.
[[nodiscard]] Digest digestOf(std::string_view text);

} // namespace crocusmill
