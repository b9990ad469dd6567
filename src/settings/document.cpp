/// Parser of environment documents.

#include "src/settings/jsonchecker.h"

#include <crocusmill/document.h>

#include <openssl/evp.h>

#include <algorithm>
#include <array>

namespace crocusmill
{

namespace
{

constexpr std::uint64_t maxVersion = 1'000'000'000'000;
constexpr std::uint64_t maxWeight = 1000;
constexpr std::uint64_t maxSlots = 1'000'000;
constexpr std::uint64_t maxCores = 10'000'000;
constexpr Milliseconds minDeadline {1};
constexpr Milliseconds maxDeadline {7LL * 24 * 3600 * 1000};
constexpr Milliseconds defaultDeadline {30'000};

Route readRoute(const boost::json::value &json, const std::string &pointer, Faults &faults)
{
    ObjectChecker checker {json, pointer, faults};
    Route route;
    route.method = checker.requiredText("method");
    route.path = checker.requiredText("path");
    if (!route.path.empty() && route.path.front() != '/') {
        checker.addFault("path", FaultKind::OutOfRange, "a path that starts with /");
    }
    route.service = ServiceName {checker.requiredText("service")};
    route.workClass = checker.choice<WorkClass>("class",
        {{"quick", WorkClass::Quick}, {"deferrable", WorkClass::Deferrable},
            {"heavy", WorkClass::Heavy}},
        std::nullopt);
    route.repeatable = checker.optionalFlag("repeatable", false);
    route.exclusive = checker.optionalFlag("exclusive", false);
    route.recorded = checker.optionalFlag("recorded", false);
    route.deadline =
        checker.optionalMilliseconds("deadline_ms", minDeadline, maxDeadline, defaultDeadline);
    checker.finish();
    return route;
}

Team readTeam(const boost::json::value &json, const std::string &pointer, Faults &faults)
{
    ObjectChecker checker {json, pointer, faults};
    Team team;
    team.name = TeamName {checker.requiredText("name")};
    team.weight = static_cast<std::uint32_t>(checker.optionalCount("weight", 1, maxWeight, 1));
    checker.object("quota", [&team](ObjectChecker &quota) {
        team.slotQuota =
            SlotCount {static_cast<std::uint32_t>(quota.optionalCount("slots", 0, maxSlots, 0))};
        team.coreQuota = static_cast<std::uint32_t>(quota.optionalCount("cores", 0, maxCores, 0));
    });
    checker.finish();
    return team;
}

void readServices(ObjectChecker &root, Document &document, Faults &faults)
{
    root.array("services", [&](const boost::json::value &json, const std::string &pointer) {
        ObjectChecker checker {json, pointer, faults};
        const ServiceName name {checker.requiredText("name")};
        if (std::count(document.services.begin(), document.services.end(), name) > 0) {
            checker.addFault("name", FaultKind::Duplicate, "a service named once");
        }
        document.services.push_back(name);
        checker.finish();
    });
}

void readRoutes(ObjectChecker &root, Document &document, Faults &faults)
{
    root.array("routes", [&](const boost::json::value &json, const std::string &pointer) {
        Route route = readRoute(json, pointer, faults);
        const bool isKnownService =
            std::count(document.services.begin(), document.services.end(), route.service) > 0;
        if (!isKnownService && !route.service.value().empty()) {
            faults.push_back(
                {pointer + "/service", FaultKind::Inconsistent, "a service that the document has"});
        }
        for (const Route &other : document.routes) {
            if (other.method == route.method && other.path == route.path) {
                faults.push_back({pointer + "/path", FaultKind::Duplicate,
                    "one route for each method and path"});
            }
        }
        document.routes.push_back(std::move(route));
    });
}

void readTeams(ObjectChecker &root, Document &document, Faults &faults)
{
    root.array("teams", [&](const boost::json::value &json, const std::string &pointer) {
        Team team = readTeam(json, pointer, faults);
        for (const Team &other : document.teams) {
            if (other.name == team.name) {
                faults.push_back({pointer + "/name", FaultKind::Duplicate, "a team named once"});
            }
        }
        document.teams.push_back(std::move(team));
    });
}

std::string lowerCase(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(),
        [](unsigned char letter) { return static_cast<char>(std::tolower(letter)); });
    return text;
}

void readHosts(ObjectChecker &root, Document &document, Faults &faults)
{
    root.array("hosts", [&](const boost::json::value &json, const std::string &pointer) {
        std::string host = lowerCase(elementText(json, pointer, faults));
        if (std::count(document.hosts.begin(), document.hosts.end(), host) > 0) {
            faults.push_back({pointer, FaultKind::Duplicate, "a host named once"});
        }
        document.hosts.push_back(std::move(host));
    });
    if (document.hosts.empty()) {
        root.addFault("hosts", FaultKind::Missing, "at least one host");
    }
}

bool isPathPrefix(std::string_view prefix, std::string_view path)
{
    if (!path.starts_with(prefix)) {
        return false;
    }
    return path.size() == prefix.size() || prefix.back() == '/' || path[prefix.size()] == '/'
        || path[prefix.size()] == '?';
}

} // namespace

const Route *Document::findRoute(std::string_view method, std::string_view path) const
{
    const Route *longestMatch = nullptr;
    for (const Route &route : routes) {
        if (route.method != method || !isPathPrefix(route.path, path)) {
            continue;
        }
        if (longestMatch == nullptr || route.path.size() > longestMatch->path.size()) {
            longestMatch = &route;
        }
    }
    return longestMatch;
}

Checked<Document> parseDocument(std::string_view json)
{
    Faults faults;
    const std::optional<boost::json::value> value = parseChecked(json, faults);
    if (!value) {
        return faults;
    }
    ObjectChecker root {*value, "", faults};
    Document document;
    document.name = EnvironmentName {root.requiredText("name")};
    document.version = DocumentVersion {root.requiredCount("version", 1, maxVersion)};
    readHosts(root, document, faults);
    readServices(root, document, faults);
    readRoutes(root, document, faults);
    readTeams(root, document, faults);
    root.object("policy", [&document](ObjectChecker &policy) {
        document.policy.emphasis = policy.choice<Emphasis>("emphasis",
            {{"packing", Emphasis::Packing}, {"crest", Emphasis::Latency}}, Emphasis::Packing);
        document.policy.scheduling = policy.choice<Scheduling>("scheduling",
            {{"fair", Scheduling::Fair}, {"naive", Scheduling::Naive}}, Scheduling::Fair);
    });
    root.finish();
    if (!faults.empty()) {
        return faults;
    }
    return document;
}

Digest digestOf(std::string_view text)
{
    std::array<unsigned char, EVP_MAX_MD_SIZE> sum {};
    unsigned int size = 0;
    EVP_Digest(text.data(), text.size(), sum.data(), &size, EVP_sha256(), nullptr);
    constexpr std::string_view digits = "0123456789abcdef";
    std::string hex;
    for (unsigned int i = 0; i < size; ++i) {
        hex += digits[sum[i] >> 4U];
        hex += digits[sum[i] & 0xfU];
    }
    return Digest {std::move(hex)};
}

} // namespace crocusmill
