/// Implementation of PlatformCell.

#include "test/live/platformcell.h"

#include <ctime>
#include <fstream>
#include <iomanip>
#include <sstream>
#include <unistd.h>

namespace crocusmill::live
{

namespace
{

namespace fs = std::filesystem;

constexpr std::uint16_t peerPort = 7'720;
constexpr std::uint16_t operatorPort = 7'721;
constexpr std::uint16_t frontPort = 8'161;
constexpr std::uint16_t readyPort = 8'167;
constexpr std::uint16_t controlPort = 8'166;

std::string prefixOf(std::uint8_t network)
{
    return "127.0." + std::to_string(network) + ".";
}

boost::json::object address(const std::string &ip, std::uint16_t port)
{
    return {{"ip", ip}, {"port", port}};
}

/// Reads the time of a log record, such as 2026-01-31T12:00:00.123Z.
WallTime readTime(const std::string &text)
{
    std::tm utc {};
    std::istringstream in {text};
    char dot = 0;
    std::int64_t milliseconds = 0;
    in >> std::get_time(&utc, "%Y-%m-%dT%H:%M:%S") >> dot >> milliseconds;
    return WallTime {std::chrono::seconds {::timegm(&utc)} + Milliseconds {milliseconds}};
}

std::string text(const std::string &ip, std::uint16_t port)
{
    return ip + ":" + std::to_string(port);
}

} // namespace

PlatformCell::PlatformCell(std::uint8_t network, PlatformCellOptions options)
    : prefix_(prefixOf(network))
    , options_(std::move(options))
    , folder_(fs::temp_directory_path()
          / ("crocusmill-cell-" + std::to_string(::getpid()) + "-" + std::to_string(network)))
{
    fs::remove_all(folder_);
    fs::create_directories(folder_);
    std::ofstream {folder_ / "token"} << "0123456789abcdef0123456789abcdef";
    std::ofstream {folder_ / "peer.key"} << "a key of the tests, longer than 32 bytes";
}

PlatformCell::~PlatformCell()
{
    killAll();
    if (std::getenv("CROCUSMILL_KEEP_LOGS") == nullptr) {
        fs::remove_all(folder_);
    }
}

std::vector<NodeAddress> PlatformCell::control(std::uint8_t network, std::uint32_t replicas)
{
    std::vector<NodeAddress> addresses;
    for (std::uint32_t vm = 1; vm <= replicas; ++vm) {
        addresses.push_back({prefixOf(network) + std::to_string(vm), controlPort});
    }
    return addresses;
}

std::uint32_t PlatformCell::vmCount() const
{
    return options_.replicas + options_.entries;
}

const Process &PlatformCell::process(std::uint32_t vm) const
{
    return processes_.at(vm);
}

NodeAddress PlatformCell::front(std::uint32_t entry) const
{
    return {ipOf(options_.replicas + 1 + entry), frontPort};
}

std::string PlatformCell::ipOf(std::uint32_t vm) const
{
    return prefix_ + std::to_string(vm);
}

void PlatformCell::writeSettings(std::uint32_t vm) const
{
    const std::string ip = ipOf(vm);
    const bool isReplica = vm <= options_.replicas;
    boost::json::array seeds;
    constexpr std::uint32_t seedCount = 3;
    for (std::uint32_t seed = 1; seed <= seedCount; ++seed) {
        seeds.push_back(boost::json::string {text(ipOf(seed), controlPort)});
    }
    boost::json::object platform {
        {"ticket_office", text(options_.ticketOffice.ip, options_.ticketOffice.port)}};
    if (isReplica) {
        platform["control"] = text(ip, controlPort);
    } else {
        platform["front"] = text(ip, frontPort);
        platform["ready"] = text(ip, readyPort);
    }
    boost::json::object entry = options_.entrySettings;
    entry["threads"] = 1;
    boost::json::object settings {{"vm", "vm-" + std::to_string(vm)}, {"availability_zone", "zone"},
        {"peers",
            boost::json::object {{"listen", address(ip, peerPort)},
                {"key_file", (folder_ / "peer.key").string()}, {"seeds", seeds}}},
        {"entry", entry}, {"platform", platform},
        {"operators",
            boost::json::object {{"listen", address(ip, operatorPort)},
                {"token_file", (folder_ / "token").string()}}},
        {"times",
            boost::json::object {{"heartbeat_ms", 100}, {"election_timeout_ms", 400},
                {"election_spread_ms", 200}, {"drift_margin_ms", 40}}},
        {"log", boost::json::object {{"format", "json"}}}};
    if (isReplica) {
        settings["state"] =
            boost::json::object {{"folder", (folder_ / ("data-" + std::to_string(vm))).string()},
                {"voters", options_.replicas}, {"may_found", starts_ == 0},
                {"replace_after_ms", 2'500}};
    }
    std::ofstream {folder_ / ("vm-" + std::to_string(vm) + ".json")}
        << boost::json::serialize(settings);
}

std::string PlatformCell::logOf(std::uint32_t vm) const
{
    return (folder_ / ("vm-" + std::to_string(vm) + "-" + std::to_string(starts_) + ".log"))
        .string();
}

void PlatformCell::startAll()
{
    for (std::uint32_t vm = 1; vm <= vmCount(); ++vm) {
        writeSettings(vm); // only the first start may form a cell
    }
    ++starts_;
    for (std::uint32_t vm = 1; vm <= vmCount(); ++vm) {
        const std::string settings = (folder_ / ("vm-" + std::to_string(vm) + ".json")).string();
        processes_[vm] = Process {{CROCUSMILLD_PATH, "--settings", settings}, logOf(vm)};
    }
}

void PlatformCell::killAll()
{
    for (const std::pair<const std::uint32_t, Process> &process : processes_) {
        process.second.signal(SIGSTOP); // so that none goes on while the others end
    }
    processes_.clear();
}

void PlatformCell::deleteFolder(std::uint32_t vm) const
{
    fs::remove_all(folder_ / ("data-" + std::to_string(vm)));
}

HttpReply PlatformCell::call(std::uint32_t entry, const std::string &method,
    const std::string &target, const std::string &body) const
{
    constexpr Milliseconds timeout {3'000};
    return httpRequest(front(entry), method, target, body, {}, timeout);
}

bool PlatformCell::installQueue() const
{
    return installQueue(1, "jobs");
}

bool PlatformCell::installQueue(std::uint64_t version, const std::string &name) const
{
    const std::string route = R"({"name":")" + name
        + R"(","host":"rocola.test","prefix":"/jobs/",)"
          R"("kind":"unsafe","timeout_ms":3000,"slo_ms":250,"prio":0,"service":"service",)"
          R"("attempts":4,"slack_factor":1.5,)"
          R"("hint":{"decision_ms":10.0,"period_ms":0.0,"validity_ms":2000}})";
    const std::string document = R"({"version":)" + std::to_string(version) + R"(,"routes":[)"
        + (name.empty() ? "" : route) + R"(],"services":[{"name":"service"}]})";
    return eventually([this, &document]() {
        return httpRequest({ipOf(1), controlPort}, "POST", "/Config.Replace", document).status
            == 200;
    });
}

std::vector<PlatformCell::LogLine> PlatformCell::linesSinceStart(const std::string &event) const
{
    std::vector<LogLine> lines;
    for (std::uint32_t vm = 1; vm <= vmCount(); ++vm) {
        std::ifstream in {logOf(vm)};
        std::string line;
        while (std::getline(in, line)) {
            boost::system::error_code error;
            const boost::json::value json = boost::json::parse(line, error);
            if (!error && json.at("event").as_string() == std::string_view {event}) {
                lines.push_back({vm, event, readTime(std::string {json.at("time").as_string()})});
            }
        }
    }
    return lines;
}

} // namespace crocusmill::live
