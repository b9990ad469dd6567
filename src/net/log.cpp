/// Formatting of log records as text or JSON lines.

#include "src/net/log.h"

#include "src/net/jsontext.h"
#include "src/net/logqueue.h"

#include <array>
#include <atomic>
#include <chrono>
#include <cstdio>
#include <ctime>
#include <memory>
#include <unistd.h>

namespace crocusmill
{

namespace
{

struct LogState
{
    LogFormat format = LogFormat::Text;
    VmId vm;
    std::atomic<LogLevel> minLevel {LogLevel::Info};
    std::unique_ptr<LogQueue> queue; // set before other threads start
    std::atomic<std::uint64_t> dropped {0}; // since the last log.dropped record
};

LogState &logState()
{
    static LogState state;
    return state;
}

std::string_view text(LogLevel level)
{
    switch (level) {
    case LogLevel::Debug:
        return "debug";
    case LogLevel::Info:
        return "info";
    case LogLevel::Warning:
        return "warning";
    case LogLevel::Error:
        return "error";
    }
    return "info";
}

/// Formats timestamps (UTC); caches the part up to the seconds between records.
class TimestampFormatter
{
public:
    void append(std::string &out)
    {
        constexpr std::int64_t millisecondsPerSecond = 1000;
        const std::int64_t now = std::chrono::duration_cast<Milliseconds>(
            std::chrono::system_clock::now().time_since_epoch())
                                     .count();
        if (now / millisecondsPerSecond != second_ || size_ == 0) {
            second_ = now / millisecondsPerSecond;
            const std::time_t seconds = second_;
            std::tm utc {};
            gmtime_r(&seconds, &utc);
            size_ = std::strftime(text_.data(), text_.size(), "%Y-%m-%dT%H:%M:%S.", &utc);
        }
        out.append(text_.data(), size_);
        constexpr std::int64_t ten = 10;
        constexpr std::int64_t hundred = 100;
        const std::int64_t milliseconds = now % millisecondsPerSecond;
        out += static_cast<char>('0' + milliseconds / hundred);
        out += static_cast<char>('0' + milliseconds / ten % ten);
        out += static_cast<char>('0' + milliseconds % ten);
        out += 'Z';
    }

private:
    static constexpr std::size_t maxBytes = 32;

    std::int64_t second_ = 0;
    std::array<char, maxBytes> text_ {};
    std::size_t size_ = 0;
};

void appendTime(std::string &out)
{
    thread_local TimestampFormatter time;
    time.append(out);
}

struct AppendValue
{
    std::string &out;

    void operator()(std::string_view text) const
    {
        appendJson(out, text);
    }

    void operator()(std::int64_t number) const
    {
        appendJson(out, number);
    }

    void operator()(bool flag) const
    {
        out += flag ? "true" : "false";
    }

    void operator()(const std::error_code &error) const
    {
        appendJson(out, std::string {error.category().name()} + ": " + error.message());
    }
};

void appendJsonLine(std::string &out, LogLevel level, std::string_view event,
    std::initializer_list<LogAttribute> attributes)
{
    out += R"({"time":")";
    appendTime(out);
    out += R"(","level":")";
    out += text(level);
    out += R"(","vm":)";
    appendJson(out, logState().vm.value());
    out += R"(,"event":)";
    appendJson(out, event);
    for (const LogAttribute &attribute : attributes) {
        out += ',';
        appendJson(out, attribute.name);
        out += ':';
        std::visit(AppendValue {out}, attribute.value);
    }
    out += "}\n";
}

void appendTextLine(std::string &out, LogLevel level, std::string_view event,
    std::initializer_list<LogAttribute> attributes)
{
    appendTime(out);
    out += ' ';
    out += text(level);
    out += ' ';
    out += logState().vm.value();
    out += ' ';
    out += event;
    for (const LogAttribute &attribute : attributes) {
        out += ' ';
        out += attribute.name;
        out += '=';
        std::visit(AppendValue {out}, attribute.value);
    }
    out += '\n';
}

/// Returns false if the queue was full.
bool write(LogLevel level, std::string_view event, std::initializer_list<LogAttribute> attributes)
{
    thread_local std::string line;
    line.clear();
    if (logState().format == LogFormat::Json) {
        appendJsonLine(line, level, event, attributes);
    } else {
        appendTextLine(line, level, event, attributes);
    }
    if (!logState().queue) {
        std::fwrite(line.data(), 1, line.size(), stderr);
        return true;
    }
    return logState().queue->add(line, level == LogLevel::Error);
}

/// Writes one record with the number of records dropped since the last report.
void reportDropped()
{
    const std::uint64_t records = logState().dropped.exchange(0);
    if (records > 0 && !write(LogLevel::Warning, "log.dropped", {{"records", records}})) {
        logState().dropped += records;
    }
}

} // namespace

LogAttribute::LogAttribute(std::string_view attribute, std::string_view text)
    : name(attribute)
    , value(text)
{
}

LogAttribute::LogAttribute(std::string_view attribute, const std::string &text)
    : LogAttribute(attribute, std::string_view {text})
{
}

LogAttribute::LogAttribute(std::string_view attribute, const char *text)
    : LogAttribute(attribute, std::string_view {text})
{
}

LogAttribute::LogAttribute(std::string_view attribute, std::uint64_t number)
    : name(attribute)
    , value(static_cast<std::int64_t>(number))
{
}

LogAttribute::LogAttribute(std::string_view attribute, bool flag)
    : name(attribute)
    , value(flag)
{
}

LogAttribute::LogAttribute(std::string_view attribute, const std::error_code &error)
    : name(attribute)
    , value(error)
{
}

void setLogLevel(LogLevel minLevel)
{
    logState().minLevel = minLevel;
}

void startLog(const LogSettings &settings, const VmId &vm)
{
    logState().format = settings.format;
    logState().vm = vm;
    setLogLevel(settings.level);
    const bool standard = settings.output == LogOutput::StandardOutput;
    logState().queue =
        std::make_unique<LogQueue>(standard ? STDOUT_FILENO : STDERR_FILENO, LogQueueLimits {});
}

void flushLog()
{
    if (logState().queue) {
        logState().queue->stop();
    }
}

void logRecord(
    LogLevel level, std::string_view event, std::initializer_list<LogAttribute> attributes)
{
    if (level < logState().minLevel.load(std::memory_order_relaxed)) {
        return;
    }
    if (!write(level, event, attributes)) {
        ++logState().dropped;
    } else if (logState().dropped.load(std::memory_order_relaxed) > 0) {
        reportDropped();
    }
}

void logInfo(std::string_view event, std::initializer_list<LogAttribute> attributes)
{
    logRecord(LogLevel::Info, event, attributes);
}

void logWarning(std::string_view event, std::initializer_list<LogAttribute> attributes)
{
    logRecord(LogLevel::Warning, event, attributes);
}

void logError(std::string_view event, std::initializer_list<LogAttribute> attributes)
{
    logRecord(LogLevel::Error, event, attributes);
}

} // namespace crocusmill
