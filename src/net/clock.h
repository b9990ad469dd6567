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

/// Like monotonicNow(), but counts the time in which this VM was suspended. For the lease and the
/// elections of the journal, as the other VMs go on meanwhile. Not comparable with monotonicNow().
[[nodiscard]] MonotonicTime suspendAwareNow();

/// When this process started, for durations in log records.
inline const MonotonicTime processStartedAt = monotonicNow();

/// Returns the time between the two in milliseconds, zero if `to` is earlier. For log records.
[[nodiscard]] inline std::uint64_t elapsedMs(MonotonicTime from, MonotonicTime to)
{
    return to <= from
        ? 0
        : static_cast<std::uint64_t>(std::chrono::duration_cast<Milliseconds>(to - from).count());
}

/// For stored records, which outlive a VM, and for due times, which clients state in it. Follows
/// the system's time of day at a bounded rate (slewedclock.h): it does not jump while this process
/// runs. Any thread may call it.
[[nodiscard]] WallTime wallTimeNow();

} // namespace crocusmill
