/// Checking of a daemon's settings.

#include "src/settings/jsonchecker.h"

#include <crocusmill/settings.h>

#include <arpa/inet.h>
#include <array>

namespace crocusmill
{

namespace
{

constexpr std::uint64_t mostPort = 65'535;
constexpr std::uint64_t mostBytes = 1ULL << 32U;
constexpr Milliseconds leastTime {1};
constexpr Milliseconds mostTime {24 * 3600 * 1000};

bool isIpNumber(const std::string &ip)
{
    std::array<unsigned char, sizeof(in6_addr)> parsed {};
    return inet_pton(AF_INET, ip.c_str(), parsed.data()) == 1
        || inet_pton(AF_INET6, ip.c_str(), parsed.data()) == 1;
}

NodeAddress readAddress(ObjectChecker &checker)
{
    NodeAddress address;
    address.ip = checker.requiredText("ip");
    if (!address.ip.empty() && !isIpNumber(address.ip)) {
        checker.fault("ip", FaultKind::OutOfRange, "an IP number");
    }
    address.port = static_cast<std::uint16_t>(checker.requiredCount("port", 1, mostPort));
    return address;
}

NodeAddress readListen(ObjectChecker &parent)
{
    NodeAddress listen;
    if (!parent.has("listen")) {
        parent.fault("listen", FaultKind::Missing, "an address with ip and port");
    }
    parent.object("listen", [&listen](ObjectChecker &checker) { listen = readAddress(checker); });
    return listen;
}

ByteCount readBytes(ObjectChecker &checker, std::string_view name, ByteCount fallback)
{
    return ByteCount {checker.optionalCount(name, 1, mostBytes, fallback.value())};
}

Milliseconds readTime(ObjectChecker &checker, std::string_view name, Milliseconds fallback)
{
    return checker.optionalMilliseconds(name, leastTime, mostTime, fallback);
}

/// VMs with a data folder of which only an address is known. All VMs listen for peers on the same
/// port, so a port that follows the IP number is left aside.
void readSeeds(ObjectChecker &checker, PeerSettings &peers)
{
    checker.array("seeds", [&](const boost::json::value &json, const std::string &pointer) {
        const std::string_view text = json.is_string() ? std::string_view {json.get_string()} : "";
        const std::string ip {text.substr(0, text.find(':'))};
        if (!isIpNumber(ip)) {
            checker.fault("seeds", FaultKind::OutOfRange, "IP numbers, not " + pointer);
            return;
        }
        peers.voters.push_back({VmId {}, {ip, peers.listen.port}});
    });
}

void readPeers(ObjectChecker &checker, PeerSettings &peers, Faults &faults)
{
    peers.listen = readListen(checker);
    peers.advertise = peers.listen;
    checker.object(
        "advertise", [&peers](ObjectChecker &address) { peers.advertise = readAddress(address); });
    peers.keyFile = checker.requiredText("key_file");
    checker.array("voters", [&](const boost::json::value &json, const std::string &pointer) {
        ObjectChecker voter {json, pointer, faults};
        VoterSettings settings;
        settings.vm = VmId {voter.requiredText("vm")};
        settings.address = readAddress(voter);
        voter.finish();
        for (const VoterSettings &other : peers.voters) {
            if (other.vm == settings.vm) {
                faults.push_back({pointer + "/vm", FaultKind::Duplicate, "a VM named once"});
            }
        }
        peers.voters.push_back(std::move(settings));
    });
    readSeeds(checker, peers);
    if (peers.voters.empty()) {
        checker.fault("voters", FaultKind::Missing, "at least one VM with a data folder");
    } else if (peers.voters.size() % 2 == 0 && !peers.voters.front().vm.value().empty()) {
        checker.fault("voters", FaultKind::OutOfRange, "an odd number of VMs, best 3 or 5");
    }
}

void readState(ObjectChecker &checker, StateSettings &state)
{
    constexpr std::uint64_t mostEntries = 10'000'000;
    state.folder = checker.requiredText("folder");
    state.snapshotEntries =
        checker.optionalCount("snapshot_entries", 1, mostEntries, state.snapshotEntries);
    state.keepEnded = readTime(checker, "keep_ended_ms", state.keepEnded);
    state.replaceAfter = readTime(checker, "replace_after_ms", state.replaceAfter);
    constexpr std::uint64_t mostVoters = 9;
    state.voters =
        static_cast<std::uint32_t>(checker.optionalCount("voters", 0, mostVoters, state.voters));
    state.mayFound = checker.optionalFlag("may_found", state.mayFound);
}

void readEntry(ObjectChecker &checker, EntrySettings &entry, bool listens)
{
    constexpr std::uint64_t mostThreads = 64;
    constexpr std::uint64_t mostConnections = 1'000'000;
    if (listens) {
        entry.listen = readListen(checker);
    }
    entry.threads =
        static_cast<std::uint32_t>(checker.optionalCount("threads", 1, mostThreads, entry.threads));
    entry.connections = static_cast<std::uint32_t>(
        checker.optionalCount("connections", 1, mostConnections, entry.connections));
    entry.headerBytes = readBytes(checker, "header_bytes", entry.headerBytes);
    entry.bodyBytes = readBytes(checker, "body_bytes", entry.bodyBytes);
    entry.answerBytes = readBytes(checker, "answer_bytes", entry.answerBytes);
    entry.keptAnswerBytes = readBytes(checker, "kept_answer_bytes", entry.keptAnswerBytes);
    entry.idle = readTime(checker, "idle_ms", entry.idle);
    entry.receive = readTime(checker, "receive_ms", entry.receive);
    entry.connect = readTime(checker, "connect_ms", entry.connect);
    entry.balancerInterval = readTime(checker, "balancer_interval_ms", entry.balancerInterval);
    entry.drainLimit = readTime(checker, "drain_limit_ms", entry.drainLimit);
}

void readLog(ObjectChecker &checker, LogSettings &log)
{
    log.format = checker.choice<LogFormat>(
        "format", {{"text", LogFormat::Text}, {"json", LogFormat::Json}}, log.format);
    log.level = checker.choice<LogLevel>("level",
        {{"debug", LogLevel::Debug}, {"info", LogLevel::Info}, {"warning", LogLevel::Warning},
            {"error", LogLevel::Error}},
        log.level);
    log.output = checker.choice<LogOutput>("output",
        {{"stderr", LogOutput::StandardError}, {"stdout", LogOutput::StandardOutput}}, log.output);
}

void readTrace(ObjectChecker &checker, TraceSettings &trace)
{
    constexpr std::uint64_t mostSpans = 10'000'000;
    trace.file = checker.optionalText("file", {});
    trace.kept = checker.optionalCount("kept", 0, mostSpans, trace.kept);
}

void readTimes(ObjectChecker &checker, TimeSettings &times)
{
    times.beat = readTime(checker, "beat_ms", times.beat);
    times.consensus.heartbeat = readTime(checker, "heartbeat_ms", times.consensus.heartbeat);
    times.consensus.electionTimeout =
        readTime(checker, "election_timeout_ms", times.consensus.electionTimeout);
    times.consensus.electionSpread =
        readTime(checker, "election_spread_ms", times.consensus.electionSpread);
    times.consensus.driftMargin = readTime(checker, "drift_margin_ms", times.consensus.driftMargin);
    times.slots.grantLife = readTime(checker, "grant_life_ms", times.slots.grantLife);
    times.slots.driftMargin = readTime(checker, "grant_margin_ms", times.slots.driftMargin);
    times.announceInterval = readTime(checker, "announce_interval_ms", times.announceInterval);
    times.announceLife = readTime(checker, "announce_life_ms", times.announceLife);
    times.exclusiveLease = readTime(checker, "exclusive_lease_ms", times.exclusiveLease);
    times.staleConfiguration =
        readTime(checker, "stale_configuration_ms", times.staleConfiguration);
    if (times.consensus.electionTimeout < 4 * times.consensus.heartbeat) {
        checker.fault(
            "election_timeout_ms", FaultKind::Inconsistent, "at least four times heartbeat_ms");
    }
    if (times.consensus.driftMargin >= times.consensus.electionTimeout) {
        checker.fault("drift_margin_ms", FaultKind::Inconsistent, "less than election_timeout_ms");
    }
    if (times.slots.grantLife < 4 * times.beat) {
        checker.fault("grant_life_ms", FaultKind::Inconsistent, "at least four times beat_ms");
    }
    if (times.exclusiveLease < 2 * times.announceInterval) {
        checker.fault(
            "exclusive_lease_ms", FaultKind::Inconsistent, "at least twice announce_interval_ms");
    }
}

void readRoot(ObjectChecker &root, Settings &settings, Faults &faults)
{
    settings.vm = VmId {root.requiredText("vm")};
    settings.zone = AvailabilityZone {root.requiredText("availability_zone")};
    settings.rack = RackId {root.optionalText("rack", {})};
    settings.takesRequests = !root.has("platform");
    settings.platform = root.rawObject("platform");
    for (const std::string_view section : {"peers", "entry", "operators"}) {
        if (!root.has(section)) {
            root.fault(section, FaultKind::Missing, "an object");
        }
    }
    root.object(
        "peers", [&](ObjectChecker &checker) { readPeers(checker, settings.peers, faults); });
    root.object("state", [&](ObjectChecker &checker) {
        settings.state.emplace();
        readState(checker, *settings.state);
    });
    root.object("entry", [&](ObjectChecker &checker) {
        readEntry(checker, settings.entry, settings.takesRequests);
    });
    root.object(
        "announce", [&](ObjectChecker &checker) { settings.announce = readListen(checker); });
    root.object("operators", [&](ObjectChecker &checker) {
        settings.operators.listen = readListen(checker);
        settings.operators.tokenFile = checker.requiredText("token_file");
    });
    root.object("metrics", [&](ObjectChecker &checker) { settings.metrics = readListen(checker); });
    root.object("log", [&](ObjectChecker &checker) { readLog(checker, settings.log); });
    root.object("trace", [&](ObjectChecker &checker) { readTrace(checker, settings.trace); });
    root.object("times", [&](ObjectChecker &checker) { readTimes(checker, settings.times); });
    root.finish();
}

void checkVoter(const Settings &settings, Faults &faults)
{
    for (const VoterSettings &voter : settings.peers.voters) {
        if (voter.vm != settings.vm) {
            continue;
        }
        if (!settings.state) {
            faults.push_back({"/state", FaultKind::Missing, "a folder, as this VM is a voter"});
        }
        if (voter.address != settings.peers.advertise) {
            faults.push_back({"/peers/listen", FaultKind::Inconsistent,
                "the address that this VM has among the voters"});
        }
    }
}

} // namespace

Checked<Settings> parseSettings(std::string_view json)
{
    Faults faults;
    const std::optional<boost::json::value> value = parseChecked(json, faults);
    if (!value) {
        return faults;
    }
    Settings settings;
    ObjectChecker root {*value, "", faults};
    readRoot(root, settings, faults);
    checkVoter(settings, faults);
    if (!faults.empty()) {
        return faults;
    }
    return settings;
}

} // namespace crocusmill
