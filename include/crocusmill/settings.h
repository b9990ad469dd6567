/// Settings of one daemon and their parser, which reports all faults with their JSON pointers.

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
    VmId vm; // empty: only the address is known
    NodeAddress address;
};

struct PeerSettings
{
    NodeAddress listen;
    /// Address that other VMs connect to; differs from `listen` behind address translation.
    NodeAddress advertise;
    std::filesystem::path keyFile;
    std::vector<VoterSettings> voters;
};

struct StateSettings
{
    std::filesystem::path folder;
    /// Number of log entries between snapshots.
    std::uint64_t snapshotEntries = 20'000;
    /// How long ended work is kept for later queries.
    Milliseconds endedWorkRetention {600'000};
    /// Cancels of jobs that were not submitted yet, which are kept as long as ended work. Further
    /// ones are refused.
    std::uint64_t maxEarlyCancels = 20'000;
    /// A member is replaced after its VM was silent this long, if a spare VM exists.
    Milliseconds replacementTimeout {60'000};
    /// Target number of voting replicas, reached if enough VMs have a data folder; zero: as many
    /// as `peers.voters` lists.
    std::uint32_t voters = 0;
    /// Whether this VM may form a new cell; false if a cell already exists.
    bool canFormCell = true;
};

struct EntrySettings
{
    NodeAddress listen;
    std::uint32_t threads = 2;
    std::uint32_t maxConnections = 4096;
    ByteCount maxHeaderBytes {16ULL * 1024};
    ByteCount maxBodyBytes {1024ULL * 1024};
    /// What clients may make this process hold at once: requests and unread answers.
    ByteCount maxRequestMemory {32ULL * 1024 * 1024};
    ByteCount maxAnswerBytes {8ULL * 1024 * 1024};
    /// A larger answer of recorded work is stored without its body.
    ByteCount maxKeptAnswerBytes {64ULL * 1024};
    Milliseconds idleTimeout {60'000};
    /// Maximum time from the first byte of a request to its last.
    Milliseconds receiveTimeout {10'000};
    Milliseconds connectTimeout {1'000};
    /// Time after SIGTERM for the load balancer to stop sending requests.
    Milliseconds balancerInterval {1'000};
    /// Maximum time after `balancerInterval` for open requests to finish.
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
    /// Spans are appended here as JSON lines in OTLP format; empty: kept in memory only.
    std::filesystem::path file;
    /// Number of spans kept in memory for the operator's tool.
    std::uint64_t maxKeptSpans = 20'000;
};

struct TimeSettings
{
    Milliseconds beatInterval {250};
    ConsensusSettings consensus;
    SlotTimes slots;
    /// Interval at which upstreams and workers announce themselves.
    Milliseconds announceInterval {1'000};
    /// An upstream or worker counts as gone after this time without an announcement.
    Milliseconds announcementTimeout {5'000};
    Milliseconds exclusiveLease {4'000};
    /// An entry takes no work if its configuration was not confirmed for this long.
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
    /// Whether this VM forwards HTTP requests to upstreams; false if a platform adapter is set.
    bool forwardsRequests = true;
    std::optional<NodeAddress> announce; // absent: announcements use the entry's port
    OperatorSettings operators;
    std::optional<NodeAddress> metrics; // absent: only on the operators' port
    /// JSON settings of the platform adapter, which checks them itself; empty: no adapter.
    std::string platform;
    LogSettings log;
    TraceSettings trace;
    TimeSettings times;
};

/// Parses settings, or returns all their faults.
[[nodiscard]] Checked<Settings> parseSettings(std::string_view json);

} // namespace crocusmill
