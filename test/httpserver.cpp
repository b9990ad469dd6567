/// Tests of HttpServer with and without detection of disconnects.

#include "src/net/httpserver.h"

#include <catch2/catch.hpp>

#include <stdexcept>
#include <thread>

namespace crocusmill
{

namespace
{

constexpr std::size_t largeBytes = 8'000'000;

class EchoHandler final : public HttpHandler
{
public:
    explicit EchoHandler(bool watches)
        : watches_(watches)
    {
    }

    bool watchesCallers() const override
    {
        return watches_;
    }

    asio::awaitable<HttpResponse> handle(
        HttpRequest request, std::shared_ptr<CallerWatch> watch) override
    {
        sawWatch = sawWatch || watch != nullptr;
        if (request.target() == "/fails") {
            throw std::runtime_error {"unexpected"};
        }
        const bool large = request.target() == "/large";
        co_return jsonResponse(
            http::status::ok, large ? std::string(largeBytes, 'x') : request.body());
    }

    std::atomic<bool> sawWatch {false};

private:
    bool watches_;
};

/// Runs a server on a separate thread and connects to it.
struct Fixture
{
    explicit Fixture(bool watches)
        : echo(watches)
        , server({&context}, HttpLimits {}, echo)
        , socket(clientContext)
    {
        // Finds a port that is free at the moment.
        Tcp::acceptor probe {clientContext, {asio::ip::make_address("127.0.0.1"), 0}};
        const Tcp::endpoint endpoint = probe.local_endpoint();
        probe.close();
        REQUIRE(server.listen({"127.0.0.1", endpoint.port()}).has_value());
        thread = std::thread {[this]() {
            context.run();
        }};
        socket.connect(endpoint);
    }

    ~Fixture()
    {
        context.stop();
        thread.join();
    }

    Fixture(const Fixture &) = delete;
    Fixture &operator=(const Fixture &) = delete;

    HttpResponse read()
    {
        http::response_parser<http::string_body> parser;
        parser.body_limit(largeBytes);
        http::read(socket, buffer, parser);
        return parser.release();
    }

    static HttpRequest request(const char *target, const std::string &body)
    {
        HttpRequest request {http::verb::post, target, 11};
        request.body() = body;
        request.prepare_payload();
        return request;
    }

    asio::io_context context {1};
    asio::io_context clientContext;
    EchoHandler echo;
    HttpServer server;
    Tcp::socket socket;
    beast::flat_buffer buffer;
    std::thread thread;
};

} // namespace

TEST_CASE("requests on one connection are answered in order")
{
    for (const bool watches : {true, false}) {
        Fixture fixture {watches};
        for (const char *body : {"a", "b", "c"}) {
            http::write(fixture.socket, Fixture::request("/", body));
            CHECK(fixture.read().body() == body);
        }
        // Two requests in one write, with the end of the second one missing.
        std::ostringstream text;
        text << Fixture::request("/", "first") << Fixture::request("/", "second");
        const std::string both = text.str();
        asio::write(fixture.socket, asio::buffer(both.data(), both.size() - 3));
        CHECK(fixture.read().body() == "first");
        asio::write(fixture.socket, asio::buffer(both) + (both.size() - 3));
        CHECK(fixture.read().body() == "second");
        CHECK(fixture.echo.sawWatch == watches);
    }
}

TEST_CASE("a response larger than the send buffer arrives completely")
{
    for (const bool watches : {true, false}) {
        Fixture fixture {watches};
        http::write(fixture.socket, Fixture::request("/large", ""));
        std::this_thread::sleep_for(Milliseconds {50}); // the server has to wait
        CHECK(fixture.read().body() == std::string(largeBytes, 'x'));
        http::write(fixture.socket, Fixture::request("/", "after"));
        CHECK(fixture.read().body() == "after");
    }
}

TEST_CASE("a disconnect of one caller does not affect others")
{
    for (const bool watches : {true, false}) {
        Fixture fixture {watches};
        Tcp::socket leavingClient {fixture.clientContext};
        leavingClient.connect(fixture.socket.remote_endpoint());
        http::write(leavingClient, Fixture::request("/large", ""));
        leavingClient.close();
        http::write(fixture.socket, Fixture::request("/", "still"));
        CHECK(fixture.read().body() == "still");
    }
}

TEST_CASE("an unexpected error in a handler ended the process")
{
    for (const bool watches : {true, false}) {
        Fixture fixture {watches};
        http::write(fixture.socket, Fixture::request("/fails", ""));
        const HttpResponse response = fixture.read();
        CHECK(response.result() == http::status::internal_server_error);
        CHECK(response.body().find("not_run") == std::string::npos);
        http::write(fixture.socket, Fixture::request("/", "after"));
        CHECK(fixture.read().body() == "after");
    }
}

TEST_CASE("an invalid request is refused and its connection is closed")
{
    Fixture fixture {false};
    asio::write(fixture.socket, asio::buffer(std::string {"nonsense\r\n\r\n"}));
    CHECK(fixture.read().result() == http::status::bad_request);
    boost::system::error_code error;
    char byte = 0;
    asio::read(fixture.socket, asio::buffer(&byte, 1), error);
    CHECK(error == asio::error::eof);
}

} // namespace crocusmill
