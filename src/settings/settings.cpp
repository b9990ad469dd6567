/// Parser of a daemon's settings.

#include "src/settings/jsonchecker.h"

#include <crocusmill/settings.h>

#include <arpa/inet.h>
#include <array>

namespace crocusmill
{

namespace
{

constexpr std::uint64_t maxPort = 65'535;
constexpr std::uint64_t maxBytes = 1ULL << 32U;
constexpr Milliseconds minDuration {1};
constexpr Milliseconds maxDuration {24 * 3600 * 1000};

bool isIpAddress(const std::string &ip)
{
    std::array<unsigned char, sizeof(in6_addr)> parsed {};
    return inet_pton(AF_INET, ip.c_str(), parsed.data()) == 1
        || inet_pton(AF_INET6, ip.c_str(), parsed.data()) == 1;
}

NodeAddress readAddress(ObjectChecker &checker)
{
    NodeAddress address;
    address.ip = checker.requiredText("ip");
    if (!address.ip.empty() && !isIpAddress(address.ip)) {
        checker.addFault("ip", FaultKind::OutOfRange, "an IP number");
    }
    address.port = static_cast<std::uint16_t>(checker.requiredCount("port", 1, maxPort));
    return address;
}

NodeAddress readListenAddress(ObjectChecker &parent)
{
    NodeAddress listen;
    if (!parent.has("listen")) {
        parent.addFault("listen", FaultKind::Missing, "an address with ip and port");
    }
    parent.object("listen", [&listen](ObjectChecker &checker) { listen = readAddress(checker); });
    return listen;
}

ByteCount readBytes(ObjectChecker &checker, std::string_view name, ByteCount fallback)
{
    return ByteCount {checker.optionalCount(name, 1, maxBytes, fallback.value())};
}

Milliseconds readDuration(ObjectChecker &checker, std::string_view name, Milliseconds fallback)
{
    return checker.optionalMilliseconds(name, minDuration, maxDuration, fallback);
}

/// Reads the addresses of VMs with a data folder whose names are unknown. All VMs use the same peer
/// port, so a port after the IP address is ignored.
void readSeeds(ObjectChecker &checker, PeerSettings &peers)
{
    checker.array("seeds", [&](const boost::json::value &json, const std::string &pointer) {
        const std::string_view text = json.is_string() ? std::string_view {json.get_string()} : "";
        const std::string ip {text.substr(0, text.find(':'))};
        if (!isIpAddress(ip)) {
            checker.addFault("seeds", FaultKind::OutOfRange, "IP numbers, not " + pointer);
            return;
        }
        peers.voters.push_back({VmId {}, {ip, peers.listen.port}});
    });
}

void readPeers(ObjectChecker &checker, PeerSettings &peers, Faults &faults)
{
    peers.listen = readListenAddress(checker);
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
        checker.addFault("voters", FaultKind::Missing, "at least one VM with a data folder");
    } else if (peers.voters.size() % 2 == 0 && !peers.voters.front().vm.value().empty()) {
        checker.addFault("voters", FaultKind::OutOfRange, "an odd number of VMs, best 3 or 5");
    }
}

void readState(ObjectChecker &checker, StateSettings &state)
{
    constexpr std::uint64_t maxSnapshotEntries = 10'000'000;
    state.folder = checker.requiredText("folder");
    state.snapshotEntries =
        checker.optionalCount("snapshot_entries", 1, maxSnapshotEntries, state.snapshotEntries);
    state.endedWorkRetention = readDuration(checker, "keep_ended_ms", state.endedWorkRetention);
    constexpr std::uint64_t maxEarlyCancelsSetting = 1'000'000;
    state.maxEarlyCancels =
        checker.optionalCount("early_cancels", 1, maxEarlyCancelsSetting, state.maxEarlyCancels);
    state.replacementTimeout = readDuration(checker, "replace_after_ms", state.replacementTimeout);
    constexpr std::uint64_t maxVoters = 9;
    state.voters =
        static_cast<std::uint32_t>(checker.optionalCount("voters", 0, maxVoters, state.voters));
    state.canFormCell = checker.optionalFlag("may_found", state.canFormCell);
}

void readEntry(ObjectChecker &checker, EntrySettings &entry, bool listens)
{
    constexpr std::uint64_t maxThreads = 64;
    constexpr std::uint64_t maxConnectionsSetting = 1'000'000;
    // A request counts several times while it is handled.
    constexpr std::uint64_t minLargeRequests = 8;
    if (listens) {
        entry.listen = readListenAddress(checker);
    }
    entry.threads =
        static_cast<std::uint32_t>(checker.optionalCount("threads", 1, maxThreads, entry.threads));
    entry.maxConnections = static_cast<std::uint32_t>(
        checker.optionalCount("connections", 1, maxConnectionsSetting, entry.maxConnections));
    entry.maxHeaderBytes = readBytes(checker, "header_bytes", entry.maxHeaderBytes);
    entry.maxBodyBytes = readBytes(checker, "body_bytes", entry.maxBodyBytes);
    entry.maxRequestMemory = readBytes(checker, "request_memory_bytes", entry.maxRequestMemory);
    if (entry.maxRequestMemory.value() < minLargeRequests * entry.maxBodyBytes.value()) {
        checker.addFault(
            "request_memory_bytes", FaultKind::Inconsistent, "at least eight times body_bytes");
    }
    entry.maxAnswerBytes = readBytes(checker, "answer_bytes", entry.maxAnswerBytes);
    entry.maxKeptAnswerBytes = readBytes(checker, "kept_answer_bytes", entry.maxKeptAnswerBytes);
    entry.idleTimeout = readDuration(checker, "idle_ms", entry.idleTimeout);
    entry.receiveTimeout = readDuration(checker, "receive_ms", entry.receiveTimeout);
    entry.connectTimeout = readDuration(checker, "connect_ms", entry.connectTimeout);
    entry.balancerInterval = readDuration(checker, "balancer_interval_ms", entry.balancerInterval);
    entry.drainTimeout = readDuration(checker, "drain_limit_ms", entry.drainTimeout);
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
    constexpr std::uint64_t maxSpans = 10'000'000;
    trace.file = checker.optionalText("file", {});
    trace.maxKeptSpans = checker.optionalCount("kept", 0, maxSpans, trace.maxKeptSpans);
}

void readTimes(ObjectChecker &checker, TimeSettings &times)
{
    times.beatInterval = readDuration(checker, "beat_ms", times.beatInterval);
    times.consensus.heartbeat = readDuration(checker, "heartbeat_ms", times.consensus.heartbeat);
    times.consensus.electionTimeout =
        readDuration(checker, "election_timeout_ms", times.consensus.electionTimeout);
    times.consensus.electionSpread =
        readDuration(checker, "election_spread_ms", times.consensus.electionSpread);
    times.consensus.driftMargin =
        readDuration(checker, "drift_margin_ms", times.consensus.driftMargin);
    times.slots.grantLife = readDuration(checker, "grant_life_ms", times.slots.grantLife);
    times.slots.driftMargin = readDuration(checker, "grant_margin_ms", times.slots.driftMargin);
    times.announceInterval = readDuration(checker, "announce_interval_ms", times.announceInterval);
    times.announcementTimeout =
        readDuration(checker, "announce_life_ms", times.announcementTimeout);
    times.exclusiveLease = readDuration(checker, "exclusive_lease_ms", times.exclusiveLease);
    times.maxConfigurationAge =
        readDuration(checker, "stale_configuration_ms", times.maxConfigurationAge);
    if (times.consensus.electionTimeout < 4 * times.consensus.heartbeat) {
        checker.addFault(
            "election_timeout_ms", FaultKind::Inconsistent, "at least four times heartbeat_ms");
    }
    if (times.consensus.driftMargin >= times.consensus.electionTimeout) {
        checker.addFault(
            "drift_margin_ms", FaultKind::Inconsistent, "less than election_timeout_ms");
    }
    if (times.slots.grantLife < 4 * times.beatInterval) {
        checker.addFault("grant_life_ms", FaultKind::Inconsistent, "at least four times beat_ms");
    }
    if (times.exclusiveLease < 2 * times.announceInterval) {
        checker.addFault(
            "exclusive_lease_ms", FaultKind::Inconsistent, "at least twice announce_interval_ms");
    }
}

void readRoot(ObjectChecker &root, Settings &settings, Faults &faults)
{
    settings.vm = VmId {root.requiredText("vm")};
    settings.zone = AvailabilityZone {root.requiredText("availability_zone")};
    settings.rack = RackId {root.optionalText("rack", {})};
    settings.forwardsRequests = !root.has("platform");
    settings.platform = root.rawObject("platform");
    for (const std::string_view section : {"peers", "entry", "operators"}) {
        if (!root.has(section)) {
            root.addFault(section, FaultKind::Missing, "an object");
        }
    }
    root.object(
        "peers", [&](ObjectChecker &checker) { readPeers(checker, settings.peers, faults); });
    root.object("state", [&](ObjectChecker &checker) {
        settings.state.emplace();
        readState(checker, *settings.state);
    });
    root.object("entry", [&](ObjectChecker &checker) {
        readEntry(checker, settings.entry, settings.forwardsRequests);
    });
    root.object("announce",
        [&](ObjectChecker &checker) { settings.announce = readListenAddress(checker); });
    root.object("operators", [&](ObjectChecker &checker) {
        settings.operators.listen = readListenAddress(checker);
        settings.operators.tokenFile = checker.requiredText("token_file");
    });
    root.object(
        "metrics", [&](ObjectChecker &checker) { settings.metrics = readListenAddress(checker); });
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
