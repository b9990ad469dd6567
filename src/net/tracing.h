/// Tracing of requests: one span per hop, linked by the W3C trace id. Thread-safe.

#pragma once

#include <crocusmill/settings.h>

#include <boost/circular_buffer.hpp>
#include <boost/json.hpp>

#include <chrono>
#include <cstdint>
#include <fstream>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace crocusmill
{

using TraceId = StrongValue<struct TraceIdTag, std::string>;
using SpanId = StrongValue<struct SpanIdTag, std::string>;

/// Content of a W3C `traceparent` header.
struct TraceContext
{
    TraceId trace;
    SpanId parent; // empty for a root span

    /// Returns nullopt if the header is malformed.
    [[nodiscard]] static std::optional<TraceContext> parse(std::string_view traceparent);
    [[nodiscard]] static TraceContext generate();
    [[nodiscard]] std::string header(const SpanId &span) const;
};

[[nodiscard]] SpanId makeSpanId();

struct SpanAttribute
{
    std::string name;
    std::string value;
};

struct Span
{
    TraceId trace;
    SpanId id;
    SpanId parent;
    std::string name;
    std::chrono::system_clock::time_point start;
    std::chrono::system_clock::time_point end;
    std::vector<SpanAttribute> attributes;
};

class Tracer
{
public:
    Tracer(const TraceSettings &settings, VmId vm);

    void record(Span span);
    /// Returns the stored spans of a trace as a JSON array, oldest first.
    [[nodiscard]] std::string find(const TraceId &trace) const;

private:
    [[nodiscard]] boost::json::object toJson(const Span &span) const;

    VmId vm_;
    mutable std::mutex mutex_;
    boost::circular_buffer<Span> spans_;
    std::ofstream file_;
};

/// Measures one hop and records its span on destruction.
class ScopedSpan
{
public:
    ScopedSpan(Tracer &tracer, TraceId trace, SpanId parent, std::string name);
    ~ScopedSpan();
    ScopedSpan(const ScopedSpan &) = delete;
    ScopedSpan &operator=(const ScopedSpan &) = delete;

    void addAttribute(std::string name, std::string value);
    [[nodiscard]] const SpanId &id() const;

private:
    Tracer &tracer_;
    Span span_;
};

} // namespace crocusmill
