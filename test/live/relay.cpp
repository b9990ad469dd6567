/// TCP relay that simulates network partitions.

#include "test/live/relay.h"

#include <array>

namespace crocusmill::live
{

namespace
{

constexpr Milliseconds cutCheckInterval {10};

} // namespace

struct Relay::Pipe
{
    Pipe(Tcp::socket accepted, asio::io_context &context)
        : in(std::move(accepted))
        , out(context)
    {
    }

    void close()
    {
        boost::system::error_code ignored;
        in.close(ignored);
        out.close(ignored);
    }

    Tcp::socket in;
    Tcp::socket out;
    std::string source;
    bool hasHeldData = false; // data was held back during a partition
};

Relay::Relay(const NodeAddress &from, NodeAddress to)
    : to_(std::move(to))
    , acceptor_(context_)
{
    const Tcp::endpoint endpoint {asio::ip::make_address(from.ip), from.port};
    acceptor_.open(endpoint.protocol());
    acceptor_.set_option(Tcp::acceptor::reuse_address(true));
    acceptor_.bind(endpoint);
    acceptor_.listen();
    asio::co_spawn(context_, accept(), asio::detached);
    thread_ = std::thread {[this]() {
        context_.run();
    }};
}

Relay::~Relay()
{
    context_.stop();
    thread_.join();
}

void Relay::cut(const std::string &sourceIp, bool isCut)
{
    const std::lock_guard<std::mutex> lock {mutex_};
    if (isCut) {
        cutSources_.insert(sourceIp);
        return;
    }
    cutSources_.erase(sourceIp);
    asio::post(context_, [this]() {
        std::erase_if(pipes_, [](const std::shared_ptr<Pipe> &pipe) {
            if (pipe->hasHeldData) {
                pipe->close();
            }
            return pipe->hasHeldData;
        });
    });
}

bool Relay::isCut(const std::string &sourceIp) const
{
    const std::lock_guard<std::mutex> lock {mutex_};
    return cutSources_.contains(sourceIp) || cutSources_.contains(std::string {});
}

asio::awaitable<void> Relay::accept()
{
    for (;;) {
        boost::system::error_code error;
        Tcp::socket socket = co_await acceptor_.async_accept(errorInto(error));
        if (error) {
            co_return;
        }
        const std::shared_ptr<Pipe> pipe = std::make_shared<Pipe>(std::move(socket), context_);
        pipe->source = pipe->in.remote_endpoint(error).address().to_string();
        pipes_.insert(pipe);
        asio::co_spawn(context_, serve(pipe), asio::detached);
    }
}

asio::awaitable<void> Relay::serve(std::shared_ptr<Pipe> pipe)
{
    boost::system::error_code error;
    const Tcp::endpoint endpoint {asio::ip::make_address(to_.ip), to_.port};
    co_await pipe->out.async_connect(endpoint, errorInto(error));
    if (error) {
        pipe->close();
        pipes_.erase(pipe);
        co_return;
    }
    pipe->in.set_option(Tcp::no_delay(true), error);
    pipe->out.set_option(Tcp::no_delay(true), error);
    asio::co_spawn(context_, pump(pipe, false), asio::detached);
    co_await pump(pipe, true);
}

asio::awaitable<void> Relay::pump(std::shared_ptr<Pipe> pipe, bool forward)
{
    constexpr std::size_t bufferSize = 16'384;
    std::array<char, bufferSize> buffer {};
    Tcp::socket &from = forward ? pipe->in : pipe->out;
    Tcp::socket &to = forward ? pipe->out : pipe->in;
    for (;;) {
        boost::system::error_code error;
        const std::size_t size =
            co_await from.async_read_some(asio::buffer(buffer), errorInto(error));
        while (!error && isCut(pipe->source)) {
            pipe->hasHeldData = true;
            asio::steady_timer timer {context_, cutCheckInterval};
            co_await timer.async_wait(asio::use_awaitable);
        }
        if (!error) {
            co_await asio::async_write(to, asio::buffer(buffer.data(), size), errorInto(error));
        }
        if (error) {
            pipe->close();
            pipes_.erase(pipe);
            co_return;
        }
    }
}

} // namespace crocusmill::live
