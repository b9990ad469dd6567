/// Clocks that provide the time passed to the scheduling logic, which reads no clock itself.

#pragma once

#include <crocusmill/ids.h>

#include <chrono>

namespace crocusmill
{

/// For deadlines, leases and timeouts; not comparable between VMs.
[[nodiscard]] inline MonotonicTime monotonicNow()
{
    return std::chrono::steady_clock::now();
}

/// For stored records, which outlive a VM.
[[nodiscard]] inline WallTime wallTimeNow()
{
    return std::chrono::time_point_cast<Milliseconds>(std::chrono::system_clock::now());
}

} // namespace crocusmill
