/// Stores spans in a ring buffer and, if configured, as OTLP-like JSON lines in a file.

#include "src/net/tracing.h"

#include <algorithm>
#include <random>

namespace crocusmill
{

namespace
{

constexpr std::size_t traceIdDigits = 32;
constexpr std::size_t spanIdDigits = 16;

std::string randomHex(std::size_t digits)
{
    constexpr std::string_view alphabet = "0123456789abcdef";
    thread_local std::mt19937_64 random {std::random_device {}()};
    std::string hex;
    while (hex.size() < digits) {
        std::uint64_t bits = random();
        for (int i = 0; i < 16 && hex.size() < digits; ++i) {
            hex += alphabet[bits & 0xfU];
            bits >>= 4U;
        }
    }
    return hex;
}

bool isHex(std::string_view text)
{
    return std::all_of(text.begin(), text.end(), [](char character) {
        return (character >= '0' && character <= '9') || (character >= 'a' && character <= 'f');
    });
}

bool isZero(std::string_view text)
{
    return text.find_first_not_of('0') == std::string_view::npos;
}

std::string nanoseconds(std::chrono::system_clock::time_point time)
{
    return std::to_string(
        std::chrono::duration_cast<std::chrono::nanoseconds>(time.time_since_epoch()).count());
}

} // namespace

std::optional<TraceContext> TraceContext::parse(std::string_view traceparent)
{
    // version "-" trace id "-" parent id "-" flags
    constexpr std::size_t traceOffset = 3;
    constexpr std::size_t parentOffset = traceOffset + traceIdDigits + 1;
    constexpr std::size_t flagsOffset = parentOffset + spanIdDigits + 1;
    if (traceparent.size() < flagsOffset + 2 || traceparent[2] != '-'
        || traceparent[parentOffset - 1] != '-' || traceparent[flagsOffset - 1] != '-') {
        return std::nullopt;
    }
    const std::string_view trace = traceparent.substr(traceOffset, traceIdDigits);
    const std::string_view parent = traceparent.substr(parentOffset, spanIdDigits);
    if (!isHex(trace) || !isHex(parent) || isZero(trace) || isZero(parent)) {
        return std::nullopt;
    }
    return TraceContext {TraceId {std::string {trace}}, SpanId {std::string {parent}}};
}

TraceContext TraceContext::generate()
{
    return {TraceId {randomHex(traceIdDigits)}, SpanId {}};
}

std::string TraceContext::header(const SpanId &span) const
{
    return "00-" + trace.value() + "-" + span.value() + "-01";
}

SpanId makeSpanId()
{
    return SpanId {randomHex(spanIdDigits)};
}

Tracer::Tracer(const TraceSettings &settings, VmId vm)
    : vm_(std::move(vm))
    , spans_(settings.maxKeptSpans)
{
    if (!settings.file.empty()) {
        file_.open(settings.file, std::ios::app);
    }
}

boost::json::object Tracer::toJson(const Span &span) const
{
    boost::json::array attributes;
    attributes.push_back(boost::json::object {
        {"key", "vm"}, {"value", boost::json::object {{"stringValue", vm_.value()}}}});
    for (const SpanAttribute &attribute : span.attributes) {
        attributes.push_back(boost::json::object {{"key", attribute.name},
            {"value", boost::json::object {{"stringValue", attribute.value}}}});
    }
    return {{"traceId", span.trace.value()}, {"spanId", span.id.value()},
        {"parentSpanId", span.parent.value()}, {"name", span.name},
        {"startTimeUnixNano", nanoseconds(span.start)}, {"endTimeUnixNano", nanoseconds(span.end)},
        {"attributes", std::move(attributes)}};
}

void Tracer::record(Span span)
{
    const std::lock_guard<std::mutex> lock {mutex_};
    if (file_.is_open()) {
        file_ << boost::json::serialize(toJson(span)) << '\n' << std::flush;
    }
    if (spans_.capacity() > 0) {
        spans_.push_back(std::move(span));
    }
}

std::string Tracer::find(const TraceId &trace) const
{
    boost::json::array matches;
    const std::lock_guard<std::mutex> lock {mutex_};
    for (const Span &span : spans_) {
        if (span.trace == trace) {
            matches.push_back(toJson(span));
        }
    }
    return boost::json::serialize(matches);
}

ScopedSpan::ScopedSpan(Tracer &tracer, TraceId trace, SpanId parent, std::string name)
    : tracer_(tracer)
{
    span_.trace = std::move(trace);
    span_.id = makeSpanId();
    span_.parent = std::move(parent);
    span_.name = std::move(name);
    span_.start = std::chrono::system_clock::now();
}

ScopedSpan::~ScopedSpan()
{
    span_.end = std::chrono::system_clock::now();
    tracer_.record(std::move(span_));
}

void ScopedSpan::addAttribute(std::string name, std::string value)
{
    span_.attributes.push_back({std::move(name), std::move(value)});
}

const SpanId &ScopedSpan::id() const
{
    return span_.id;
}

} // namespace crocusmill
