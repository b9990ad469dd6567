/// Tests of trace contexts and stored spans.

#include "src/net/tracing.h"

#include <catch2/catch.hpp>

namespace crocusmill
{

TEST_CASE("a traceparent is parsed and formatted")
{
    const std::string header = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01";
    const std::optional<TraceContext> context = TraceContext::parse(header);
    REQUIRE(context.has_value());
    CHECK(context->trace.value() == "0af7651916cd43dd8448eb211c80319c");
    CHECK(context->header(context->parent) == header);
}

TEST_CASE("malformed traceparents are rejected")
{
    CHECK_FALSE(TraceContext::parse("").has_value());
    CHECK_FALSE(TraceContext::parse("00-0AF7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01"));
    CHECK_FALSE(TraceContext::parse("00-00000000000000000000000000000000-b7ad6b7169203331-01"));
}

TEST_CASE("spans are found by trace id, and the oldest are dropped above the limit")
{
    TraceSettings settings;
    settings.maxKeptSpans = 2;
    Tracer tracer {settings, VmId {"vm-1"}};
    const TraceContext context = TraceContext::generate();
    for (int i = 0; i < 3; ++i) {
        const ScopedSpan span {tracer, context.trace, {}, "span " + std::to_string(i)};
    }
    const std::string found = tracer.find(context.trace);
    CHECK(found.find("span 0") == std::string::npos);
    CHECK(found.find("span 2") != std::string::npos);
    CHECK(tracer.find(TraceContext::generate().trace) == "[]");
}

} // namespace crocusmill
