/// HTTP handler for requests that the journal answers, not an upstream: status and cancellation of
/// work, and jobs.

#pragma once

#include "src/net/controlloop.h"
#include "src/net/httpserver.h"
#include "src/services/interfaces.h"

#include <string_view>

namespace crocusmill
{

class WorkStatusHandler final : public HttpHandler
{
public:
    static constexpr std::string_view workPath = "/.well-known/crocusmill/work/";

    WorkStatusHandler(asio::io_context &control, Entry &entry, LeaderClient &client);

    /// Returns whether this handler serves the path.
    [[nodiscard]] static bool handlesPath(std::string_view path);

    [[nodiscard]] asio::awaitable<HttpResponse> handle(
        HttpRequest request, std::shared_ptr<CallerWatch> watch) override;

private:
    [[nodiscard]] asio::awaitable<Result<Reply>> callLeader(Call call);
    [[nodiscard]] asio::awaitable<HttpResponse> handleWork(const HttpRequest &request);
    [[nodiscard]] asio::awaitable<HttpResponse> handleJob(const HttpRequest &request);
    [[nodiscard]] asio::awaitable<HttpResponse> submitJob(
        EnvironmentName environment, std::string text);

    asio::io_context &control_;
    Entry &entry_;
    LeaderClient &client_;
};

} // namespace crocusmill
