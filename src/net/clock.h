/// Clocks that provide the time passed to the scheduling logic, which reads no clock itself.

#pragma once

#include <crocusmill/ids.h>

#include <chrono>
#include <cstdint>

namespace crocusmill
{

/// For deadlines, leases and timeouts; not comparable between VMs.
[[nodiscard]] inline MonotonicTime monotonicNow()
{
    return std::chrono::steady_clock::now();
}

/// When this process started, for durations in log records.
inline const MonotonicTime processStartedAt = monotonicNow();

/// Returns the time between the two in milliseconds, zero if `to` is earlier. For log records.
[[nodiscard]] inline std::uint64_t elapsedMs(MonotonicTime from, MonotonicTime to)
{
    return to <= from
        ? 0
        : static_cast<std::uint64_t>(std::chrono::duration_cast<Milliseconds>(to - from).count());
}

/// For stored records, which outlive a VM.
[[nodiscard]] inline WallTime wallTimeNow()
{
    return std::chrono::time_point_cast<Milliseconds>(std::chrono::system_clock::now());
}

} // namespace crocusmill
