/// The clocks that the cores are handed the time of.

#pragma once

#include <crocusmill/ids.h>

#include <chrono>

namespace crocusmill
{

/// For deadlines, leases and waiting; means nothing on another VM.
[[nodiscard]] inline MonotonicTime monotonicNow()
{
    return std::chrono::steady_clock::now();
}

/// For records, which outlive a VM.
[[nodiscard]] inline WallTime wallTimeNow()
{
    return std::chrono::time_point_cast<Milliseconds>(std::chrono::system_clock::now());
}

} // namespace crocusmill
