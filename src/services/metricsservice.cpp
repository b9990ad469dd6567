/// Implementation of the metrics service.

#include "src/services/metricsservice.h"

namespace crocusmill
{

namespace
{

constexpr std::uint32_t maxConnections = 64;

class MetricsService final : public Service, public HttpHandler
{
public:
    MetricsService(std::vector<asio::io_context *> traffic, NodeAddress listen,
        const Metrics &metrics, std::shared_ptr<ClientConnections> connections)
        : listen_(std::move(listen))
        , metrics_(metrics)
        , server_(std::move(traffic), limitsWith(std::move(connections)), *this)
    {
    }

    std::string_view name() const override
    {
        return names::metrics;
    }

    std::vector<std::string_view> dependencies() const override
    {
        return {};
    }

    Result<void> start(Kernel & /*kernel*/) override
    {
        return server_.listen(listen_);
    }

    void stop() override
    {
        server_.stopAccepting();
    }

    asio::awaitable<HttpResponse> handle(
        HttpRequest /*request*/, std::shared_ptr<CallerWatch> /*watch*/) override
    {
        HttpResponse response {http::status::ok, 11};
        response.set(http::field::content_type, "text/plain; version=0.0.4");
        response.body() = metrics_.prometheus();
        co_return response;
    }

private:
    static HttpLimits limitsWith(std::shared_ptr<ClientConnections> connections)
    {
        HttpLimits limits;
        limits.maxConnections = maxConnections;
        limits.connections = std::move(connections);
        return limits;
    }

    NodeAddress listen_;
    const Metrics &metrics_;
    HttpServer server_;
};

} // namespace

std::unique_ptr<Service> makeMetricsService(std::vector<asio::io_context *> traffic,
    const NodeAddress &listen, const Metrics &metrics,
    std::shared_ptr<ClientConnections> connections)
{
    return std::make_unique<MetricsService>(
        std::move(traffic), listen, metrics, std::move(connections));
}

} // namespace crocusmill
