/// HTTP handler for announcements of upstreams and workers.

#pragma once

#include "src/net/controlloop.h"
#include "src/net/httpserver.h"
#include "src/services/interfaces.h"

#include <crocusmill/settings.h>

namespace crocusmill
{

class AnnounceHandler final : public HttpHandler
{
public:
    AnnounceHandler(
        asio::io_context &control, Entry &entry, LeaderClient &client, TimeSettings times);

    /// Returns whether this handler serves the path.
    [[nodiscard]] static bool handlesPath(std::string_view path);

    [[nodiscard]] asio::awaitable<HttpResponse> handle(
        HttpRequest request, std::shared_ptr<CallerWatch> watch) override;

private:
    [[nodiscard]] asio::awaitable<HttpResponse> handleUpstream(const HttpRequest &request);
    [[nodiscard]] asio::awaitable<HttpResponse> handleWorker(const HttpRequest &request);
    [[nodiscard]] HttpResponse upstreamReply(const AnnounceReply &reply) const;
    [[nodiscard]] HttpResponse workerReply(const WorkerReply &reply) const;

    asio::io_context &control_;
    Entry &entry_;
    LeaderClient &client_;
    TimeSettings times_;
};

} // namespace crocusmill
