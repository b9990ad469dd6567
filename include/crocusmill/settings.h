/// Settings of one daemon, checked in one pass that reports every fault with its JSON pointer.

#pragma once

#include <crocusmill/consensus.h>
#include <crocusmill/document.h>
#include <crocusmill/slots.h>

#include <filesystem>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace crocusmill
{

/// A VM that may hold a voting replica.
struct VoterSettings
{
    VmId vm; // empty: not known, only where it is
    NodeAddress address;
};

struct PeerSettings
{
    NodeAddress listen;
    /// Where the other VMs reach this one; differs from `listen` behind a translation.
    NodeAddress advertise;
    std::filesystem::path keyFile;
    std::vector<VoterSettings> voters;
};

struct StateSettings
{
    std::filesystem::path folder;
    /// A snapshot is taken after this many entries.
    std::uint64_t snapshotEntries = 20'000;
    /// Ended work is kept this long for later asks.
    Milliseconds endedWorkRetention {600'000};
    /// A member's VM that was not heard this long is replaced where a spare exists.
    Milliseconds replacementTimeout {60'000};
    /// How many replicas vote where there are that many VMs with a data folder; zero: as many as
    /// `peers.voters` names.
    std::uint32_t voters = 0;
    /// Whether this VM may found a cell; false where a cell is known to exist.
    bool canFormCell = true;
};

struct EntrySettings
{
    NodeAddress listen;
    std::uint32_t threads = 2;
    std::uint32_t maxConnections = 4096;
    ByteCount maxHeaderBytes {16ULL * 1024};
    ByteCount maxBodyBytes {1024ULL * 1024};
    ByteCount maxAnswerBytes {8ULL * 1024 * 1024};
    /// A larger body of recorded work's answer is not kept for later asks.
    ByteCount maxKeptAnswerBytes {64ULL * 1024};
    Milliseconds idleTimeout {60'000};
    /// A request must have arrived whole within this time of its first byte.
    Milliseconds receiveTimeout {10'000};
    Milliseconds connectTimeout {1'000};
    /// After SIGTERM: how long the balancer may take to notice, and how long work may take.
    Milliseconds balancerInterval {1'000};
    Milliseconds drainTimeout {30'000};
};

struct OperatorSettings
{
    NodeAddress listen;
    std::filesystem::path tokenFile;
};

enum class LogFormat { Text, Json };
enum class LogLevel { Debug, Info, Warning, Error };
enum class LogOutput { StandardError, StandardOutput };

struct LogSettings
{
    LogFormat format = LogFormat::Text;
    LogLevel level = LogLevel::Info;
    LogOutput output = LogOutput::StandardError;
};

struct TraceSettings
{
    /// Spans are appended here as OTLP-shaped JSON lines; empty: kept in memory only.
    std::filesystem::path file;
    /// Spans kept in memory for the operator's tool.
    std::uint64_t maxKeptSpans = 20'000;
};

struct TimeSettings
{
    Milliseconds beatInterval {250};
    ConsensusSettings consensus;
    SlotTimes slots;
    /// Interval that upstreams and workers are told to announce themselves at, and how long they
    /// count without an announcement.
    Milliseconds announceInterval {1'000};
    Milliseconds announcementTimeout {5'000};
    Milliseconds exclusiveLease {4'000};
    /// An entry whose configuration was not confirmed this long takes no work.
    Milliseconds maxConfigurationAge {5'000};
};

struct Settings
{
    VmId vm;
    AvailabilityZone zone;
    RackId rack;
    PeerSettings peers;
    std::optional<StateSettings> state; // absent: no voting replica here
    EntrySettings entry;
    /// Requests are forwarded to upstreams here; false where another adapter takes them.
    bool hasIngress = true;
    std::optional<NodeAddress> announce; // absent: announcements come to the entry's port
    OperatorSettings operators;
    std::optional<NodeAddress> metrics; // absent: only on the operators' port
    /// Settings of the adapter to a platform, which checks them itself; empty: none.
    std::string platform;
    LogSettings log;
    TraceSettings trace;
    TimeSettings times;
};

[[nodiscard]] Checked<Settings> parseSettings(std::string_view json);

} // namespace crocusmill
