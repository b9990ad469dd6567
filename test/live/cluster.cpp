/// Starts, stops and partitions the daemons of the live tests.

#include "test/live/cluster.h"

#include <boost/json.hpp>

#include <algorithm>
#include <csignal>
#include <fstream>
#include <sstream>
#include <unistd.h>

namespace crocusmill::live
{

namespace
{

namespace fs = std::filesystem;

constexpr std::uint16_t listenOffset = 0;
constexpr std::uint16_t relayOffset = 20;
constexpr std::uint16_t entryOffset = 40;
constexpr std::uint16_t operatorOffset = 60;
constexpr const char *token = "0123456789abcdef0123456789abcdef";

std::string lowerCase(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(),
        [](unsigned char letter) { return static_cast<char>(std::tolower(letter)); });
    return text;
}

boost::json::object address(const NodeAddress &where)
{
    return {{"ip", where.ip}, {"port", where.port}};
}

asio::awaitable<void> exchange(
    NodeAddress to, HttpRequest &request, Milliseconds timeout, HttpReply &reply)
{
    beast::tcp_stream stream {co_await asio::this_coro::executor};
    stream.expires_after(timeout);
    boost::system::error_code error;
    const Tcp::endpoint endpoint {asio::ip::make_address(to.ip), to.port};
    co_await stream.async_connect(endpoint, errorInto(error));
    if (!error) {
        co_await http::async_write(stream, request, errorInto(error));
    }
    beast::flat_buffer buffer;
    HttpResponse response;
    if (!error) {
        co_await http::async_read(stream, buffer, response, errorInto(error));
    }
    if (error) {
        co_return;
    }
    reply.status = response.result_int();
    reply.body = response.body();
    for (const HttpResponse::value_type &field : response) {
        reply.headers[lowerCase(std::string {field.name_string()})] = std::string {field.value()};
    }
}

} // namespace

std::string HttpReply::execution() const
{
    boost::system::error_code error;
    const boost::json::value json = boost::json::parse(body, error);
    if (error || !json.is_object() || !json.get_object().contains("execution")) {
        return {};
    }
    return std::string {json.at("execution").as_string()};
}

std::string HttpReply::header(const std::string &name) const
{
    const auto found = headers.find(lowerCase(name));
    return found == headers.end() ? std::string {} : found->second;
}

HttpReply httpRequest(const NodeAddress &to, const std::string &method, const std::string &target,
    const std::string &body, const HeaderList &headers, Milliseconds timeout)
{
    constexpr unsigned int http11 = 11;
    HttpRequest request;
    request.version(http11);
    request.method_string(method);
    request.target(target);
    request.set(http::field::host, "rocola.test");
    for (const std::pair<std::string, std::string> &header : headers) {
        request.set(header.first, header.second);
    }
    request.body() = body;
    request.keep_alive(false);
    request.prepare_payload();
    HttpReply reply;
    asio::io_context context;
    asio::co_spawn(context, exchange(to, request, timeout, reply), asio::detached);
    context.run();
    return reply;
}

Cluster::Cluster(std::uint16_t firstPort, ClusterOptions options)
    : firstPort_(firstPort)
    , options_(options)
    , folder_(fs::temp_directory_path()
          / ("crocusmill-live-" + std::to_string(::getpid()) + "-" + std::to_string(firstPort)))
{
    fs::remove_all(folder_);
    fs::create_directories(folder_);
    std::ofstream {folder_ / "token"} << token;
    std::ofstream {folder_ / "peer.key"} << "a key of the tests, longer than 32 bytes";
    for (std::uint32_t vm = 1; vm <= options_.vms; ++vm) {
        writeSettings(vm, "peer.key");
        const std::uint16_t number = static_cast<std::uint16_t>(vm);
        relays_[vm] = std::make_unique<Relay>(
            NodeAddress {ipOf(vm), static_cast<std::uint16_t>(firstPort_ + relayOffset + number)},
            NodeAddress {ipOf(vm), static_cast<std::uint16_t>(firstPort_ + listenOffset + number)});
    }
}

Cluster::~Cluster()
{
    processes_.clear();
    if (std::getenv("CROCUSMILL_KEEP_LOGS") == nullptr) {
        fs::remove_all(folder_);
    }
}

std::string Cluster::ipOf(std::uint32_t vm) const
{
    return "127.0.0." + std::to_string(vm + 1);
}

void Cluster::useOtherKey(std::uint32_t vm) const
{
    std::ofstream {folder_ / "other.key"} << "another key of the tests, of the same length";
    writeSettings(vm, "other.key");
}

void Cluster::writeSettings(std::uint32_t vm, const std::string &keyFile) const
{
    boost::json::array voters;
    for (std::uint32_t voter = 1; voter <= options_.voters; ++voter) {
        boost::json::object described =
            address({ipOf(voter), static_cast<std::uint16_t>(firstPort_ + relayOffset + voter)});
        described["vm"] = "vm-" + std::to_string(voter);
        voters.push_back(std::move(described));
    }
    const NodeAddress listen {ipOf(vm), static_cast<std::uint16_t>(firstPort_ + listenOffset + vm)};
    const NodeAddress advertise {
        ipOf(vm), static_cast<std::uint16_t>(firstPort_ + relayOffset + vm)};
    boost::json::object settings;
    settings["vm"] = "vm-" + std::to_string(vm);
    settings["availability_zone"] = "zone-" + std::to_string(vm % 3);
    settings["peers"] =
        boost::json::object {{"listen", address(listen)}, {"advertise", address(advertise)},
            {"key_file", (folder_ / keyFile).string()}, {"voters", std::move(voters)}};
    if (vm <= options_.voters || options_.hasSpareFolders) {
        settings["state"] = boost::json::object {{"folder", folderOf(vm).string()},
            {"snapshot_entries", options_.snapshotEntries}, {"replace_after_ms", 2'000}};
    }
    settings["entry"] = boost::json::object {
        {"listen", address(entry(vm))}, {"balancer_interval_ms", 200}, {"drain_limit_ms", 10'000}};
    settings["operators"] = boost::json::object {
        {"listen",
            address({"127.0.0.1", static_cast<std::uint16_t>(firstPort_ + operatorOffset + vm)})},
        {"token_file", (folder_ / "token").string()}};
    settings["times"] = boost::json::object {{"beat_ms", 100}, {"heartbeat_ms", 40},
        {"election_timeout_ms", 400}, {"grant_life_ms", 1'200}, {"grant_margin_ms", 300},
        {"announce_interval_ms", 200}, {"announce_life_ms", 1'500}, {"exclusive_lease_ms", 1'200},
        {"stale_configuration_ms", 5'000}};
    std::ofstream {folder_ / ("vm-" + std::to_string(vm) + ".json")}
        << boost::json::serialize(settings);
}

void Cluster::start(std::uint32_t vm)
{
    const std::string name = "vm-" + std::to_string(vm);
    processes_[vm] =
        Process {{CROCUSMILLD_PATH, "--settings", (folder_ / (name + ".json")).string()},
            (folder_ / (name + ".log")).string()};
}

void Cluster::startAll()
{
    for (std::uint32_t vm = 1; vm <= options_.vms; ++vm) {
        start(vm);
    }
    waitReady();
}

void Cluster::kill(std::uint32_t vm)
{
    processes_[vm].kill();
}

void Cluster::freeze(std::uint32_t vm)
{
    processes_[vm].signal(SIGSTOP);
}

void Cluster::thaw(std::uint32_t vm)
{
    processes_[vm].signal(SIGCONT);
}

int Cluster::terminate(std::uint32_t vm)
{
    sendSignal(vm, SIGTERM);
    return waitExit(vm);
}

void Cluster::sendSignal(std::uint32_t vm, int number)
{
    processes_[vm].signal(number);
}

int Cluster::waitExit(std::uint32_t vm)
{
    return processes_[vm].wait();
}

void Cluster::cut(std::uint32_t vm, bool isCut)
{
    relays_[vm]->cut({}, isCut);
    for (const std::pair<const std::uint32_t, std::unique_ptr<Relay>> &relay : relays_) {
        if (relay.first != vm) {
            relay.second->cut(ipOf(vm), isCut);
        }
    }
}

void Cluster::cutGroup(const std::set<std::uint32_t> &group, bool isCut)
{
    for (std::uint32_t other = 1; other <= options_.vms; ++other) {
        if (group.contains(other)) {
            continue;
        }
        for (const std::uint32_t vm : group) {
            relays_[vm]->cut(ipOf(other), isCut);
            relays_[other]->cut(ipOf(vm), isCut);
        }
    }
}

fs::path Cluster::folderOf(std::uint32_t vm) const
{
    return folder_ / ("data-" + std::to_string(vm));
}

void Cluster::deleteFolder(std::uint32_t vm)
{
    fs::remove_all(folderOf(vm));
}

NodeAddress Cluster::entry(std::uint32_t vm) const
{
    return {"127.0.0.1", static_cast<std::uint16_t>(firstPort_ + entryOffset + vm)};
}

HttpReply Cluster::call(std::uint32_t vm, const std::string &method, const std::string &target,
    const std::string &body, const HeaderList &headers, Milliseconds timeout) const
{
    return httpRequest(entry(vm), method, target, body, headers, timeout);
}

HttpReply Cluster::operate(std::uint32_t vm, const std::string &method, const std::string &target,
    const std::string &body, const std::string &operatorName) const
{
    const NodeAddress to {
        "127.0.0.1", static_cast<std::uint16_t>(firstPort_ + operatorOffset + vm)};
    return httpRequest(to, method, target, body,
        {{"Authorization", std::string {"Bearer "} + token},
            {"Crocusmill-Operator", operatorName}});
}

bool Cluster::isReady(std::uint32_t vm) const
{
    return call(vm, "GET", "/.well-known/crocusmill/ready", {}, {}, Milliseconds {500}).status
        == 200;
}

std::uint32_t Cluster::leader() const
{
    for (std::uint32_t vm = 1; vm <= options_.vms; ++vm) {
        const HttpReply reply = operate(vm, "GET", "/v1/status");
        if (reply.status != 200) {
            continue;
        }
        const boost::json::value status = boost::json::parse(reply.body);
        for (const boost::json::value &vmStatus : status.at("vms").as_array()) {
            if (vmStatus.at("leader").as_bool()) {
                const std::string name {vmStatus.at("vm").as_string()};
                return static_cast<std::uint32_t>(std::stoul(name.substr(name.rfind('-') + 1)));
            }
        }
    }
    return 0;
}

void Cluster::waitReady() const
{
    static_cast<void>(eventually([this]() {
        for (std::uint32_t vm = 1; vm <= options_.vms; ++vm) {
            if (processes_.contains(vm) && processes_.at(vm).isRunning() && !isReady(vm)) {
                return false;
            }
        }
        return true;
    }));
}

HttpReply Cluster::promote(std::uint32_t vm, const std::string &document, std::uint64_t version,
    const std::string &operatorName) const
{
    HttpReply trialReply = operate(vm, "POST", "/v1/environments/trial", document, operatorName);
    if (trialReply.status != 200) {
        return trialReply;
    }
    const boost::json::object body {{"version", version}, {"digest", digestOf(document).value()}};
    return operate(
        vm, "POST", "/v1/environments/rocola/promote", boost::json::serialize(body), operatorName);
}

std::string Cluster::readLog(std::uint32_t vm) const
{
    std::ifstream in {folder_ / ("vm-" + std::to_string(vm) + ".log")};
    std::ostringstream content;
    content << in.rdbuf();
    return content.str();
}

standin::Options Cluster::standInOptions(std::uint32_t count) const
{
    standin::Options options;
    options.count = count;
    options.interval = Milliseconds {100};
    for (std::uint32_t vm = 1; vm <= options_.vms; ++vm) {
        options.entries.push_back(entry(vm));
    }
    return options;
}

bool eventually(const std::function<bool()> &condition, Milliseconds timeout)
{
    constexpr Milliseconds poll {30};
    const MonotonicTime until = std::chrono::steady_clock::now() + timeout;
    while (std::chrono::steady_clock::now() < until) {
        if (condition()) {
            return true;
        }
        std::this_thread::sleep_for(poll);
    }
    return condition();
}

std::string rocolaDocument(std::uint64_t version, const std::string &extra)
{
    return R"({"name": "rocola", "version": )" + std::to_string(version) + R"(,
 "hosts": ["rocola.test")"
        + extra + R"(], "services": [{"name": "matching"}],
 "routes": [
  {"method": "POST", "path": "/quotes", "service": "matching", "class": "quick",
   "repeatable": true, "deadline_ms": 10000},
  {"method": "POST", "path": "/once", "service": "matching", "class": "quick",
   "repeatable": false, "deadline_ms": 8000},
  {"method": "POST", "path": "/appraisals", "service": "matching", "class": "heavy",
   "repeatable": true, "exclusive": true, "deadline_ms": 20000}]})";
}

} // namespace crocusmill::live
