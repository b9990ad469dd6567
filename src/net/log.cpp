/// Log records through Boost.Log, as text or as JSON lines.

#include "src/net/log.h"

#include <boost/json.hpp>
#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sinks/async_frontend.hpp>
#include <boost/log/sinks/bounded_fifo_queue.hpp>
#include <boost/log/sinks/drop_on_overflow.hpp>
#include <boost/log/sinks/text_ostream_backend.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/log/sources/severity_logger.hpp>
#include <boost/log/utility/setup/console.hpp>
#include <boost/smart_ptr/make_shared_object.hpp>

#include <atomic>
#include <chrono>
#include <iomanip>
#include <iostream>
#include <sstream>

namespace crocusmill
{

namespace
{

namespace logging = boost::log;

using Logger = logging::sources::severity_logger_mt<LogLevel>;

/// Counts what the queue has no room for.
class CountingOverflow : public logging::sinks::drop_on_overflow
{
public:
    template <typename Lock>
    static bool on_overflow(const logging::record_view & /*record*/, Lock & /*lock*/)
    {
        dropped().fetch_add(1);
        return false;
    }

    static std::atomic<std::uint64_t> &dropped()
    {
        static std::atomic<std::uint64_t> count {0};
        return count;
    }
};

/// The library takes the size of the queue at compile time.
constexpr std::size_t mostWaiting = 4'096;
using Backend = logging::sinks::text_ostream_backend;
using Sink = logging::sinks::asynchronous_sink<Backend,
    logging::sinks::bounded_fifo_queue<mostWaiting, CountingOverflow>>;

struct LogState
{
    LogFormat format = LogFormat::Text;
    VmId vm;
    Logger logger;
    boost::shared_ptr<Sink> sink;
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

std::string timestamp()
{
    const std::chrono::system_clock::time_point now = std::chrono::system_clock::now();
    const std::time_t seconds = std::chrono::system_clock::to_time_t(now);
    const std::int64_t milliseconds =
        std::chrono::duration_cast<Milliseconds>(now.time_since_epoch()).count() % 1000;
    std::tm utc {};
    gmtime_r(&seconds, &utc);
    std::ostringstream out;
    out << std::put_time(&utc, "%Y-%m-%dT%H:%M:%S") << '.' << std::setw(3) << std::setfill('0')
        << milliseconds << 'Z';
    return std::move(out).str();
}

boost::json::value asJson(const LogAttribute &attribute)
{
    return std::visit([](const auto &value) { return boost::json::value(value); }, attribute.value);
}

std::string asJsonLine(
    LogLevel level, std::string_view event, std::initializer_list<LogAttribute> attributes)
{
    boost::json::object line;
    line["time"] = timestamp();
    line["level"] = text(level);
    line["vm"] = logState().vm.value();
    line["event"] = event;
    for (const LogAttribute &attribute : attributes) {
        line[attribute.name] = asJson(attribute);
    }
    return boost::json::serialize(line);
}

std::string asTextLine(
    LogLevel level, std::string_view event, std::initializer_list<LogAttribute> attributes)
{
    std::ostringstream out;
    out << timestamp() << ' ' << text(level) << ' ' << logState().vm.value() << ' ' << event;
    for (const LogAttribute &attribute : attributes) {
        out << ' ' << attribute.name << '=' << boost::json::serialize(asJson(attribute));
    }
    return std::move(out).str();
}

} // namespace

LogAttribute::LogAttribute(std::string_view attribute, std::string text)
    : name(attribute)
    , value(std::move(text))
{
}

LogAttribute::LogAttribute(std::string_view attribute, std::string_view text)
    : LogAttribute(attribute, std::string {text})
{
}

LogAttribute::LogAttribute(std::string_view attribute, const char *text)
    : LogAttribute(attribute, std::string {text})
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
    : LogAttribute(attribute, std::string {error.category().name()} + ": " + error.message())
{
}

void startLog(const LogSettings &settings, const VmId &vm)
{
    logState().format = settings.format;
    logState().vm = vm;
    const boost::shared_ptr<Backend> backend = boost::make_shared<Backend>();
    std::ostream &out = settings.output == LogOutput::StandardOutput ? std::cout : std::cerr;
    backend->add_stream(boost::shared_ptr<std::ostream>(&out, boost::null_deleter()));
    backend->auto_flush(true);
    const boost::shared_ptr<Sink> sink = boost::make_shared<Sink>(backend);
    logState().sink = sink;
    sink->set_formatter(logging::expressions::stream << logging::expressions::smessage);
    logging::core::get()->add_sink(sink);
    const LogLevel least = settings.level;
    logging::core::get()->set_filter(logging::expressions::attr<LogLevel>("Severity") >= least);
}

void flushLog()
{
    if (logState().sink) {
        logState().sink->stop();
        logState().sink->flush();
    }
}

namespace
{

/// One record for all that were dropped since the last.
void reportDropped()
{
    const std::uint64_t dropped = CountingOverflow::dropped().exchange(0);
    if (dropped > 0) {
        logRecord(LogLevel::Warning, "log.dropped", {{"records", dropped}});
    }
}

} // namespace

void logRecord(
    LogLevel level, std::string_view event, std::initializer_list<LogAttribute> attributes)
{
    Logger &logger = logState().logger;
    logging::record record = logger.open_record(logging::keywords::severity = level);
    if (!record) {
        return;
    }
    logging::record_ostream out {record};
    out << (logState().format == LogFormat::Json ? asJsonLine(level, event, attributes)
                                                 : asTextLine(level, event, attributes));
    out.flush();
    logger.push_record(std::move(record));
    if (event != "log.dropped") {
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
