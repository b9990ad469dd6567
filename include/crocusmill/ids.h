/// Strong types for identities, counts and times.
///
/// Function signatures never use a bare string or integer as an identity. Durations are
/// std::chrono types. A point in time is either monotonic (leases, timeouts) or wall time
/// (deadlines that cross VMs).

#pragma once

#include <chrono>
#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <utility>

namespace crocusmill
{

/// Wraps a `Rep` so that values with different tags cannot be mixed up.
template <typename Tag, typename Rep> class StrongValue
{
public:
    using Value = Rep;

    StrongValue() = default;
    explicit StrongValue(Rep value)
        : value_(std::move(value))
    {
    }

    [[nodiscard]] const Rep &value() const
    {
        return value_;
    }

    auto operator<=>(const StrongValue &) const = default;

private:
    Rep value_ {};
};

using VmId = StrongValue<struct VmIdTag, std::string>;
using AvailabilityZone = StrongValue<struct AvailabilityZoneTag, std::string>;
using RackId = StrongValue<struct RackIdTag, std::string>;
using EnvironmentName = StrongValue<struct EnvironmentNameTag, std::string>;
using ServiceName = StrongValue<struct ServiceNameTag, std::string>;
using TeamName = StrongValue<struct TeamNameTag, std::string>;
using UpstreamId = StrongValue<struct UpstreamIdTag, std::string>;
using WorkerId = StrongValue<struct WorkerIdTag, std::string>;
using WorkId = StrongValue<struct WorkIdTag, std::string>;
using AttemptId = StrongValue<struct AttemptIdTag, std::string>;
using JobId = StrongValue<struct JobIdTag, std::string>;
using TaskId = StrongValue<struct TaskIdTag, std::string>;
using IdempotencyKey = StrongValue<struct IdempotencyKeyTag, std::string>;
/// Identity of one run of a process, chosen at each start. A new one proves that the process with
/// the old one has ended.
using Incarnation = StrongValue<struct IncarnationTag, std::string>;
/// Digest in lower-case hex.
using Digest = StrongValue<struct DigestTag, std::string>;

using DocumentVersion = StrongValue<struct DocumentVersionTag, std::uint64_t>;
using SlotCount = StrongValue<struct SlotCountTag, std::uint32_t>;
using ByteCount = StrongValue<struct ByteCountTag, std::uint64_t>;

/// Identity of a data folder; each new folder gets a new one.
using ReplicaId = StrongValue<struct ReplicaIdTag, std::uint64_t>;
using Term = StrongValue<struct TermTag, std::uint64_t>;
using LogIndex = StrongValue<struct LogIndexTag, std::uint64_t>;

[[nodiscard]] inline LogIndex next(LogIndex index)
{
    return LogIndex {index.value() + 1};
}

[[nodiscard]] inline LogIndex previous(LogIndex index)
{
    return LogIndex {index.value() - 1};
}

using Milliseconds = std::chrono::milliseconds;
using Microseconds = std::chrono::microseconds;
/// Time that is valid on this VM only; never sent to another VM.
using MonotonicTime = std::chrono::steady_clock::time_point;
/// Time since the Unix epoch.
using WallTime = std::chrono::sys_time<Milliseconds>;

} // namespace crocusmill

template <typename Tag, typename Rep> struct std::hash<crocusmill::StrongValue<Tag, Rep>>
{
    std::size_t operator()(const crocusmill::StrongValue<Tag, Rep> &id) const noexcept
    {
        return std::hash<Rep> {}(id.value());
    }
};
