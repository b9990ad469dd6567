/// HTTP client that blocks until the answer or the timeout.

#include "src/ctl/client.h"

#include "src/net/asio.h"

#include <chrono>
#include <functional>

namespace crocusmill
{

std::string_view ErrorText<ctl::ClientError>::text(ctl::ClientError error)
{
    switch (error) {
    case ctl::ClientError::BadAddress:
        return "the server address is not of the form IP:PORT";
    case ctl::ClientError::Unreachable:
        return "cannot connect to the server";
    case ctl::ClientError::NoAnswer:
        return "no answer received, the outcome is unknown";
    }
    return "unknown client error";
}

} // namespace crocusmill

namespace crocusmill::ctl
{

namespace
{

/// Of one request, from the connection to the end of the answer.
constexpr std::chrono::seconds requestTimeout {10};
constexpr std::uint64_t maxAnswerBytes = 256ULL * 1024 * 1024;

/// Runs one operation of the stream. Returns its error, which is beast::error::timeout once the
/// stream has expired. Blocking operations of the stream would ignore its expiry.
boost::system::error_code runOperation(asio::io_context &context,
    const std::function<void(std::function<void(const boost::system::error_code &)>)> &start)
{
    boost::system::error_code outcome;
    start([&outcome](const boost::system::error_code &error) { outcome = error; });
    context.restart();
    context.run();
    return outcome;
}

} // namespace

Client::Client(NodeAddress server, std::string token, std::string operatorName)
    : server_(std::move(server))
    , token_(std::move(token))
    , operatorName_(std::move(operatorName))
{
}

Result<Answer> Client::request(
    const std::string &method, const std::string &target, const std::string &body) const
{
    asio::io_context context;
    beast::tcp_stream stream {context};
    boost::system::error_code error;
    const Tcp::endpoint endpoint {asio::ip::make_address(server_.ip, error), server_.port};
    if (error) {
        return ClientError::BadAddress;
    }
    using Done = std::function<void(const boost::system::error_code &)>;
    stream.expires_after(requestTimeout);
    error = runOperation(context, [&](const Done &done) { stream.async_connect(endpoint, done); });
    if (error) {
        return ClientError::Unreachable;
    }
    http::request<http::string_body> request;
    constexpr unsigned int http11 = 11;
    request.version(http11);
    request.method_string(method);
    request.target(target);
    request.set(http::field::host, server_.ip);
    request.set(http::field::authorization, "Bearer " + token_);
    request.set("Crocusmill-Operator", operatorName_);
    request.body() = body;
    request.keep_alive(false);
    request.prepare_payload();
    error = runOperation(context, [&](const Done &done) {
        http::async_write(stream, request,
            [done](const boost::system::error_code &failure, std::size_t) { done(failure); });
    });
    if (error) {
        return ClientError::NoAnswer;
    }
    beast::flat_buffer buffer;
    http::response_parser<http::string_body> parser;
    parser.body_limit(maxAnswerBytes);
    error = runOperation(context, [&](const Done &done) {
        http::async_read(stream, buffer, parser,
            [done](const boost::system::error_code &failure, std::size_t) { done(failure); });
    });
    if (error) {
        return ClientError::NoAnswer;
    }
    return Answer {parser.get().result_int(), parser.get().body()};
}

Result<NodeAddress> parseServer(const std::string &text)
{
    const std::size_t colon = text.rfind(':');
    if (colon == std::string::npos) {
        return ClientError::BadAddress;
    }
    constexpr int decimal = 10;
    constexpr unsigned long maxPort = 65'535;
    char *end = nullptr;
    const unsigned long port = std::strtoul(text.c_str() + colon + 1, &end, decimal);
    boost::system::error_code error;
    const asio::ip::address address = asio::ip::make_address(text.substr(0, colon), error);
    if (error || *end != '\0' || port == 0 || port > maxPort) {
        return ClientError::BadAddress;
    }
    return NodeAddress {address.to_string(), static_cast<std::uint16_t>(port)};
}

} // namespace crocusmill::ctl
