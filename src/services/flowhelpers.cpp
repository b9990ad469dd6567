/// Implementation of the helper functions.

#include "src/services/flowhelpers.h"

#include <algorithm>
#include <array>

namespace crocusmill
{

bool isHopByHop(std::string_view name)
{
    constexpr std::array<std::string_view, 9> hopByHop {"connection", "keep-alive",
        "proxy-authenticate", "proxy-authorization", "te", "trailer", "transfer-encoding",
        "upgrade", "content-length"};
    return std::any_of(hopByHop.begin(), hopByHop.end(),
        [name](std::string_view hopByHopName) { return beast::iequals(name, hopByHopName); });
}

std::vector<Header> endToEndHeaders(const HttpResponse &response)
{
    std::vector<Header> headers;
    for (const HttpResponse::value_type &field : response) {
        if (!isHopByHop(field.name_string())) {
            headers.push_back({std::string {field.name_string()}, std::string {field.value()}});
        }
    }
    return headers;
}

bool provesNotRun(ForwardKind kind)
{
    return kind == ForwardKind::NotSent || kind == ForwardKind::NotRun;
}

std::string_view outcomeText(ForwardKind kind)
{
    switch (kind) {
    case ForwardKind::Answered:
        return "answered";
    case ForwardKind::NotSent:
        return "not_sent";
    case ForwardKind::NotRun:
        return "not_run";
    case ForwardKind::Broken:
        return "broken";
    case ForwardKind::TimedOut:
        return "timed_out";
    case ForwardKind::Mismatched:
        return "mismatched";
    case ForwardKind::TooLarge:
        return "too_large";
    }
    return "unknown";
}

} // namespace crocusmill
