/// Structured logging: records consist of an event name and typed attributes.
///
/// Logging never blocks: a separate thread takes records from a bounded queue and writes them in
/// batches. Records that do not fit into the queue are dropped; a log.dropped record reports their
/// number when there is room again. Before startLog(), each record is written to standard error.
///
/// Log events that an operator acts on. Do not log single requests at the default level.

#pragma once

#include <crocusmill/settings.h>

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>
#include <system_error>
#include <variant>

namespace crocusmill
{

/// Holds a reference to its text: use it only within the expression that creates it.
struct LogAttribute
{
    std::string_view name;
    std::variant<std::string_view, std::int64_t, bool, std::error_code> value;

    LogAttribute(std::string_view attribute, std::string_view text);
    LogAttribute(std::string_view attribute, const std::string &text);
    LogAttribute(std::string_view attribute, const char *text);
    LogAttribute(std::string_view attribute, std::uint64_t number);
    LogAttribute(std::string_view attribute, bool flag);
    LogAttribute(std::string_view attribute, const std::error_code &error);
};

void startLog(const LogSettings &settings, const VmId &vm);
/// Sets the minimum level; records below it are ignored. Thread-safe.
void setLogLevel(LogLevel minLevel);
/// Writes all queued records. Later records are dropped, so call this at the end of the process.
void flushLog();

/// Thread-safe, like the functions below.
void logRecord(
    LogLevel level, std::string_view event, std::initializer_list<LogAttribute> attributes);

void logInfo(std::string_view event, std::initializer_list<LogAttribute> attributes = {});
void logWarning(std::string_view event, std::initializer_list<LogAttribute> attributes = {});
void logError(std::string_view event, std::initializer_list<LogAttribute> attributes = {});

} // namespace crocusmill
