/// Bounds the volume of one kind of log record: at most one for each key and interval.
///
/// The next record of a key tells how many were left out. For events that a failing peer causes at
/// its own rate. Thread-safe.

#pragma once

#include <crocusmill/ids.h>

#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>

namespace crocusmill
{

class LogLimiter
{
public:
    explicit LogLimiter(Milliseconds interval);

    /// Returns nothing if a record about `key` was admitted within the interval; otherwise the
    /// number of records left out since that one.
    [[nodiscard]] std::optional<std::uint64_t> admit(std::string_view key, MonotonicTime now);

private:
    struct Entry
    {
        MonotonicTime nextAt;
        std::uint64_t leftOut = 0; // since the last admitted record
    };

    void forgetIdleKeys(MonotonicTime now);

    const Milliseconds interval_;
    std::mutex mutex_;
    std::map<std::string, Entry, std::less<>> entries_;
    MonotonicTime nextCleanupAt_ {};
};

} // namespace crocusmill
