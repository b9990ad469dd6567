/// HTTP server on loopback that answers with scripted bytes, valid or not.
///
/// Runs in the context of the test; each request gets the next entry of the script.

#pragma once

#include "src/net/asio.h"

#include <crocusmill/consensus.h>

#include <deque>
#include <list>
#include <string>
#include <vector>

namespace crocusmill::fakes
{

struct ScriptedAnswer
{
    std::vector<std::string> pieces; // written one after another
    bool closes = false; // after the last piece
    Milliseconds pause {0}; // before each piece
};

class ScriptedPeer
{
public:
    explicit ScriptedPeer(asio::io_context &context)
        : acceptor_(context, {asio::ip::make_address("127.0.0.1"), 0})
    {
        asio::co_spawn(context, accept(), asio::detached);
    }

    NodeAddress address() const
    {
        return {"127.0.0.1", acceptor_.local_endpoint().port()};
    }

    void answer(ScriptedAnswer answer)
    {
        script_.push_back(std::move(answer));
    }

    void closeAll()
    {
        for (Tcp::socket &socket : sockets_) {
            socket.close();
        }
    }

    /// Closes the acceptor; open connections stay.
    void stopAccepting()
    {
        acceptor_.close();
    }

    const std::vector<std::string> &requests() const
    {
        return requests_;
    }

    std::size_t connections() const
    {
        return sockets_.size();
    }

private:
    asio::awaitable<void> accept()
    {
        boost::system::error_code error;
        while (true) {
            Tcp::socket socket = co_await acceptor_.async_accept(errorInto(error));
            if (error) {
                co_return;
            }
            socket.set_option(Tcp::no_delay(true), error);
            sockets_.push_back(std::move(socket));
            asio::co_spawn(acceptor_.get_executor(), serve(sockets_.back()), asio::detached);
        }
    }

    asio::awaitable<void> serve(Tcp::socket &socket)
    {
        boost::system::error_code error;
        beast::flat_buffer buffer;
        while (true) {
            http::request<http::string_body> request;
            co_await http::async_read(socket, buffer, request, errorInto(error));
            if (error) {
                co_return;
            }
            requests_.push_back(request.body());
            if (script_.empty()) {
                continue; // no answer
            }
            const ScriptedAnswer answer = script_.front();
            script_.pop_front();
            for (const std::string &piece : answer.pieces) {
                asio::steady_timer timer {acceptor_.get_executor(), answer.pause};
                co_await timer.async_wait(errorInto(error));
                co_await asio::async_write(socket, asio::buffer(piece), errorInto(error));
            }
            if (answer.closes) {
                socket.close();
                co_return;
            }
        }
    }

    Tcp::acceptor acceptor_;
    std::list<Tcp::socket> sockets_;
    std::deque<ScriptedAnswer> script_;
    std::vector<std::string> requests_;
};

inline std::string httpAnswer(const std::string &status, const std::string &body)
{
    return "HTTP/1.1 " + status + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n"
        + body;
}

} // namespace crocusmill::fakes
