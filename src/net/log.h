/// Structured log records: an event name and typed attributes.
///
/// Writing never waits: records go through a bounded queue to a thread of their own, which writes
/// them in batches, and what does not fit is dropped. Their number stands in a record of its own
/// once there is room again. Until startLog() records are written to standard error one by one.
///
/// One record for a thing that an operator acts on; none for each request at the default level.

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

/// Refers to the text it is made from: use it within the expression that makes it.
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
/// Records below this level are passed over. Any thread.
void setLogLevel(LogLevel minLevel);
/// Writes what waits; for the end of the process.
void flushLog();

/// Any thread.
void logRecord(
    LogLevel level, std::string_view event, std::initializer_list<LogAttribute> attributes);

void logInfo(std::string_view event, std::initializer_list<LogAttribute> attributes = {});
void logWarning(std::string_view event, std::initializer_list<LogAttribute> attributes = {});
void logError(std::string_view event, std::initializer_list<LogAttribute> attributes = {});

} // namespace crocusmill
