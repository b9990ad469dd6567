/// The HTTP server: answers in order over kept connections, of any size, watched or not.

#include "src/net/httpserver.h"

#include <catch2/catch.hpp>

#include <thread>

namespace crocusmill
{

namespace
{

constexpr std::size_t largeBytes = 8'000'000;

class Echo final : public HttpHandler
{
public:
    explicit Echo(bool watches)
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
        const bool large = request.target() == "/large";
        co_return jsonResponse(
            http::status::ok, large ? std::string(largeBytes, 'x') : request.body());
    }

    std::atomic<bool> sawWatch {false};

private:
    bool watches_;
};

/// A server on a thread of its own, and one connection to it.
struct Site
{
    explicit Site(bool watches)
        : echo(watches)
        , server({&context}, HttpLimits {}, echo)
        , socket(own)
    {
        // A port that was free a moment ago.
        Tcp::acceptor probe {own, {asio::ip::make_address("127.0.0.1"), 0}};
        const Tcp::endpoint place = probe.local_endpoint();
        probe.close();
        REQUIRE(server.listen({"127.0.0.1", place.port()}).has_value());
        thread = std::thread {[this]() {
            context.run();
        }};
        socket.connect(place);
    }

    ~Site()
    {
        context.stop();
        thread.join();
    }

    Site(const Site &) = delete;
    Site &operator=(const Site &) = delete;

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
    asio::io_context own;
    Echo echo;
    HttpServer server;
    Tcp::socket socket;
    beast::flat_buffer buffer;
    std::thread thread;
};

} // namespace

TEST_CASE("requests on one connection are answered in their order")
{
    for (const bool watches : {true, false}) {
        Site site {watches};
        for (const char *body : {"a", "b", "c"}) {
            http::write(site.socket, Site::request("/", body));
            CHECK(site.read().body() == body);
        }
        // Two at once, the second cut in two.
        std::ostringstream text;
        text << Site::request("/", "first") << Site::request("/", "second");
        const std::string both = text.str();
        asio::write(site.socket, asio::buffer(both.data(), both.size() - 3));
        CHECK(site.read().body() == "first");
        asio::write(site.socket, asio::buffer(both) + (both.size() - 3));
        CHECK(site.read().body() == "second");
        CHECK(site.echo.sawWatch == watches);
    }
}

TEST_CASE("an answer larger than the socket takes at once arrives whole")
{
    for (const bool watches : {true, false}) {
        Site site {watches};
        http::write(site.socket, Site::request("/large", ""));
        std::this_thread::sleep_for(Milliseconds {50}); // the writer has to wait
        CHECK(site.read().body() == std::string(largeBytes, 'x'));
        http::write(site.socket, Site::request("/", "after"));
        CHECK(site.read().body() == "after");
    }
}

TEST_CASE("a caller that hangs up leaves the server as it was")
{
    for (const bool watches : {true, false}) {
        Site site {watches};
        Tcp::socket leaver {site.own};
        leaver.connect(site.socket.remote_endpoint());
        http::write(leaver, Site::request("/large", ""));
        leaver.close();
        http::write(site.socket, Site::request("/", "still"));
        CHECK(site.read().body() == "still");
    }
}

TEST_CASE("what is no request is refused and its connection closed")
{
    Site site {false};
    asio::write(site.socket, asio::buffer(std::string {"nonsense\r\n\r\n"}));
    CHECK(site.read().result() == http::status::bad_request);
    boost::system::error_code error;
    char byte = 0;
    asio::read(site.socket, asio::buffer(&byte, 1), error);
    CHECK(error == asio::error::eof);
}

} // namespace crocusmill
