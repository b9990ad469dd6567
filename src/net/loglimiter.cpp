/// Implementation of LogLimiter.

#include "src/net/loglimiter.h"

#include <utility>

namespace crocusmill
{

namespace
{

/// A key without records for this long is forgotten, with its count of records left out.
constexpr Milliseconds idleKeyLifetime {60'000};

} // namespace

LogLimiter::LogLimiter(Milliseconds interval)
    : interval_(interval)
{
}

std::optional<std::uint64_t> LogLimiter::admit(std::string_view key, MonotonicTime now)
{
    const std::lock_guard<std::mutex> lock {mutex_};
    forgetIdleKeys(now);
    const auto found = entries_.find(key);
    if (found == entries_.end()) {
        entries_.emplace(key, Entry {now + interval_});
        return 0;
    }
    Entry &entry = found->second;
    if (now < entry.nextAt) {
        ++entry.leftOut;
        return std::nullopt;
    }
    entry.nextAt = now + interval_;
    return std::exchange(entry.leftOut, 0);
}

void LogLimiter::forgetIdleKeys(MonotonicTime now)
{
    if (now < nextCleanupAt_) {
        return;
    }
    nextCleanupAt_ = now + idleKeyLifetime;
    std::erase_if(entries_, [now](const std::pair<const std::string, Entry> &entry) {
        return entry.second.nextAt + idleKeyLifetime <= now;
    });
}

} // namespace crocusmill
